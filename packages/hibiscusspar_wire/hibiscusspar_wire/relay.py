"""Carries a request to targets and its answer to the caller, whole or broken."""

import time

from msgspec import MsgspecError, Struct
from msgspec.json import decode as from_json
from msgspec.json import encode as to_json

from hibiscusspar.errors import StepError
from hibiscusspar.requests.events import (
    CONNECTION_SILENT,
    REQUEST_CANCELLED,
    REQUEST_REJECTED,
    STREAM_RESUMED,
)
from hibiscusspar.requests.lifecycle import Outcome, Step
from hibiscusspar.requests.retry import Cause, GiveUp
from hibiscusspar_wire.crash_watch import CrashWatch
from hibiscusspar_wire.relay_types import GaveUpError, Relayed
from hibiscusspar_wire.stream_check import StreamCheck
from hibiscusspar_wire.target_client import TargetError

__all__ = ["Relay"]

MIN_WAIT_S = 0.001
_CRASH_CAUSES = frozenset({Cause.CLOSED, Cause.TRUNCATED, Cause.STREAM_CLOSED})
_SILENT_CAUSES = frozenset({Cause.SILENT, Cause.STREAM_SILENT})
_NOT_RELAYED = frozenset(
    {"connection", "content-length", "date", "keep-alive", "server"}
    | {"transfer-encoding", "x-run", "x-request-id"}
)


class _Usage(Struct, frozen=True):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Completion(Struct):
    usage: _Usage = _Usage()


