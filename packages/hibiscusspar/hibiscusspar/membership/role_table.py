"""Table of the roles of all zones at their newest known versions."""

from typing import NamedTuple

from hibiscusspar.membership.messages import RoleRow, RoleRows, ZoneVersion

__all__ = ["UNASSIGNED", "RoleEntry", "RoleTable", "object_value", "parse_object"]


class RoleEntry(NamedTuple):
    """Holder of a role, its fencing number, and the list version showing the holder.

    An empty holder means that the role was released without a successor.
    """

    holder: str
    number: int
    seen: int


UNASSIGNED = RoleEntry("", 0, 0)


def parse_object(value):
    """Return the entries and the counter stored in the value of a platform object."""
    entries = {name: RoleEntry(*row) for name, row in value["roles"].items()}
    return entries, value["counter"]


def object_value(entries, counter, write_id):
    """Return the value of the platform object that stores the entries."""
    rows = {name: list(entry) for name, entry in sorted(entries.items())}
    return {"write_id": write_id, "counter": counter, "roles": rows}


class RoleTable:
    """Entries of all zones, each with the version of the zone's platform object."""

    def __init__(self):
        self._versions = {}
        self._zones = {}

    def version(self, zone):
        """Return the newest known version of a zone's object, or 0."""
        return self._versions.get(zone, 0)

    def entries(self, zone):
        """Return the entries of a zone."""
        return self._zones.get(zone, {})

    def find(self, name):
        """Return the entry with the highest fencing number for a role, in any zone."""
        found = [t[name] for t in self._zones.values() if name in t]
        return max(found, key=lambda entry: entry.number, default=UNASSIGNED)

    def adopt(self, zone, version, entries):
        """Store a zone's entries if they are newer; return whether they are."""
        if version <= self.version(zone):
            return False
        self._versions[zone] = version
        self._zones[zone] = dict(entries)
        return True

    def versions(self):
        """Return the known versions of all zones, for gossip."""
        return tuple(ZoneVersion(*pair) for pair in sorted(self._versions.items()))

    def rows(self, zone):
        """Return the :class:`RoleRows` message with the entries of a zone."""
        rows = (RoleRow(name, *entry) for name, entry in self.entries(zone).items())
        return RoleRows(zone, self.version(zone), tuple(rows))
