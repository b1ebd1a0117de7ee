"""Tests of the paths of a node to targets, and of the search for a proxy."""

import unittest
from random import Random

from hibiscusspar.fleet.messages import ProxyOffer, SendNotice
from hibiscusspar.fleet.peers import Peer, PeerTable
from hibiscusspar_entry.fleet.path_watch import PathWatch
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock, target
from hibiscusspar_wire.target_connections import CallFailedError

PEER = ("10.0.0.2", 7600)
STRANGER = ("10.9.9.9", 7600)


class Connections:
    """Connections to targets of which some refuse, and some hang."""

    def __init__(self):
        self.refusing = set()
        self.silent = set()
        self.tried = []

    def check(self, address):
        self.tried.append(address)
        if address in self.refusing:
            error = CallFailedError("connect", address, "refused")
            raise error from ConnectionRefusedError()
        if address in self.silent:
            raise CallFailedError("connect", address, "timed out")


class Channel:
    """Channel that keeps what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, address, message):
        self.sent.append((address, message))


class PathWatchTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.connections = Connections()
        self.channel = Channel()
        peers = PeerTable("10.0.0.1:7600")
        peers.update(self.clock(), {"b": Peer("z", "{}:{}".format(*PEER))})
        self.watch = PathWatch(
            self.clock,
            "z",
            self.connections,
            peers,
            self.channel,
            lambda delay_s, function: function(),
            Random(1),
        )
        self.targets = {
            name: target(name)._replace(address=f"{name}:1")
            for name in ("t1", "t2", "t3", "t4")
        }
        self.service = self.targets["t1"].service
        self.addresses = {t.address for t in self.targets.values()}
        self.watch.set_targets(self.targets)
        self.watch.make_offer = lambda address: ("token", 7601, 3)

    def run_for(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.watch.tick()
            self.clock.now += 0.05

    def cut(self):
        self.connections.refusing = set(self.addresses)
        self.watch.record_failure(self.service)
        self.run_for(0.1)


class TestDetection(PathWatchTestCase):
    def test_failure_of_one_target_cuts_no_path(self):
        self.connections.refusing = {"t1:1", "t2:1"}
        for _ in range(20):
            self.watch.record_failure(self.service)
            self.run_for(1.0)
            self.assertFalse(self.watch.is_cut(self.service))

    def test_refused_connections_at_all_targets_cut_the_path(self):
        self.cut()
        self.assertTrue(self.watch.is_cut(self.service))

    def test_silence_while_requests_wait_cuts_the_path(self):
        self.connections.silent = set(self.addresses)
        self.watch.record_sent(self.service)
        self.run_for(1.3)
        self.assertTrue(self.watch.is_cut(self.service))

    def test_silence_without_requests_is_not_checked(self):
        self.watch.record_sent(self.service)
        self.watch.record_answer(self.service)
        self.run_for(10.0)
        self.assertEqual(self.connections.tried, [])

    def test_answer_on_an_old_connection_does_not_end_a_cut(self):
        self.cut()
        self.watch.record_answer(self.service)
        self.run_for(2.0)
        self.assertTrue(self.watch.is_cut(self.service))

    def test_path_is_back_without_a_request(self):
        self.cut()
        self.connections.refusing = set()
        self.run_for(1.0)
        self.assertFalse(self.watch.is_cut(self.service))

    def test_one_target_of_several_does_not_end_a_cut_at_once(self):
        self.cut()
        self.connections.refusing.discard("t1:1")
        self.run_for(5.0)
        self.assertTrue(self.watch.is_cut(self.service))


class TestOffers(PathWatchTestCase):
    def ask(self, address=PEER):
        notice = SendNotice([], proxy_asked=[self.service])
        self.watch.apply_notice(notice, address)
        return [message for _, message in self.channel.sent]

    def test_node_asks_peers_only_while_a_path_is_cut(self):
        self.run_for(5.0)
        self.assertEqual(self.channel.sent, [])
        self.cut()
        self.assertEqual(self.channel.sent[0][0], PEER)

    def test_node_that_reaches_the_service_offers(self):
        self.watch.record_answer(self.service)
        offer = self.ask()[0].proxy_offer
        self.assertEqual(offer, ProxyOffer([self.service], "token", 7601, 3))

    def test_idle_node_offers_once_it_has_checked_its_path(self):
        self.assertEqual(self.ask(), [])
        self.run_for(0.1)
        self.assertEqual(len(self.ask()), 1)

    def test_node_without_a_path_offers_nothing(self):
        self.cut()
        self.channel.sent.clear()
        self.assertEqual(self.ask(), [])

    def test_stranger_gets_no_offer_and_can_make_none(self):
        self.watch.record_answer(self.service)
        self.assertEqual(self.ask(STRANGER), [])
        offer = ProxyOffer([self.service], "token", 1, 0)
        self.watch.apply_notice(SendNotice([], proxy_offer=offer), STRANGER)
        self.assertFalse(self.watch.has_offer(self.service))

    def test_offer_ends_without_renewal(self):
        offer = ProxyOffer([self.service], "token", 7601, 0)
        self.watch.apply_notice(SendNotice([], proxy_offer=offer), PEER)
        peer, chosen = self.watch.begin_proxied(self.service, set())
        self.assertEqual((peer, chosen.address), ("b", "10.0.0.2:7601"))
        self.assertIsNone(self.watch.begin_proxied(self.service, {"b"}))
        self.clock.now += 2.0
        self.assertFalse(self.watch.has_offer(self.service))


class TestBlame(PathWatchTestCase):
    def test_target_that_alone_refuses_connections_has_crashed(self):
        self.connections.refusing = {"t1:1"}
        self.assertTrue(self.watch.refuses(self.targets["t1"]))

    def test_refusals_of_all_targets_blame_none(self):
        self.connections.refusing = set(self.addresses)
        self.assertFalse(self.watch.refuses(self.targets["t1"]))

    def test_silent_target_does_not_refuse(self):
        self.connections.silent = {"t1:1"}
        self.assertFalse(self.watch.refuses(self.targets["t1"]))
