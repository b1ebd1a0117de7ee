"""Tests of the choice of streams to move, and a replay of a leaving target."""

import random
import unittest
from collections import Counter, deque

from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.leaving_targets import LeavingTargets
from hibiscusspar.fleet.stream_moves import (
    MoveAnswer,
    MoveOutcome,
    MovePhase,
    StreamMove,
    StreamRow,
    select_streams,
)
from hibiscusspar.fleet.tests.test_leaving_targets import target

COPIED = MoveAnswer(MoveOutcome.COPIED, "h1", 5)
KEPT = MoveAnswer(MoveOutcome.KEPT, "h2", 5)
RUNS_ON = MoveAnswer(MoveOutcome.RUNS_ON)
UNKNOWN = MoveAnswer(MoveOutcome.UNKNOWN)


def row(key, priority=1, work=100, events=10, expected=100, gap_s=0.05, name="t1"):
    return StreamRow(key, name, priority, work, events, expected, gap_s)


class TestSelectStreams(unittest.TestCase):
    def setUp(self):
        self.leaving = LeavingTargets(1.0)
        self.leaving.record_directory(10.0, {"t1": target(draining=True)}, set())

    def selected(self, *rows, now=10.0):
        return [found.key for found in select_streams(now, rows, self.leaving)]

    def test_most_valuable_streams_come_first(self):
        rows = [row("a", 2, 900), row("b", 1, 100), row("c", 1, 500)]
        self.assertEqual(self.selected(*rows), ["c", "b", "a"])

    def test_stream_that_ends_in_time_stays(self):
        self.assertEqual(self.selected(row("a", events=90)), [])
        self.assertEqual(self.selected(row("a", events=90), now=10.8), ["a"])

    def test_stream_of_unknown_length_or_pace_moves(self):
        for unknown in (row("a", expected=None), row("a", gap_s=None)):
            self.assertEqual(self.selected(unknown), ["a"])
        self.assertEqual(self.selected(row("a", events=120)), ["a"])

    def test_stream_that_went_back_moves_again_only_if_it_could_go_back_again(self):
        """Else it may be stopped for good while its target still runs."""
        returned = row("a")._replace(has_returned=True)
        self.assertEqual(self.selected(returned, now=10.4), ["a"])
        self.assertEqual(self.selected(returned, now=10.5), [])

    def test_stream_of_a_target_that_stays_is_not_moved(self):
        self.assertEqual(self.selected(row("a", name="t2")), [])


