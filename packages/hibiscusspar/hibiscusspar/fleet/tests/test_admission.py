"""Tests of admission by priority: levels, verdicts, and a replayed burst."""

import unittest
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from hibiscusspar.fleet.admission import (
    FleetAdmission,
    NodeDemand,
    allocate_shares,
    service_goals,
)
from hibiscusspar.fleet.messages import AdmissionLevel
from hibiscusspar.fleet.node_admission import NodeAdmission
from hibiscusspar.fleet.rules import AccountRule, RouteRule
from hibiscusspar.fleet.tests.admission_replay import BURST, CALM, Replay
from hibiscusspar.fleet.waiting import Job, Refuse, Send, Wait, job_sort_key

GOALS = {"s": {0: 0.8, 1: 1.0, 2: 2.0}}
PHASES = [(5, CALM), (15, BURST), (5, CALM)]
# Faults happen in the middle of the burst.
FAULT_PHASES = [(5, CALM), (10, BURST), (2, CALM)]
FLEETS = (66, 360)
# Bounds of the requirement: by how much a class may be served less often, and in time
# less often, than a less urgent one, and the part of the share of all that each gets.
MOST_BEHIND = 0.05
MOST_BEHIND_IN_TIME = 0.15
LEAST_PART = 0.25


def job(name="r1", priority=2, returned_s=0.0, **fields):
    now = 10.0
    return Job(
        name, "s", ("m", "a"), priority, 1000, now - returned_s, 2.0, now + 3.0, 0.5,
        returned_s=returned_s, **fields,
    )  # fmt: skip


def level(shares, room_per_s=1000.0, booked=(), age_s=0.0, floor=0.0):
    return AdmissionLevel(shares, room_per_s, list(booked), age_s, floor)


def node_with(levels, now=10.0):
    node = NodeAdmission()
    node.configure(GOALS)
    node.apply_levels(now, levels, None)
    return node


class TestServiceGoals(unittest.TestCase):
    def rules(self, priorities, account_priority=None, public=False):
        routes = tuple(
            RouteRule(
                f"r{n}",
                "h",
                f"/{n}",
                "stream",
                15.0,
                1.0 + n,
                priority,
                (("s", 1.0), ("off", 0.0)),
                3,
                public,
                True,
            )  # fmt: skip
            for n, priority in enumerate(priorities)
        )
        account = AccountRule("a", 0.0, 0.0, True, 0, account_priority)
        return SimpleNamespace(
            routes={"h": routes}, accounts={"a": account}, keys={"digest": "a"}
        )

    def test_service_with_one_priority_has_none(self):
        self.assertEqual(service_goals(self.rules([1, 1])), {})

    def test_shortest_objective_of_each_priority_counts(self):
        goals = service_goals(self.rules([0, 2, 2]))
        self.assertEqual(goals, {"s": {0: 1.0, 2: 2.0}})

    def test_priority_of_an_account_overrides_that_of_its_routes(self):
        self.assertEqual(service_goals(self.rules([0, 2], 1)), {})
        public = service_goals(self.rules([0, 2], 1, public=True))
        self.assertEqual(public, {"s": {0: 1.0, 2: 2.0}})


class TestShares(unittest.TestCase):
    def test_more_urgent_requests_get_what_there_is_first(self):
        shares = allocate_shares(100.0, {0: 40.0, 1: 40.0, 2: 40.0}, 0.25)
        self.assertEqual(shares, {0: 1.0, 1: 1.0, 2: 0.5})

    def test_no_class_starves(self):
        shares = allocate_shares(50.0, {0: 50.0, 2: 100.0}, 0.25)
        self.assertEqual(shares, {0: 1.0, 2: 0.25})

    def test_room_for_callers_who_return_is_not_taken_from_the_most_urgent(self):
        shares = allocate_shares(100.0, {0: 100.0, 2: 100.0}, 0.25, reserved=10.0)
        self.assertEqual(shares, {0: 1.0, 2: 0.25})
        shares = allocate_shares(100.0, {0: 40.0, 2: 100.0}, 0.25, reserved=10.0)
        self.assertEqual(shares, {0: 1.0, 2: 0.5})

    @given(
        st.floats(0.0, 1000.0),
        st.dictionaries(st.integers(0, 5), st.floats(0.0, 1000.0), min_size=1),
    )
    def test_no_class_gets_a_smaller_share_than_a_less_urgent_one(self, room, demand):
        shares = allocate_shares(room, demand, 0.25)
        rows = [shares[priority] for priority in sorted(shares) if demand[priority]]
        self.assertEqual(rows, sorted(rows, reverse=True))
        self.assertTrue(all(0.25 <= share <= 1.0 for share in rows))


