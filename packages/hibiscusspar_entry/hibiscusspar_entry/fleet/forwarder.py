"""Forwarding of a caller's request to a target, with retries."""

import threading
from contextlib import suppress

from hibiscusspar.fleet.retries import RetryDecision, retry_decision
from hibiscusspar.fleet.waiting import Refuse
from hibiscusspar_entry.fleet.answer_checks import (
    ends_with_connection,
    is_event_stream,
    stream_end_failure,
)
from hibiscusspar_entry.fleet.attempts import Attempts
from hibiscusspar_entry.fleet.call_admission import Admission
from hibiscusspar_entry.fleet.call_log import CallLog
from hibiscusspar_entry.fleet.crash_guard import CrashGuard
from hibiscusspar_entry.fleet.ended_by import EndedBy, end_of_attempts
from hibiscusspar_entry.fleet.forward_policy import ForwardPolicy
from hibiscusspar_entry.fleet.hedging import Hedging
from hibiscusspar_entry.fleet.no_moves import NoMoves
from hibiscusspar_entry.fleet.placement_job import make_job
from hibiscusspar_entry.fleet.refusal import (
    CallerLeftError,
    FailedError,
    RefusedError,
)
from hibiscusspar_entry.fleet.request_state import RequestState
from hibiscusspar_entry.fleet.stream_continuation import StreamContinuation
from hibiscusspar_entry.fleet.token_gate import TokenGate
from hibiscusspar_wire.event_stream import EventSplitter
from hibiscusspar_wire.front_server import BadRequestError, CallerGoneError
from hibiscusspar_wire.target_connections import CallFailedError

__all__ = ["Forwarder"]

