"""Tests of the exchange of origins of streams between nodes."""

import unittest
from time import monotonic

from msgspec.json import decode, encode

from hibiscusspar.fleet.messages import SendNotice
from hibiscusspar.fleet.peers import Peer, PeerTable
from hibiscusspar.fleet.stream_origins import StreamOrigin
from hibiscusspar_entry.fleet.address import parse_address
from hibiscusspar_entry.fleet.origin_exchange import OriginExchange

V1 = StreamOrigin("draft", "v1")


class Network:
    """Nodes that hand each other their datagrams, except those that are down."""

    def __init__(self, count):
        self.sent = 0
        self.largest = 0
        self.down = set()
        self._nodes = {}
        addresses = {f"n{n}": f"10.0.0.{n}:7000" for n in range(count)}
        for address in addresses.values():
            table = PeerTable(address)
            peers = {name: Peer("z", other) for name, other in addresses.items()}
            table.update(monotonic(), peers)
            channel = _Channel(self, parse_address(address))
            exchange = OriginExchange(monotonic, table, channel)
            self._nodes[parse_address(address)] = exchange
        self.nodes = list(self._nodes.values())

    def deliver(self, sender, address, message):
        self.sent += 1
        if sender in self.down or address in self.down:
            return
        body = message if isinstance(message, bytes) else encode(message)
        self.largest = max(self.largest, len(body))
        notice = decode(body, type=SendNotice)
        self._nodes[address].apply_notice(notice, sender)

    def stop(self, index):
        """Take a node down."""
        self.down.add((f"10.0.0.{index}", 7000))


class _Channel:
    def __init__(self, network, address):
        self._network = network
        self._address = address

    def send(self, address, message):
        self._network.deliver(self._address, address, message)


class TestOriginExchange(unittest.TestCase):
    def test_origin_outlives_the_node_that_began_the_stream(self):
        for count in (3, 9, 60):
            with self.subTest(nodes=count):
                network = Network(count)
                network.nodes[0].announce("r1", V1)
                network.stop(0)
                found = [node.find("r1") for node in network.nodes[1:]]
                self.assertEqual(found, [V1] * (count - 1))

    def test_cost_does_not_grow_with_the_fleet(self):
        network = Network(60)
        network.nodes[0].announce("r1", V1)
        self.assertEqual(network.sent, 3)
        held = sum(node.held_count for node in network.nodes)
        self.assertEqual(held, 4)

    def test_unknown_origin_is_not_guessed(self):
        network = Network(4)
        network.nodes[0].announce("r1", V1)
        self.assertIsNone(network.nodes[1].find("r2"))
        self.assertEqual(network.nodes[1].query_count, 1)

    def test_node_that_was_cut_off_asks_the_others(self):
        network = Network(4)
        network.stop(3)
        network.nodes[0].announce("r1", V1)
        network.down.clear()
        self.assertEqual(network.nodes[3].find("r1"), V1)
        self.assertEqual(network.nodes[3].found_count, 1)


class TestLongIds(unittest.TestCase):
    def test_long_id_of_a_caller_takes_no_more_room_than_others(self):
        network = Network(4)
        network.nodes[0].announce("r" * 16_000, V1)
        self.assertLess(network.largest, 100)
        self.assertEqual(network.nodes[1].find("r" * 16_000), V1)


class TestOlderBuilds(unittest.TestCase):
    def test_notice_of_an_older_build_is_understood(self):
        notice = decode(b'{"type":"sent","sends":[["t1",5]]}', type=SendNotice)
        self.assertEqual((notice.began, notice.asked), ([], []))


if __name__ == "__main__":
    unittest.main()
