"""Tests of the wait for tokens of an account."""

import threading
import unittest
from time import monotonic
from types import SimpleNamespace

from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.quota import Deferred, Granted, OverLimit
from hibiscusspar_entry.fleet.refusal import RefusedError
from hibiscusspar_entry.fleet.token_gate import TokenGate, TokenPolicy

ADMITTED = SimpleNamespace(rule=SimpleNamespace(name="acme"), cost=10.0, fraction=0.0)


class Quota:
    """Limits that give one answer until a view changes it."""

    def __init__(self, verdict):
        self.verdict = verdict
        self.denied = 0.0
        self.given_back = 0.0

    def take(self, now, rule, tokens):
        return self.verdict

    def deny(self, rule, tokens):
        self.denied += tokens

    def give_back(self, rule, tokens):
        self.given_back += tokens


class TestTokenGate(unittest.TestCase):
    def gate(self, verdict, nodes=9):
        self.quota = Quota(verdict)
        self.changed = threading.Condition()
        self.reports = []
        scheduler = SimpleNamespace(
            nodes=nodes, request_report=lambda: self.reports.append(monotonic())
        )
        policy = TokenPolicy(spread_s=0.0)
        return TokenGate(monotonic, self.quota, self.changed, scheduler, policy)

    def apply_view(self, verdict):
        with self.changed:
            self.quota.verdict = verdict
            self.changed.notify_all()

    def test_request_in_a_large_fleet_waits_for_the_next_view(self):
        gate = self.gate(Deferred(), nodes=195)
        delay_s = exchange_interval_s(195)
        timer = threading.Timer(delay_s, self.apply_view, [Granted()])
        timer.start()
        self.addCleanup(timer.join)
        gate.take(ADMITTED, threading.Event())
        self.assertEqual(len(self.reports), 1)
        self.assertEqual(self.quota.denied, 0.0)

    def test_request_without_a_view_is_refused_and_counted(self):
        gate = self.gate(Deferred())
        with self.assertRaises(RefusedError) as caught:
            gate.take(ADMITTED, threading.Event())
        self.assertEqual(caught.exception.status, 429)
        self.assertEqual(self.quota.denied, 10.0)

    def test_account_over_its_limit_is_refused_at_once(self):
        gate = self.gate(OverLimit(2.5))
        with self.assertRaises(RefusedError) as caught:
            gate.take(ADMITTED, threading.Event())
        self.assertEqual(caught.exception.retry_after_s, 2.5)
        self.assertEqual(self.reports, [])

    def test_caller_that_left_is_not_counted_as_denied(self):
        gate = self.gate(Deferred())
        gone = threading.Event()
        gone.set()
        with self.assertRaises(RefusedError):
            gate.take(ADMITTED, gone)
        self.assertEqual(self.quota.denied, 0.0)

    def test_request_without_a_limit_takes_nothing(self):
        gate = self.gate(OverLimit(2.5))
        unlimited = SimpleNamespace(rule=None, cost=10.0, fraction=0.0)
        gate.take(unlimited, threading.Event())
        gate.give_back(unlimited)
        self.assertEqual(self.quota.given_back, 0.0)