class TestFleetAdmission(unittest.TestCase):
    def setUp(self):
        self.fleet = FleetAdmission()
        self.fleet.configure(GOALS)
        self.now = 100.0
        self.counts = {0: [0, 0, 0], 2: [0, 0, 0]}

    def play(self, seconds, rates, waiting=0, booked=(), node="n1", start="s"):
        """Return the levels after reports of constant rates a second."""
        found = None
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for priority, row in rates.items():
                for index, rate in enumerate(row):
                    self.counts[priority][index] += rate // 10
            asked = {"s": {p: tuple(row) for p, row in self.counts.items()}}
            row = NodeDemand(
                node, start, self.now, asked, {"s": list(booked)}, {"s": waiting}
            )
            found = self.fleet.update(self.now, [row])
        return found

    def test_no_level_is_derived_for_services_with_one_priority(self):
        self.fleet.configure({})
        self.assertIsNone(self.play(2.0, {2: (1000, 500, 500)}))

    def test_no_pressure_means_no_level(self):
        self.assertEqual(self.play(2.0, {0: (1000, 1000, 0)}), {})

    def test_few_refusals_are_no_pressure(self):
        self.assertEqual(self.play(2.0, {0: (1000, 980, 10)}), {})

    def test_refusals_for_lack_of_room_are_pressure(self):
        found = self.play(2.0, {0: (1000, 900, 100), 2: (1000, 500, 500)})["s"]
        self.assertEqual(found.shares[0], 1.0)
        self.assertLess(found.shares[2], 0.5)

    def test_floor_is_a_part_of_the_share_of_all(self):
        # A fixed share of a class that asks for 40 times the capacity would take the
        # room of all others.
        found = self.play(2.0, {0: (1000, 900, 100), 2: (39_000, 100, 38_900)})["s"]
        self.assertEqual(found.shares[0], 1.0)
        self.assertAlmostEqual(found.shares[2], 0.3 / 40, delta=0.001)

    def test_requests_that_wait_for_room_are_pressure(self):
        self.assertIn("s", self.play(2.0, {2: (1000, 1000, 0)}, waiting=30))

    def test_shares_rise_within_a_second_of_the_end_of_pressure(self):
        self.play(3.0, {0: (1000, 900, 100), 2: (1000, 500, 500)})
        self.assertEqual(self.play(1.0, {0: (1000, 1000, 0), 2: (300, 300, 0)}), {})

    def test_new_coordinator_tells_nothing_until_it_knows_a_second(self):
        # The counts of a process may span days.
        self.counts = {0: [10**9, 10**8, 10**9], 2: [10**9, 10**8, 10**9]}
        self.assertIsNone(self.play(0.9, {2: (1000, 500, 500)}))
        found = self.play(0.5, {2: (1000, 500, 500)})["s"]
        self.assertLess(self.fleet.inputs["s"].capacity_per_s, 1000)
        self.assertIn(2, found.shares)

    def test_counts_of_a_restarted_node_are_no_demand_of_before(self):
        self.play(2.0, {2: (1000, 1000, 0)})
        self.counts = {0: [0, 0, 0], 2: [10**6, 0, 10**6]}
        self.assertEqual(self.play(0.2, {2: (1000, 1000, 0)}, start="s2"), {})

    def test_node_that_was_silent_does_not_raise_the_capacity(self):
        # Its counts of that time came in one report, as if sent within a second.
        self.play(2.0, {2: (1000, 800, 200)})
        self.now += 1.4
        self.play(0.1, {2: (1000, 800, 200)}, node="n2")
        self.now += 1.4
        self.counts[2] = [count + 10_000 for count in self.counts[2]]
        self.play(1.5, {2: (1000, 800, 200)})
        self.assertLess(self.fleet.inputs["s"].capacity_per_s, 1000)

    def test_returns_of_all_nodes_are_added(self):
        booked = [10, 20]
        found = self.play(2.0, {2: (1000, 500, 500)}, booked=booked)["s"]
        self.assertEqual(found.booked, booked)


