"""Guard of targets against requests that crash them."""

from hibiscusspar_entry.fleet.refusal import RefusedError

__all__ = ["CrashGuard"]

# Failed steps that a crash of the target looks like.
_CRASH_STEPS = ("wait", "read")
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

    def check(self, admitted):
        """Refuse a request that is quarantined.

        Raises
        ------
        RefusedError
        """
        refused_s = self._crashes.refused_for([admitted.digest])
        if refused_s > 0:
            self._crashes.refused_count += 1
            raise RefusedError(503, "it crashed targets", refused_s)

    def refuses(self, admitted):
        """Return whether a request is quarantined."""
        return self._crashes.refused_for([admitted.digest]) > 0

    def may_retry(self, admitted):
        """Return whether a request may be sent again after a failure.

        One that tries again after a quarantine has a single attempt.
        """
        return not self._crashes.was_quarantined([admitted.digest])

    def record_failure(self, admitted, state, target, error):
        """Record a failed attempt, which the request may have caused."""
        if error.step == "connect":
            self._crashes.record_refused_connection(target)
            return
        began_at = state.attempt_event_at
        is_beginning = began_at is None or self._clock() < began_at + _BEGINNING_S
        if error.step in _CRASH_STEPS and is_beginning:
            self._crashes.record_break(target, [admitted.digest])

    def record_answer(self, admitted, status):
        """Record a complete answer."""
        if status < 500:
            self._crashes.record_answer([admitted.digest])
