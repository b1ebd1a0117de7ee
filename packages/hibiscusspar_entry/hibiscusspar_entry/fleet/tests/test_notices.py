"""Tests of telling other nodes of sends."""

import unittest

from msgspec.json import decode

from hibiscusspar.fleet.messages import SendNotice
from hibiscusspar.fleet.peers import Peer, PeerTable
from hibiscusspar_entry.fleet.notices import Notices
from hibiscusspar_entry.fleet.tests.test_board import Clock, target


class Channel:
    def __init__(self):
        self.sent = []

    def send(self, address, body):
        self.sent.append((address, decode(body, type=SendNotice).sends))


class TestNotices(unittest.TestCase):
    def setUp(self):
        self.channel = Channel()
        self.peers = PeerTable("10.0.0.1:7000")
        self.notices = Notices(Clock(), self.peers, self.channel)

    def show(self, *peers):
        rows = {f"n{index}": peer for index, peer in enumerate(peers)}
        self.peers.shown(100.0, rows)

    def test_sends_are_told_once_and_together(self):
        self.show(Peer("z1", "10.0.0.1:7000"), Peer("z1", "10.0.0.2:7000"))
        self.notices.add(target("t1"), 900)
        self.notices.add(target("t2"), 400)
        self.assertEqual(self.notices.send_pending(), 1)
        self.assertEqual(self.notices.send_pending(), 0)
        sends = [("t1", 900), ("t2", 400)]
        self.assertEqual(self.channel.sent, [(("10.0.0.2", 7000), sends)])

    def test_large_fleet_tells_only_those_who_use_the_target(self):
        self.show(*(Peer(f"z{i % 2}", f"10.0.0.{i + 2}:7000") for i in range(40)))
        self.notices.add(target("t1", zone="z1"), 900)
        self.assertEqual(self.notices.send_pending(), 20)

    def test_node_that_knows_no_peers_tells_nobody(self):
        self.notices.add(target("t1"), 900)
        self.assertEqual(self.notices.send_pending(), 0)


if __name__ == "__main__":
    unittest.main()