class TestStreamMove(unittest.TestCase):
    def move(self, leaves_since=10.0):
        move = StreamMove(leaves_since)
        move.chosen("p1")
        return move

    def test_nothing_is_sent_before_the_source_has_closed_its_stream(self):
        move = self.move()
        move.answered(10.1, COPIED)
        self.assertIs(move.phase, MovePhase.STOPPED)
        move.closed(10.1)
        self.assertIs(move.phase, MovePhase.SENDING)

    def test_stream_that_closes_first_waits_for_the_answer(self):
        move = self.move()
        move.closed(10.1)
        self.assertIs(move.phase, MovePhase.CALLING)
        move.answered(10.1, COPIED)
        self.assertIs(move.phase, MovePhase.SENDING)

    def test_run_that_goes_on_releases_the_destination(self):
        for answer in (RUNS_ON, UNKNOWN):
            move = self.move()
            self.assertEqual(move.answered(10.1, answer), ("p1", ""))
            self.assertIs(move.phase, MovePhase.ENDED)

    def test_stream_that_completes_meanwhile_frees_the_copy(self):
        move = self.move()
        self.assertEqual(move.finished(), ("p1", ""))
        self.assertEqual(move.answered(10.1, COPIED), (None, "h1"))
        move = self.move()
        move.answered(10.1, COPIED)
        self.assertEqual(move.finished(), ("p1", "h1"))

    def test_second_destination_is_tried_once_then_the_source(self):
        move = self.move()
        move.closed(10.1)
        self.assertEqual(move.answered(10.1, KEPT), ("p1", ""))
        self.assertIs(move.phase, MovePhase.CHOOSING)
        move.chosen("p2")
        self.assertEqual(move.answered(10.2, KEPT), ("p2", ""))
        self.assertIs(move.phase, MovePhase.RETURNING)
        self.assertEqual(move.handle, "h2")

    def test_run_goes_back_within_a_second_of_the_news_only(self):
        for now, phase in (
            (10.99, MovePhase.RETURNING),
            (11.0, MovePhase.ENDED),
        ):
            move = self.move()
            move.answered(10.1, KEPT)
            move.closed(10.1)
            move.not_chosen(now)
            self.assertIs(move.phase, phase)

    def test_lost_second_answer_leaves_the_handle_of_the_first(self):
        move = self.move()
        move.answered(10.1, KEPT)
        move.closed(10.1)
        move.chosen("p2")
        self.assertEqual(move.answered(10.7, UNKNOWN), ("p2", ""))
        self.assertEqual((move.phase, move.handle), (MovePhase.RETURNING, "h2"))

    def test_refused_request_is_copied_once_more(self):
        move = self.move()
        move.closed(10.1)
        move.answered(10.1, COPIED)
        self.assertEqual(move.refused(10.2), (None, ""))
        self.assertIs(move.phase, MovePhase.CHOOSING)
        move.chosen("p2")
        move.answered(10.2, COPIED)
        self.assertEqual(move.refused(10.3, handle_is_used=False), (None, "h1"))
        self.assertIs(move.phase, MovePhase.ENDED)

    def test_destination_reserved_too_late_is_released(self):
        move = StreamMove(10.0)
        move.closed(10.1)
        self.assertEqual(move.chosen("p1"), ("p1", ""))


class TestReplay(unittest.TestCase):
    """Replay of the load of one leaving target, whose link carries a copy at a time."""

    COPY_S = 0.0075
    NOTICE_S = 1.5
    STREAMS = 48

    def surviving_share(self, nodes, seed):
        rng = random.Random(seed)
        streams = {}
        for key in range(self.STREAMS):
            gap_s = rng.uniform(0.02, 0.05)
            ends_in_s = rng.uniform(0.05, 7.0)
            expected = 200
            events = expected - max(1, int(ends_in_s / gap_s))
            stream = row(key, rng.randrange(3), expected=expected, gap_s=gap_s)
            streams[key] = stream._replace(events=events)
        # Nodes learn of it with their next view.
        homes = {key: rng.randrange(nodes) for key in streams}
        delays = [rng.uniform(0.0, exchange_interval_s(nodes)) for _ in range(nodes)]
        survived = {
            key
            for key, row_ in streams.items()
            if (row_.expected_events - row_.events) * row_.gap_s <= self.NOTICE_S
        }
        moved, under_way, link = set(), Counter(), deque()
        for step in range(int(self.NOTICE_S / self.COPY_S)):
            now = step * self.COPY_S
            if link:
                key = link.popleft()
                under_way[homes[key]] -= 1
                moved.add(key)
            for node in set(homes.values()):
                if now < delays[node]:
                    continue
                leaving = LeavingTargets(1.0)
                rows = {"t1": target(draining=True)}
                leaving.record_directory(delays[node], rows, set())
                waiting = [
                    row_
                    for key, row_ in streams.items()
                    if homes[key] == node and key not in moved and key not in link
                ]
                chosen = select_streams(now, waiting, leaving)
                for row_ in chosen[: 4 - under_way[node]]:
                    link.append(row_.key)
                    under_way[node] += 1
        return len(moved | survived) / len(streams)

    def test_streams_of_a_leaving_target_survive_in_fleets_of_each_size(self):
        for nodes in (1, 66, 360):
            for seed in range(3):
                with self.subTest(nodes=nodes, seed=seed):
                    self.assertGreaterEqual(self.surviving_share(nodes, seed), 0.95)


if __name__ == "__main__":
    unittest.main()