class TestNodeAdmission(unittest.TestCase):
    """One node decides with a level, without one, or with an old one."""

    def verdicts(self, node, now, priority=2, **fields):
        jobs = [node.enter(now, job(f"r{n}", priority, **fields)) for n in range(2000)]
        return sum(row.is_admitted for row in jobs) / len(jobs)

    def test_each_priority_is_admitted_by_its_share(self):
        node = node_with({"s": level({0: 1.0, 2: 0.4})})
        self.assertEqual(self.verdicts(node, 10.0, 0), 1.0)
        self.assertAlmostEqual(self.verdicts(node, 10.0), 0.4, delta=0.04)

    def test_old_level_does_not_apply(self):
        node = node_with({"s": level({2: 0.4}, age_s=0.5)})
        self.assertLess(self.verdicts(node, 11.0), 0.5)
        self.assertEqual(self.verdicts(node, 11.1), 1.0)

    def test_last_level_applies_while_views_tell_of_none(self):
        node = node_with({"s": level({2: 0.4})})
        node.apply_levels(10.5, None, None)
        self.assertLess(self.verdicts(node, 11.0), 0.5)
        self.assertEqual(self.verdicts(node, 11.6), 1.0)

    def test_caller_who_returns_is_admitted_but_not_one_who_retries_at_once(self):
        node = node_with({"s": level({2: 0.4})})
        self.assertEqual(self.verdicts(node, 10.0, returned_s=0.3), 1.0)
        self.assertAlmostEqual(
            self.verdicts(node, 10.0, returned_s=0.1), 0.4, delta=0.04
        )

    def test_caller_who_retries_at_once_asks_for_nothing_more(self):
        node = node_with({"s": level({2: 0.4})})
        for returned_s in (0.0, 0.05, 0.1):
            row = node.enter(10.0, job(returned_s=returned_s))
            node.record(10.0, row, Refuse("no room", 1.0))
        self.assertEqual(node.asked(), {"s": {2: (1000, 0, 1000)}})
        self.assertEqual(sum(node.booked(10.0)["s"]), 1000)

    def test_request_that_was_sent_or_has_begun_its_stream_is_admitted(self):
        node = node_with({"s": level({2: 0.0})})
        self.assertEqual(self.verdicts(node, 10.0, attempts=1), 1.0)
        self.assertEqual(self.verdicts(node, 10.0, software="v1"), 1.0)

    def test_refused_request_leaves_at_once(self):
        node = node_with({"s": level({2: 0.0})})
        row = node.enter(10.0, job())
        found = node.review(10.0, row, Wait("busy"))
        self.assertEqual(found.reason, "no room")
        self.assertGreaterEqual(found.retry_after_s, 0.3)

    def test_nothing_is_refused_while_a_place_is_free(self):
        node = node_with({"s": level({2: 0.0})})
        row = node.enter(10.0, job())
        self.assertIsInstance(node.review(10.0, row, Send("t1", 0.08)), Send)
        self.assertIsInstance(node.review(10.0, row, Send("t1", 0.5)), Refuse)

    def test_less_urgent_requests_leave_time_to_more_urgent_ones(self):
        # An objective of 2 s let them fill what those of 0.8 s needed.
        node = node_with({"s": level({0: 1.0, 1: 1.0, 2: 1.0})})
        decision = Send("t1", 0.6)
        found = {
            priority: node.review(10.0, node.enter(10.0, job("x", priority)), decision)
            for priority in (0, 1, 2)
        }
        self.assertEqual(found, {0: decision, 1: Wait("busy"), 2: Wait("busy")})

    def test_part_that_is_always_admitted_may_use_its_own_objective(self):
        node = node_with({"s": level({2: 0.25}, floor=0.25)})
        rows = [node.enter(10.0, job(f"r{n}")) for n in range(200)]
        decision = Send("t1", 1.5)
        for row in rows:
            is_sent = node.review(10.0, row, decision) == decision
            self.assertEqual(is_sent, row.is_admitted)

    def test_less_urgent_request_is_not_held_for_long(self):
        node = node_with({"s": level({0: 1.0, 1: 1.0, 2: 0.9})})
        row = node.enter(10.0, job("x"))
        self.assertIsInstance(node.review(10.4, row, Wait("busy")), Wait)
        self.assertIsInstance(node.review(10.6, row, Wait("busy")), Refuse)

    def test_wait_is_not_shortened_while_there_is_room_for_all(self):
        node = node_with({"s": level({0: 1.0, 1: 1.0, 2: 1.0})})
        row = node.enter(10.0, job("x"))
        self.assertIsInstance(node.review(11.4, row, Wait("busy")), Wait)

    def test_request_waits_for_its_adapter_as_without_pressure(self):
        node = node_with({"s": level({0: 1.0, 1: 1.0, 2: 1.0})})
        decision = Wait("adapter not resident")
        self.assertIs(node.review(10.6, node.enter(10.0, job("x")), decision), decision)

    def test_refusal_for_another_reason_stays(self):
        node = node_with({"s": level({2: 0.0})})
        decision = Refuse("no target", 0.4)
        self.assertIs(node.review(10.0, node.enter(10.0, job()), decision), decision)

    def test_returns_are_spread_over_steps_with_room(self):
        node = node_with({"s": level({2: 0.0}, 4000.0, [2000, 1500])})
        times = []
        for n in range(6):
            row = node.enter(10.0, job(f"r{n}"))
            found = node.review(10.0, row, Wait("busy"))
            node.record(10.0, row, found)
            times.append(int(found.retry_after_s / 0.5))
        self.assertEqual(times, [2, 2, 3, 3, 4, 4])

    def test_returns_that_a_view_counts_are_not_counted_twice(self):
        node = node_with({"s": level({2: 0.0}, 4000.0)})
        row = node.enter(10.0, job())
        node.record(10.0, row, Refuse("no room", 0.8))
        node.apply_levels(10.1, {"s": level({2: 0.0}, 4000.0, [0, 1000])}, 10.05)
        found = node.review(10.1, job("x", is_admitted=False), Wait("busy"))
        self.assertLess(found.retry_after_s, 1.0)

    def test_without_levels_a_request_yields_to_a_more_urgent_one(self):
        node = NodeAdmission()
        node.configure(GOALS)
        self.assertTrue(node.must_yield(10.0, job(), [job(priority=0)]))
        self.assertFalse(node.must_yield(10.0, job(), [job(priority=2)]))
        self.assertFalse(node.must_yield(10.0, job(priority=0), [job(priority=0)]))
        node.apply_levels(10.0, {}, None)
        self.assertFalse(node.must_yield(10.0, job(), [job(priority=0)]))


