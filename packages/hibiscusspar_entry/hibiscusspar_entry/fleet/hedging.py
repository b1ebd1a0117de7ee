"""Second attempts of requests whose targets fall silent.

A silent target keeps its request until another target has answered: what the caller
has is given up only once its replacement is there. If the silent target goes on first,
the second attempt ends.
"""

import select
from math import inf
from time import monotonic

from hibiscusspar.fleet.retries import AttemptFailure
from hibiscusspar.fleet.silences import (
    SilencePolicy,
    is_shared_silence,
    stream_silence_s,
)
from hibiscusspar.fleet.waiting import Send
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.attempts import Attempt
from hibiscusspar_entry.fleet.events import CALL_TARGET_SILENT
from hibiscusspar_entry.fleet.placement_job import make_job
from hibiscusspar_entry.fleet.refusal import CallerLeftError, RefusedError
from hibiscusspar_wire.target_connections import CallFailedError

__all__ = ["Hedging", "SilenceWatch"]

# Times in seconds between looks for another target, and for the decision about one.
_RETRY_S = 0.3
_POLL_S = 0.05
# Longest time for sending the request of a second attempt, and for the rest of a head
# that has begun to arrive, in seconds. The first target may go on meanwhile.
_SEND_S = 0.5
_HEAD_S = 0.5
# A request that has less time left is not sent to another target.
_MIN_REMAINING_S = 0.2
# Targets whose last bytes are remembered, and the time in seconds after which one that
# sends nothing may be forgotten.
_MAX_HEARD = 1024
_FORGET_S = 10.0


class Hedging:
    """Second attempts of the requests of one node.

    Parameters
    ----------
    parts : FleetParts
    policy : ForwardPolicy
    attempts : Attempts
    may_replace : callable
        Returns whether a request may be sent to another target than its current one.
    log : CallLog
    silence_policy : SilencePolicy, optional
    """

    def __init__(self, parts, policy, attempts, may_replace, log, silence_policy=None):
        self.policy = silence_policy or SilencePolicy()
        self.attempts = attempts
        self.may_replace = may_replace
        self.log = log
        self.scheduler = parts.request_scheduler
        self.clock = parts.clock
        # Monotonic time at which each target with an open answer was last heard.
        self.heard = {}
        self._forward_policy = policy
        self._retry_budgets = parts.retry_budgets
        self._silences = parts.metrics.silences

    def watch(self, admitted, state, placement):
        """Return the watch of an attempt, None if no other target may take over.

        The target may be silent from now on, as the request is being sent to it.
        """
        route = admitted.route
        if not route.idempotent or state.attempts >= route.max_attempts:
            return None
        watch = SilenceWatch(self, admitted, state, placement)
        watch.starts_at = monotonic() + self.first_silence_s(admitted)
        return watch

    def first_silence_s(self, admitted):
        """Return the seconds for which a target may be silent before its answer."""
        if admitted.is_engine:
            return self.policy.first_event_s
        return (admitted.ends_at - self.clock()) * self.policy.plain_share

    def job(self, admitted, state, target_ids):
        """Return the job that chooses a target other than the given ones."""
        policy, now = self._forward_policy, self.clock()
        factor = policy.wait_factor if admitted.is_engine else policy.plain_wait_factor
        job = make_job(admitted, state, now, factor * admitted.route.first_byte_slo_s)
        return job._replace(
            excluded=job.excluded | target_ids,
            broken_at=job.broken_at | target_ids,
            has_fallback=False,
        )

    def has_budget(self, service):
        """Return whether the retry budget allows another attempt."""
        return self._retry_budgets.has_room(service, self.clock(), self._nodes)

    def take_budget(self, service):
        """Count another attempt in the retry budget; return whether it allows it."""
        return self._retry_budgets.allow(service, self.clock(), self._nodes)

    def forget_old(self, now):
        """Drop the targets that have sent nothing for long, if there are many."""
        if len(self.heard) > _MAX_HEARD:
            rows = list(self.heard.items())
            self.heard = {t: at for t, at in rows if at > now - _FORGET_S}

    def record_silence(self, admitted, placement, silent_s, outcome, other=""):
        """Log and count a silence that has ended."""
        self._silences.labels(outcome).inc()
        fields = {
            "request": admitted.call.request_id,
            "target": placement.target.target_id,
            "silent_s": round(silent_s, 3),
            "outcome": outcome,
            "other": other,
        }
        write_records([(CALL_TARGET_SILENT, fields)])

    @property
    def _nodes(self):
        return None if self.scheduler.view_age_s is None else self.scheduler.nodes


