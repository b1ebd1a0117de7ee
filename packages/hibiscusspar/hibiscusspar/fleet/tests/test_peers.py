"""Tests of the recipients of notices, and of the prompt queues estimated from them."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from hibiscusspar.fleet.entry_rotation import EntryRotation
from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.peers import (
    ROTATED_PEERS,
    Peer,
    PeerTable,
    decision_interval_s,
    notice_interval_s,
)
from hibiscusspar.fleet.prompt_queue import PromptQueues


def peers(count):
    return {
        f"n{i}": Peer(f"z{i % 3}", f"10.0.{i // 100}.{i % 100}:7000")
        for i in range(count)
    }


class TestPeerTable(unittest.TestCase):
    def test_small_fleet_notifies_all_other_nodes(self):
        table = PeerTable("10.0.0.0:7000")
        table.update(1.0, peers(9))
        self.assertEqual(len(table.direct_addresses(1.0, "z1")), 8)

    def test_views_of_a_large_fleet_show_all_nodes_before_any_is_dropped(self):
        for count in (9, 78, 360):
            table, rotation, now = PeerTable("10.0.0.0:7000"), EntryRotation(), 100.0
            rows = peers(count)
            # The first views carry all nodes, as new ones.
            for number in range(400):
                due = rotation.due(rows, number, ROTATED_PEERS)
                table.update(now, {name: rows[name] for name in due}, count)
                now += exchange_interval_s(count)
                table.direct_addresses(now, "z1")
            self.assertEqual(table.count, count - 1)

    def test_large_fleet_notifies_the_nodes_of_the_own_zone(self):
        table = PeerTable("10.0.0.0:7000")
        table.update(1.0, peers(78))
        self.assertEqual(len(table.direct_addresses(1.0, "z1")), 26)
        self.assertNotIn("10.0.0.0:7000", table.direct_addresses(1.0, "z0"))

    def test_node_that_no_view_shows_is_dropped(self):
        table = PeerTable("10.0.0.0:7000")
        table.update(1.0, peers(3))
        table.update(15.0, {"n1": Peer("z1", "10.0.9.9:7000")})
        self.assertEqual(table.direct_addresses(25.0, "z1"), ["10.0.9.9:7000"])

    def test_notices_of_a_node_are_bounded_at_any_size(self):
        for count in (8, 26, 60, 360):
            heard_per_s = count / notice_interval_s(count)
            self.assertLessEqual(heard_per_s, 1000.001)

    def test_decisions_of_nodes_are_further_apart_than_a_notice_takes(self):
        gaps = [decision_interval_s(25, turn / 26) for turn in range(26)]
        steps = [after - before for before, after in zip(gaps, gaps[1:], strict=False)]
        self.assertGreater(min(steps), 0.002)


class TestPromptQueues(unittest.TestCase):
    def test_prompts_are_processed_one_after_the_other(self):
        queues = PromptQueues(1000.0)
        queues.record_send(5.0, "t1", 100)
        queues.record_send(5.0, "t1", 200)
        self.assertAlmostEqual(queues.backlog_s(5.1, "t1"), 0.2)
        self.assertEqual(queues.backlog_s(6.0, "t1"), 0.0)
        self.assertEqual(queues.backlogs(5.1), {"t1": queues.backlog_s(5.1, "t1")})
        self.assertEqual(queues.backlogs(6.0), {})
        self.assertEqual(queues.backlog_s(5.0, "t2"), 0.0)

    def test_sends_are_added_to_the_reported_backlog(self):
        queues = PromptQueues(1000.0)
        queues.record_report(5.0, "t1", 0.3)
        queues.record_send(5.0, "t1", 100)
        self.assertAlmostEqual(queues.backlog_s(5.0, "t1"), 0.4)

    def test_older_reports_do_not_shorten_a_queue(self):
        queues = PromptQueues(1000.0)
        queues.record_send(5.0, "t1", 500)
        queues.record_report(5.0, "t1", 0.1)
        self.assertAlmostEqual(queues.backlog_s(5.0, "t1"), 0.5)

    def test_removed_targets_are_dropped(self):
        queues = PromptQueues(1000.0)
        queues.record_send(5.0, "t1", 1000)
        queues.retain({"t2"})
        self.assertEqual(queues.backlog_s(5.0, "t1"), 0.0)

    @given(st.lists(st.tuples(st.floats(0.0, 1.0), st.integers(0, 4000))))
    def test_backlog_is_never_more_than_what_was_sent(self, sends):
        queues = PromptQueues(1000.0)
        now, total = 0.0, 0
        for pause_s, tokens in sends:
            now += pause_s
            queues.record_send(now, "t1", tokens)
            total += tokens
        self.assertLessEqual(queues.backlog_s(now, "t1"), total / 1000.0 + 1e-6)


if __name__ == "__main__":
    unittest.main()
