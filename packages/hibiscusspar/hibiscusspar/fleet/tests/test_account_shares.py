"""Tests of the shares of accounts: division, counts, verdicts, and a replayed flood."""

import unittest
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from hibiscusspar.fleet.account_counts import (
    SMALL_ACCOUNTS,
    AccountCounts,
    split_change,
)
from hibiscusspar.fleet.account_shares import (
    MAX_ACCOUNTS,
    account_weights,
    divide,
    limit_accounts,
)
from hibiscusspar.fleet.admission import FleetAdmission, NodeDemand, allocate_shares
from hibiscusspar.fleet.messages import AdmissionLevel
from hibiscusspar.fleet.node_admission import NodeAdmission
from hibiscusspar.fleet.rules import AccountRule
from hibiscusspar.fleet.tests.admission_replay import CALM, Replay
from hibiscusspar.fleet.waiting import Job, Refuse, Send, Wait

GOALS = {"s": {0: 0.8, 1: 1.0, 2: 2.0}}
DEMANDS = st.dictionaries(st.sampled_from("abcdefghijklmnop"), st.floats(0.1, 1000.0))
# Bounds of the requirement: by how much others may be served less often than without
# the flood, and the part of the share of all that each account gets.
MOST_LOST = 0.05
LEAST_PART = 0.25
FLOOD = 6.0
# Sixteen accounts, a few of them large, as parts of the requests of their priority.
SIZES = {0: (0.6, 0.3, 0.1), 1: (0.6, 0.3, 0.1), 2: (0.4, 0.2, 0.1, *[0.3 / 7] * 7)}


def job(name="r1", account="a", priority=2, **fields):
    return Job(
        name, "s", ("m", "a"), priority, 1000, 10.0, 2.0, 13.0, 0.5,
        account=account, **fields,
    )  # fmt: skip


class TestDivide(unittest.TestCase):
    """A large account must not take what is due to small ones."""

    def test_account_below_its_part_gets_all_and_the_rest_is_divided_equally(self):
        found = divide(100.0, {"a": 10.0, "b": 60.0, "c": 500.0})
        self.assertEqual(found, {"a": 10.0, "b": 45.0, "c": 45.0})

    def test_rest_is_divided_by_rates_only_if_all_accounts_have_one(self):
        demand = {"a": 300.0, "b": 300.0}
        found = divide(100.0, demand, weights={"a": 3.0, "b": 1.0})
        self.assertEqual(found, {"a": 75.0, "b": 25.0})
        found = divide(100.0, demand, weights={"a": 3.0})
        self.assertEqual(found, {"a": 50.0, "b": 50.0})

    @given(st.floats(0.0, 1000.0), DEMANDS)
    def test_division_is_max_min_fair(self, capacity, demand):
        found = divide(capacity, demand)
        total = sum(demand.values())
        self.assertAlmostEqual(sum(found.values()), min(capacity, total), places=6)
        limited = [found[a] for a in demand if found[a] < demand[a] - 1e-6]
        for account, granted in found.items():
            self.assertLessEqual(granted, demand[account] + 1e-9)
            self.assertTrue(all(granted <= other + 1e-6 for other in limited))

    @given(st.floats(0.3, 1.0), st.floats(0.0, 0.3), DEMANDS.filter(bool))
    def test_no_account_gets_less_than_the_floor(self, share, floor, demand):
        capacity = share * sum(demand.values())
        found = divide(capacity, demand, floor)
        self.assertAlmostEqual(sum(found.values()), capacity, places=6)
        for account, granted in found.items():
            self.assertGreaterEqual(granted, floor * demand[account] - 1e-9)