# Size up to which a plain answer is read whole before it is passed on. A node holds one
# such buffer for each of some hundred open requests.
_WHOLE_ANSWER_BYTES = 262_144
# Longest head of another answer that is looked for where two parts of a body meet.
_HEAD_BYTES = 4096
_LEFT_REASON = "this VM has left"


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
        self._attempts = Attempts(
            parts, self._policy, self._admission, self._crash_guard
        )
        self._hedging = Hedging(
            parts, self._policy, self._attempts, self._may_replace, self._log
        )
        self._tokens = TokenGate(
            parts.clock, parts.quota, parts.quota_changed, parts.request_scheduler
        )
        parts.crashes.on_quarantined = self._recheck_waiting
        self._open = set()
        self._lock = threading.Lock()
        self.draining_since = None
        # Whether no request may wait for a target any more.
        self._refuses_waiting = False

    @property
    def open_requests(self):
        """Number of requests in progress."""
        return len(self._open)

    def is_closed(self, now):
        """Return whether a graceful stop has reached the point of refusing requests."""
        since = self.draining_since
        return since is not None and now > since + self._policy.accept_s

    def refuse_waiting(self):
        """Refuse all requests that wait for a target, now or later."""
        self._refuses_waiting = True
        with self._lock:
            waiting = list(self._open)
        for state in waiting:
            state.stop_waiting()

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
                failure = FailedError(502, error.reason, error.by, error.told)
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
            reason = f"internal: {error!r}"
            failure = FailedError(502, reason, EndedBy.INTERNAL, "internal error")
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
            inbound.read_body()
            raise RefusedError(503, _LEFT_REASON, self._policy.draining_retry_s)

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
                attempt = state.take_successor()
                placement = (
                    state.take_onward() if attempt is None else attempt.placement
                )
                if placement is None:
                    placement = self._wait_for_placement(admitted, state)
                failure = self._try_target(inbound, admitted, state, placement, attempt)
                if failure is None:
                    return
                if state.successor is not None:
                    self._log.failed(admitted, state, failure, "replaced")
                    state.leave_target()
                elif state.onward is None:
                    self._handle_failure(admitted, state, failure)
        except RefusedError:
            if state.tokens_taken and not state.may_have_run:
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
        if state.caller_gone.is_set() or self._refuses_waiting:
            ticket.decided.set()
        ticket.decided.wait(max(0.0, job.give_up_at + 0.2 - now))
        if state.caller_gone.is_set() or ticket.decision is None:
            request_scheduler.withdraw(ticket)
            state.ticket = None
            if state.caller_gone.is_set():
                raise CallerLeftError
            self._crash_guard.check(admitted, state)
            if self._refuses_waiting:
                raise RefusedError(503, _LEFT_REASON, policy.draining_retry_s)
            raise RefusedError(503, "no decision", policy.failed_retry_s)
        state.ticket = None
        if isinstance(ticket.decision, Refuse):
            refusal = ticket.decision
            raise RefusedError(503, refusal.reason, refusal.retry_after_s)
        return ticket.placement

    def _try_target(self, inbound, admitted, state, placement, attempt=None):
        """Make one attempt; return its failure, or None if it was answered.

        Parameters
        ----------
        inbound : InboundRequest
        admitted : Admitted
        state : RequestState
        placement : Placement
        attempt : Attempt, optional
            Attempt that was made already.
        """
        target_id = placement.target.target_id
        pace = self._parts.speeds.pace(placement, admitted)
        first_byte_received = False
        earlier_first_byte_at = state.first_byte_at
        sent_at, silence, response = self._clock(), None, None
        try:
            if attempt is None:
                state.begin_attempt(target_id, pace)
                self._log.sent(admitted, state, placement)
                connection = self._attempts.connect(admitted, state, placement)
                state.connection = connection
                self._attempts.send(admitted, state, placement, connection, state.copy)
                silence = self._hedging.watch(admitted, state, placement)
            else:
                _, connection, response, sent_at, silence = attempt
                state.take_over(target_id, connection, pace)
                if state.caller_gone.is_set():
                    raise CallerLeftError
            if response is None:
                response, failure = self._attempts.read_head(
                    admitted,
                    state,
                    placement,
                    connection,
                    sent_at,
                    silence,
                    copy=state.copy,
                )
                if failure is not None:
                    if self._attempts.drain_refusal(connection, response, failure):
                        state.release_connection(response.headers)
                    if not self._mover.follow(state, failure) and silence is not None:
                        state.successor = silence.take_second()
                    return failure
            self._record_first_byte(state, placement)
            first_byte_received = True
            self._relay(
                inbound, admitted, state, placement, connection, response, silence
            )
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
            failure = self._attempts.record_failure(admitted, placement, sent_at, error)
            # Another target may go on with the request from now on.
            state.close_connection()
            if silence is not None and silence.has_answered:
                # The other target is at work, so a move under way isn't waited for.
                self._mover.end(state)
            elif self._mover.follow(state, failure):
                return failure
            is_silent = silence is not None and silence.is_silent
            if error.step != "silent" or not is_silent:
                self._attempts.blame(admitted, state, placement.target, error)
            if silence is not None:
                state.successor = silence.take_second()
            return failure
        finally:
            state.close_connection()
            if silence is not None:
                silence.close()
            if placement.is_reserved:
                self._parts.request_scheduler.release(placement, first_byte_received)
            if earlier_first_byte_at is None and state.first_byte_at is not None:
                seconds = state.first_byte_at - admitted.arrived
                self._parts.metrics.first_byte.observe(seconds)

    def _record_first_byte(self, state, placement):
        if state.first_byte_at is None:
            state.first_byte_at = self._clock()
        self._parts.request_scheduler.record_first_byte(placement)

    def _may_replace(self, admitted, state, targets):
        """Return whether a request may go to a target other than some."""
        route = admitted.route
        if state.attempts >= route.max_attempts or self._mover.is_moving(state):
            return False
        if state.answer_begun and not route.resumable:
            return False
        if state.origin is not None and not self._streams.can_continue(state, targets):
            return False
        if self._crash_guard.refuses(admitted, state):
            return False
        if not self._crash_guard.may_retry(admitted):
            return False
        try:
            self._admission.recheck_key(admitted, state)
        except RefusedError:
            return False
        return True

    def _relay(
        self, inbound, admitted, state, placement, connection, response, silence
    ):
        headers = self._parts.dialect.answer_headers(response.headers)
        if self.draining_since is not None:
            headers.append(("Connection", "close"))
        if is_event_stream(response) and response.status == 200:
            self._relay_stream(
                inbound,
                admitted,
                state,
                placement,
                connection,
                response,
                headers,
                silence,
            )
        else:
            if silence is not None:
                silence.record_head()
            self._relay_whole(inbound, admitted, state, connection, response, headers)

    def _relay_whole(self, inbound, admitted, state, connection, response, headers):
        """Pass on a plain answer, as a whole unless it is long."""
        body, passed_on = bytearray(), b""
        while data := connection.read(response, admitted.ends_at - self._clock()):
            body += data
            if len(body) > _WHOLE_ANSWER_BYTES:
                self._check_body(connection, response, passed_on + body, is_end=False)
                if not state.answer_begun:
                    state.answer_begun = True
                    inbound.send_head(response.status, headers)
                inbound.write(bytes(body))
                passed_on = bytes(body[-_HEAD_BYTES:])
                body.clear()
        self._check_body(connection, response, passed_on + body)
        state.release_connection(response.headers)
        if state.answer_begun:
            inbound.write(bytes(body))
        else:
            inbound.answer(response.status, headers, bytes(body))
        self._log.answered(admitted, state, response.status)

    def _check_body(self, connection, response, body, is_end=True):
        """Check that no late copy of another answer stands in a body.

        Behind a body whose length isn't known, a copy looks like a part of it.
        """
        if ends_with_connection(response) and self._parts.dialect.holds_answer(
            body, connection.is_first_call, is_end
        ):
            reason = "another answer in the body"
            raise CallFailedError("read", connection.address, reason)

    def _relay_stream(
        self,
        inbound,
        admitted,
        state,
        placement,
        connection,
        response,
        headers,
        silence,
    ):
        if state.splitter is None:
            state.splitter = EventSplitter(admitted.call.last_event)
        splitter = state.splitter
        splitter.discard_partial_event()
        if silence is not None:
            silence.record_progress()
        now = self._clock()
        while data := connection.read(response, admitted.ends_at - now):
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
                head = self._parts.dialect.answer_head(
                    response.status, response.headers
                )
                self._mover.begin(
                    admitted,
                    state,
                    placement,
                    connection,
                    response,
                    head.model_version,
                )
            version = self._parts.dialect.event_version(events)
            if version is not None:
                self._mover.record_version(state, version)
            now = self._clock()
            state.record_event(now)
            if silence is not None:
                silence.record_progress()
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
            state.record_possible_run()
        reason = f"{failure.step}: {failure.reason}"
        told = f"attempt failed: {failure.step}"
        denied_by = self._retry_denied_by(admitted, state, failure, now)
        self._log.failed(admitted, state, failure, "end" if denied_by else "retry")
        if denied_by is None:
            if not failure.adapter_missing:
                state.excluded |= {state.target_id}
            return
        if state.may_have_run:
            status = 504 if now >= admitted.ends_at else 502
            raise FailedError(status, reason, denied_by, told)
        raise RefusedError(503, reason, self._policy.failed_retry_s, told=told)

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
            return end_of_attempts(admitted, state, now, can_continue)
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
        if inbound.answered:
            inbound.abort()
        else:
            with suppress(CallerGoneError):
                inbound.answer(error.status, error.headers(), error.body())
        self._log.broken(admitted, state, error.status, error.reason, error.by)
