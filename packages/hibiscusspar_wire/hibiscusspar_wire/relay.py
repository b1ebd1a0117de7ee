"""Relay of a request to targets, with retries, and of its answer to the caller."""

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
from hibiscusspar_wire.crash_detector import CrashDetector
from hibiscusspar_wire.relay_types import GaveUpError, RelayedAnswer
from hibiscusspar_wire.stream_check import StreamCheck
from hibiscusspar_wire.target_client import TargetError

__all__ = ["Relay"]

MIN_WAIT_S = 0.001
_CRASH_CAUSES = frozenset({Cause.CLOSED, Cause.TRUNCATED, Cause.STREAM_CLOSED})
_SILENT_CAUSES = frozenset({Cause.SILENT, Cause.STREAM_SILENT})
_UNRELAYED_HEADERS = frozenset(
    {"connection", "content-length", "date", "keep-alive", "server"}
    | {"transfer-encoding", "x-run", "x-request-id"}
)


class _Usage(Struct, frozen=True):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Completion(Struct):
    usage: _Usage = _Usage()


class Relay:
    """Relay that sends requests to targets as :class:`RequestSystem` decides.

    Parameters
    ----------
    system : RequestSystem
    targets : TargetClient
    hooks : Hooks
    locked_systems : callable
        Context manager that locks the systems and yields the time and an outbox.
    sleep : callable
    """

    def __init__(self, system, targets, hooks, locked_systems, sleep=time.sleep):
        self._system = system
        self._targets = targets
        self._hooks = hooks
        self._locked_systems = locked_systems
        self._sleep = sleep
        self._crash_detector = CrashDetector()

    def run(self, request):
        """Return the answer to a request; raise :class:`GaveUpError` if there is none.

        The body of a stream must be exhausted or closed; the request ends only then.
        """
        quarantined_s = self._begin(request)
        try:
            _refuse_quarantined(quarantined_s)
            return self._run_attempts(request)
        except Exception as error:
            state = self._give_up_if_open(request)
            if state is not None and state.outcome is Outcome.UNKNOWN:
                raise _unknown_outcome_error(error) from error
            raise

    def _begin(self, request):
        """Record a new request; return the seconds that its body stays quarantined."""
        with self._locked_systems() as (now, out):
            self._system.begin(request.request_id, request.idempotent)
            self._system.step(request.request_id, Step.RESERVE, out, request.tokens)
            self._system.step(request.request_id, Step.ENQUEUE, out)
            return self._system.quarantine.refused_for(now, request.digest)

    def _run_attempts(self, request):
        tried = set()
        while True:
            granted, sent_at = self._acquire_target(request, tried)
            try:
                return self._run_attempt(request, granted, sent_at)
            except TargetError as error:
                failure = error
            except BaseException:
                self._hooks.on_attempt_ended(request, granted, Cause.CLOSED)
                raise
            self._hooks.on_attempt_ended(request, granted, failure.cause)
            decision = self._record_failure(request, granted, failure, request.deadline)
            if failure.cause is Cause.NOT_RESIDENT:
                self._hooks.on_adapter_missing(request, granted)
            else:
                tried.add(granted.target)
            if isinstance(decision, GiveUp):
                raise self._give_up(request, granted, failure, decision)
            self._sleep(decision.delay_s)

    def _acquire_target(self, request, tried):
        def excluded(candidates):
            with self._locked_systems() as (now, _out):
                ejected = self._system.ejection.excluded(now, sorted(candidates))
            return ejected | tried if set(candidates) - ejected - tried else ejected

        granted = self._hooks.acquire_target(request, excluded)
        with self._locked_systems() as (now, out):
            self._system.step(request.request_id, Step.GRANT, out)
            self._system.step(request.request_id, Step.SEND, out)
            self._system.ejection.record_attempt(now, granted.target, out)
        return granted, now

    def _run_attempt(self, request, granted, sent_at):
        answer = self._targets.send(
            granted.address,
            request.method,
            request.uri,
            request.headers,
            request.body,
            self._answer_timeout(request, sent_at),
            request.idempotent,
        )
        self._targets.check(granted.address, answer, request.request_id, request.label)
        self.record_incarnation(granted.target, answer.headers.get("X-Incarnation", ""))
        headers = _relayed_headers(answer)
        if request.stream and answer.status == 200:
            self._step(request, Step.BEGIN_ANSWER)
            check = StreamCheck(request.request_id, request.label)
            body = _StartedStream(self._stream(request, granted, answer, check))
            return RelayedAnswer(answer.status, headers, body)
        data = self._targets.read(granted.address, answer)
        tokens = _used_tokens(request, data)
        self._complete(request, granted, answer.status, tokens, Step.BEGIN_ANSWER)
        return RelayedAnswer(answer.status, headers, data)

    def _answer_timeout(self, request, now):
        left_s = max(request.deadline - now, MIN_WAIT_S)
        if request.stream:
            return min(left_s, self._targets.silence_timeout_s)
        # Use half of the remaining time, so that there is time for another attempt.
        return left_s / 2 if request.idempotent else left_s

    def record_incarnation(self, target, incarnation):
        """Record the incarnation that a target reported."""
        digests = self._crash_detector.record_incarnation(target, str(incarnation))
        self._record_crashes(target, digests)

    def _record_crashes(self, target, digests):
        if not digests:
            return
        with self._locked_systems() as (now, out):
            for digest in digests:
                self._system.quarantine.crashed(now, digest, target, out)

    def _record_failure(self, request, granted, error, deadline, resumes=0):
        """Record a failed attempt and return the retry decision."""
        if error.cause in _CRASH_CAUSES:
            self._check_for_crash(request, granted)
        with self._locked_systems() as (now, out):
            if error.cause in _SILENT_CAUSES:
                phase = self._system.in_flight[request.request_id].phase.value
                out.log(
                    CONNECTION_SILENT,
                    request_id=request.request_id,
                    target=granted.target,
                    phase=phase,
                )
            return self._system.attempt_failed(
                now,
                request.request_id,
                granted.target,
                error.cause,
                deadline,
                out,
                resumes,
            )

    def _check_for_crash(self, request, granted):
        self._crash_detector.add_suspect(granted.target, request.digest)
        try:
            incarnation = self._targets.incarnation(granted.address)
        except TargetError as error:
            if error.cause is Cause.NOT_SENT:
                digests = self._crash_detector.pop_suspects(granted.target)
                self._record_crashes(granted.target, digests)
            return
        if self._crash_detector.is_new_incarnation(granted.target, incarnation):
            self.record_incarnation(granted.target, incarnation)

    def _give_up(self, request, granted, error, decision):
        """Record that a request is given up and return its error."""
        with self._locked_systems() as (_now, out):
            state = self._system.step(request.request_id, Step.GIVE_UP, out)
            ran = "not-run" if state.outcome is Outcome.NOT_RUN else "unknown"
            code = "target_unavailable" if ran == "not-run" else "outcome_unknown"
            out.log(
                REQUEST_REJECTED,
                request_id=request.request_id,
                code=code,
                ran=ran,
                retry_after_s=decision.retry_after_s,
            )
        status = 503 if ran == "not-run" else 502
        self._hooks.on_request_ended(request, state, granted.target, status)
        reason = f"{error.cause.value}; {decision.reason}"
        return GaveUpError(
            error.step, "", reason, code, status, ran, decision.retry_after_s
        )

    def _give_up_if_open(self, request, target="", status=0, tokens=0):
        with self._locked_systems() as (_now, out):
            if request.request_id not in self._system.in_flight:
                return None
            state = self._system.step(request.request_id, Step.GIVE_UP, out, tokens)
        self._hooks.on_request_ended(request, state, target, status)
        return state

    def _step(self, request, step):
        with self._locked_systems() as (_now, out):
            self._system.step(request.request_id, step, out)

    def _complete(self, request, granted, status, tokens, *steps):
        with self._locked_systems() as (_now, out):
            for step in steps:
                self._system.step(request.request_id, step, out)
            self._system.ejection.succeeded(granted.target, out)
            state = self._system.step(request.request_id, Step.COMPLETE, out, tokens)
        self._hooks.on_attempt_ended(request, granted, None)
        self._hooks.on_request_ended(request, state, granted.target, status)

    def _stream(self, request, granted, answer, check):
        resumes = 0
        try:
            while True:
                try:
                    yield from self._targets.stream(granted.address, answer, check)
                    break
                except TargetError as error:
                    resumes += 1
                    found = self._resume(request, granted, check, error, resumes)
                    granted, answer, check = found
        except GeneratorExit:
            self._cancel(request, granted, check)
            raise
        except Exception as error:
            self._end_broken_stream(request, granted, check)
            yield _error_frame(error)
            raise
        self._complete(request, granted, 200, check.tokens)

    def _end_broken_stream(self, request, granted, check):
        self._hooks.on_attempt_ended(request, granted, Cause.STREAM_CLOSED)
        self._give_up_if_open(request, granted.target, 200, check.index)

    def _resume(self, request, granted, check, error, resumes):
        """Return the target, answer and check that continue the stream.

        Raises
        ------
        StepError
            If the stream is given up.
        """
        with self._locked_systems() as (now, _out):
            deadline = now + self._targets.silence_timeout_s
        decision = self._record_failure(request, granted, error, deadline, resumes - 1)
        if isinstance(decision, GiveUp):
            reason = f"{error.cause.value}; {decision.reason}"
            raise StepError(error.step, "", reason) from error
        self._sleep(decision.delay_s)
        try:
            answer = self._reconnect(request, granted, check)
        except TargetError as failure:
            if not request.idempotent:
                reason = f"{error.cause.value}; then {failure.cause.value}"
                raise StepError(failure.step, "", reason) from failure
            return self._replay(request, granted, check)
        return granted, answer, check

    def _reconnect(self, request, granted, check):
        answer = self._targets.resume(granted.address, request.request_id, check.index)
        self._targets.check(granted.address, answer, request.request_id, request.label)
        check.discard_partial_frame()
        self._step(request, Step.RESUME)
        self._log_resumed(request, granted, check)
        return answer

    def _replay(self, request, granted, check):
        """Continue the stream of an idempotent request by running it again."""
        self._hooks.on_attempt_ended(request, granted, Cause.STREAM_CLOSED)
        self._step(request, Step.LOSE)
        granted, _ = self._acquire_target(request, {granted.target})
        answer = self._targets.send(
            granted.address, request.method, request.uri, request.headers, request.body
        )
        self._targets.check(granted.address, answer, request.request_id, request.label)
        self._step(request, Step.BEGIN_ANSWER)
        return granted, answer, check.replay()

    def _log_resumed(self, request, granted, check):
        with self._locked_systems() as (_now, out):
            out.log(
                STREAM_RESUMED,
                request_id=request.request_id,
                target=granted.target,
                offset=check.index,
            )

    def _cancel(self, request, granted, check):
        with self._locked_systems() as (_now, out):
            out.log(
                REQUEST_CANCELLED, request_id=request.request_id, target=granted.target
            )
        self._hooks.on_attempt_ended(request, granted, None)
        self._give_up_if_open(request, granted.target, 200, check.index)
        try:
            self._targets.cancel(granted.address, request.request_id)
        except TargetError:
            return


