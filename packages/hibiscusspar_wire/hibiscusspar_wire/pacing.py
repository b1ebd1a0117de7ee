"""Pacing of calls: a token bucket, back-off with jitter and a circuit breaker."""

from threading import Lock

__all__ = ["CallBudget", "OutageGuard", "backoff_s"]

FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5.0
FAILURES_TO_PAUSE = 3


def backoff_s(attempt, rng):
    """Return a random back-off in seconds whose bound doubles with each attempt."""
    bound = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(attempt, 16))
    return rng.uniform(bound / 2, bound)


class CallBudget:
    """Token bucket that limits the rate of calls.

    Parameters
    ----------
    calls_per_s : float
    burst : float
        Calls that may be made at once.
    clock : Clock
    """

    def __init__(self, calls_per_s, burst, clock):
        self._rate = calls_per_s
        self._burst = burst
        self._clock = clock
        self._lock = Lock()
        self._level = burst
        self._at = clock()

    def take(self):
        """Take a token for one call and return 0, or the seconds until there is one."""
        with self._lock:
            now = self._clock()
            gained = (now - self._at) * self._rate
            self._level = min(self._burst, self._level + gained)
            self._at = now
            if self._level >= 1:
                self._level -= 1
                return 0.0
            return (1 - self._level) / self._rate


class OutageGuard:
    """Circuit breaker: after several unanswered calls in a row, calls fail at once.

    Each further failure opens it again for a random time that grows up to
    ``MAX_BACKOFF_S``.

    Parameters
    ----------
    clock : Clock
    rng : random.Random
    """

    def __init__(self, clock, rng):
        self._clock = clock
        self._rng = rng
        self._lock = Lock()
        self._failures = 0
        self._closed_until = 0.0

    @property
    def pause_left_s(self):
        """Seconds until the next call is allowed; 0 if it is allowed now."""
        return max(0.0, self._closed_until - self._clock())

    def answered(self):
        """Record that the platform answered."""
        with self._lock:
            self._failures = 0

    def unanswered(self):
        """Record that the platform could not be reached or is down."""
        with self._lock:
            self._failures += 1
            if self._failures >= FAILURES_TO_PAUSE:
                pause = backoff_s(self._failures, self._rng)
                self._closed_until = self._clock() + pause
