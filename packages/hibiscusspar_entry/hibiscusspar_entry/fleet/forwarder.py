"""Forwarding of a caller's request to a target, with retries."""

import threading
from contextlib import suppress

from hibiscusspar.fleet.retries import (
    UNSENT_STEPS,
    AttemptFailure,
    RetryDecision,
    retry_decision,
)
from hibiscusspar.fleet.waiting import Refuse
from hibiscusspar_entry.fleet.answer_checks import (
    head_failure,
    is_event_stream,
    stream_end_failure,
)
from hibiscusspar_entry.fleet.call_admission import Admission
from hibiscusspar_entry.fleet.call_log import CallLog
from hibiscusspar_entry.fleet.crash_guard import CrashGuard
from hibiscusspar_entry.fleet.ended_by import EndedBy
from hibiscusspar_entry.fleet.forward_policy import ForwardPolicy
from hibiscusspar_entry.fleet.no_moves import NoMoves
from hibiscusspar_entry.fleet.placement_job import make_job
from hibiscusspar_entry.fleet.refusal import (
    CallerLeftError,
    FailedError,
    RefusedError,
)
from hibiscusspar_entry.fleet.request_state import RequestState
from hibiscusspar_entry.fleet.stream_continuation import StreamContinuation
from hibiscusspar_entry.fleet.target_statements import AnswerOrigin
from hibiscusspar_entry.fleet.token_gate import TokenGate
from hibiscusspar_wire.dialect import Forwarding
from hibiscusspar_wire.event_stream import EventSplitter
from hibiscusspar_wire.front_server import BadRequestError, CallerGoneError
from hibiscusspar_wire.target_connections import CallFailedError

__all__ = ["Forwarder"]

# Longest wait for the rest of a refusal, in seconds. Refusals are short and arrive in
# one piece.
_REFUSAL_READ_S = 0.2
_MAX_REFUSAL_BYTES = 65_536
# Size up to which a plain answer is read whole before it is passed on. A node holds one
# such buffer for each of some hundred open requests.
_WHOLE_ANSWER_BYTES = 262_144
_UNLIMITED_BODY = 2**62


