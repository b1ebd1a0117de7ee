"""Watch of one attempt, whose target may fall silent, and its second attempt."""

import select
from math import inf

from hibiscusspar.fleet.retries import AttemptFailure
from hibiscusspar.fleet.silences import stream_silence_s
from hibiscusspar.fleet.waiting import Send
from hibiscusspar_entry.fleet.attempts import Attempt
from hibiscusspar_entry.fleet.background import log_failure
from hibiscusspar_entry.fleet.refusal import CallerLeftError, RefusedError
from hibiscusspar_wire.target_connections import CallFailedError

__all__ = ["SilenceWatch"]

# Times in seconds between looks for another target, and for the decision about one.
_RETRY_S = 0.3
_POLL_S = 0.05
# Longest times in seconds to connect to another target and to send it the request, and
# the share of the time left that each may take: the first answer isn't read meanwhile.
_CONNECT_S = 0.2
_SEND_S = 0.3
_BLOCKED_SHARE = 0.25
# Time in seconds for the rest of a head that has begun to arrive.
_HEAD_S = 0.5
# The same for a head through a peer, as one that refuses is replaced meanwhile.
_PEER_HEAD_S = 1.0
# Time in seconds for which a target gets no second attempt after it turned the first
# one away; it doubles each time.
_REFUSED_S = 2.0
# A request that has less time left is not sent to another target.
_MIN_REMAINING_S = 0.2


