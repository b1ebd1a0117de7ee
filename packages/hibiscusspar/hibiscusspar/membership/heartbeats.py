"""Table of heartbeats, and which VMs have been silent for too long."""

from typing import NamedTuple

from hibiscusspar.membership.messages import Beat

__all__ = ["Heartbeats", "Heard"]

RECENT_S = 4.0


class Heard(NamedTuple):
    """The newest heartbeat of a VM and when it arrived here, in seconds."""

    beat: Beat
    at: float


class Heartbeats:
    """Newest heartbeat of each VM."""

    def __init__(self):
        self._table = {}

    def get(self, vm):
        """Return the newest :class:`Beat` of a VM, or None."""
        heard = self._table.get(vm)
        return heard.beat if heard else None

    def expect(self, vm, now):
        """Begin to expect heartbeats of a VM."""
        self._table.setdefault(vm, Heard(Beat(vm, 0, 0, 0), now))

    def forget(self, vm):
        """Drop a VM that has left."""
        self._table.pop(vm, None)

    def vms(self):
        """Return the VMs of the table."""
        return list(self._table)

    def merge(self, beat, now):
        """Take in a heartbeat; return whether it was newer than the known one."""
        heard = self._table.get(beat.vm)
        if heard is None or _order(beat) <= _order(heard.beat):
            return False
        self._table[beat.vm] = Heard(beat, now)
        return True

    def silent_s(self, vm, now):
        """Return the seconds since anything new was heard of a VM."""
        heard = self._table.get(vm)
        return now - heard.at if heard else 0.0

    def shift(self, seconds):
        """Move all arrivals forward, after this process was paused."""
        for vm, heard in self._table.items():
            self._table[vm] = heard._replace(at=heard.at + seconds)

    def recent(self, now):
        """Return heartbeats that arrived lately and are worth passing on."""
        return [h.beat for h in self._table.values() if now - h.at <= RECENT_S]


def _order(beat):
    return (beat.incarnation, beat.count)