class Forwarder:
    """Handler of the requests that callers send to one node.

    Parameters
    ----------
    parts : FleetParts
        Components of the node; see ``hibiscusspar_entry.fleet.node``.
    policy : ForwardPolicy, optional
    mover : StreamMover, optional
        By default no stream moves.
    """

    def __init__(self, parts, policy=None, mover=None):
        self._parts = parts
        self._policy = policy or ForwardPolicy()
        self._mover = mover or NoMoves()
        self._clock = parts.clock
        self._admission = Admission(parts.config, parts.dialect, parts.key_age_limit_s)
        self._log = CallLog(
            parts.clock, parts.request_scheduler, parts.metrics, parts.config
        )
        self._streams = StreamContinuation(
            parts.origins, parts.request_scheduler, self._policy.failed_retry_s
        )
        self._crash_guard = CrashGuard(parts.clock, parts.crashes)
        self._tokens = TokenGate(
            parts.clock, parts.quota, parts.quota_changed, parts.request_scheduler
        )
        parts.crashes.on_quarantined = self._recheck_waiting
        self._open = set()
        self._lock = threading.Lock()
        self.draining_since = None

    @property
    def open_requests(self):
        """Number of requests in progress."""
        return len(self._open)

    def is_closed(self, now):
        """Return whether a graceful stop has reached the point of refusing requests."""
        since = self.draining_since
        return since is not None and now > since + self._policy.accept_s

    def handle(self, inbound):
        """Answer one request of a caller."""
        arrived = self._clock()
        state = RequestState()
        with self._lock:
            self._open.add(state)
        watch = self._parts.disconnect_watch
        handle = watch.add(inbound.socket, state.cancel)
        admitted = None
        try:
            self._refuse_if_closed(inbound, arrived)
            admitted = state.admitted = self._admission.admit(inbound, arrived)
            self._run(inbound, admitted, state)
        except RefusedError as error:
            if state.may_have_run:
                failure = FailedError(502, error.reason, error.by)
                self._fail(inbound, admitted, state, failure)
            else:
                self._refuse(inbound, admitted, error, arrived)
        except BadRequestError as error:
            inbound.close_after_answer()
            self._refuse(
                inbound, admitted, RefusedError(error.status, error.reason), arrived
            )
        except FailedError as error:
            self._fail(inbound, admitted, state, error)
        except (CallerLeftError, CallerGoneError) as error:
            inbound.abort()
            reason = f"caller left: {error!r}"
            self._log.broken(admitted, state, 0, reason, EndedBy.CALLER)
        except Exception as error:  # noqa: BLE001
            # After an unexpected error it is unknown whether the request ran.
            failure = FailedError(502, f"internal: {error!r}", EndedBy.INTERNAL)
            self._fail(inbound, admitted, state, failure)
        finally:
            watch.remove(handle)
            with self._lock:
                self._open.discard(state)
            if self.draining_since is not None:
                inbound.close_after_answer()
            self._mover.end(state)

    def _refuse_if_closed(self, inbound, arrived):
        if self.is_closed(arrived):
            inbound.read_body(_UNLIMITED_BODY)
            reason = "this VM has left"
            raise RefusedError(503, reason, self._policy.draining_retry_s)

    def _run(self, inbound, admitted, state):
        parts = self._parts
        self._crash_guard.check(admitted, state)
        if admitted.resumes_stream:
            self._streams.find_origin(admitted, state)
        self._tokens.take(admitted, state.caller_gone)
        state.tokens_taken = True
        parts.retry_budgets.request(admitted.service, self._clock())
        parts.metrics.started.inc()
        try:
            while True:
                placement = state.take_onward()
                if placement is None:
                    placement = self._wait_for_placement(admitted, state)
                failure = self._try_target(inbound, admitted, state, placement)
                if failure is None:
                    return
                if state.onward is None:
                    self._handle_failure(admitted, state, failure)
        except RefusedError:
            if state.tokens_taken:
                self._tokens.give_back(admitted)
            raise

    def _recheck_waiting(self):
        """Wake the waiting requests, as some of them may be quarantined now."""
        with self._lock:
            waiting = [state for state in self._open if state.ticket is not None]
        for state in waiting:
            if self._crash_guard.refuses(state.admitted, state):
                state.stop_waiting()

    def _wait_for_placement(self, admitted, state):
        """Wait for a target and return it; raise ``RefusedError`` if none is found."""
        self._streams.check_origin(state)
        policy, route = self._policy, admitted.route
        factor = policy.wait_factor if admitted.is_engine else policy.plain_wait_factor
        now = self._clock()
        job = make_job(admitted, state, now, factor * route.first_byte_slo_s)
        request_scheduler = self._parts.request_scheduler
        ticket = state.ticket = request_scheduler.submit(job)
        if state.caller_gone.is_set():
            ticket.decided.set()
        ticket.decided.wait(max(0.0, job.give_up_at + 0.2 - now))
        if state.caller_gone.is_set() or ticket.decision is None:
            request_scheduler.withdraw(ticket)
            state.ticket = None
            if state.caller_gone.is_set():
                raise CallerLeftError
            self._crash_guard.check(admitted, state)
            raise RefusedError(503, "no decision", policy.failed_retry_s)
        state.ticket = None
        if isinstance(ticket.decision, Refuse):
            refusal = ticket.decision
            raise RefusedError(503, refusal.reason, refusal.retry_after_s)
        return ticket.placement

    def _try_target(self, inbound, admitted, state, placement):
        """Make one attempt; return its failure, or None if it was answered."""
        target_id = placement.target.target_id
        state.begin_attempt(target_id, self._parts.speeds.pace(placement, admitted))
        first_byte_received = False
        self._log.sent(admitted, state, placement)
        earlier_first_byte_at = state.first_byte_at
        sent_at = self._clock()
        try:
            connection, response = self._send(admitted, state, placement)
            answer = self._parts.dialect.answer_head(response.status, response.headers)
            origin = AnswerOrigin(placement.target, sent_at, connection.is_own)
            self._parts.statements.record(
                origin, answer, response.status, admitted.call.request_id
            )
            failure = head_failure(admitted, state, answer, response)
            if failure is not None:
                self._parts.request_scheduler.calls.record_failure(
                    placement, admitted, sent_at, failure.not_run, response.status
                )
                self._drain_refusal(state, connection, response, failure)
                if failure.adapter_missing:
                    self._parts.request_scheduler.record_missing_adapter(placement)
                self._mover.follow(state, failure)
                return failure
            self._record_first_byte(state, placement)
            state.progress_at = self._clock()
            first_byte_received = True
            self._relay(inbound, admitted, state, placement, connection, response)
            self._mover.complete(state)
            self._parts.request_scheduler.record_success(target_id)
            self._parts.request_scheduler.calls.record_answer(
                placement, admitted, sent_at, response.status
            )
            self._crash_guard.record_answer(admitted, response)
            return None
        except CallFailedError as error:
            if state.caller_gone.is_set():
                raise CallerLeftError from error
            is_unsent = error.step in UNSENT_STEPS
            self._parts.request_scheduler.calls.record_failure(
                placement, admitted, sent_at, is_unsent
            )
            failure = AttemptFailure(error.step, error.reason, is_unsent, False)
            if self._mover.follow(state, failure):
                return failure
            if error.step != "closed":
                self._parts.request_scheduler.record_failure(target_id, is_unsent)
            self._crash_guard.record_failure(admitted, state, placement.target, error)
            return failure
        finally:
            state.close_connection()
            if placement.is_reserved:
                self._parts.request_scheduler.release(placement, first_byte_received)
            if earlier_first_byte_at is None and state.first_byte_at is not None:
                seconds = state.first_byte_at - admitted.arrived
                self._parts.metrics.first_byte.observe(seconds)

    def _drain_refusal(self, state, connection, response, failure):
        """Drain a refusal to reuse its connection; close it after other failures."""
        if not failure.is_whole:
            connection.close()
            return
        try:
            connection.read_whole(response, _REFUSAL_READ_S, _MAX_REFUSAL_BYTES)
        except CallFailedError:
            # The head is enough to decide; the rest of the refusal isn't needed.
            connection.close()
            return
        state.release_connection(response.headers)

    def _record_first_byte(self, state, placement):
        if state.first_byte_at is None:
            state.first_byte_at = self._clock()
        self._parts.request_scheduler.record_first_byte(placement)

    def _send(self, admitted, state, placement):
        policy, target = self._policy, placement.target
        self._crash_guard.check(admitted, state)
        idle_s = policy.safe_idle_s
        if not admitted.route.idempotent:
            idle_s = policy.unsafe_idle_s
        suspects = self._crash_guard.suspects(admitted, state)
        paths = self._parts.paths
        if placement.is_reserved:
            request_id = admitted.call.request_id
            connection = paths.acquire(placement, idle_s, request_id, suspects)
        else:
            connection = paths.acquire_again(target, idle_s)
        state.connection = connection
        if state.caller_gone.is_set():
            connection.close()
            raise CallerLeftError
        self._admission.recheck_key(admitted)
        remaining_s = admitted.ends_at - self._clock()
        last_event = state.splitter.last_event if state.splitter else None
        forwarding = Forwarding(
            target.target_id,
            admitted.account,
            remaining_s,
            min(9, admitted.priority),
            last_event,
            placement.version if admitted.call.adapter else 0,
            state.copy,
        )
        head = admitted.head
        headers = self._parts.dialect.target_headers(head, admitted.call, forwarding)
        connection.send(head.method, head.uri, headers, admitted.body, remaining_s)
        return connection, connection.response(self._answer_wait_s(admitted, state))

    def _answer_wait_s(self, admitted, state):
        """Return how long a target may be silent before its answer, in seconds."""
        remaining_s = admitted.ends_at - self._clock()
        if not self._can_switch_target(admitted, state):
            return remaining_s
        if admitted.is_engine:
            return min(remaining_s, self._policy.first_event_silence_s)
        return remaining_s * self._policy.plain_silence_share

    def _event_wait_s(self, admitted, state, now, can_switch_target):
        """Return how long the next whole event of a stream may take, in seconds."""
        remaining_s = admitted.ends_at - now
        if not can_switch_target:
            return remaining_s
        silence_ends_at = state.progress_at + self._policy.stream_silence_s
        return min(remaining_s, silence_ends_at - now)

    def _can_switch_target(self, admitted, state):
        route = admitted.route
        return route.idempotent and state.attempts < route.max_attempts

    def _relay(self, inbound, admitted, state, placement, connection, response):
        headers = self._parts.dialect.answer_headers(response.headers)
        if self.draining_since is not None:
            headers.append(("Connection", "close"))
        if is_event_stream(response) and response.status == 200:
            self._relay_stream(
                inbound, admitted, state, placement, connection, response, headers
            )
        else:
            self._relay_whole(inbound, admitted, state, connection, response, headers)

    def _relay_whole(self, inbound, admitted, state, connection, response, headers):
        """Pass on a plain answer, as a whole unless it is long."""
        body = bytearray()
        while data := connection.read(response, admitted.ends_at - self._clock()):
            body += data
            if len(body) > _WHOLE_ANSWER_BYTES:
                if not state.answer_begun:
                    state.answer_begun = True
                    inbound.send_head(response.status, headers)
                inbound.write(bytes(body))
                body.clear()
        state.release_connection(response.headers)
        if state.answer_begun:
            inbound.write(bytes(body))
        else:
            inbound.answer(response.status, headers, bytes(body))
        self._log.answered(admitted, state, response.status)

    def _relay_stream(
        self, inbound, admitted, state, placement, connection, response, headers
    ):
        if state.splitter is None:
            state.splitter = EventSplitter(admitted.call.last_event)
        splitter = state.splitter
        splitter.discard_partial_event()
        can_switch_target = self._can_switch_target(admitted, state)
        now = self._clock()
        while data := connection.read(
            response, self._event_wait_s(admitted, state, now, can_switch_target)
        ):
            try:
                events = splitter.feed(data)
            except ValueError as error:
                connection.close()
                raise CallFailedError("read", connection.address, str(error)) from error
            if not events:
                now = self._clock()
                continue
            if not state.answer_begun:
                self._streams.record_origin(admitted, state, placement.target)
                state.answer_begun = True
                inbound.send_head(response.status, headers)
            inbound.write(events)
            if state.attempt_event_at is None:
                self._crash_guard.record_begin(admitted)
                self._mover.begin(admitted, state, placement, connection, response)
            now = self._clock()
            state.record_event(now)
        reason = stream_end_failure(state, response)
        if reason is not None:
            raise CallFailedError("read", connection.address, reason)
        state.release_connection(response.headers)
        if not state.answer_begun:
            inbound.send_head(response.status, headers)
        self._log.answered(admitted, state, response.status)

    def _handle_failure(self, admitted, state, failure):
        """Prepare another attempt, or raise if the failure is final."""
        now = self._clock()
        if not failure.not_run:
            state.may_have_run = True
            if state.origin is not None:
                state.broken_at |= {state.target_id}
        reason = f"{failure.step}: {failure.reason}"
        denied_by = self._retry_denied_by(admitted, state, failure, now)
        self._log.failed(admitted, state, failure, "end" if denied_by else "retry")
        if denied_by is None:
            if not failure.adapter_missing:
                state.excluded |= {state.target_id}
            return
        if state.may_have_run:
            status = 504 if now >= admitted.ends_at else 502
            raise FailedError(status, reason, denied_by)
        raise RefusedError(503, reason, self._policy.failed_retry_s)

    def _retry_denied_by(self, admitted, state, failure, now):
        """Return whose decision rules out another attempt, None if there may be one."""
        route = admitted.route
        can_continue = route.resumable and self._streams.can_continue(state)
        decision = retry_decision(
            failure,
            idempotent=route.idempotent,
            resumable=can_continue or not state.answer_begun,
            attempts=state.attempts,
            max_attempts=route.max_attempts,
            remaining_s=admitted.ends_at - now,
        )
        if decision is RetryDecision.END:
            return _end_of_attempts(admitted, state, now, can_continue)
        if not failure.not_run and not self._crash_guard.may_retry(admitted):
            return EndedBy.QUARANTINE
        if decision is RetryDecision.RETRY:
            return None
        scheduler = self._parts.request_scheduler
        nodes = None if scheduler.view_age_s is None else scheduler.nodes
        is_allowed = self._parts.retry_budgets.allow(admitted.service, now, nodes)
        return None if is_allowed else EndedBy.BUDGET

    def _refuse(self, inbound, admitted, error, arrived):
        headers = error.headers()
        if self.draining_since is not None:
            headers.append(("Connection", "close"))
        with suppress(CallerGoneError):
            inbound.answer(error.status, headers, error.body())
        self._log.refused(admitted, error, arrived)

    def _fail(self, inbound, admitted, state, error):
        if state.answer_begun:
            inbound.abort()
        else:
            with suppress(CallerGoneError):
                inbound.answer(error.status, error.headers(), error.body())
        self._log.broken(admitted, state, error.status, error.reason, error.by)


def _end_of_attempts(admitted, state, now, can_continue):
    """Return why a request that failed at a target can't be sent again."""
    route = admitted.route
    if now >= admitted.ends_at:
        return EndedBy.DEADLINE
    if not route.idempotent:
        return EndedBy.TARGET
    if state.answer_begun and not (route.resumable and can_continue):
        return EndedBy.SOFTWARE if route.resumable else EndedBy.TARGET
    return EndedBy.ATTEMPTS
