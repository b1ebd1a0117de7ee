"""Tests of the quarantine of requests that crash targets."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusspar.requests.quarantine import (
    PART_POLICY,
    Quarantine,
    QuarantinePolicy,
    Verdict,
    request_digest,
)

FIXED = settings(derandomize=True, database=None, deadline=None, max_examples=200)
POLICY = QuarantinePolicy(
    refusal_s=(30.0, 100.0),
    retention_s=50.0,
    probation_s=40.0,
    few_suspects=2,
    answer_s=0.0,
    max_suspects=10,
)


class QuarantineTestCase(unittest.TestCase):
    def setUp(self):
        self.table = Quarantine(POLICY)

    def crash(self, name, *suspects, now=0.0):
        return self.table.record_crash(now, name, suspects)

    def refused(self, *suspects, now=0.0):
        return [self.table.refused_for(now, s) > 0 for s in suspects]


class TestDigest(unittest.TestCase):
    def test_all_fields_count(self):
        digests = {
            request_digest(account, method, uri, body)
            for account in ("a", "b")
            for method in ("GET", "POST")
            for uri in ("/x", "/y")
            for body in (b"", b"1")
        }
        self.assertEqual(len(digests), 16)

    def test_begins_with_the_account(self):
        senders = {
            request_digest("a", "GET", uri, b"").partition("-")[0] for uri in "xyz"
        }
        self.assertEqual(len(senders), 1)


class TestBlame(QuarantineTestCase):
    def test_single_crash_accuses_nobody(self):
        self.assertEqual(self.crash("t1", *"abcdefgh"), [])
        self.assertEqual(self.refused(*"abcdefgh"), [False] * 8)

    def test_request_that_ran_at_two_crashes_is_to_blame(self):
        self.crash("t1", "a", "b")
        verdicts = self.crash("t2", "a", "c")
        self.assertEqual([(v.suspect, v.crashes) for v in verdicts], [("a", 2)])
        self.assertEqual(self.refused("a", "b", "c"), [True, False, False])

    def test_two_crashes_of_many_requests_accuse_nobody(self):
        others = [f"o{number}" for number in range(POLICY.few_suspects + 1)]
        for name in ("t1", "t2"):
            self.crash(name, "a", *(f"{name}-{other}" for other in others))
        self.assertEqual(self.refused("a"), [False])
        self.crash("t3", "a", "b")
        self.assertEqual(self.refused("a", "b"), [True, False])

    def test_two_that_always_ran_together_need_a_third_crash(self):
        self.crash("t1", "a", "b")
        self.crash("t2", "a", "b")
        self.assertEqual(self.refused("a", "b"), [False, False])
        self.crash("t3", "a", "c")
        self.assertEqual(self.refused("a", "b", "c"), [True, False, False])

    def test_one_that_ran_at_more_crashes_explains_those_of_another(self):
        for name in ("t1", "t2", "t3"):
            self.crash(name, "a", "b")
        self.assertEqual(self.refused("a", "b"), [True, True])
        self.crash("t4", "a", "c")
        self.assertEqual(self.refused("a", "b", "c"), [True, False, False])

    def test_answer_leaves_the_other_suspect_to_blame(self):
        self.crash("t1", "a", "b")
        self.crash("t2", "a", "b")
        self.assertTrue(self.table.record_answer(1.0, "b"))
        self.assertEqual(self.refused("a", "b", now=1.0), [True, False])

    def test_crash_before_an_answer_doesnt_count(self):
        self.table.record_answer(10.0, "a")
        self.table.record_crash(12.0, "t1", ["a"], age_s=5.0)
        self.table.record_crash(12.0, "t2", ["a"], age_s=0.0)
        self.assertEqual(self.table.count("a"), 1)

    @FIXED
    @given(
        st.lists(st.tuples(st.integers(0, 4), st.sampled_from("abc")), max_size=12),
        st.randoms(use_true_random=False),
    )
    def test_order_and_repetition_of_reports_dont_matter(self, reports, rng):
        shuffled = [*reports, *reports]
        rng.shuffle(shuffled)
        tables = Quarantine(POLICY), Quarantine(POLICY)
        for table, rows in zip(tables, (reports, shuffled), strict=True):
            for number, suspect in rows:
                table.record_crash(10.0, f"t{number}", [suspect], 10.0 - number)
        first, second = (table.quarantined(10.0) for table in tables)
        self.assertEqual(first, second)


class TestDuration(QuarantineTestCase):
    def setUp(self):
        super().setUp()
        self.crash("t1", "a", now=0.0)
        self.crash("t2", "a", now=10.0)

    def test_counts_from_the_last_crash(self):
        self.assertEqual(self.table.refused_for(15.0, "a"), 25.0)
        self.assertEqual(self.table.refused_for(40.0, "a"), 0.0)

    def test_is_longer_after_each_further_crash(self):
        self.crash("t3", "a", now=41.0)
        self.assertEqual(self.table.refused_for(41.0, "a"), 100.0)
        self.crash("t4", "a", now=142.0)
        self.assertEqual(self.table.refused_for(142.0, "a"), 100.0)

    def test_is_forgotten_after_the_probation(self):
        self.assertEqual(self.table.expire(79.0), [])
        self.assertEqual(self.table.expire(80.0), ["a"])
        self.assertEqual(len(self.table), 0)

    def test_single_crash_is_forgotten(self):
        self.crash("t9", "b", now=10.0)
        self.assertEqual(self.table.expire(59.0), [])
        self.assertEqual(self.table.count("b"), 1)
        self.table.expire(60.0)
        self.assertEqual(self.table.count("b"), 0)

    def test_sound_request_may_try_again_and_is_cleared(self):
        self.assertEqual(self.refused("a", now=41.0), [False])
        self.table.record_answer(41.0, "a")
        self.crash("t3", "a", now=42.0)
        self.assertEqual(self.refused("a", now=42.0), [False])


class TestAdoption(QuarantineTestCase):
    def test_verdict_of_another_vm_holds(self):
        self.assertTrue(self.table.adopt(10.0, Verdict("a", 2, 1.0, 5.0)))
        self.assertEqual(self.table.refused_for(10.0, "a"), 25.0)
        self.assertEqual(self.table.quarantined(10.0), [Verdict("a", 2, 1.0, 5.0)])

    def test_later_crash_adds_to_it(self):
        self.table.adopt(10.0, Verdict("a", 2, 1.0, 5.0))
        self.crash("t9", "a", now=40.0)
        self.assertEqual(self.table.count("a"), 3)
        self.assertEqual(self.table.refused_for(40.0, "a"), 100.0)

    def test_crash_that_it_counts_already_doesnt_add_to_it(self):
        self.table.adopt(10.0, Verdict("a", 2, 1.0, 5.0))
        self.table.record_crash(10.0, "t2", ["a"], age_s=4.8)
        self.assertEqual(self.table.count("a"), 2)

    def test_answer_since_the_first_crash_disproves_it(self):
        self.table.record_answer(3.0, "a")
        self.assertFalse(self.table.adopt(10.0, Verdict("a", 2, 1.0, 5.0)))
        self.assertEqual(self.refused("a", now=10.0), [False])

    def test_suspect_that_isnt_refused_is_only_known(self):
        self.table.adopt(10.0, Verdict("a", 2, 1.0, 5.0, is_refused=False))
        self.assertEqual(self.refused("a", now=10.0), [False])
        self.assertTrue(self.table.record_answer(11.0, "a"))


class TestParts(unittest.TestCase):
    def setUp(self):
        self.table = Quarantine(PART_POLICY)

    def crash(self, name, *parts, now=0.0):
        self.table.record_crash(now, name, parts)

    def refused(self, *parts, now=0.0):
        return self.table.refused_together(now, parts) > 0

    def test_part_that_all_crashes_have_in_common_is_refused(self):
        self.crash("t1", "first", "bad", "x")
        self.crash("t2", "first", "bad", "y")
        self.table.record_answer(1.0, "first")
        self.assertFalse(self.refused("first", "bad", now=1.0))
        self.crash("t3", "first", "bad", "z", now=2.0)
        self.assertTrue(self.refused("first", "bad", "own", now=2.0))
        self.assertFalse(self.refused("first", "x", now=2.0))

    def test_answer_shortly_before_the_crashes_speaks_for_a_part(self):
        self.table.record_answer(0.0, "good")
        for number in range(5):
            self.crash(f"t{number}", "good", now=PART_POLICY.answer_s - 1.0)
        self.assertEqual(self.table.count("good"), 0)

    def test_parts_that_always_came_together_are_refused_only_together(self):
        for number in range(4):
            self.crash(f"t{number}", "one", "two", now=float(number))
        self.assertTrue(self.refused("one", "two", "own", now=4.0))
        self.assertFalse(self.refused("one", "own", now=4.0))
        self.assertFalse(self.refused("two", "own", now=4.0))

    def test_request_with_one_of_them_tells_them_apart(self):
        for number in range(4):
            self.crash(f"t{number}", "one", "two", now=float(number))
        self.crash("t4", "one", now=5.0)
        self.assertTrue(self.refused("one", "own", now=5.0))
        self.assertFalse(self.refused("two", "own", now=5.0))

    def test_answer_of_one_of_them_leaves_the_other(self):
        for number in range(4):
            self.crash(f"t{number}", "one", "two", now=float(number))
        self.table.record_answer(5.0, "two")
        self.assertTrue(self.refused("one", "own", now=5.0))
        self.assertFalse(self.refused("two", "own", now=5.0))

    def test_suspects_are_told_until_they_are_refused(self):
        self.crash("t1", "bad", "good")
        told = {v.suspect: v.is_refused for v in self.table.suspected()}
        self.assertEqual(told, {"bad": False, "good": False})
        self.crash("t2", "bad")
        self.crash("t3", "bad")
        self.assertEqual([v.suspect for v in self.table.suspected()], ["good"])


class TestBounds(QuarantineTestCase):
    def test_one_sender_pushes_out_only_its_own_suspects(self):
        self.crash("t1", "acme-fatal")
        self.crash("t2", "acme-fatal")
        self.crash("t3", "other-1")
        for number in range(50):
            self.crash(f"u{number}", f"flood-{number}")
        self.assertEqual(len(self.table), POLICY.max_suspects)
        self.assertEqual(self.refused("acme-fatal"), [True])
        self.assertEqual(self.table.count("other-1"), 1)

    def test_quarantined_suspects_of_a_sender_go_last(self):
        self.crash("t1", "flood-fatal")
        self.crash("t2", "flood-fatal")
        for number in range(50):
            self.crash(f"u{number}", f"flood-{number}")
        self.assertEqual(self.refused("flood-fatal"), [True])
