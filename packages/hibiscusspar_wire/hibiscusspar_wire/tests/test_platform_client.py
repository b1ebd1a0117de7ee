"""Tests of the platform client with a stand-in platform over sockets."""

import unittest
from random import Random

from hibiscusspar_standins.platform import Platform
from hibiscusspar_standins.server import StandinServer
from hibiscusspar_wire.pacing import FAILURES_TO_OPEN, CallBudget, CircuitBreaker
from hibiscusspar_wire.platform_client import PlatformClient
from hibiscusspar_wire.platform_errors import (
    ConflictError,
    MissingError,
    RefusedError,
    UnknownOutcomeError,
)


class TestPlatformClient(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.standin = Platform()
        cls.server = StandinServer(cls.standin)
        cls.address = cls.server.start()

    @classmethod
    def tearDownClass(cls):
        cls.server.stop()

    def setUp(self):
        self.standin.faults.clear()
        self.client = PlatformClient(self.address, Random(3), deadline_s=5.0)

    def test_write_and_read(self):
        version = self.client.create("plain", "a/b c", {"x": [1]})
        stored = self.client.get("plain", "a/b c")
        self.assertEqual((stored.value, stored.version), ({"x": [1]}, version))
        newer = self.client.update("plain", "a/b c", 2, version)
        self.assertEqual([o.value for o in self.client.list("plain").items], [2])
        self.client.delete("plain", "a/b c", newer)
        self.assertIsNone(self.client.get("plain", "a/b c"))

    def test_conflict_and_missing(self):
        version = self.client.create("kind", "c", 1)
        with self.assertRaises(ConflictError) as caught:
            self.client.update("kind", "c", 2, version - 1)
        self.assertEqual(caught.exception.version, version)
        with self.assertRaises(ConflictError):
            self.client.create("kind", "c", 2)
        with self.assertRaises(MissingError):
            self.client.update("kind", "none", 2, 1)

    def test_write_with_a_lost_answer_is_unknown_and_not_retried(self):
        version = self.client.create("kind", "lost", 1)
        self.standin.faults.add("lost_answer", count=1)
        with self.assertRaises(UnknownOutcomeError):
            self.client.update("kind", "lost", 2, version)
        self.assertEqual(self.client.get("kind", "lost").value, 2)

    def test_short_outage_is_retried(self):
        self.standin.faults.add("outage", count=2)
        self.client.create("kind", "outage", 1)
        self.assertEqual(self.client.get("kind", "outage").value, 1)

    def test_calls_fail_at_once_after_several_failures(self):
        self.client = PlatformClient(self.address, Random(3), deadline_s=0.3)
        self.standin.faults.add("outage", count=-1)
        for _ in range(4):
            with self.assertRaises(RefusedError):
                self.client.create("kind", "away", 1)
        calls = self.client.calls
        with self.assertRaises(RefusedError) as caught:
            self.client.get("kind", "away")
        self.assertIn("next attempt", caught.exception.reason)
        self.assertEqual(self.client.calls, calls)

    def test_write_without_a_connection_is_refused(self):
        client = PlatformClient("127.0.0.1:1", Random(3), deadline_s=0.2)
        with self.assertRaises(RefusedError):
            client.create("kind", "x", 1)

    def test_watch_reports_a_change(self):
        version = self.client.create("watched", "x", 1)
        answer = self.client.watch("watched", version - 1, 1.0)
        self.assertEqual([event.name for event in answer.events], ["x"])
        self.assertEqual(self.client.watch("watched", answer.version, 0.01).events, [])

    def test_list_of_vms_has_the_version_of_its_content(self):
        self.standin.set_vm("v1", "z", "127.0.0.1:9")
        before = self.client.vms().version
        self.client.create("kind", "other", 1)
        self.assertEqual(self.client.vms().version, before)

    def test_value_over_a_megabyte_is_refused_by_the_client(self):
        with self.assertRaises(RefusedError):
            self.client.create("kind", "big", "x" * 1_000_001)


class TestPacing(unittest.TestCase):
    def test_budget_returns_the_time_until_the_next_call(self):
        now = [0.0]
        budget = CallBudget(2.0, 2.0, lambda: now[0])
        self.assertEqual([budget.take() for _ in range(3)], [0.0, 0.0, 0.5])
        now[0] = 0.5
        self.assertEqual(budget.take(), 0.0)

    def test_breaker_opens_longer_with_each_failure_until_an_answer(self):
        now = [0.0]
        breaker = CircuitBreaker(lambda: now[0], Random(1))
        pauses = []
        for _ in range(FAILURES_TO_OPEN + 4):
            breaker.record_failure()
            pauses.append(breaker.remaining_open_s)
            now[0] += 100.0
        self.assertEqual(pauses[: FAILURES_TO_OPEN - 1], [0, 0])
        self.assertGreater(pauses[-1], pauses[FAILURES_TO_OPEN - 1])
        breaker.record_answer()
        breaker.record_failure()
        self.assertEqual(breaker.remaining_open_s, 0)