class TestWeights(unittest.TestCase):
    def weights(self, **rules):
        accounts = {
            name: AccountRule(name, rate, 10.0, counts_tokens, 0, None)
            for name, (rate, counts_tokens) in rules.items()
        }
        keys = {f"digest-{name}": name for name in ("a", "b")}
        return account_weights(SimpleNamespace(accounts=accounts, keys=keys))

    def test_rates_are_weights_only_if_all_accounts_have_comparable_ones(self):
        expected = {"a": 5.0, "b": 1.0}
        self.assertEqual(self.weights(a=(5.0, True), b=(1.0, True)), expected)
        self.assertIsNone(self.weights(a=(5.0, True), b=(0.0, True)))
        self.assertIsNone(self.weights(a=(5.0, True), b=(1.0, False)))
        self.assertIsNone(self.weights(a=(5.0, True)))


class TestLimitAccounts(unittest.TestCase):
    def limit(self, capacity, by_account, unknown=0.0, small=0.0, floor=0.1):
        """Return the shares of accounts that all have priority 2."""
        demand = {2: sum(by_account.values()) + unknown + small}
        shares = allocate_shares(capacity, demand, floor)
        found = limit_accounts(shares, demand, {2: by_account}, {2: small}, floor)
        return found[0][2], found[1]

    def test_only_the_account_above_its_part_is_limited(self):
        share, accounts = self.limit(100.0, {"a": 20.0, "b": 20.0, "f": 120.0})
        self.assertEqual((share, accounts), (0.9999, {"f": 0.5}))

    def test_nothing_is_limited_where_the_priority_gets_all_or_only_its_floor(self):
        self.assertEqual(self.limit(160.0, {"a": 20.0, "f": 120.0}), (1.0, {}))
        self.assertEqual(self.limit(10.0, {"a": 20.0, "f": 120.0}), (0.1, {}))

    def test_demand_without_accounts_is_limited_by_its_priority(self):
        # Nodes of older builds admit by the share of the priority only.
        share, accounts = self.limit(100.0, {}, unknown=200.0)
        self.assertEqual((share, accounts), (0.5, {}))
        known = {"a": 20.0, "f": 80.0}
        share, accounts = self.limit(100.0, known, unknown=100.0)
        self.assertGreater(share, 0.5)
        admitted = accounts["f"] * 80.0 + share * 120.0
        self.assertAlmostEqual(admitted, 100.0, delta=0.1)

    def test_small_accounts_that_reports_do_not_name_are_not_limited(self):
        share, accounts = self.limit(100.0, {"a": 30.0, "f": 200.0}, small=20.0)
        self.assertEqual((share, accounts), (0.9999, {"f": 0.25}))

    def test_at_most_eight_accounts_are_listed(self):
        known = {f"a{n}": 100.0 + n for n in range(12)}
        share, accounts = self.limit(600.0, known)
        self.assertLessEqual(len(accounts), MAX_ACCOUNTS)
        admitted = sum(
            demand * min(share, accounts.get(account, 1.0))
            for account, demand in known.items()
        )
        self.assertAlmostEqual(admitted, 600.0, delta=1.0)

    @given(st.floats(0.3, 0.99), DEMANDS.filter(bool), st.floats(0.0, 1000.0))
    def test_no_more_is_admitted_than_the_priority_may_use(self, part, known, unknown):
        total = sum(known.values()) + unknown
        share, accounts = self.limit(part * total, known, unknown, floor=0.25)
        admitted = share * unknown + sum(
            demand * min(share, accounts.get(account, 1.0))
            for account, demand in known.items()
        )
        self.assertLessEqual(admitted, part * total + 0.001 * total)
        self.assertTrue(all(value >= 0.25 for value in [share, *accounts.values()]))


