"""Tests of packed datagrams."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from msgspec import Raw
from msgspec.json import encode

from hibiscusspar.fleet.messages import FleetView, ViewRelay
from hibiscusspar_entry.fleet.address import parse_address
from hibiscusspar_entry.fleet.channel import Channel
from hibiscusspar_entry.fleet.packing import pack, unpack
from hibiscusspar_entry.fleet.tests.test_request_scheduler import view


class TestPacking(unittest.TestCase):
    @given(st.binary(max_size=5000))
    def test_messages_survive(self, content):
        body = b"{" + content
        self.assertEqual(unpack(pack(body)), body)

    def test_broken_datagram_is_an_error(self):
        packed = pack(b"{" + bytes(5000))
        for broken in (packed[:-3], packed[:1] + b"?" + packed[2:]):
            with self.assertRaises(ValueError):
                unpack(broken)

    def test_view_of_many_targets_shrinks_to_less_than_half(self):
        names = [f"i-{n * 7919:010x}" for n in range(200)]
        body = encode(view(directory=names, numbers=range(200)))
        self.assertLess(len(pack(body)), len(body) / 2)


class TestRelay(unittest.TestCase):
    def setUp(self):
        self.received = []
        self.channel = Channel("127.0.0.1", 0, lambda message, _: self._take(message))
        self.forwarded = []
        self.channel.send = lambda address, body: self.forwarded.append((address, body))

    def _take(self, message):
        self.received.append(message)

    def relay(self, packed):
        sent = view(directory=[f"i-{n:010x}" for n in range(100)])
        relay = encode(ViewRelay([("10.0.0.2", 7000)], Raw(encode(sent))))
        self.channel.handle_datagram(pack(relay) if packed else relay, ("10.0.0.9", 1))
        return sent

    def test_packed_view_is_forwarded_packed(self):
        sent = self.relay(packed=True)
        [(address, body)] = self.forwarded
        self.assertEqual(address, parse_address("10.0.0.2:7000"))
        self.assertLess(len(body), len(encode(sent)) / 2)
        self.assertEqual(unpack(body), encode(sent))
        self.assertIsInstance(self.received[0], FleetView)

    def test_view_to_nodes_of_older_builds_is_forwarded_as_it_is(self):
        sent = self.relay(packed=False)
        self.assertEqual(self.forwarded[0][1], encode(sent))

    def test_broken_datagram_is_dropped(self):
        self.channel.handle_datagram(b"\x78broken", ("10.0.0.9", 1))
        self.assertEqual(self.received, [])
