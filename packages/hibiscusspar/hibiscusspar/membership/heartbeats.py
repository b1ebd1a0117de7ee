"""Table of the newest heartbeat of each VM."""

from typing import NamedTuple

from hibiscusspar.membership.messages import Beat

__all__ = ["Arrival", "Heartbeats"]

RECENT_S = 4.0  # Younger heartbeats are forwarded in gossip.


class Arrival(NamedTuple):
    """Newest heartbeat of a VM and its arrival time here, in seconds."""

    beat: Beat
    at: float


class Heartbeats:
    """Newest heartbeat of each VM, with its arrival time."""

    def __init__(self):
        self._table = {}

    def get(self, vm):
        """Return the newest :class:`Beat` of a VM, or None."""
        arrival = self._table.get(vm)
        return arrival.beat if arrival else None

    def track(self, vm, now):
        """Start to track a VM; its silence counts from now."""
        self._table.setdefault(vm, Arrival(Beat(vm, 0, 0, 0), now))

    def remove(self, vm):
        """Remove a VM that has left."""
        self._table.pop(vm, None)

    def vms(self):
        """Return the ids of the tracked VMs."""
        return list(self._table)

    def merge(self, beat, now):
        """Store a heartbeat if it is newer than the known one; return whether it is.

        Heartbeats of VMs that aren't tracked are ignored.
        """
        arrival = self._table.get(beat.vm)
        if arrival is None or _sort_key(beat) <= _sort_key(arrival.beat):
            return False
        self._table[beat.vm] = Arrival(beat, now)
        return True

    def silent_s(self, vm, now):
        """Return the seconds since the newest heartbeat of a VM arrived.

        It is 0 for a VM that isn't tracked.
        """
        arrival = self._table.get(vm)
        return now - arrival.at if arrival else 0.0

    def shift(self, seconds):
        """Move all arrival times forward by the length of a pause of this process."""
        for vm, arrival in self._table.items():
            self._table[vm] = arrival._replace(at=arrival.at + seconds)

    def recent(self, now):
        """Return the heartbeats that arrived within ``RECENT_S`` seconds."""
        return [h.beat for h in self._table.values() if now - h.at <= RECENT_S]


def _sort_key(beat):
    return (beat.incarnation, beat.count)
