"""Tests of silent targets in fleets of 9, 78 and 360 nodes."""

import unittest
from functools import cache
from math import inf

from hibiscusspar_entry.fleet.tests.crash_network import NetworkFaults
from hibiscusspar_entry.fleet.tests.silence_replay import (
    RETRY_RATIO,
    RETRY_SLACK,
    Case,
    Replay,
)

CALM = NetworkFaults()
SOME_LOST = NetworkFaults(lost=0.1, doubled=0.1, late=0.1)
MANY_LOST = NetworkFaults(lost=0.4, doubled=0.1, late=0.3)
# A pause of up to this length is usual for a sound target.
USUAL_PAUSE_S = 1.2
# Longest time without an event of a stream whose target is lost, in seconds, and the
# objective of a first byte elsewhere.
LOST_S, FIRST_BYTE_S = 2.0, 1.0
# Share of the streams that may pause for too long.
PAUSE_GOAL = 0.05
PAUSED = (
    Case(9, 1.0),
    Case(9, USUAL_PAUSE_S),
    Case(9, USUAL_PAUSE_S, faults=SOME_LOST),
    Case(9, USUAL_PAUSE_S, faults=MANY_LOST),
    Case(78, USUAL_PAUSE_S, faults=SOME_LOST),
    Case(360, USUAL_PAUSE_S, faults=MANY_LOST, seconds=3.5),
)
LONG_PAUSES = (Case(9, 1.5), Case(9, 2.0, faults=MANY_LOST), Case(78, 2.0))
SMALL_LOST = (Case(9, inf), Case(9, inf, faults=MANY_LOST))
LARGE_LOST = (Case(78, inf, faults=SOME_LOST), Case(360, inf))
LINKS = tuple(
    Case(nodes, link_pause_s=pause_s, seed=seed)
    for nodes, pause_s, seed in ((9, 1.2, 1), (9, 1.5, 2), (9, 2.0, 3), (78, 1.5, 1))
)


@cache
def play(case):
    """Return the replay of a case."""
    return Replay(case).run()


def late_streams(replay):
    """Return the streams of a lost target that didn't go on in time elsewhere."""
    limit = replay.silent_at + LOST_S + FIRST_BYTE_S
    return [
        stream
        for stream in replay.at_silence
        if not stream.ended and (stream.moved_at is None or stream.moved_at > limit)
    ]


def repeat_pause_share(replay):
    """Return the share of the other targets' streams that paused for moved ones."""
    moved = set(replay.at_silence)
    others = [
        any(run.has_repeat_pause for run in stream.runs)
        for stream in replay.streams
        if stream not in moved
        and any(
            run.engine.target_id != "t0" and (run.last_at or 0.0) > replay.silent_at
            for run in stream.runs
        )
    ]
    return sum(others) / len(others)


class ReplayTestCase(unittest.TestCase):
    def check_each(self, cases, check):
        """Check the replays of some cases, each in a subtest."""
        for case in cases:
            with self.subTest(case=case):
                check(play(case))


class TestPauseOfATarget(ReplayTestCase):
    """Guards against streams that leave a target which soon goes on."""

    def check(self, replay):
        self.assertGreater(len(replay.at_silence), 20)
        self.assertEqual([s for s in replay.at_silence if s.moved_at], [])

    def test_streams_leave_a_target_that_pauses(self):
        self.check_each(PAUSED, self.check)

    def test_streams_leave_a_target_that_reads_queued_prompts_after_a_pause(self):
        self.check(play(Case(9, USUAL_PAUSE_S, seed=3)))


class TestPausedLinks(ReplayTestCase):
    """Guards against streams that leave because the links of their node pause."""

    def check(self, replay):
        self.assertEqual((replay.seconds, dict(replay.outcomes)), ([], {}))

    def test_streams_leave_sound_targets(self):
        self.check_each(LINKS, self.check)


class TestLostTarget(ReplayTestCase):
    """Guards against streams that stay at a target that doesn't go on."""

    def check_most(self, replay):
        late = len(late_streams(replay))
        self.assertLessEqual(late, 0.25 * len(replay.at_silence))

    def test_streams_go_on_late_in_a_small_fleet(self):
        self.assertEqual([len(late_streams(play(c))) for c in SMALL_LOST], [0, 0])

    def test_streams_go_on_late_in_a_large_fleet(self):
        self.assertEqual([len(late_streams(play(c))) for c in LARGE_LOST], [0, 0])

    def test_most_streams_stay(self):
        self.check_each(SMALL_LOST + LARGE_LOST, self.check_most)


class TestOtherTargets(ReplayTestCase):
    """Guards against targets that fall behind from prompts that are read again."""

    def check_counts(self, replay):
        self.assertTrue(replay.seconds)
        for _, run in replay.seconds:
            self.assertEqual(run.counted_tokens, run.prompt_tokens)

    def test_streams_pause_in_a_small_fleet(self):
        shares = [repeat_pause_share(play(case)) for case in SMALL_LOST]
        self.assertLessEqual(max(shares), PAUSE_GOAL, shares)

    def test_streams_pause_in_a_large_fleet(self):
        shares = [repeat_pause_share(play(case)) for case in LARGE_LOST]
        self.assertLessEqual(max(shares), PAUSE_GOAL, shares)

    def test_scheduler_counts_too_few_tokens(self):
        """The next target reads the prompt and what the caller has of the answer."""
        self.check_each(SMALL_LOST + LARGE_LOST, self.check_counts)


class TestAllSilences(ReplayTestCase):
    CASES = PAUSED + LONG_PAUSES + SMALL_LOST + LARGE_LOST + LINKS

    def check_ends(self, replay):
        ends = {s.ended for s in replay.streams if s.run is not None}
        self.assertLessEqual(ends, {"", "whole"})

    def check_budget(self, replay):
        requests = sum(s.arrived >= replay.begins_at for s in replay.streams)
        allowed = RETRY_RATIO * requests + RETRY_SLACK
        self.assertLessEqual(len(replay.seconds), allowed)

    def check_targets(self, replay):
        for stream in replay.streams:
            reached = {run.engine.target_id for run in stream.runs}
            limit = stream.admitted.route.max_attempts
            self.assertLessEqual(max(len(reached), stream.state.attempts), limit)

    def test_node_ends_a_stream(self):
        self.check_each(self.CASES, self.check_ends)

    def test_retries_exceed_the_shared_budget(self):
        self.check_each(self.CASES, self.check_budget)

    def test_request_reaches_too_many_targets(self):
        self.check_each(self.CASES, self.check_targets)


if __name__ == "__main__":
    unittest.main()
