"""Reads of the store that a node makes for itself, at its start and without views."""

from hibiscusspar.fleet.store_reads import OwnRead, is_held, read_cause, read_pause_s

__all__ = ["OwnReads", "UnlimitedReads"]

# Age of the last view, in seconds, beyond which views count as lost: twice the interval
# of views at 360 nodes.
_SILENT_S = 1.5


class OwnReads:
    """State of this node that decides when it reads the store for itself.

    Parameters
    ----------
    clock : callable
    is_source : callable
        Returns whether this node reads the store for all nodes.
    view_age_s : callable
        Returns the age of the last view, None before the first.
    nodes : callable
        Returns the number of nodes in the last view.
    has_waiting : callable
        Returns whether requests wait for a target.
    fraction : float
        Random number of the node, uniform in [0, 1).
    """

    def __init__(self, clock, is_source, view_age_s, nodes, has_waiting, fraction):
        self._clock = clock
        self._is_source = is_source
        self._view_age_s = view_age_s
        self._nodes = nodes
        self._has_waiting = has_waiting
        self._fraction = fraction
        self._started_at = clock()

    @property
    def cause(self):
        """Why this node calls the store now."""
        return read_cause(self._is_source(), self._view_age_s(), _SILENT_S)

    def is_held(self, read_age_s, limit_s):
        """Return whether a kind of object isn't read yet, as a view is awaited."""
        return is_held(self._state(read_age_s, limit_s))

    def pause_s(self, read_age_s, wait_s, gap_s, limit_s):
        """Return the seconds until the next read of a kind of object."""
        return read_pause_s(self._state(read_age_s, limit_s), wait_s, gap_s)

    def _state(self, read_age_s, limit_s):
        return OwnRead(
            age_s=self._clock() - self._started_at,
            is_source=self._is_source(),
            nodes=self._nodes() if self._view_age_s() is not None else 0,
            has_waiting=self._has_waiting(),
            read_age_s=read_age_s,
            limit_s=limit_s,
            fraction=self._fraction,
        )


class UnlimitedReads:
    """Reads without a limit beyond the gap between them."""

    def is_held(self, read_age_s, limit_s):
        """Return False: nothing is awaited."""
        return False

    def pause_s(self, read_age_s, wait_s, gap_s, limit_s):
        """Return the shortest pause."""
        return gap_s
