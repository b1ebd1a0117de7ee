"""Tests of the request lifecycle and of the system of requests."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusspar.errors import StepError
from hibiscusspar.outbox import Outbox
from hibiscusspar.requests.lifecycle import (
    TRANSITIONS,
    Outcome,
    Phase,
    Step,
    advance,
    initial_state,
)
from hibiscusspar.requests.retry import Cause, GiveUp, Retry
from hibiscusspar.requests.system import RequestSystem
from hibiscusspar.requests.tests.fakes import FakeMembers

FIXED = settings(derandomize=True, database=None, deadline=None, max_examples=300)


class TestAdvance(unittest.TestCase):
    @FIXED
    @given(st.lists(st.sampled_from(list(Step)), max_size=40), st.booleans())
    def test_every_path_ends_once_with_the_right_outcome(self, steps, idempotent):
        state = initial_state("r", idempotent)
        sends, lost, begun, ends = 0, False, False, 0
        for step in [*steps, Step.GIVE_UP]:
            before = state
            try:
                state = advance(state, step, 7)
            except StepError:
                continue
            sends += step is Step.SEND
            lost = lost or (step is Step.LOSE and before.phase is Phase.SENT)
            lost = lost or (step is Step.GIVE_UP and before.phase is Phase.SENT)
            begun = begun or step is Step.BEGIN_ANSWER
            ends += state.phase is Phase.DONE
        self.assertEqual(ends, 1)
        self.assertIn(state.outcome, set(Outcome))
        self.assertEqual(state.outcome is Outcome.NOT_RUN, not (lost or begun))
        if state.outcome is Outcome.NOT_RUN:
            self.assertEqual(state.tokens, 0)

    @FIXED
    @given(st.integers(0, 2**32))
    def test_not_idempotent_is_sent_once_unless_it_surely_did_not_run(self, seed):
        rng, state, may_have_run = Random(seed), initial_state("r", False), False
        while state.phase is not Phase.DONE:
            step = rng.choice([s for phase, s in TRANSITIONS if phase is state.phase])
            try:
                state = advance(state, step)
            except StepError:
                self.assertTrue(step is Step.SEND and may_have_run)
                continue
            self.assertFalse(step is Step.SEND and may_have_run)
            may_have_run |= step is Step.LOSE or step is Step.BEGIN_ANSWER

    def test_done_allows_no_step(self):
        self.assertFalse([1 for phase, _ in TRANSITIONS if phase is Phase.DONE])
        state = advance(initial_state("r", True), Step.GIVE_UP)
        with self.assertRaisesRegex(StepError, "illegal in phase 'done'"):
            advance(state, Step.GIVE_UP)

    def test_every_phase_can_end(self):
        ends = {phase for phase, step in TRANSITIONS if step is Step.GIVE_UP}
        self.assertEqual(ends, set(Phase) - {Phase.DONE})

    def test_unknown_is_settled_with_the_reservation(self):
        state = advance(initial_state("r", False), Step.RESERVE, 50)
        for step in (Step.ENQUEUE, Step.GRANT, Step.SEND, Step.GIVE_UP):
            state = advance(state, step)
        self.assertEqual((state.outcome, state.tokens), (Outcome.UNKNOWN, 50))


class TestRequestSystem(unittest.TestCase):
    def setUp(self):
        self.out = Outbox()
        self.system = RequestSystem(FakeMembers("a"), Random(1), "1")

    def sent(self, idempotent):
        self.system.begin("r", idempotent)
        for step in (Step.RESERVE, Step.ENQUEUE, Step.GRANT, Step.SEND):
            self.system.step("r", step, self.out)

    def test_idempotent_is_retried_and_other_is_not(self):
        for idempotent, kind in ((True, Retry), (False, GiveUp)):
            self.sent(idempotent)
            decision = self.system.attempt_failed(
                0, "r", "t", Cause.CLOSED, 10, self.out
            )
            self.assertIsInstance(decision, kind)
            state = self.system.step("r", Step.GIVE_UP, self.out)
            self.assertIs(state.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.system.in_flight, {})

    def test_unsent_is_retried_and_given_up_as_not_run(self):
        self.sent(False)
        decision = self.system.attempt_failed(0, "r", "t", Cause.NOT_SENT, 10, self.out)
        self.assertIsInstance(decision, Retry)
        state = self.system.step("r", Step.GIVE_UP, self.out)
        self.assertIs(state.outcome, Outcome.NOT_RUN)

    def test_status_shows_what_is_refused_and_why(self):
        for target in ("t", "t", "t"):
            self.system.ejection.failed(0.0, target, self.out)
        for target in ("t", "u"):
            self.system.quarantine.crashed(0.0, "d", target, self.out)
        status = self.system.status(100.0)
        self.assertEqual(status["ejected"], ["t"])
        self.assertEqual(status["quarantined"], {"d": 200.0})

    def test_resumable_stream_keeps_its_phase(self):
        self.sent(False)
        self.system.step("r", Step.BEGIN_ANSWER, self.out)
        decision = self.system.attempt_failed(
            0, "r", "t", Cause.STREAM_SILENT, 10, self.out
        )
        self.assertIsInstance(decision, Retry)
        self.assertIs(self.system.in_flight["r"].phase, Phase.FIRST_BYTE)