class SilenceWatch:
    """Silence of the target of one attempt, and the attempt that may replace it.

    It is used by the thread of its request only.

    Parameters
    ----------
    hedging : Hedging
    admitted : Admitted
    state : RequestState
    placement : Placement
    """

    def __init__(self, hedging, admitted, state, placement):
        self.starts_at = inf
        # Attempt that has answered in place of the silent one.
        self.answered = None
        self._hedging = hedging
        self._admitted = admitted
        self._state = state
        self._placement = placement
        self._target_id = placement.target.target_id
        self._event_silence_s = stream_silence_s(
            hedging.policy, admitted.call.request_id
        )
        self._progress_at = monotonic()
        self._is_silent = self._was_replaced = False
        self._next_try_at = 0.0
        self._ticket = None
        # Placement, way, time of sending and watch of the second attempt.
        self._second = None
        # Time from which the target of the second attempt counts as silent as well.
        self._second_silent_at = 0.0

    @property
    def is_silent(self):
        """Whether the target has been recorded as silent since its last progress."""
        return self._is_silent

    def record_progress(self):
        """Record the head of a stream or an event of it."""
        now = self._progress_at = monotonic()
        self.starts_at = now + self._event_silence_s
        self._hedging.heard[self._target_id] = now
        if self._is_silent:
            self._resume()

    def record_head(self):
        """Record the head of a plain answer, whose body may take its time."""
        self.record_progress()
        self.starts_at = inf

    def outlast(self, sock, ends_at):
        """Wait until the target sends bytes, another one answers or time has passed."""
        while not _readable([sock], 0.0) and (now := monotonic()) < ends_at:
            wait_s = min(self._step(now), ends_at - now)
            waiting = [sock] if self._second is None else [sock, self._second[1]]
            ready = _readable(waiting, max(0.0, wait_s))
            # The silent target goes first: a run that goes on is worth more.
            if sock not in ready and ready and self._read_second():
                return False
        return True

    def take_answered(self):
        """Return the attempt that has taken over, or None, once."""
        attempt, self.answered = self.answered, None
        return attempt

    def take_second(self):
        """Return the second attempt to go on with after the first has failed, or None.

        It may not have been answered yet.
        """
        has_time = self._admitted.ends_at > self._hedging.clock()
        if self._second is None or not has_time:
            return self.take_answered()
        placement, connection, sent_at, watch = self._second
        self._second, self._was_replaced = None, True
        watch.starts_at = self._second_silent_at
        self._record_replaced(placement)
        return Attempt(placement, connection, None, sent_at, watch)

    def close(self):
        """End the watch of the attempt, its second attempt and the wait for one."""
        heard = self._hedging.heard
        if heard.get(self._target_id) == self._progress_at:
            heard.pop(self._target_id, None)
        self._withdraw()
        if self._is_silent and not self._was_replaced:
            self._hedging.record_silence(
                self._admitted, self._placement, self._silent_s, "lasted"
            )
        attempt = self.take_answered()
        if attempt is not None:
            attempt.connection.close()
            self._hedging.scheduler.release(attempt.placement, first_byte=False)

    def _step(self, now):
        """Advance the second attempt; return the time until the next step."""
        if self._is_excused(now):
            return _POLL_S
        if not self._is_silent:
            self._begin(now)
        if self._second is not None and now < self._second_silent_at:
            return self._second_silent_at - now
        if self._ticket is None and now < self._next_try_at:
            return self._next_try_at - now
        if self._ticket is None and not self._request_place():
            self._next_try_at = now + _RETRY_S
            return _RETRY_S
        if not self._ticket.decided.is_set():
            return _POLL_S
        ticket, self._ticket = self._ticket, None
        if isinstance(ticket.decision, Send):
            self._send_second(ticket)
            self._next_try_at = monotonic() + _RETRY_S
            return 0.0
        self._next_try_at = now + max(_RETRY_S, ticket.decision.retry_after_s)
        return _RETRY_S

    def _is_excused(self, now):
        """Return whether the silence isn't the target's own."""
        hedging, since = self._hedging, self._progress_at
        return not self._is_silent and is_shared_silence(
            hedging.policy, now, since, self._target_id, dict(hedging.heard)
        )

    def _begin(self, now):
        """Record that the target is silent, so that others are preferred to it."""
        self._is_silent = True
        self._hedging.scheduler.record_failure(self._target_id)
        connection = self._state.connection
        if connection is not None:
            connection.record_silence()
        self._hedging.forget_old(now)

    def _resume(self):
        """Record that the target has gone on."""
        self._is_silent = False
        self._withdraw()
        self._hedging.scheduler.record_success(self._target_id)
        self._hedging.record_silence(
            self._admitted, self._placement, self._silent_s, "resumed"
        )

    @property
    def _silent_s(self):
        return monotonic() - self._progress_at

    def _request_place(self):
        """Ask the scheduler for another target, if the request may go to one."""
        hedging, admitted, state = self._hedging, self._admitted, self._state
        target_id = self._target_id
        if (
            admitted.ends_at - hedging.clock() < _MIN_REMAINING_S
            or state.caller_gone.is_set()
            or not hedging.may_replace(admitted, state, target_id)
            or not hedging.has_budget(admitted.service)
        ):
            return False
        target_ids = {target_id}
        if self._second is not None:
            target_ids.add(self._second[0].target.target_id)
        job = hedging.job(admitted, state, target_ids)
        self._ticket = hedging.scheduler.submit(job)
        return True

    def _send_second(self, ticket):
        """Send the request to another target."""
        hedging, admitted, state = self._hedging, self._admitted, self._state
        placement, scheduler = ticket.placement, hedging.scheduler
        if not hedging.take_budget(admitted.service):
            scheduler.release(placement, first_byte=False)
            return
        if self._second is not None:
            self._fail_second("silent", "no answer of the other target either", False)
        state.attempts += 1
        hedging.log.sent(admitted, state, placement)
        sent_at, connection = hedging.clock(), None
        watch = SilenceWatch(hedging, admitted, state, placement)
        try:
            connection = hedging.attempts.connect(admitted, state, placement, True)
            self._second = placement, connection, sent_at, watch
            hedging.attempts.send(
                admitted, state, placement, connection, limit_s=_SEND_S
            )
        except CallFailedError as error:
            self._second = placement, connection, sent_at, watch
            self._fail_call(error)
        except (RefusedError, CallerLeftError) as error:
            self._second = placement, connection, sent_at, watch
            self._fail_second("closed", str(error), True)
        else:
            self._second_silent_at = monotonic() + hedging.first_silence_s(admitted)

    def _read_second(self):
        """Read the head of the other target's answer; return whether it takes over."""
        hedging, admitted, state = self._hedging, self._admitted, self._state
        placement, connection, sent_at, watch = self._second
        try:
            response, failure = hedging.attempts.read_head(
                admitted, state, placement, connection, sent_at, watch, _HEAD_S
            )
        except CallFailedError as error:
            self._fail_call(error)
            return False
        if failure is not None:
            if hedging.attempts.drain_refusal(connection, response, failure):
                connection.release(response.headers)
                self._second = placement, None, sent_at, watch
            self._fail_second(failure.step, failure.reason, failure.not_run)
            return False
        self._second, self._was_replaced = None, True
        self.answered = Attempt(placement, connection, response, sent_at, watch)
        self._record_replaced(placement)
        return True

    def _record_replaced(self, placement):
        self._hedging.record_silence(
            self._admitted,
            self._placement,
            self._silent_s,
            "replaced",
            placement.target.target_id,
        )

    def _fail_call(self, error):
        """Record that the call of the second attempt failed."""
        hedging, admitted = self._hedging, self._admitted
        placement, _, sent_at, _ = self._second
        failure = hedging.attempts.record_failure(admitted, placement, sent_at, error)
        hedging.attempts.blame(admitted, self._state, placement.target, error, True)
        self._fail_second(failure.step, failure.reason, failure.not_run)

    def _fail_second(self, step, reason, not_run):
        """End a second attempt that has failed."""
        state, target_id = self._state, self._second[0].target.target_id
        failure = AttemptFailure(step, reason, not_run, False)
        self._hedging.log.failed(self._admitted, state, failure, "wait", target_id)
        state.excluded |= {target_id}
        if not_run:
            state.attempts -= 1
        else:
            state.may_have_run = True
        self._end_second()

    def _end_second(self):
        if self._second is not None:
            placement, connection, _, _ = self._second
            self._second = None
            if connection is not None:
                connection.close()
            self._hedging.scheduler.release(placement, first_byte=False)

    def _withdraw(self):
        ticket, self._ticket = self._ticket, None
        if ticket is not None:
            self._hedging.scheduler.withdraw(ticket)
        self._end_second()


def _readable(sources, timeout_s):
    """Return those of some sockets and ways that bytes have arrived on."""
    poll = select.poll()
    by_descriptor = {source.fileno(): source for source in sources}
    for descriptor in by_descriptor:
        poll.register(descriptor, select.POLLIN)
    return [by_descriptor[row[0]] for row in poll.poll(timeout_s * 1000.0)]