class SilenceWatch:
    """Silence of the target of one attempt, and the attempt that may replace it.

    It is used by the thread of its request only, which blocks in ``outlast``.

    Parameters
    ----------
    hedging : Hedging
    admitted : Admitted
    state : RequestState
    placement : Placement
    """

    def __init__(self, hedging, admitted, state, placement):
        self.starts_at = inf
        # Time of the last progress, and whether there was any.
        self.progress_at = hedging.monotonic()
        self.has_progress = False
        self.target_id = placement.target.target_id
        self._hedging = hedging
        self._admitted = admitted
        self._state = state
        self._placement = placement
        self._event_silence_s = stream_silence_s(
            hedging.policy, admitted.call.request_id
        )
        self._is_overdue = False
        self._is_silent = self._was_replaced = False
        self._excused_until = self._next_try_at = 0.0
        # Times until which targets that turned a second attempt away get no other.
        self._refused_until = {}
        self._refused_s = _REFUSED_S
        self._ticket = None
        # Placement, way, time of sending and watch of the second attempt.
        self._second = None
        self._second_ends_at = 0.0
        # Attempt that has answered in place of the silent one.
        self._answered = None
        hedging.watches.add(self)

    @property
    def has_answered(self):
        """Whether another target has answered in place of the silent one."""
        return self._answered is not None

    @property
    def is_silent(self):
        """Whether the target was recorded as silent since its last progress."""
        return self._is_silent

    def record_progress(self):
        """Record the head of a stream or an event of it."""
        if self._is_overdue:
            self._resume()
        now = self.progress_at = self._hedging.monotonic()
        self.starts_at = now + self._event_silence_s
        self.has_progress = True

    def record_head(self):
        """Record the head of a plain answer, whose body may take its time."""
        self.record_progress()
        self.starts_at = inf
        self.has_progress = False

    def outlast(self, sock, ends_at):
        """Wait until the target sends bytes, another one answers or time has passed."""
        try:
            return self._wait(sock, ends_at)
        except Exception as error:  # noqa: BLE001
            # The target may go on all the same.
            log_failure("second attempts", error)
            self._withdraw()
            self.starts_at = inf
            return True

    def _wait(self, sock, ends_at):
        while (
            not _readable([sock], 0.0) and (now := self._hedging.monotonic()) < ends_at
        ):
            wait_s = min(self.step(now), ends_at - now)
            waiting = [sock] if self._second is None else [sock, self._second[1]]
            ready = _readable(waiting, max(0.0, wait_s))
            # The silent target goes first: a run that goes on is worth more.
            if sock not in ready and ready and self.read_second():
                return False
        return True

    def take_second(self):
        """Return the attempt to go on with after the first has failed, or None.

        It may not have been answered yet.
        """
        has_time = self._admitted.ends_at > self._hedging.clock()
        if self._second is None or not has_time:
            return self.take_answered()
        placement, connection, sent_at, watch = self._second
        self._second, self._state.has_second_attempt = None, False
        self._record_replaced(placement)
        watch.starts_at = self._second_ends_at
        return Attempt(placement, connection, None, sent_at, watch)

    def take_answered(self):
        """Return the attempt that has taken over, or None, once."""
        attempt, self._answered = self._answered, None
        return attempt

    def close(self):
        """End the second attempt and the wait for one."""
        self._hedging.watches.discard(self)
        self._withdraw()
        if self._is_silent and not self._was_replaced:
            self._hedging.record_silence(
                self._admitted, self._placement, self._silent_s, "lasted"
            )
        attempt = self.take_answered()
        if attempt is not None:
            attempt.silence.close()
            attempt.connection.close()
            self._hedging.scheduler.release(attempt.placement, first_byte=False)

    def step(self, now):
        """Advance the second attempt; return the time until the next step."""
        if not self._is_overdue:
            self._is_overdue = True
            self._check_path()
        if not self._is_silent:
            if self._is_excused(now):
                return _POLL_S
            self._is_silent = True
            self._hedging.scheduler.record_failure(self.target_id)
        if self._second is not None and now < self._second_ends_at:
            return self._second_ends_at - now
        if self._ticket is None and now < self._next_try_at:
            return self._next_try_at - now
        if self._ticket is None and not self._request_place():
            self._next_try_at = now + _RETRY_S
            return _RETRY_S
        if not self._ticket.decided.is_set():
            return _POLL_S
        ticket, self._ticket = self._ticket, None
        if isinstance(ticket.decision, Send):
            if self._may_send({self.target_id}):
                self._send_second(ticket.placement)
            else:
                self._hedging.scheduler.release(ticket.placement, first_byte=False)
            self._next_try_at = self._hedging.monotonic() + _RETRY_S
            return 0.0 if self._second is not None else _RETRY_S
        self._next_try_at = now + max(_RETRY_S, ticket.decision.retry_after_s)
        return _RETRY_S

    def _check_path(self):
        """Have the path to the target checked, as this node may be cut off from it."""
        connection = self._state.connection
        if connection is not None:
            connection.record_silence()

    def _is_excused(self, now):
        """Return whether the silence isn't the target's own."""
        hedging = self._hedging
        if hedging.is_shared(now, self, self._admitted.service):
            self._excused_until = now + hedging.policy.gap_s
        return now < self._excused_until

    def _resume(self):
        """Record that the target has gone on."""
        self._is_overdue = False
        if not self._is_silent:
            return
        self._is_silent = False
        self._withdraw()
        self._hedging.scheduler.record_success(self.target_id)
        self._hedging.record_silence(
            self._admitted, self._placement, self._silent_s, "resumed"
        )

    @property
    def _silent_s(self):
        return self._hedging.monotonic() - self.progress_at

    def _request_place(self):
        """Ask the scheduler for another target, if the request may go to one."""
        hedging, admitted, state = self._hedging, self._admitted, self._state
        now = hedging.monotonic()
        targets = {t for t, until in self._refused_until.items() if now < until}
        targets.add(self.target_id)
        if self._second is not None:
            targets.add(self._second[0].target.target_id)
        if not self._may_send(targets):
            return False
        self._ticket = hedging.scheduler.submit(hedging.job(admitted, state, targets))
        return True

    def _may_send(self, targets):
        """Return whether the request may go to a target other than some now."""
        hedging, admitted, state = self._hedging, self._admitted, self._state
        return (
            admitted.ends_at - hedging.clock() >= _MIN_REMAINING_S
            and not state.caller_gone.is_set()
            and hedging.may_replace(admitted, state, frozenset(targets))
            and hedging.has_budget(admitted.service)
        )

    def _send_second(self, placement):
        """Send the request to another target, in place of one that is silent too."""
        hedging, admitted, state = self._hedging, self._admitted, self._state
        earlier, self._second = self._second, None
        state.attempts += 1
        hedging.log.sent(admitted, state, placement)
        watch = SilenceWatch(hedging, admitted, state, placement)
        sent_at = hedging.clock()
        self._second, state.has_second_attempt = (placement, None, sent_at, watch), True
        try:
            connection = hedging.attempts.connect(
                admitted, state, placement, True, self._limit_s(_CONNECT_S)
            )
            self._second = placement, connection, sent_at, watch
            if hedging.take_budget(admitted.service):
                limit_s = self._limit_s(_SEND_S)
                hedging.attempts.send(
                    admitted, state, placement, connection, limit_s=limit_s
                )
            else:
                self._fail_second("closed", "retry budget", True)
        except CallFailedError as error:
            self._fail_call(error)
        except (RefusedError, CallerLeftError) as error:
            self._fail_second("closed", str(error), True)
        if self._second is None:
            self._second, state.has_second_attempt = earlier, earlier is not None
            return
        if earlier is not None:
            self._fail_earlier(earlier)
        silence_s = hedging.first_silence_s(admitted)
        self._second_ends_at = hedging.monotonic() + silence_s

    def _limit_s(self, longest_s):
        """Return the seconds for which a call may block reads of the first answer."""
        remaining_s = self._admitted.ends_at - self._hedging.clock()
        return min(longest_s, _BLOCKED_SHARE * remaining_s)

    def _fail_earlier(self, earlier):
        """End an earlier second attempt, which the current one replaces."""
        current, self._second = self._second, earlier
        self._fail_second("silent", "no answer of the other target either", False)
        self._second, self._state.has_second_attempt = current, True

    def read_second(self):
        """Read the head of the other target's answer; return whether it takes over."""
        hedging, admitted, state = self._hedging, self._admitted, self._state
        placement, connection, sent_at, watch = self._second
        try:
            response, failure = hedging.attempts.read_head(
                admitted,
                state,
                placement,
                connection,
                sent_at,
                watch,
                _HEAD_S if connection.is_own else _PEER_HEAD_S,
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
        self._second, state.has_second_attempt = None, False
        self._answered = Attempt(placement, connection, response, sent_at, watch)
        self._record_replaced(placement)
        return True

    def _record_replaced(self, placement):
        self._was_replaced = True
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
        if not_run:
            state.attempts -= 1
            now = self._hedging.monotonic()
            self._refused_until[target_id] = now + self._refused_s
            self._refused_s *= 2
        else:
            state.may_have_run = True
            state.excluded |= {target_id}
        self._end_second()

    def _end_second(self):
        if self._second is not None:
            placement, connection, _, watch = self._second
            self._second, self._state.has_second_attempt = None, False
            watch.close()
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