class TestCounts(unittest.TestCase):
    def setUp(self):
        self.counts = AccountCounts()

    def record(self, now, account, times=1, **fields):
        for _ in range(times):
            self.counts.record(now, job(account=account), 100, **fields)

    def test_report_names_the_accounts_that_asked_for_most_lately(self):
        # Counts of a process span days; an account that floods now must be named.
        self.record(0.0, "formerly large", 1000)
        for n in range(12):
            self.record(100.0, f"a{n}", n + 1)
        found = self.counts.latest(100.5)["s"][2]
        self.assertEqual(sorted(found), sorted(f"a{n}" for n in range(4, 12)))
        self.assertEqual(found["a11"], (1200, 0))
        self.assertEqual(self.counts.latest(103.0), {})

    def test_refusals_are_counted(self):
        self.record(0.0, "a", 3)
        self.record(0.1, "a", 2, is_refusal=True)
        self.assertEqual(self.counts.latest(0.1), {"s": {2: {"a": (300, 200)}}})

    def test_number_of_counts_is_bounded(self):
        for n in range(1000):
            self.record(float(n), f"a{n}")
        self.assertEqual(len(self.counts._services["s"][2]), 256)

    def test_change_is_split_by_account(self):
        earlier = {"a": (1000, 100), "b": (500, 0)}
        found = split_change((300, 50), {"a": (1200, 150), "b": (600, 0)}, earlier)
        self.assertEqual(found, {"a": [200, 50], "b": [100, 0]})

    def test_count_that_may_be_old_explains_only_what_others_leave(self):
        found = split_change(
            (300, 0), {"a": (200, 0), "new": (10**9, 0)}, {"a": (0, 0)}
        )
        self.assertEqual(found, {"a": [200, 0], "new": [100, 0]})

    def test_rest_is_of_small_accounts_if_the_report_names_as_many_as_it_may(self):
        counts = {f"a{n}": (100, 0) for n in range(MAX_ACCOUNTS)}
        earlier = dict.fromkeys(counts, (90, 0))
        found = split_change((100, 30), counts, earlier)
        self.assertEqual(found[SMALL_ACCOUNTS], [20, 30])
        del counts["a0"]
        self.assertNotIn(SMALL_ACCOUNTS, split_change((100, 30), counts, earlier))

    def test_count_that_started_anew_is_no_negative_demand(self):
        found = split_change((300, 0), {"a": (100, 0)}, {"a": (5000, 0)})
        self.assertEqual(found, {"a": [100, 0]})


class TestFleet(unittest.TestCase):
    """Levels from reports of a node with an account that floods."""

    RATES = {"a": 20, "f": 120}

    def setUp(self):
        self.fleet = FleetAdmission()
        self.fleet.configure(GOALS)
        self.now, self.step = 100.0, 0

    def play(self, seconds, names_accounts=True, priority=2, known_before=0):
        """Return the level after reports of constant rates, of which 100 are sent."""
        found = None
        for _ in range(round(seconds * 10)):
            self.now, self.step = self.now + 0.1, self.step + 1
            counts = {a: (rate * self.step, 0) for a, rate in self.RATES.items()}
            asked = sum(self.RATES.values()) * self.step
            sent = 100 * self.step
            row = NodeDemand(
                "n", "s", self.now, {"s": {priority: (asked, sent, asked - sent)}},
                {}, {}, {"s": {priority: counts}} if names_accounts else {},
            )  # fmt: skip
            found = self.fleet.update(self.now, [row])
        return found["s"]

    def test_level_limits_the_account_that_floods(self):
        level = self.play(2.0)
        self.assertEqual(list(level.account_shares), ["f"])
        self.assertAlmostEqual(level.account_shares["f"], 80 / 120, delta=0.01)
        self.assertGreater(level.shares[2], 0.99)
        self.assertEqual(self.fleet.inputs["s"].by_account, {"f": [1200, 0]})

    def test_node_that_reports_no_accounts_counts_for_its_priorities_only(self):
        level = self.play(2.0, names_accounts=False)
        self.assertEqual(level.account_shares, {})
        self.assertAlmostEqual(level.shares[2], 100 / 140, delta=0.01)

    def test_lost_report_loses_no_demand(self):
        expected = self.play(2.0).account_shares
        for _ in range(3):
            self.now, self.step = self.now + 0.2, self.step + 2
            level = self.play(0.1)
        self.assertAlmostEqual(level.account_shares["f"], expected["f"], delta=0.03)

    def test_new_coordinator_takes_counts_of_days_for_a_start(self):
        self.step = 10**6
        self.assertAlmostEqual(self.play(1.5).account_shares["f"], 2 / 3, delta=0.01)

    def test_account_that_changes_its_priority_is_limited_there_within_a_second(self):
        self.play(2.0)
        self.step = 0
        level = self.play(1.2, priority=1)
        self.assertAlmostEqual(level.account_shares["f"], 2 / 3, delta=0.05)
        self.assertLess(level.shares[1], 1.0)


