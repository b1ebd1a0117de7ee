"""Tests of the relay with faults of stand-in targets, over real sockets."""

import time
import unittest

from msgspec import json

from hibiscusspar.errors import StepError
from hibiscusspar.requests.lifecycle import Outcome
from hibiscusspar_standins.engine import expected_text
from hibiscusspar_standins.faults import ALWAYS
from hibiscusspar_wire.relay_types import GaveUpError
from hibiscusspar_wire.tests.relay_bench import (
    LABEL,
    PROMPT,
    SILENCE_S,
    USAGE,
    RelayBench,
)

A = Outcome.ANSWERED
N = Outcome.NOT_RUN
U = Outcome.UNKNOWN
NO_TARGET = "127.0.0.1:1"

# Outcomes by fault of the first target, for requests that are: idempotent,
# idempotent and streamed, not idempotent, not idempotent and streamed; None if the
# fault can't occur.
ENGINE_FAULTS = {
    "refuse": (A, A, A, A),
    "reset_before_body": (A, A, U, U),
    "reset_during_body": (A, A, U, U),
    "reset_after_body": (A, A, U, U),
    "silent_before_body": (A, A, U, U),
    "silent_before_head": (A, A, U, U),
    "silent_after_head": (None, A, None, A),
    "silent_mid": (None, A, None, A),
    "crash_before_first": (A, A, U, U),
    "crash_after_first": (None, A, None, U),
    "late": (A, A, A, A),
    "crossed": (A, A, U, U),
    "truncated": (A, A, U, A),
    "wrong_adapter": (A, A, U, U),
    "unavailable_not_run": (A, A, N, N),
    "unavailable_unknown": (A, A, U, U),
    "cold": (A, A, A, A),
}
LATE_S = SILENCE_S / 3
SILENT_S = 2.0
PLAIN_FAULTS = {
    "refuse": (A, A),
    "reset_before_body": (A, U),
    "reset_after_body": (A, U),
    "silent_before_head": (A, U),
    "crash_before_first": (A, U),
    "late": (A, A),
    "crossed": (A, U),
    "truncated": (A, U),
    "unavailable_not_run": (A, N),
    "unavailable_unknown": (A, U),
}
MAX_POLLS = 100
POLL_S = 0.005


