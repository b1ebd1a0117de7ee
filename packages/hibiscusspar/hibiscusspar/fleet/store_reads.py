"""What a node reads from the platform's store now, and when it reads again.

Each call has a price, and most calls of a fleet are made by nodes without views: at
their start, and while they don't reach the coordinator.
"""

from typing import NamedTuple

from hibiscusspar.fleet.fanout import exchange_interval_s

__all__ = [
    "OwnRead",
    "duty_wait_s",
    "is_held",
    "lease_pause_s",
    "leaves_lease",
    "read_cause",
    "read_pause_s",
]

# Time after the start of a process for which it waits for views, in seconds: some
# intervals of views, also in a large fleet.
_START_S = 1.6
# The time differs by this fraction between nodes, so that they don't read together.
_START_JITTER = 0.5
# Intervals of views from the first one until all rows of the directory have arrived: a
# report that requests them, their view, and one of each that is lost.
_ROW_INTERVALS = 4
# Part of its age limit up to which a listing suffices while the first view is awaited.
_LISTING_SHARE = 0.5
# Pauses between reads of a lease that its holder renews, as fractions of its validity:
# less than all of it, so that a read comes before the lease could be free.
_RENEWED_SHARE = 0.6
_RENEWED_JITTER = 0.3
# Pause after the first read of a lease with a holder, as a fraction of its validity.
_FIRST_SHARE = 0.5
# Time between the last read of a lease and the attempt to take it, in seconds.
_APPLY_S = 0.06
# Times after the start for which the first view is awaited before leases of the zones'
# duties are read, in seconds.
_DUTY_WAIT_S = 1.5
_DUTY_WAIT_LIVE_S = 2.5


class OwnRead(NamedTuple):
    """State of a node that reads one kind of object.

    Parameters
    ----------
    age_s : float
        Seconds since the process started.
    is_source : bool
        Whether the node reads the store for all nodes.
    nodes : int
        Nodes of the last view, 0 before the first.
    has_waiting : bool
        Whether requests wait for a target.
    read_age_s : float or None
        Age of what the node has last read of this kind, None before its first read.
    limit_s : float
        Age up to which data of this kind is relied on.
    fraction : float
        Random number of the node, uniform in [0, 1).
    """

    age_s: float
    is_source: bool
    nodes: int
    has_waiting: bool
    read_age_s: float | None
    limit_s: float
    fraction: float


def is_held(state):
    """Return whether a node that starts waits for a view instead of reading.

    The first view tells what the node would read. The wait is bounded, and it ends if
    a request waits for a target, so that no request waits longer than for a listing.

    Parameters
    ----------
    state : OwnRead
    """
    start_s = _START_S * (1.0 + _START_JITTER * (state.fraction - 0.5))
    if state.nodes:
        start_s += _ROW_INTERVALS * exchange_interval_s(state.nodes)
    if state.is_source or state.age_s >= start_s:
        return False
    if state.read_age_s is None:
        return not state.has_waiting
    return state.read_age_s < _LISTING_SHARE * state.limit_s


def read_pause_s(state, wait_s, gap_s):
    """Return the seconds until a node reads a kind of object again.

    A node that reads only for itself makes its next call so late that the answer comes
    within the limit. Changes of the directory are so frequent that each call is
    answered at once.

    Parameters
    ----------
    state : OwnRead
        With a ``limit_s`` of 0 for kinds that change rarely.
    wait_s : float
        Longest wait of a call for a change.
    gap_s : float
        Shortest pause.
    """
    if state.is_source or state.read_age_s is None:
        return gap_s
    return max(gap_s, state.limit_s - wait_s - state.read_age_s)


def lease_pause_s(free_in_s, reads, is_renewed, timing, fraction):
    """Return the seconds until a process that doesn't hold a lease reads it again.

    A lease that is renewed has a live holder, whose end other nodes notice as well. One
    that may become free is read shortly before, as a write that fails costs a further
    read.

    Parameters
    ----------
    free_in_s : float
        Seconds until this process may take the lease if it isn't renewed.
    reads : int
        Reads that returned the same revision.
    is_renewed : bool
        Whether the last read returned another revision than the one before.
    timing : LeaseTiming
    fraction : float
        Random number of the process, uniform in [0, 1).
    """
    if is_renewed:
        return timing.valid_s * (_RENEWED_SHARE + _RENEWED_JITTER * fraction)
    if free_in_s <= _APPLY_S:
        return max(0.0, free_in_s)
    pause_s = timing.poll_s
    if reads == 1 and free_in_s >= timing.valid_s:
        pause_s = max(pause_s, _FIRST_SHARE * timing.valid_s)
    return min(pause_s, free_in_s - _APPLY_S)


def leaves_lease(holder_heard, is_current, was_read):
    """Return whether a process that doesn't hold a lease need not read it now.

    Parameters
    ----------
    holder_heard : bool
        Whether the holder is active as far as known, or a view is awaited that tells.
    is_current : bool
        Whether the last call about the lease was answered.
    was_read : bool
        Whether the lease was ever read.
    """
    return holder_heard and (is_current or not was_read)


def duty_wait_s(is_coordinator_alive):
    """Return for how long a node leaves zones' duties alone before its first view.

    Parameters
    ----------
    is_coordinator_alive : bool
        Whether the coordinator's lease is renewed.
    """
    return _DUTY_WAIT_LIVE_S if is_coordinator_alive else _DUTY_WAIT_S


def read_cause(is_source, view_age_s, silent_s):
    """Return why a node calls the store, for the count of its calls.

    Parameters
    ----------
    is_source : bool
    view_age_s : float or None
        Age of the last view, None before the first.
    silent_s : float
        Age beyond which views count as lost.
    """
    if is_source:
        return "coordinates"
    if view_age_s is None:
        return "start"
    return "views lost" if view_age_s > silent_s else "other"
