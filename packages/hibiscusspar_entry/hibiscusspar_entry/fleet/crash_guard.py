"""Guard of targets against requests that crash them."""

from hibiscusspar.requests.quarantine import part_suspect
from hibiscusspar_entry.fleet.answer_checks import ends_with_connection
from hibiscusspar_entry.fleet.ended_by import EndedBy
from hibiscusspar_entry.fleet.refusal import RefusedError

__all__ = ["CrashGuard"]

# Failed steps that a crash of the target looks like.
_CRASH_STEPS = ("wait", "read")
# Parts of a prompt that are considered at most; callers choose them.
_MAX_PARTS = 8
# Time since its first event for which a stream may have caused a crash, in seconds.
_BEGINNING_S = 1.0


class CrashGuard:
    """Check of the requests of one node before and after their attempts.

    Parameters
    ----------
    clock : callable
    crashes : CrashExchange
    """

    def __init__(self, clock, crashes):
        self._clock = clock
        self._crashes = crashes

    def check(self, admitted, state):
        """Refuse a request that is quarantined, or whose prompt has such parts.

        Raises
        ------
        RefusedError
        """
        if not self.refuses(admitted, state):
            return
        parts = _part_suspects(admitted)
        if state.attempts == 0 and self._crashes.start_probe(admitted.digest, parts):
            state.is_probe = True
            return
        self._crashes.refused_count += 1
        retry_s = self._crashes.retry_in_s(admitted.digest, parts)
        raise RefusedError(503, "it crashed targets", retry_s, EndedBy.QUARANTINE)

    def refuses(self, admitted, state):
        """Return whether a request is quarantined."""
        if state.is_probe:
            return False
        parts = _part_suspects(admitted)
        return self._crashes.refused_for(admitted.digest, parts) > 0

    def may_retry(self, admitted):
        """Return whether a request may be sent again after a failure.

        One that tries again after a quarantine has a single attempt.
        """
        suspects = [admitted.digest, *_part_suspects(admitted)]
        return not self._crashes.was_quarantined(suspects)

    def record_failure(self, admitted, state, target, error, is_second=False):
        """Record a failed attempt, which the request may have caused."""
        if error.is_refused:
            self._crashes.record_refused_connection(target)
        suspects = self.suspects(admitted, state, is_second)
        if error.step in _CRASH_STEPS and suspects:
            self._crashes.record_break(target, suspects)

    def suspects(self, admitted, state, is_second=False):
        """Return what a crash of the target would be blamed on now.

        Parameters
        ----------
        admitted : Admitted
        state : RequestState
        is_second : bool, optional
            Whether the target has a second attempt, which has sent no event yet.

        Returns
        -------
        list of str
        """
        suspects = []
        began_at = None if is_second else state.attempt_event_at
        if began_at is None or self._clock() < began_at + _BEGINNING_S:
            suspects.append(admitted.digest)
        if state.last_event(admitted.call) is None:
            suspects += _part_suspects(admitted)
        return suspects

    def record_begin(self, admitted):
        """Record the first event of a stream, which speaks for all of its prompt."""
        self._crashes.record_answer(_part_suspects(admitted))

    def record_answer(self, admitted, response):
        """Record an answer that was read to its end.

        One that ends with its connection may have been ended by a crash.
        """
        if response.status < 500 and not ends_with_connection(response):
            self._crashes.record_answer([admitted.digest])


def _part_suspects(admitted):
    return [part_suspect(name) for name in admitted.shared_parts[:_MAX_PARTS]]
