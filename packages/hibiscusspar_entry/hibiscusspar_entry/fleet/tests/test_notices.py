"""Tests of notices to other nodes."""

import unittest
from random import Random

from msgspec.json import decode

from hibiscusspar.fleet.messages import SendNotice
from hibiscusspar.fleet.peers import Peer, PeerTable
from hibiscusspar_entry.fleet.notices import NoticeSender
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock, target


class FakeChannel:
    def __init__(self):
        self.sent = []

    def send(self, address, body):
        self.sent.append((address, decode(body, type=SendNotice)))


class TestNoticeSender(unittest.TestCase):
    def setUp(self):
        self.channel = FakeChannel()
        self.peers = PeerTable("10.0.0.1:7000")
        self.notice_sender = NoticeSender(
            Clock(), "z1", self.peers, self.channel, Random(1)
        )

    def show_peers(self, *peers):
        rows = {f"n{index}": peer for index, peer in enumerate(peers)}
        self.peers.update(100.0, rows)

    def test_sends_are_announced_once_in_one_notice(self):
        self.show_peers(Peer("z1", "10.0.0.1:7000"), Peer("z1", "10.0.0.2:7000"))
        self.notice_sender.add(target("t1"), 900)
        self.notice_sender.add(target("t2"), 400)
        self.assertEqual(self.notice_sender.send_pending(), 1)
        self.assertEqual(self.notice_sender.send_pending(), 0)
        ((address, notice),) = self.channel.sent
        self.assertEqual(address, ("10.0.0.2", 7000))
        self.assertEqual(notice.sends, [("t1", 900), ("t2", 400)])

    def test_large_fleet_gets_notices_through_one_node_of_each_other_zone(self):
        self.show_peers(
            *(Peer(f"z{i % 3}", f"10.0.{i % 3}.{i + 2}:7000") for i in range(60))
        )
        self.notice_sender.add(target("t1", zone="z2"), 900)
        self.assertEqual(self.notice_sender.send_pending(), 22)
        relays = {
            address[0][:6]
            for address, notice in self.channel.sent
            if notice.relay and notice.sends == [("t1", 900)]
        }
        self.assertEqual(relays, {"10.0.0", "10.0.2"})

    def test_notice_from_another_zone_is_relayed_once(self):
        self.show_peers(Peer("z1", "10.0.0.2:7000"))
        self.notice_sender.relay(SendNotice([("t1", 5)], relay=True))
        self.notice_sender.relay(SendNotice([("t1", 5)]))
        ((_, notice),) = self.channel.sent
        self.assertFalse(notice.relay)

    def test_slow_periods_are_told_once_and_the_newest_are_kept(self):
        self.show_peers(Peer("z1", "10.0.0.2:7000"))
        for number in range(10):
            self.notice_sender.add_slow(f"t{number}", 1, 2.5)
        self.notice_sender.add_slow("t3", 1, 1.0)
        self.assertEqual(self.notice_sender.send_pending(), 1)
        self.assertEqual(self.notice_sender.send_pending(), 0)
        ((_, notice),) = self.channel.sent
        names = [target_id for target_id, _, _ in notice.slow]
        self.assertEqual(names, ["t2", "t4", "t5", "t6", "t7", "t8", "t9", "t3"])
        self.assertEqual(notice.slow[-1], ("t3", 1, 1.0))

    def test_slow_periods_reach_other_zones_through_relays(self):
        # Nodes of other zones get all notices from the node that relays them.
        self.show_peers(
            *(Peer(f"z{i % 3}", f"10.0.{i % 3}.{i + 2}:7000") for i in range(60))
        )
        self.notice_sender.add_slow("t1", 1, 2.5)
        self.notice_sender.send_pending()
        relayed = [notice for _, notice in self.channel.sent if notice.relay]
        self.assertEqual([row.slow for row in relayed], [[("t1", 1, 2.5)]] * 2)
        self.channel.sent.clear()
        self.notice_sender.relay(relayed[0])
        self.assertEqual(len(self.channel.sent), 20)
        for _, notice in self.channel.sent:
            self.assertEqual((notice.slow, notice.relay), ([("t1", 1, 2.5)], False))

    def test_node_without_peers_sends_no_notice(self):
        self.notice_sender.add(target("t1"), 900)
        self.assertEqual(self.notice_sender.send_pending(), 0)


if __name__ == "__main__":
    unittest.main()
