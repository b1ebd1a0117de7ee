"""Tells crashes of targets from mere broken connections, by their incarnation."""

from threading import Lock

__all__ = ["CrashWatch"]

_MAX_SUSPECTS = 256


class CrashWatch:
    """Bodies whose connection a target broke, until its next sign of life.

    A target that shows the same incarnation afterwards did not crash; one that
    shows another did.
    """

    def __init__(self):
        self._lock = Lock()
        self._incarnations = {}
        self._suspects = {}

    def suspect(self, target, digest):
        """Note that a target broke the connection of a request with this body."""
        with self._lock:
            suspects = self._suspects.setdefault(target, [])
            if len(suspects) < _MAX_SUSPECTS and digest not in suspects:
                suspects.append(digest)

    def crashed(self, target):
        """Return the suspected bodies of a target that is known to be down."""
        with self._lock:
            return self._suspects.pop(target, [])

    def differs(self, target, incarnation):
        """Return whether a target's reported state, which lags, shows a restart."""
        with self._lock:
            return self._incarnations.get(target, incarnation) != incarnation

    def seen(self, target, incarnation):
        """Take in a target's incarnation.

        Returns
        -------
        list of str
            Digests of the bodies that it was running when it crashed.
        """
        with self._lock:
            known = self._incarnations.get(target)
            if not incarnation or (known == incarnation and not self._suspects):
                return []
            self._incarnations[target] = incarnation
            suspects = self._suspects.pop(target, [])
            return suspects if known not in (None, incarnation) else []
