"""Origins of streams: the service and software version that began each of them.

Events of two software versions of a target don't fit together, so a stream may go on
only at the version that began it. The node that began a stream may be the one that
fails, and its caller comes back at any other. So each origin is copied to other nodes
before the first event of its stream is passed on.
"""

from collections import deque
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from hibiscusspar.fleet.fanout import MAX_DIRECT_NODES

__all__ = [
    "MAX_ORIGINS",
    "StreamOrigin",
    "StreamOrigins",
    "may_continue",
    "origin_holders",
]

# Nodes that hold a copy of an origin in a large fleet. In a small one all do.
_COPIES = 3
# Time in seconds for which an origin is kept; callers wait for no stream that long.
_KEPT_S = 40.0
# Most origins that a node keeps, the newest ones, of some 360 bytes each.
MAX_ORIGINS = 60_000


class StreamOrigin(NamedTuple):
    """Service, and version of its software, that began a stream."""

    service: str
    software: str


class StreamOrigins:
    """Origins of streams by key.

    The key stands for the request that brought the first event of a stream.

    Parameters
    ----------
    capacity : int, optional
        Most origins that are kept, the newest ones.
    """

    def __init__(self, capacity=MAX_ORIGINS):
        self._capacity = capacity
        self._rows = {}
        # Keys in the order of their times. To find the first key of a dict would take
        # longer with each one that was removed before it.
        self._keys = deque()

    def __len__(self):
        return len(self._rows)

    def record(self, now, key, origin):
        """Keep an origin; the first one of a stream is never replaced."""
        self._expire(now)
        if key not in self._rows:
            self._rows[key] = origin, now
            self._keys.append(key)

    def find(self, now, key):
        """Return the origin of a stream, or None if it isn't known."""
        self._expire(now)
        row = self._rows.get(key)
        return None if row is None else row[0]

    def rows(self, now):
        """Return pairs of the key of a stream and its origin, the oldest first."""
        self._expire(now)
        return [(key, origin) for key, (origin, _) in self._rows.items()]

    def _expire(self, now):
        while self._keys:
            _, at = self._rows[self._keys[0]]
            if now < at + _KEPT_S and len(self._rows) < self._capacity:
                return
            del self._rows[self._keys.popleft()]


def may_continue(target, job):
    """Return whether a target may continue the stream of a job.

    Parameters
    ----------
    target : Target
    job : Job
    """
    is_same = bool(job.software) and target.software == job.software
    return is_same and target.target_id not in job.broken_at


def origin_holders(key, names):
    """Return the nodes that hold copies of an origin (rendezvous hashing).

    Nodes that know slightly different fleets still choose mostly the same holders.

    Parameters
    ----------
    key : str
        Key of the stream.
    names : iterable of str
        Names of the other nodes.

    Returns
    -------
    list of str
        All nodes in a small fleet.
    """
    ranked = sorted(names, key=lambda name: xxh3_64_intdigest(f"{key}/{name}".encode()))
    return ranked if len(ranked) < MAX_DIRECT_NODES else ranked[:_COPIES]