class Relay:
    """Follows the life of requests with sockets.

    Parameters
    ----------
    system : RequestSystem
    targets : TargetClient
    hooks : Hooks
    locked_systems : callable
        Context manager that yields the time and an outbox under the lock of the
        tables.
    sleep : callable
    """

    def __init__(self, system, targets, hooks, locked_systems, sleep=time.sleep):
        self._system = system
        self._targets = targets
        self._hooks = hooks
        self._locked_systems = locked_systems
        self._sleep = sleep
        self._crash_watch = CrashWatch()

    def run(self, work):
        """Return the answer to a request; raise :class:`GaveUpError` if there is none.

        The body of a stream must be exhausted or closed, which ends the request.
        """
        quarantined_s = self._begin(work)
        try:
            _refuse_poison(quarantined_s)
            return self._attempts(work)
        except Exception as error:
            state = self._give_up_if_open(work)
            if state is not None and state.outcome is Outcome.UNKNOWN:
                raise _outcome_unknown(error) from error
            raise

    def _begin(self, work):
        """Note a new request; return for how long its body is quarantined."""
        with self._locked_systems() as (now, out):
            self._system.begin(work.request_id, work.idempotent)
            self._system.step(work.request_id, Step.RESERVE, out, work.tokens)
            self._system.step(work.request_id, Step.ENQUEUE, out)
            return self._system.quarantine.refused_for(now, work.digest)

    def _attempts(self, work):
        tried = set()
        while True:
            placed, sent_at = self._place(work, tried)
            try:
                return self._attempt(work, placed, sent_at)
            except TargetError as error:
                failure = error
            except BaseException:
                self._hooks.left(work, placed, Cause.CLOSED)
                raise
            self._hooks.left(work, placed, failure.cause)
            decision = self._failed(work, placed, failure, work.deadline)
            if failure.cause is Cause.NOT_RESIDENT:
                self._hooks.missing(work, placed)
            else:
                tried.add(placed.target)
            if isinstance(decision, GiveUp):
                raise self._gave_up(work, placed, failure, decision)
            self._sleep(decision.delay_s)

    def _place(self, work, tried):
        def excluded(candidates):
            with self._locked_systems() as (now, _out):
                ejected = self._system.ejection.excluded(now, sorted(candidates))
            return ejected | tried if set(candidates) - ejected - tried else ejected

        placed = self._hooks.place(work, excluded)
        with self._locked_systems() as (now, out):
            self._system.step(work.request_id, Step.GRANT, out)
            self._system.step(work.request_id, Step.SEND, out)
            self._system.ejection.record_attempt(now, placed.target, out)
        return placed, now

    def _attempt(self, work, placed, sent_at):
        answer = self._targets.send(
            placed.address,
            work.method,
            work.uri,
            work.headers,
            work.body,
            self._answer_timeout(work, sent_at),
            work.idempotent,
        )
        self._targets.check(placed.address, answer, work.request_id, work.label)
        self.incarnation_seen(placed.target, answer.headers.get("X-Incarnation", ""))
        headers = _relayed_headers(answer)
        if work.stream and answer.status == 200:
            self._step(work, Step.BEGIN_ANSWER)
            check = StreamCheck(work.request_id, work.label)
            body = _Stream(self._stream(work, placed, answer, check))
            return Relayed(answer.status, headers, body)
        data = self._targets.read(placed.address, answer)
        tokens = _tokens(work, data)
        self._complete(work, placed, answer.status, tokens, Step.BEGIN_ANSWER)
        return Relayed(answer.status, headers, data)

    def _answer_timeout(self, work, now):
        left_s = max(work.deadline - now, MIN_WAIT_S)
        if work.stream:
            return min(left_s, self._targets.silence_timeout_s)
        # Half of the time left leaves room for another attempt.
        return left_s / 2 if work.idempotent else left_s

    def incarnation_seen(self, target, incarnation):
        """Take in the incarnation that a target shows."""
        digests = self._crash_watch.seen(target, str(incarnation))
        self._note_crashes(target, digests)

    def _note_crashes(self, target, digests):
        if not digests:
            return
        with self._locked_systems() as (now, out):
            for digest in digests:
                self._system.quarantine.crashed(now, digest, target, out)

    def _failed(self, work, placed, error, deadline, resumes=0):
        """Note a failed attempt and return what the rules decide."""
        if error.cause in _CRASH_CAUSES:
            self._look_for_crash(work, placed)
        with self._locked_systems() as (now, out):
            if error.cause in _SILENT_CAUSES:
                phase = self._system.in_flight[work.request_id].phase.value
                out.log(
                    CONNECTION_SILENT,
                    request_id=work.request_id,
                    target=placed.target,
                    phase=phase,
                )
            return self._system.attempt_failed(
                now,
                work.request_id,
                placed.target,
                error.cause,
                deadline,
                out,
                resumes,
            )

    def _look_for_crash(self, work, placed):
        self._crash_watch.suspect(placed.target, work.digest)
        try:
            incarnation = self._targets.incarnation(placed.address)
        except TargetError as error:
            if error.cause is Cause.NOT_SENT:
                digests = self._crash_watch.crashed(placed.target)
                self._note_crashes(placed.target, digests)
            return
        if self._crash_watch.differs(placed.target, incarnation):
            self.incarnation_seen(placed.target, incarnation)

    def _gave_up(self, work, placed, error, decision):
        with self._locked_systems() as (_now, out):
            state = self._system.step(work.request_id, Step.GIVE_UP, out)
            ran = "not-run" if state.outcome is Outcome.NOT_RUN else "unknown"
            code = "target_unavailable" if ran == "not-run" else "outcome_unknown"
            out.log(
                REQUEST_REJECTED,
                request_id=work.request_id,
                code=code,
                ran=ran,
                retry_after_s=decision.retry_after_s,
            )
        status = 503 if ran == "not-run" else 502
        self._hooks.ended(work, state, placed.target, status)
        reason = f"{error.cause.value}; {decision.reason}"
        return GaveUpError(
            error.step, "", reason, code, status, ran, decision.retry_after_s
        )

    def _give_up_if_open(self, work, target="", status=0, tokens=0):
        with self._locked_systems() as (_now, out):
            if work.request_id not in self._system.in_flight:
                return None
            state = self._system.step(work.request_id, Step.GIVE_UP, out, tokens)
        self._hooks.ended(work, state, target, status)
        return state

    def _step(self, work, step):
        with self._locked_systems() as (_now, out):
            self._system.step(work.request_id, step, out)

    def _complete(self, work, placed, status, tokens, *steps):
        with self._locked_systems() as (_now, out):
            for step in steps:
                self._system.step(work.request_id, step, out)
            self._system.ejection.succeeded(placed.target, out)
            state = self._system.step(work.request_id, Step.COMPLETE, out, tokens)
        self._hooks.left(work, placed, None)
        self._hooks.ended(work, state, placed.target, status)

    def _stream(self, work, placed, answer, check):
        resumes = 0
        try:
            while True:
                try:
                    yield from self._targets.stream(placed.address, answer, check)
                    break
                except TargetError as error:
                    resumes += 1
                    found = self._resume(work, placed, check, error, resumes)
                    placed, answer, check = found
        except GeneratorExit:
            self._cancel(work, placed, check)
            raise
        except Exception as error:
            self._broken(work, placed, check)
            yield _broken_frame(error)
            raise
        self._complete(work, placed, 200, check.tokens)

    def _broken(self, work, placed, check):
        self._hooks.left(work, placed, Cause.STREAM_CLOSED)
        self._give_up_if_open(work, placed.target, 200, check.index)

    def _resume(self, work, placed, check, error, resumes):
        """Return where the stream goes on, or raise what broke it."""
        with self._locked_systems() as (now, _out):
            deadline = now + self._targets.silence_timeout_s
        decision = self._failed(work, placed, error, deadline, resumes - 1)
        if isinstance(decision, GiveUp):
            reason = f"{error.cause.value}; {decision.reason}"
            raise StepError(error.step, "", reason) from error
        self._sleep(decision.delay_s)
        try:
            answer = self._reconnect(work, placed, check)
        except TargetError as failure:
            if not work.idempotent:
                reason = f"{error.cause.value}; then {failure.cause.value}"
                raise StepError(failure.step, "", reason) from failure
            return self._replay(work, placed, check)
        return placed, answer, check

    def _reconnect(self, work, placed, check):
        answer = self._targets.resume(placed.address, work.request_id, check.index)
        self._targets.check(placed.address, answer, work.request_id, work.label)
        check.reconnect()
        self._step(work, Step.RESUME)
        self._log_resumed(work, placed, check)
        return answer

    def _replay(self, work, placed, check):
        """Run an idempotent request again, to go on where its stream broke."""
        self._hooks.left(work, placed, Cause.STREAM_CLOSED)
        self._step(work, Step.LOSE)
        placed, _ = self._place(work, {placed.target})
        answer = self._targets.send(
            placed.address, work.method, work.uri, work.headers, work.body
        )
        self._targets.check(placed.address, answer, work.request_id, work.label)
        self._step(work, Step.BEGIN_ANSWER)
        return placed, answer, check.replay()

    def _log_resumed(self, work, placed, check):
        with self._locked_systems() as (_now, out):
            out.log(
                STREAM_RESUMED,
                request_id=work.request_id,
                target=placed.target,
                offset=check.index,
            )

    def _cancel(self, work, placed, check):
        with self._locked_systems() as (_now, out):
            out.log(REQUEST_CANCELLED, request_id=work.request_id, target=placed.target)
        self._hooks.left(work, placed, None)
        self._give_up_if_open(work, placed.target, 200, check.index)
        try:
            self._targets.cancel(placed.address, work.request_id)
        except TargetError:
            return


