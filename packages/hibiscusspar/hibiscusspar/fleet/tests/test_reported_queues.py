"""Tests of the prompt queues that a view shows at targets."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from hibiscusspar.fleet.load_counts import current_load
from hibiscusspar.fleet.messages import TargetLoad
from hibiscusspar.fleet.prompt_queue import PromptQueues
from hibiscusspar.fleet.reported_queues import reported_backlogs
from hibiscusspar.fleet.routing import ChoicePolicy, reported_backlog_s

POLICY = ChoicePolicy()
NAMES = st.sampled_from("abcdef")
LOADS = st.dictionaries(
    NAMES, st.builds(TargetLoad, st.integers(-1, 9), st.integers(-5, 30_000))
)
FACTORS = st.dictionaries(NAMES, st.sampled_from((0.25, 1.0, 2.5, 8.0)))


def scanned(others, own, factors):
    """Return the backlogs of all targets, as they were derived before."""
    backlogs = []
    for target_id, load in others.items():
        _, queued = current_load(own.get(target_id), load, None)
        if target_id in factors and queued > 0:
            queued_s = reported_backlog_s(POLICY, queued, factors[target_id])
            backlogs.append((target_id, queued_s))
    return backlogs


class TestReportedBacklogs(unittest.TestCase):
    @given(LOADS, LOADS, FACTORS, st.dictionaries(NAMES, st.floats(0.0, 20.0)))
    def test_skipped_targets_change_no_queue(self, others, own, factors, sent_at):
        # A skipped target whose queue would have been raised gets too many requests.
        found, expected = (PromptQueues(POLICY.prompt_tokens_s) for _ in range(2))
        for target_id, at in sent_at.items():
            found.record_send(at, target_id, 900)
            expected.record_send(at, target_id, 900)
        others = {t: load for t, load in others.items() if load.running >= 0}
        backlogs = reported_backlogs(POLICY, others, own, found.targets, factors.get)
        found.record_reports(10.0, backlogs)
        expected.record_reports(10.0, scanned(others, own, factors))
        for target_id in "abcdef":
            self.assertEqual(found.done_at(target_id), expected.done_at(target_id))


if __name__ == "__main__":
    unittest.main()