class TestNoPressure(unittest.TestCase):
    """Without pressure or several priorities decisions are those of d960ef2."""

    def assert_unchanged(self, node):
        rows = [job(f"r{n}", n % 3, n % 2 * 0.4) for n in range(40)]
        for row in rows:
            self.assertIs(node.enter(10.0, row), row)
            self.assertFalse(node.must_yield(10.0, row, rows))
            for decision in (Send("t", 1.6), Wait("busy"), Refuse("busy", 1.0)):
                self.assertIs(node.review(10.0, row, decision), decision)
                if not isinstance(decision, Wait):
                    node.record(10.0, row, decision)
        self.assertEqual(node.booked(10.0), {})
        self.assertEqual(
            sorted(rows, key=lambda row: node.sort_key(10.0, row)),
            sorted(rows, key=lambda row: job_sort_key(10.0, row)),
        )

    def test_service_with_one_priority(self):
        node = NodeAdmission()
        node.apply_levels(10.0, {"s": level({2: 0.0})}, None)
        self.assert_unchanged(node)
        self.assertEqual(node.asked(), {})

    def test_service_without_pressure(self):
        self.assert_unchanged(node_with({}))

    def test_load_within_the_capacity(self):
        # Shares of the load of a calm period, which is 0.75 of the capacity.
        for part in (1.0, 1.3):
            phases = [(10, [rate * part for rate in CALM])]
            with_levels = Replay(66, True).run(phases)
            without = Replay(66, False).run(phases)
            self.assertEqual(with_levels.refusals, [])
            self.assertEqual(with_levels.done_at, without.done_at)
            self.assertFalse(any(levels for _, levels in with_levels.levels))


class TestBurst(unittest.TestCase):
    """The least urgent class and one account of the middle one send far more."""

    def assert_in_order(self, replay):
        served, in_time = replay.shares(replay.served), replay.shares(replay.in_time)
        for shares, behind in ((served, MOST_BEHIND), (in_time, MOST_BEHIND_IN_TIME)):
            self.assertGreaterEqual(shares[0], max(shares[1:]) - behind)
            self.assertGreaterEqual(shares[1], shares[2] - behind)
        of_all = replay.served.total() / replay.asked.total()
        self.assertGreaterEqual(min(served), LEAST_PART * of_all)

    def test_longer_objectives_win_room_without_levels(self):
        for nodes in FLEETS:
            replay = Replay(nodes, False).run(PHASES)
            served = replay.shares(replay.served)
            self.assertLess(served[0], served[2] - MOST_BEHIND)

    def test_more_urgent_requests_are_served_first_with_levels(self):
        for nodes in FLEETS:
            with self.subTest(nodes=nodes):
                replay = Replay(nodes, True).run(PHASES)
                self.assert_in_order(replay)
                self.assertGreater(replay.shares(replay.in_time)[0], 0.95)

    def test_nothing_is_refused_before_the_burst(self):
        replay = Replay(66, True).run(PHASES)
        self.assertGreater(min(now for now, _, _ in replay.refusals), 5.0)

    def assert_in_order_with(self, **fault):
        for nodes in FLEETS:
            with self.subTest(nodes=nodes):
                self.assert_in_order(Replay(nodes, True, **fault).run(FAULT_PHASES))

    def test_callers_who_retry_at_once_three_times(self):
        self.assert_in_order_with(hasty=3)

    def test_lost_views(self):
        self.assert_in_order_with(lost_views=(10.0, 12.0))

    def test_changed_coordinator(self):
        self.assert_in_order_with(new_coordinator_at=10.0)