def _refuse_quarantined(quarantined_s):
    if quarantined_s > 0:
        reason = "requests with this body crashed two targets"
        raise GaveUpError(
            "quarantine", "", reason, "body_quarantined", 422, "not-run", quarantined_s
        )


class _StartedStream:
    """Iterator of a stream that ends the request even if it is never iterated.

    ``close`` does not run the ``finally`` and ``except`` clauses of a generator
    that was not started, so the first frame is read on construction.
    """

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
        """Cancel the request if its answer is not complete."""
        self._frames.close()


def _unknown_outcome_error(error):
    """Return the error of a request that was sent once and then got no target."""
    step = getattr(error, "step", "relay")
    reason = getattr(error, "reason", type(error).__name__)
    retry_after_s = getattr(error, "retry_after_s", None)
    reason = f"an earlier attempt may have run; then: {reason}"
    return GaveUpError(
        step, "", reason, "outcome_unknown", 502, "unknown", retry_after_s
    )


def _used_tokens(request, data):
    if not request.label:
        return request.tokens
    try:
        usage = from_json(data, type=_Completion).usage
    except MsgspecError:
        return request.tokens
    return usage.prompt_tokens + usage.completion_tokens


def _relayed_headers(answer):
    return tuple(
        (name, value)
        for name, value in answer.headers.items()
        if name.lower() not in _UNRELAYED_HEADERS
    )


def _error_frame(error):
    step = getattr(error, "step", "stream")
    reason = getattr(error, "reason", type(error).__name__)
    fields = {"code": "stream_broken", "message": reason, "step": step}
    frame = to_json({"error": {**fields, "ran": "unknown"}})
    return b"event: error\ndata: " + frame + b"\n\n"
