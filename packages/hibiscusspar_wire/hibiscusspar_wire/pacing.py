"""Pacing of calls: a token bucket, back-off with jitter and a circuit breaker."""

from threading import Lock

__all__ = ["CallBudget", "CircuitBreaker", "backoff_s"]

FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5.0
FAILURES_TO_OPEN = 3


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
        self._tokens = burst
        self._updated_at = clock()

    def take(self):
        """Take a token and return 0, or return the seconds until there is one."""
        with self._lock:
            now = self._clock()
            added = (now - self._updated_at) * self._rate
            self._tokens = min(self._burst, self._tokens + added)
            self._updated_at = now
            if self._tokens >= 1:
                self._tokens -= 1
                return 0.0
            return (1 - self._tokens) / self._rate


class CircuitBreaker:
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
        self._open_until = 0.0

    @property
    def remaining_open_s(self):
        """Seconds until the next call is allowed; 0 if it is allowed now."""
        return max(0.0, self._open_until - self._clock())

    def record_answer(self):
        """Record that the platform answered."""
        with self._lock:
            self._failures = 0

    def record_failure(self):
        """Record that the platform could not be reached or is down."""
        with self._lock:
            self._failures += 1
            if self._failures >= FAILURES_TO_OPEN:
                pause = backoff_s(self._failures, self._rng)
                self._open_until = self._clock() + pause
