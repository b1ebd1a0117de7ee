"""Tests of the exchanges of the driver, without sockets."""

import threading
import unittest
from time import sleep

from hibiscusspar.placement.messages import MESSAGES, Failed, Want
from hibiscusspar_entry.driver import Driver
from hibiscusspar_entry.metrics import Metrics
from hibiscusspar_wire.codec import MessageCodec

WAIT_S = 10.0
MAX_TICKS = 500


class IdleSystem:
    """System that does nothing."""

    name = "placement"

    def tick(self, now, out):
        pass


class BrokenSystem:
    """System whose ticks fail, and its messages with the label ``broken``."""

    name = "members"

    def __init__(self):
        self.received = []

    def tick(self, now, out):
        raise ValueError("broken tick")

    def record_exchange(self, vm, ok):
        pass

    def receive(self, now, sender, message, out):
        if message.label == "broken":
            raise ValueError("broken message")
        self.received.append(message)


class FakePeers:
    """Peer client that records exchanges and answers with empty ones."""

    def __init__(self, codec):
        self._codec = codec
        self.sent = []
        self.arrived = threading.Event()

    def exchange(self, address, data):
        self.sent.append((address, self._codec.decode(data).messages))
        self.arrived.set()
        return self._codec.encode("peer", [])


class TestExchanges(unittest.TestCase):
    def setUp(self):
        codec = MessageCodec({"placement": MESSAGES})
        self.codec = codec
        self.peers = FakePeers(codec)
        self.broken = BrokenSystem()
        self.now = 100.0
        self.driver = Driver(
            vm="me",
            systems=[IdleSystem(), self.broken],
            codec=codec,
            peers=self.peers,
            address_of=lambda vm: f"address of {vm}",
            run_platform_call=None,
            run_order=None,
            clock=lambda: self.now,
            metrics=Metrics(),
            exchange_s=0.1,
        )
        self.addCleanup(self.driver.stop)

    def send(self, message, urgent):
        with self.driver.locked_systems() as (_, out):
            out.send("peer", message, urgent)

    def test_urgent_message_is_sent_at_once_with_the_queued_ones(self):
        plain = Failed("t", "oak@1", 1.0)
        urgent = Want("t", "oak@1", 1, 1, 1, 1)
        self.send(plain, False)
        self.assertEqual(self.peers.sent, [])
        self.send(urgent, True)
        self.assertTrue(self.peers.arrived.wait(WAIT_S))
        self.assertEqual(len(self.peers.sent), 1)
        self.assertEqual(list(self.peers.sent[0][1]), [plain, urgent])

    def test_urgent_messages_in_quick_succession_share_an_exchange(self):
        self.send(Want("t", "oak@1", 1, 1, 1, 1), True)
        self.assertTrue(self.peers.arrived.wait(WAIT_S))
        for want in (2, 3):
            self.send(Want("t", "oak@1", 1, 1, 1, want), True)
        self.assertEqual(len(self.peers.sent), 1)
        self.now += 1.0
        for _ in range(MAX_TICKS):
            self.driver.tick()
            if len(self.peers.sent) == 2:
                break
            sleep(0.01)
        self.assertEqual([m.want for m in self.peers.sent[-1][1]], [2, 3])

    def test_broken_system_stops_neither_the_others_nor_the_exchange(self):
        codec = MessageCodec({"members": MESSAGES})
        driver = Driver(
            vm="me",
            systems=[self.broken],
            codec=codec,
            peers=self.peers,
            address_of=lambda vm: None,
            run_platform_call=None,
            run_order=None,
            clock=lambda: self.now,
            metrics=Metrics(),
            exchange_s=0.1,
        )
        self.addCleanup(driver.stop)
        driver.tick()
        messages = [Failed("t", label, 1.0) for label in ("broken", "whole")]
        driver.receive(codec.encode("peer", messages))
        self.assertEqual([m.label for m in self.broken.received], ["whole"])