def _refuse_poison(quarantined_s):
    if quarantined_s > 0:
        reason = "requests with this body crashed two targets"
        raise GaveUpError(
            "quarantine", "", reason, "body_quarantined", 422, "not-run", quarantined_s
        )


class _Stream:
    """Iterator of a stream whose end is certain, even if it is never started."""

    def __init__(self, frames):
        self._frames = frames
        self._first = next(frames, b"")

    def __iter__(self):
        return self

    def __next__(self):
        if self._first:
            first, self._first = self._first, b""
            return first
        return next(self._frames)

    def close(self):
        """Cancel the request if its answer is not whole."""
        self._frames.close()


def _outcome_unknown(error):
    """Return the end of a request that was sent before and found no target again."""
    step = getattr(error, "step", "relay")
    reason = getattr(error, "reason", type(error).__name__)
    retry_after_s = getattr(error, "retry_after_s", None)
    reason = f"an earlier attempt may have run; then: {reason}"
    return GaveUpError(
        step, "", reason, "outcome_unknown", 502, "unknown", retry_after_s
    )


def _tokens(work, data):
    if not work.label:
        return work.tokens
    try:
        usage = from_json(data, type=_Completion).usage
    except MsgspecError:
        return work.tokens
    return usage.prompt_tokens + usage.completion_tokens


def _relayed_headers(answer):
    return tuple(
        (name, value)
        for name, value in answer.headers.items()
        if name.lower() not in _NOT_RELAYED
    )


def _broken_frame(error):
    step = getattr(error, "step", "stream")
    reason = getattr(error, "reason", type(error).__name__)
    fields = {"code": "stream_broken", "message": reason, "step": step}
    frame = to_json({"error": {**fields, "ran": "unknown"}})
    return b"event: error\ndata: " + frame + b"\n\n"