class TestNode(unittest.TestCase):
    def node(self, shares, account_shares, age_s=0.0, floor=0.0):
        level = AdmissionLevel(shares, 1e4, [], age_s, floor, 0.0, account_shares)
        node = NodeAdmission()
        node.configure(GOALS)
        node.apply_levels(10.0, {"s": level}, None)
        return node

    def admitted(self, node, now=10.0, **fields):
        jobs = [node.enter(now, job(f"r{n}", **fields)) for n in range(2000)]
        return {row.request_id for row in jobs if row.is_admitted}

    def test_smaller_one_of_both_shares_is_admitted(self):
        # Independent verdicts would admit 0.3 of the account.
        node = self.node({2: 0.6}, {"f": 0.5})
        limited = self.admitted(node, account="f")
        others = self.admitted(node, account="a")
        self.assertAlmostEqual(len(limited) / 2000, 0.5, delta=0.04)
        self.assertAlmostEqual(len(others) / 2000, 0.6, delta=0.04)
        self.assertLess(limited, others)

    def test_account_is_not_limited_in_a_priority_that_gets_all(self):
        node = self.node({0: 1.0, 2: 0.9}, {"f": 0.1})
        self.assertEqual(len(self.admitted(node, account="f", priority=0)), 2000)

    def test_late_level_limits_no_account(self):
        node = self.node({2: 0.9999}, {"f": 0.1}, age_s=1.0)
        self.assertLess(len(self.admitted(node, 10.4, account="f")), 300)
        self.assertEqual(len(self.admitted(node, 10.6, account="f")), 2000)

    def test_request_beyond_the_share_of_its_account_uses_a_free_place(self):
        node = self.node({2: 0.9999}, {"f": 0.0})
        row = node.enter(10.0, job(account="f"))
        self.assertIsInstance(node.review(10.0, row, Send("t1", 0.08)), Send)
        found = node.review(10.0, row, Wait("busy"))
        self.assertIsInstance(found, Refuse)
        self.assertGreaterEqual(found.retry_after_s, 0.3)

    def test_floor_of_a_limited_account_fills_fewer_queues(self):
        # At 6 times the requests its floor alone made queues too long for others.
        node = self.node({2: 0.9}, {"f": 0.4}, floor=0.3)
        sent = {}
        for account in ("a", "f"):
            rows = [node.enter(10.0, job(f"r{n}", account)) for n in range(2000)]
            decision = Send("t1", 1.5)
            found = [node.review(10.0, row, decision) == decision for row in rows]
            sent[account] = sum(found) / 2000
        self.assertAlmostEqual(sent["a"], 0.3, delta=0.04)
        self.assertAlmostEqual(sent["f"], 0.12, delta=0.03)

    def test_account_within_its_part_may_use_the_queues_that_a_flood_has_filled(self):
        # Half of them were refused in the first second of pressure.
        decision = Send("t1", 1.5)
        for share, account, is_sent in (
            (0.9999, "a", True),
            (0.9999, "f", False),
            (0.9999, "", False),
            # Other accounts of the priority don't get all, or none is limited.
            (0.95, "a", False),
            (1.0, "a", False),
        ):
            node = self.node({2: share}, {"f": 0.9})
            row = job(account=account)
            self.assertEqual(node.review(10.0, row, decision) == decision, is_sent)

    def test_requests_without_an_account_are_not_reported_by_account(self):
        node = self.node({}, {})
        node.enter(10.0, job(account=""))
        self.assertEqual(node.asked_by_account(10.0), {})
        node.enter(10.0, job(account="a"))
        self.assertEqual(node.asked_by_account(10.0), {"s": {2: {"a": (1000, 0)}}})

    def test_service_with_one_priority_counts_no_accounts(self):
        node = NodeAdmission()
        row = job()
        self.assertIs(node.enter(10.0, row), row)
        node.record(10.0, row, Refuse("busy", 1.0))
        self.assertEqual(node.asked_by_account(10.0), {})


