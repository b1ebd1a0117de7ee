"""Tests of probes of quarantined suspects."""

import unittest

from hibiscusspar.requests.probes import Probes, find_other_causes
from hibiscusspar.requests.quarantine import Verdict

# Parts of prompts that all, fatal and sound requests have.
COMMON, BAD, GOOD = "part-common", "part-bad", "part-good"
VERDICT = Verdict(COMMON, 4, 0.0, 5.0)


class TestOtherCauses(unittest.TestCase):
    """Guards against a sound part that only a late probe can clear."""

    def others(self, requested, *crashes):
        crashes = [{COMMON, *others} for others in crashes]
        counts = {s: sum(s in ran for ran in crashes) for s in set().union(*crashes)}
        return find_other_causes({COMMON, *requested}, crashes, counts)

    def test_suspects_that_ran_repeatedly_explain_the_crashes(self):
        crashes = [{"a-1"}, {"a-1"}, {BAD, "a-2"}, {BAD, "a-3"}]
        self.assertEqual(self.others({GOOD, "a-9"}, *crashes), {"a-1", BAD})

    def test_one_crash_needs_no_explanation(self):
        crashes = [{"a-1"}, {"a-1"}, {"a-2"}]
        self.assertEqual(self.others({"a-9"}, *crashes), {"a-1"})
        self.assertEqual(self.others({"a-9"}, *crashes, {"a-3"}), set())

    def test_request_with_another_cause_doesnt_tell(self):
        crashes = [{"a-1"}, {"a-1"}, {BAD, "a-2"}, {BAD, "a-2"}]
        self.assertEqual(self.others({BAD, "a-9"}, *crashes), set())
        self.assertEqual(self.others({"a-1"}, *crashes), set())

    def test_part_that_ran_at_one_crash_is_no_cause(self):
        crashes = [{"a-1", GOOD}, {"a-1"}, {"a-2"}]
        self.assertEqual(self.others({GOOD, "a-9"}, *crashes), {"a-1"})

    def test_parts_that_ran_at_all_crashes_are_tried_together(self):
        crashes = [{"a-1", GOOD}, {"a-1", GOOD}, {"a-2", GOOD}]
        self.assertEqual(self.others({GOOD, "a-9"}, *crashes), {"a-1"})

    def test_suspect_that_ran_alone(self):
        self.assertEqual(self.others({"a-9"}, set(), set(), set()), set())

    def test_verdict_without_known_crashes(self):
        self.assertEqual(find_other_causes({COMMON}, [], {}), set())


class TestProbes(unittest.TestCase):
    def setUp(self):
        self.probes = Probes()

    def start_early(self, now):
        self.assertTrue(self.probes.is_early_due(now, VERDICT))
        self.probes.start(now, [VERDICT], [VERDICT])

    def test_early_probe_waits_after_the_last_crash(self):
        self.assertFalse(self.probes.is_early_due(5.9, VERDICT))
        self.assertTrue(self.probes.is_early_due(6.0, VERDICT))

    def test_early_probes_are_limited(self):
        self.start_early(6.0)
        self.assertFalse(self.probes.is_early_due(7.9, VERDICT))
        self.start_early(8.0)
        self.assertFalse(self.probes.is_early_due(50.0, VERDICT))

    def test_regular_probe_waits_for_the_one_before(self):
        self.assertTrue(self.probes.is_due(6.0, VERDICT, 0.0))
        self.assertFalse(self.probes.is_due(6.0, VERDICT, 0.1))
        self.probes.start(6.0, [VERDICT], [])
        self.assertFalse(self.probes.is_due(15.9, VERDICT, 0.0))
        self.assertTrue(self.probes.is_due(16.0, VERDICT, 0.0))

    def test_early_probes_count_until_the_suspect_is_sound(self):
        self.start_early(6.0)
        self.start_early(8.0)
        self.probes.expire(50.0, lambda suspect: True)
        self.assertFalse(self.probes.is_early_due(50.0, VERDICT))
        self.probes.expire(50.0, lambda suspect: False)
        self.assertTrue(self.probes.is_early_due(50.0, VERDICT))


if __name__ == "__main__":
    unittest.main()
