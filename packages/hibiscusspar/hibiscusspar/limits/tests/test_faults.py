"""Tests of single faults, each of which admits too much if a rule is missing."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusspar.limits.bucket import Bucket
from hibiscusspar.limits.escrow import Escrow, next_part
from hibiscusspar.limits.home import Home, Loan
from hibiscusspar.limits.messages import Ask, Grant, Handover
from hibiscusspar.limits.node_limit import NodeLimit
from hibiscusspar.limits.tests.cluster import Cluster, account
from hibiscusspar.limits.tests.oracle import TOLERANCE, Oracle
from hibiscusspar.outbox import Outbox, PlatformResult

ASK = Ask("yard", "a", "n", "vm", "a", 1, "", 0, 0, 0, 0, 0, 0, 50.0, 10.0, 0, 0)
GRANT = Grant("yard", "n", 1, "e", 10.0, 40.0, 30.0, 12.0, True)
EXAMPLES = settings(derandomize=True, database=None, deadline=None, max_examples=200)


def make_home(part=(100.0, 400.0)):
    home = Home(0.0, "yard", "a", "e")
    home.end_recovery(0.0)
    home.set_part(0.0, part)
    home.advance(100.0)
    return home


def answer(home, now, ask, nodes=2):
    return home.answer(now, ask, nodes, 1.0)


class TestBucket(unittest.TestCase):
    @EXAMPLES
    @given(
        st.lists(
            st.tuples(
                st.floats(0.0, 6.0),
                st.floats(0.1, 90.0),
                st.floats(0.0, 1.0),
                st.booleans(),
            ),
            max_size=40,
        )
    )
    def test_refunds_never_admit_more_than_the_ideal(self, steps):
        bucket = Bucket(0.0)
        bucket.renew(0.0, 10.0, 100.0, 100.0, 1e9)
        oracle = Oracle((10.0, 100.0))
        now, opened = 0.0, []
        for key, (gap, tokens, used, settles) in enumerate(steps):
            now += gap
            bucket.advance(now)
            if settles and opened:
                first, reserved, fraction = opened.pop(0)
                bucket.settle(first, reserved, reserved * fraction)
                oracle.settle(first, reserved * fraction)
            elif bucket.reserve(key, tokens):
                oracle.admit(key, now, tokens)
                opened.append((key, tokens, used))
        self.assertGreaterEqual(oracle.lowest(), -TOLERANCE)

    def test_debit_lowers_the_balance(self):
        bucket = Bucket(0.0)
        bucket.renew(0.0, 0.0, 50.0, 50.0, 10.0)
        self.assertEqual(bucket.debit(20.0), 20.0)
        self.assertEqual(bucket.level, 30.0)

    def test_use_beyond_the_reservation_blocks(self):
        bucket = Bucket(0.0)
        bucket.renew(0.0, 10.0, 50.0, 50.0, 100.0)
        bucket.reserve(1, 50.0)
        bucket.settle(1, 50.0, 90.0)
        bucket.advance(3.0)
        self.assertFalse(bucket.reserve(2, 1.0))
        bucket.advance(5.0)
        self.assertTrue(bucket.reserve(3, 1.0))


class TestNodeLimit(unittest.TestCase):
    def limit(self):
        limit = NodeLimit(0.0, "yard", "n")
        limit.make_ask(0.0, "a", "vm", 1.0, 1.0)
        return limit

    def test_lease_duration_counts_from_the_request(self):
        limit = self.limit()
        self.assertTrue(limit.take_grant(10.0, GRANT))
        self.assertEqual(limit.bucket.lapse_at, 12.0)
        self.assertTrue(limit.advance(12.0))
        self.assertEqual(limit.bucket.level, 0.0)

    def test_answer_after_the_end_is_not_taken(self):
        self.assertFalse(self.limit().take_grant(12.0, GRANT))

    def test_grant_is_credited_once(self):
        limit = self.limit()
        self.assertTrue(limit.take_grant(1.0, GRANT))
        self.assertFalse(limit.take_grant(1.0, GRANT))
        self.assertEqual(limit.bucket.level, 30.0)

    def test_answer_to_an_earlier_request_is_not_taken(self):
        limit = self.limit()
        limit.make_ask(0.5, "a", "vm", 1.0, 1.0)
        self.assertFalse(limit.take_grant(1.0, GRANT))
        self.assertFalse(limit.take_grant(1.0, GRANT._replace(seq=2, asker="m")))
        self.assertTrue(limit.take_grant(1.0, GRANT._replace(seq=2)))


class TestHome(unittest.TestCase):
    def test_duplicate_request_is_answered_and_credited_once(self):
        home = make_home()
        grant = answer(home, 100.0, ASK)
        held = ASK._replace(
            seq=2, held_epoch="e", held_seq=1, kept_cap=grant.cap, returned=20.0
        )
        answer(home, 100.0, held)
        level = home.level
        self.assertIsNone(answer(home, 100.0, held))
        self.assertIsNone(answer(home, 100.0, ASK))
        self.assertEqual(home.level, level)

    def test_new_home_starts_empty_after_all_leases_ended(self):
        home = Home(0.0, "yard", "a", "e")
        home.set_part(0.0, (100.0, 400.0))
        home.advance(24.0)
        self.assertTrue(home.recovering(24.0))
        self.assertIsNone(answer(home, 24.0, ASK))
        home.advance(home.recover_until)
        self.assertEqual(home.level, 0.0)

    def test_new_home_paused_over_its_recovery_accrues_from_its_end(self):
        home = Home(0.0, "yard", "a", "e")
        home.set_part(0.0, (100.0, 400.0))
        home.advance(home.recover_until + 1.0)
        self.assertAlmostEqual(home.level, 100.0, delta=0.2)

    def test_tokens_of_a_forgotten_lessee_are_not_returned(self):
        home = make_home()
        answer(home, 100.0, ASK._replace(want=400.0))
        home.advance(200.0)
        home.forget_idle(200.0)
        answer(home, 200.0, ASK._replace(want=400.0, asker="m"))
        level = home.level
        answer(home, 200.0, ASK._replace(held_epoch="e", held_seq=1, returned=200.0))
        self.assertLessEqual(home.level, level)

    def test_larger_lease_counts_until_it_is_surely_replaced(self):
        home = make_home()
        first = answer(home, 100.0, ASK._replace(demand=80.0))
        ask = ASK._replace(seq=2, held_epoch="e", held_seq=1, kept_cap=first.cap)
        second = answer(home, 100.5, ask._replace(demand=0.0, typical=200.0))
        self.assertLess(second.rate, first.rate)
        self.assertEqual(home.leases["n"], (first.rate, first.cap))
        home.advance(112.1)
        self.assertLess(home.leases["n"][0], first.rate)

    def test_lease_is_counted_longer_than_its_holder_does(self):
        home = make_home()
        first = answer(home, 100.0, ASK)
        home.advance(100.0 + first.duration_s + 0.01)
        self.assertEqual(home.leases["n"], (first.rate, first.cap))

    def test_lease_does_not_outlast_a_loan(self):
        home = make_home(part=(10.0, 40.0))
        home.add_loan(100.0, "b", Loan(90.0, 360.0, 105.0), 100.0)
        self.assertLessEqual(answer(home, 100.0, ASK).rate, 10.0)

    def test_lease_on_a_loan_is_not_adoptable(self):
        home = make_home(part=(10.0, 40.0))
        home.add_loan(100.0, "b", Loan(90.0, 360.0, 124.0), 100.0)
        grant = answer(home, 100.0, ASK._replace(demand=80.0))
        self.assertGreater(grant.rate, 10.0)
        self.assertFalse(grant.adoptable)

    def test_smaller_loan_waits_until_leases_fit(self):
        home = make_home(part=(10.0, 40.0))
        home.add_loan(100.0, "b", Loan(90.0, 360.0, 124.0), 100.0)
        answer(home, 100.0, ASK._replace(demand=80.0))
        self.assertFalse(home.add_loan(101.0, "b", Loan(0.0, 0.0, 125.0), 0.0))
        self.assertEqual(home.loans["b"].rate, 90.0)
        home.advance(112.5)
        self.assertTrue(home.add_loan(112.5, "b", Loan(0.0, 0.0, 136.0), 0.0))


class TestEscrow(unittest.TestCase):
    def escrow(self, parts):
        escrow = Escrow(0.0, "yard", "a", "w", Random(1))
        escrow.configure(0.0, 1, (100.0, 400.0), (50.0, 200.0))
        value = {"revision": 1, "parts": parts, "writers": dict.fromkeys(parts, "v")}
        self.step(escrow, 0.0, "ok", value, 7)
        return escrow

    def step(self, escrow, now, outcome, value=None, version=0, fits=True):
        out = Outbox()
        escrow.tick(now, lambda part: fits, out)
        if not out.calls:
            return None
        call = out.calls[0]
        escrow.process_result(
            now, PlatformResult(call.call_id, outcome, value, version)
        )
        return call

    def test_part_is_raised_into_what_is_free_only(self):
        parts = {"a": (20.0, 80.0), "b": (70.0, 280.0)}
        part = next_part(parts, "a", (100.0, 400.0), (50.0, 200.0))
        self.assertEqual(part, (30.0, 120.0))

    def test_found_part_is_used_after_writing_it_back(self):
        escrow = self.escrow({"a": (50.0, 200.0)})
        self.assertEqual(escrow.usable, (0.0, 0.0))
        self.assertFalse(escrow.first_home)
        call = self.step(escrow, 0.0, "ok", version=8)
        self.assertEqual((call.operation, call.version), ("update", 7))
        self.assertEqual(escrow.usable, (50.0, 200.0))

    def test_higher_part_is_used_after_it_was_recorded(self):
        escrow = self.escrow({"a": (20.0, 80.0)})
        self.step(escrow, 0.0, "ok", version=8)
        self.step(escrow, 0.0, "unknown")
        self.assertEqual(escrow.usable, (20.0, 80.0))

    def test_lower_part_is_recorded_after_everything_fits(self):
        escrow = self.escrow({"a": (80.0, 320.0)})
        self.step(escrow, 0.0, "ok", version=8)
        self.assertIsNone(self.step(escrow, 0.0, "ok", version=9, fits=False))
        self.assertEqual(escrow.usable, (50.0, 200.0))
        call = self.step(escrow, 2.0, "ok", version=9)
        self.assertEqual(call.value["parts"]["a"], (50.0, 200.0))

    def test_lowered_part_with_a_lost_answer_stays_low(self):
        escrow = self.escrow({"a": (80.0, 320.0)})
        self.step(escrow, 0.0, "ok", version=8)
        self.step(escrow, 0.0, "unknown")
        escrow.configure(0.0, 2, (100.0, 400.0), (80.0, 320.0))
        self.assertEqual(escrow.usable, (50.0, 200.0))


class TestFaults(unittest.TestCase):
    def cluster(self):
        cluster = Cluster({"a": 3}, [account(zones=("a",))])
        cluster.run(20.0)
        return cluster

    def others(self, cluster):
        home_vm = cluster.roles["limit-home/a/yard"][0]
        return home_vm, [name for name in sorted(cluster.vms) if name != home_vm]

    def check(self, cluster):
        self.assertLessEqual(cluster.over_admitted(), TOLERANCE)

    def test_home_restarts_without_its_state(self):
        cluster = self.cluster()
        cluster.drain(10.0)
        home_vm, _ = self.others(cluster)
        cluster.start_process(home_vm)
        cluster.drain(40.0)
        self.check(cluster)

    def test_home_hands_over_without_a_gap(self):
        cluster = self.cluster()
        cluster.drain(10.0)
        home_vm, others = self.others(cluster)
        cluster.hand_over("limit-home/a/yard", others[0])
        before = cluster.oracles["yard"].total
        cluster.drain(10.0)
        self.assertGreater(cluster.oracles["yard"].total - before, 0.85 * 1000.0)
        self.check(cluster)

    def test_handover_is_used_by_one_run_of_the_successor(self):
        cluster = self.cluster()
        successor = self.others(cluster)[1][0]
        kept = []
        cluster.on_send = lambda *send: kept.append(send)
        cluster.hand_over("limit-home/a/yard", successor)
        cluster.run(2.0)
        sent = [send for send in kept if isinstance(send[2], Handover)]
        self.assertEqual(len(sent), 1)
        self.assertGreater(sent[0][2].level, 300.0)
        cluster.drain(20.0)
        cluster.start_process(successor)
        for _ in range(3):
            cluster.transmit(*sent[0])
            cluster.drain(0.5, more=100.0)
        self.check(cluster)

    def test_home_restarts_while_a_node_is_isolated(self):
        cluster = self.cluster()
        cluster.drain(10.0)
        home_vm, others = self.others(cluster)
        cluster.isolated = {others[0]}
        cluster.start_process(home_vm)
        cluster.drain(15.0)
        self.check(cluster)

    def test_isolated_node_spends_until_its_lease_ends(self):
        cluster = self.cluster()
        cluster.drain(10.0)
        cluster.isolated = {self.others(cluster)[1][0]}
        cluster.drain(15.0)
        self.check(cluster)

    def test_isolated_node_comes_back_after_its_lease(self):
        cluster = self.cluster()
        for _ in range(10):
            for name in sorted(cluster.vms):
                cluster.submit(name, "yard", 10.0)
            cluster.run(1.0)
        isolated = self.others(cluster)[1][0]
        cluster.isolated = {isolated}
        cluster.pause(isolated)
        cluster.run(30.0)
        cluster.drain(0.5)
        cluster.resume(isolated)
        cluster.drain(0.5)
        self.check(cluster)

    def test_paused_home_comes_back(self):
        cluster = self.cluster()
        home_vm, others = self.others(cluster)
        cluster.pause(home_vm)
        cluster.assign_roles()
        cluster.drain(60.0, others)
        cluster.resume(home_vm)
        cluster.drain(0.9, more=150.0)
        self.check(cluster)