class TestFlood(unittest.TestCase):
    """One of sixteen accounts sends six times as much."""

    def rates(self, flooding="", factor=FLOOD, priorities=(0, 1, 2)):
        rates = {}
        for place, priority in enumerate(priorities):
            for n, size in enumerate(SIZES[place]):
                name = f"{'abc'[place]}{n}"
                part = factor if name == flooding else 1.0
                rates[priority, name] = CALM[place] * size * part
        return rates

    def play(self, flooding, nodes=66, seconds=20, **fault):
        phases = [(5, self.rates()), (seconds, self.rates(flooding)), (2, self.rates())]
        return Replay(nodes, True, **fault).run(phases)

    def assert_no_account_starves(self, replay):
        of_all = replay.served.total() / replay.asked.total()
        self.assertGreaterEqual(
            min(replay.account_shares().values()), LEAST_PART * of_all
        )

    def assert_others_served(self, replay, flooding, priorities="abc"):
        """Check those whose part suffices; without the flood all are served."""
        self.assert_no_account_starves(replay)
        for account, share in replay.account_shares().items():
            if account != flooding and account[0] in priorities:
                self.assertGreaterEqual(share, 1.0 - MOST_LOST, account)

    def test_others_lose_requests_without_shares_of_accounts(self):
        shares = self.play("c0", old_nodes=66).account_shares()
        self.assertLess(min(shares[f"c{n}"] for n in range(1, 10)), 1.0 - MOST_LOST)

    def test_others_are_served_as_without_the_flood(self):
        for nodes, seconds in ((66, 20), (360, 10)):
            with self.subTest(nodes=nodes):
                replay = self.play("c0", nodes, seconds)
                self.assert_others_served(replay, "c0")
                self.assertTrue(
                    any(
                        levels and "c0" in levels["s"].account_shares
                        for _, levels in replay.levels
                    )
                )

    def test_flood_of_a_more_urgent_priority(self):
        # What it leaves doesn't suffice for the least urgent priority.
        self.assert_others_served(self.play("b0"), "b0", "ab")

    def test_nothing_is_refused_without_pressure(self):
        for part in (1.0, 1.3):
            rates = {key: rate * part for key, rate in self.rates().items()}
            with_levels = Replay(66, True).run([(10, rates)])
            without = Replay(66, False).run([(10, rates)])
            self.assertEqual(with_levels.refusals, [])
            self.assertEqual(with_levels.done_at, without.done_at)

    def test_callers_who_retry_at_once_three_times(self):
        self.assert_others_served(self.play("c0", hasty=3), "c0")

    def test_lost_reports(self):
        self.assert_others_served(self.play("c0", lost_reports=0.3), "c0")

    def test_changed_coordinator(self):
        self.assert_others_served(self.play("c0", new_coordinator_at=12.0), "c0")

    def test_lost_views_end_all_limits(self):
        # Levels end when they are 1.5 s old; none applies for the rest of the loss.
        replay = self.play("c0", lost_views=(12.0, 14.0))
        self.assert_no_account_starves(replay)

    def test_a_third_of_the_nodes_is_of_an_older_build(self):
        shares = {
            old: self.play("c0", old_nodes=old).account_shares() for old in (22, 66)
        }
        for old in shares:
            del shares[old]["c0"]
        self.assertGreater(min(shares[22].values()), min(shares[66].values()))

    def test_accounts_that_change_their_priorities(self):
        # The more urgent and the less urgent half of the flood change places.
        phases = [
            (5, self.rates()),
            (10, self.rates("c0")),
            (10, self.rates("c0", priorities=(0, 2, 1))),
            (2, self.rates()),
        ]
        replay = Replay(66, True).run(phases)
        self.assert_others_served(replay, "c0", "ac")
