"""Backoff of a node's store calls, which all its clients of the store share."""

import threading

from hibiscusspar.fleet.store_retry import retry_pause_s

__all__ = ["StoreBackoff"]


class StoreBackoff:
    """Time before which the clients of the store on one node make no call.

    After a failure one of them makes the next attempt; the others wait for its result.
    An answer ends the backoff.

    Parameters
    ----------
    clock : callable
    rng : random.Random
    nodes : callable
        Returns the size of the fleet.
    is_source : callable
        Returns whether this node reads the store for all nodes, so that its calls are
        never held back.
    """

    def __init__(self, clock, rng, nodes, is_source):
        self._clock = clock
        self._rng = rng
        self._nodes = nodes
        self._is_source = is_source
        self._lock = threading.Lock()
        self._failures = 0
        self._next_at = float("-inf")

    @property
    def failures(self):
        """Failed calls in a row."""
        return self._failures

    def wait_s(self):
        """Return the seconds until a client may make a call; claim the call if 0.

        A client that is given 0 must report the result of its call.
        """
        if self._is_source():
            return 0.0
        with self._lock:
            if not self._failures:
                return 0.0
            now = self._clock()
            if now < self._next_at:
                return self._next_at - now
            self._next_at = now + self._pause_s()
            return 0.0

    def record_failure(self):
        """Record that a call failed."""
        with self._lock:
            self._failures += 1
            self._next_at = self._clock() + self._pause_s()

    def record_answer(self):
        """Record that the store answered a call."""
        with self._lock:
            self._failures = 0

    def _pause_s(self):
        return retry_pause_s(self._failures, self._nodes(), self._rng.random())