class RelayCase(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.bench = RelayBench()
        cls.addClassCleanup(cls.bench.close)

    def setUp(self):
        self.bench.reset()
        self.count = 0

    def inject(self, fault, engine=True):
        standins = self.bench.engines if engine else self.bench.plain
        if fault == "refuse":
            self.bench.addresses[engine, "a"] = NO_TARGET
        elif fault == "cold":
            standins["a"].restart()
        else:
            after = 2 if fault in ("silent_mid", "crash_after_first") else 0
            standins["a"].faults.add(
                fault, seconds=2.0 * (fault != "late"), after=after
            )

    def run_request(self, **fields):
        """Run a request; return its id and the body or error that its caller gets."""
        self.count += 1
        request_id = f"{self.id()}-{fields}-{self.count}"
        request = self.bench.request(request_id, **fields)
        try:
            answer = self.bench.relay.run(request)
        except GaveUpError as error:
            return request_id, error
        if isinstance(answer.body, bytes):
            return request_id, answer.body
        return request_id, self.read(answer.body)

    def read(self, body):
        data = b""
        try:
            for piece in body:
                data += piece
        except StepError:
            self.assertNotIn(b"[DONE]", data)
        return data

    def check(self, request_id, result, outcome, idempotent, whole):
        state = self.bench.states[request_id]
        self.assertEqual(state.outcome, outcome, result)
        self.assertEqual(self.bench.open_grants, 0)
        self.assertEqual(self.bench.system.in_flight, {})
        runs = self.bench.started(request_id)
        if outcome is A:
            self.assertTrue(whole(result), result)
            self.assertGreaterEqual(runs, 1)
        elif outcome is N:
            self.assertEqual((runs, result.ran, state.tokens), (0, "not-run", 0))
            self.assertGreater(result.retry_after_s, 0)
        elif isinstance(result, GaveUpError):
            self.assertEqual(result.ran, "unknown")
        else:
            self.assertIn(b"stream_broken", result)
        if not idempotent:
            self.assertLessEqual(runs, 1)


class TestEngineFaults(RelayCase):
    def test_matrix(self):
        variants = [(i, s) for i in (True, False) for s in (False, True)]
        for fault, outcomes in ENGINE_FAULTS.items():
            for (idempotent, stream), outcome in zip(variants, outcomes, strict=True):
                if outcome is None:
                    continue
                with self.subTest(fault=fault, idempotent=idempotent, stream=stream):
                    self.bench.reset()
                    self.inject(fault)
                    request_id, result = self.run_request(
                        idempotent=idempotent, stream=stream
                    )
                    self.assertEqual(self.bench.engines["a"].faults.pending(), [])
                    whole = self.whole_stream if stream else self.whole_plain
                    self.check(request_id, result, outcome, idempotent, whole)
                    if outcome is A:
                        state = self.bench.states[request_id]
                        self.assertEqual(state.tokens, USAGE)

    def whole_plain(self, data):
        text = json.decode(data)["choices"][0]["text"]
        return text == expected_text(LABEL, PROMPT, 6)

    def whole_stream(self, data):
        *frames, done, end = data.split(b"\n\n")
        chunks = [json.decode(frame.removeprefix(b"data: ")) for frame in frames]
        text = "".join(chunk["choices"][0]["text"] for chunk in chunks)
        whole = text == expected_text(LABEL, PROMPT, 6)
        return whole and (done, end) == (b"data: [DONE]", b"")


class TestPlainFaults(RelayCase):
    def test_matrix(self):
        for fault, outcomes in PLAIN_FAULTS.items():
            for idempotent, outcome in zip((True, False), outcomes, strict=True):
                with self.subTest(fault=fault, idempotent=idempotent):
                    self.bench.reset()
                    self.inject(fault, engine=False)
                    request_id, result = self.run_request(
                        idempotent=idempotent, engine=False
                    )
                    self.assertEqual(self.bench.plain["a"].faults.pending(), [])
                    self.check(request_id, result, outcome, idempotent, self.whole)

    def whole(self, data):
        return json.decode(data)["body"] == "log"


class TestPooledConnection(RelayCase):
    def test_request_after_a_silent_pooled_connection_needs_one_attempt(self):
        for _ in range(3):
            self.run_request()
        self.bench.engines["a"].faults.add("silent_before_body", count=1)
        request_id, _ = self.run_request()
        self.assertIs(self.bench.states[request_id].outcome, A)
        request_id, _ = self.run_request()
        self.assertEqual(self.bench.states[request_id].attempts, 1)


class TestCallerDisconnect(RelayCase):
    def test_stream_is_cancelled_at_the_target(self):
        request = self.bench.request("gone", stream=True, body=self.long_body())
        answer = self.bench.relay.run(request)
        next(answer.body)
        answer.body.close()
        self.assertIs(self.bench.states["gone"].outcome, U)
        self.assertEqual(self.bench.open_grants, 0)
        self.wait_until(lambda: self.cancelled("gone"))

    def cancelled(self, request_id):
        rows = self.bench.engines["a"].ledger.entries("cancelled")
        return any(row.request == request_id for row in rows)

    def long_body(self):
        fields = {"model": LABEL, "prompt": PROMPT, "max_tokens": 1000, "stream": True}
        return json.encode(fields)

    def wait_until(self, condition):
        for _ in range(MAX_POLLS):
            if condition():
                return
            time.sleep(POLL_S)
        self.fail("not reached")


class TestNoTargetLeft(RelayCase):
    def test_outcome_is_unknown_after_a_sent_attempt(self):
        self.bench.engines["a"].faults.add("reset_after_body")
        self.bench.remaining_grants = 1
        request_id, result = self.run_request()
        self.assertEqual((result.ran, result.code), ("unknown", "outcome_unknown"))
        self.assertEqual(result.retry_after_s, 3.0)
        self.assertIs(self.bench.states[request_id].outcome, U)

    def test_outcome_is_not_run_without_an_attempt(self):
        self.bench.remaining_grants = 0
        request_id, result = self.run_request()
        self.assertEqual(result.ran, "not-run")
        self.assertIs(self.bench.states[request_id].outcome, N)


class TestQuarantine(RelayCase):
    def record_incarnations(self):
        for name in ("a", "b"):
            self.bench.relay.record_incarnation(
                name, self.bench.engines[name].incarnation
            )

    def run_crashing_request(self):
        self.record_incarnations()
        for engine in self.bench.engines.values():
            engine.faults.add("crash_before_first", count=ALWAYS, match="poison")
        return self.run_request(body=self.body("poison"))

    def test_body_that_crashed_two_targets_is_quarantined(self):
        _, first = self.run_crashing_request()
        self.assertEqual(first.ran, "unknown")
        request_id, second = self.run_request(body=self.body("poison"))
        self.assertEqual(second.code, "body_quarantined")
        self.assertEqual(self.bench.started(request_id), 0)
        self.assertGreater(second.retry_after_s, 0)
        request_id, _ = self.run_request(body=self.body("harmless"))
        self.assertIs(self.bench.states[request_id].outcome, A)

    def test_broken_connections_without_crashes_quarantine_nothing(self):
        self.record_incarnations()
        for engine in self.bench.engines.values():
            engine.faults.add("reset_after_body", count=3)
        for _ in range(2):
            self.run_request(body=self.body("innocent"))
        request_id, _ = self.run_request(body=self.body("innocent"))
        self.assertIs(self.bench.states[request_id].outcome, A)

    def test_restart_reported_later_confirms_a_crash(self):
        self.record_incarnations()
        for engine in self.bench.engines.values():
            engine.faults.add("reset_after_body", count=2)
        self.run_request(body=self.body("poison"))
        for name in ("a", "b"):
            self.bench.relay.record_incarnation(name, "later")
        _, refused = self.run_request(body=self.body("poison"))
        self.assertEqual(refused.code, "body_quarantined")

    def body(self, prompt):
        return json.encode({"model": LABEL, "prompt": prompt, "max_tokens": 2})
