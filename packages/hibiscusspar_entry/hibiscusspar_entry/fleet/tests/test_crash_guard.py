"""Tests of the guard of targets against requests that crash them."""

import unittest
from types import SimpleNamespace

from hibiscusspar.requests.quarantine import part_suspect
from hibiscusspar_entry.fleet.crash_guard import CrashGuard
from hibiscusspar_entry.fleet.refusal import RefusedError
from hibiscusspar_entry.fleet.request_state import RequestState
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock, target
from hibiscusspar_wire.target_connections import CallFailedError

DIGEST = "acme-1"
PARTS = [part_suspect("system"), part_suspect("shared")]


class FakeCrashes:
    """Recorder of what the guard tells."""

    def __init__(self):
        self.breaks = []
        self.refused = []
        self.answers = []
        self.refused_s = 0.0
        self.may_probe = False
        self.refused_count = 0

    def refused_for(self, request, parts):
        return self.refused_s if (request, parts) == (DIGEST, PARTS) else 0.0

    def retry_in_s(self, request, parts):
        return self.refused_s

    def start_probe(self, request, parts):
        return self.may_probe

    def was_quarantined(self, suspects):
        return self.refused_s > 0 and DIGEST in suspects

    def record_break(self, broken, suspects):
        self.breaks.append((broken.target_id, suspects))

    def record_refused_connection(self, refusing):
        self.refused.append(refusing.target_id)

    def record_answer(self, suspects):
        self.answers += suspects


class GuardTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.crashes = FakeCrashes()
        self.guard = CrashGuard(self.clock, self.crashes)
        self.state = RequestState()

    def admitted(self, last_event=None):
        call = SimpleNamespace(last_event=last_event)
        return SimpleNamespace(
            digest=DIGEST, shared_parts=("system", "shared"), call=call
        )

    def break_attempt(self, step, last_event=None, cause=None):
        error = CallFailedError(step, "a:1", "")
        error.__cause__ = cause
        self.guard.record_failure(
            self.admitted(last_event), self.state, target("t1"), error
        )


class TestFailures(GuardTestCase):
    def test_connection_that_ends_without_an_answer_accuses_request_and_parts(self):
        for step in ("wait", "read"):
            self.break_attempt(step)
        self.assertEqual(self.crashes.breaks, [("t1", [DIGEST, *PARTS])] * 2)

    def test_silence_and_lost_sends_accuse_nobody(self):
        for step in ("silent", "send"):
            self.break_attempt(step)
        self.assertEqual(self.crashes.breaks, [])

    def test_refused_connection_is_evidence_and_accuses_nobody(self):
        self.break_attempt("connect", cause=ConnectionRefusedError())
        self.assertEqual((self.crashes.breaks, self.crashes.refused), ([], ["t1"]))

    def test_host_that_cant_be_reached_is_no_evidence(self):
        self.break_attempt("connect", cause=TimeoutError())
        self.assertEqual((self.crashes.breaks, self.crashes.refused), ([], []))

    def test_stream_with_an_event_no_longer_accuses_its_parts(self):
        self.state.splitter = SimpleNamespace(last_event=1)
        self.state.record_event(self.clock.now)
        self.break_attempt("read")
        self.assertEqual(self.crashes.breaks, [("t1", [DIGEST])])

    def test_stream_that_has_run_for_long_accuses_nobody(self):
        self.state.splitter = SimpleNamespace(last_event=9)
        self.state.record_event(self.clock.now)
        self.clock.now += 1.5
        self.break_attempt("read")
        self.assertEqual(self.crashes.breaks, [])

    def test_next_attempt_counts_from_its_own_first_event(self):
        self.state.record_event(self.clock.now)
        self.clock.now += 1.5
        self.state.begin_attempt("t2")
        self.break_attempt("wait")
        self.assertEqual(self.crashes.breaks, [("t1", [DIGEST, *PARTS])])

    def test_stream_that_is_taken_up_has_begun_before(self):
        self.break_attempt("wait", last_event=3)
        self.assertEqual(self.crashes.breaks, [("t1", [DIGEST])])


class TestAnswers(GuardTestCase):
    def answer(self, status=200, **headers):
        response = SimpleNamespace(status=status, headers=headers)
        self.guard.record_answer(self.admitted(), response)
        return self.crashes.answers

    def test_whole_answer_clears_the_request(self):
        self.assertEqual(self.answer(**{"Content-Length": "3"}), [DIGEST])

    def test_error_of_the_target_clears_nobody(self):
        self.assertEqual(self.answer(500, **{"Content-Length": "3"}), [])

    def test_answer_that_ends_with_its_connection_clears_nobody(self):
        self.assertEqual(self.answer(), [])

    def test_first_event_clears_the_parts(self):
        self.guard.record_begin(self.admitted())
        self.assertEqual(self.crashes.answers, PARTS)


class TestChecks(GuardTestCase):
    def test_quarantined_request_is_refused_with_the_time_left(self):
        self.crashes.refused_s = 25.0
        with self.assertRaises(RefusedError) as caught:
            self.guard.check(self.admitted(), self.state)
        error = caught.exception
        self.assertEqual((error.status, error.retry_after_s), (503, 25.0))
        self.assertEqual(self.crashes.refused_count, 1)
        self.assertTrue(self.guard.refuses(self.admitted(), self.state))
        self.assertFalse(self.guard.may_retry(self.admitted()))

    def test_probe_passes_all_checks_and_has_one_attempt(self):
        self.crashes.refused_s = 25.0
        self.crashes.may_probe = True
        self.guard.check(self.admitted(), self.state)
        self.crashes.may_probe = False
        self.guard.check(self.admitted(), self.state)
        self.assertFalse(self.guard.may_retry(self.admitted()))

    def test_retry_is_no_probe(self):
        self.crashes.refused_s = 25.0
        self.crashes.may_probe = True
        self.state.begin_attempt("t1")
        with self.assertRaises(RefusedError):
            self.guard.check(self.admitted(), self.state)

    def test_other_requests_pass(self):
        self.guard.check(self.admitted(), self.state)
        self.assertTrue(self.guard.may_retry(self.admitted()))


if __name__ == "__main__":
    unittest.main()
