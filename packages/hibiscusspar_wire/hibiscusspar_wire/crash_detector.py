"""Detection of target crashes by the incarnation that targets report."""

from threading import Lock

__all__ = ["CrashDetector"]

_MAX_SUSPECTS = 256


class CrashDetector:
    """Request bodies that may have crashed a target.

    A body is suspected when the target breaks the connection of its request, until
    the target reports its incarnation again: the same incarnation means that only
    the connection broke, another one that the target crashed.
    """

    def __init__(self):
        self._lock = Lock()
        self._incarnations = {}
        self._suspects = {}

    def add_suspect(self, target, digest):
        """Record that a target broke the connection of a request with this body."""
        with self._lock:
            suspects = self._suspects.setdefault(target, [])
            if len(suspects) < _MAX_SUSPECTS and digest not in suspects:
                suspects.append(digest)

    def pop_suspects(self, target):
        """Remove and return the suspected bodies of a target known to be down."""
        with self._lock:
            return self._suspects.pop(target, [])

    def is_new_incarnation(self, target, incarnation):
        """Return whether an incarnation differs from the last one recorded.

        The state that a target reports lags behind, so an equal incarnation doesn't
        prove that it didn't restart.
        """
        with self._lock:
            return self._incarnations.get(target, incarnation) != incarnation

    def record_incarnation(self, target, incarnation):
        """Record the incarnation that a target reported.

        Returns
        -------
        list of str
            Digests of the suspected bodies if the target restarted, else empty.
        """
        with self._lock:
            known = self._incarnations.get(target)
            if not incarnation or (known == incarnation and not self._suspects):
                return []
            self._incarnations[target] = incarnation
            suspects = self._suspects.pop(target, [])
            return suspects if known not in (None, incarnation) else []
