"""Tests of the exchange of the configuration between nodes."""

import unittest
from random import Random
from types import SimpleNamespace

from msgspec.json import decode, encode

from hibiscusspar.fleet.messages import SendNotice
from hibiscusspar.fleet.peers import Peer, PeerTable
from hibiscusspar_entry.fleet.address import parse_address
from hibiscusspar_entry.fleet.config_relay import ConfigRelay
from hibiscusspar_entry.fleet.store_sync import ConfigSync
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock

TICK_S = 0.05


class Codec:
    config_name = "main"

    def decode_ruleset(self, value):
        return SimpleNamespace(version=value["version"], routes={}, accounts={})


class Node:
    def __init__(self, network, address, addresses, rng):
        self._network = network
        self._address = parse_address(address)
        self.config = ConfigSync(Codec(), network.clock, lambda ruleset: None)
        self.backoff = SimpleNamespace(failures=0)
        peers = PeerTable(address)
        peers.update(network.clock(), {a: Peer("z", a) for a in addresses})
        self.relay = ConfigRelay(
            network.clock,
            self.config,
            self.backoff,
            peers,
            self,
            rng,
            lambda: network.newest_version,
        )

    @property
    def version(self):
        return self.config.content[0]

    def send(self, address, message):
        self._network.send(self._address, address, message)


class Network:
    """Nodes whose datagrams may be lost; some can't read the store."""

    def __init__(self, count, rejected, loss=0.0):
        self.clock = Clock()
        self.newest_version = 1
        self._rng = Random(5)
        self._loss = loss
        self._sent = []
        self.bytes_sent = 0
        addresses = [f"10.0.{n // 250}.{n % 250}:7000" for n in range(count)]
        self._by_address = {
            parse_address(a): Node(self, a, addresses, Random(a)) for a in addresses
        }
        self.nodes = list(self._by_address.values())
        self.rejected = self.nodes[:rejected]
        self.publish(1, "")
        for node in self.rejected:
            node.backoff.failures = 1

    def publish(self, version, text):
        """Publish a configuration, which the other nodes read from the store."""
        self.newest_version = version
        for node in self.nodes:
            if not node.backoff.failures:
                value = {"version": version, "text": text}
                stored = SimpleNamespace(name="main", value=value, revision=version)
                node.config.on_listing([stored], self.clock())

    def send(self, sender, address, message):
        body = encode(message)
        self.bytes_sent += len(body)
        if self._rng.random() >= self._loss:
            self._sent.append((sender, address, body))

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            for node in self.nodes:
                node.relay.tick()
            while self._sent:
                sent, self._sent = self._sent, []
                for sender, address, body in sent:
                    notice = decode(body, type=SendNotice)
                    self._by_address[address].relay.apply_notice(notice, sender)
            self.clock.now += TICK_S


class TestConfigRelay(unittest.TestCase):
    def test_rejected_nodes_get_the_newest_configuration(self):
        for count in (9, 63, 195, 360):
            with self.subTest(nodes=count):
                network = Network(count, rejected=count // 3)
                network.publish(2, "")
                network.run(1.0)
                self.assertEqual({node.version for node in network.nodes}, {2})
                rejected = len(network.rejected)
                self.assertLess(network.bytes_sent / rejected, 5_000)

    def test_large_configuration_arrives_in_spite_of_lost_datagrams(self):
        network = Network(63, rejected=22, loss=0.1)
        text = Random(1).randbytes(150_000).hex()
        network.publish(2, text)
        network.run(10.0)
        self.assertEqual({node.version for node in network.nodes}, {2})

    def test_newer_configuration_replaces_one_that_is_arriving(self):
        network = Network(9, rejected=3, loss=0.2)
        text = Random(1).randbytes(100_000).hex()
        for version in (2, 3, 4):
            network.publish(version, text)
            network.run(0.3)
        network.run(5.0)
        self.assertEqual({node.version for node in network.nodes}, {4})

    def test_node_that_reads_the_store_asks_nobody(self):
        network = Network(9, rejected=0)
        network.newest_version = 2
        network.run(1.0)
        self.assertEqual(network.bytes_sent, 0)
