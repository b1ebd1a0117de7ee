"""Faults that a stand-in injects into matching requests."""

from threading import Lock
from typing import NamedTuple

__all__ = ["ALWAYS", "Fault", "Faults"]

ALWAYS = -1


class Fault(NamedTuple):
    """Fault to inject.

    Parameters
    ----------
    kind : str
        What goes wrong, for example ``"reset_before_body"``.
    count : int
        How often it is injected; ``ALWAYS`` means without limit.
    match : str
        Text that the path or the body must contain; empty matches all.
    seconds : float
        Length of a delay or of an outage.
    after : int
        Number of chunks that are sent before the fault.
    """

    kind: str
    count: int = 1
    match: str = ""
    seconds: float = 0.0
    after: int = 0


class Faults:
    """Pending faults in the order in which they were added."""

    def __init__(self):
        self._lock = Lock()
        self._rows = []

    def add(self, kind, **fields):
        """Add a :class:`Fault`."""
        with self._lock:
            self._rows.append(Fault(kind, **fields))

    def clear(self):
        """Remove all faults."""
        with self._lock:
            self._rows.clear()

    def pending(self):
        """Return the pending faults as a list of dicts."""
        with self._lock:
            return [fault._asdict() for fault in self._rows]

    def take(self, kind, *texts):
        """Return the first fault of a kind that matches one of the texts, or None.

        A fault that was returned ``count`` times is removed.
        """
        with self._lock:
            for index, fault in enumerate(self._rows):
                if fault.kind == kind and _matches(fault, texts):
                    self._count_down(index, fault)
                    return fault
        return None

    def _count_down(self, index, fault):
        if fault.count == ALWAYS:
            return
        if fault.count <= 1:
            del self._rows[index]
        else:
            self._rows[index] = fault._replace(count=fault.count - 1)


def _matches(fault, texts):
    return not fault.match or any(fault.match in text for text in texts)
