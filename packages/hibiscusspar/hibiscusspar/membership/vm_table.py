"""Table of VMs: the platform's newest list and the VMs not in it yet."""

from typing import NamedTuple

from hibiscusspar.membership.messages import VmEntry

__all__ = ["ListChange", "VmTable"]

MAX_LEFT = 4096


class ListChange(NamedTuple):
    """VMs that an adopted list added and removed."""

    joined: list[VmEntry]
    left: list[str]


class VmTable:
    """VMs by id. Ids are never reused, so a VM that left never returns."""

    def __init__(self):
        self.version = 0
        self._listed = {}
        self._unlisted = {}
        self._left = {}

    def get(self, vm):
        """Return the :class:`VmEntry` of a VM, or None."""
        return self._listed.get(vm) or self._unlisted.get(vm)

    def rows(self):
        """Return all VMs that are not known to have left."""
        return [*self._listed.values(), *self._unlisted.values()]

    def listed(self):
        """Return the VMs of the newest known list of the platform."""
        return tuple(self._listed.values())

    def unlisted(self):
        """Return the announced VMs that are not listed yet."""
        return tuple(self._unlisted.values())

    def is_listed(self, vm):
        """Return whether the platform's list shows a VM."""
        return vm in self._listed

    def has_left(self, vm):
        """Return whether a VM is known to have left."""
        return vm in self._left

    def announce(self, row):
        """Add a VM that the list doesn't show yet; return whether it was unknown.

        Announcements of VMs that are listed or have left are ignored.
        """
        if row.vm in self._left or row.vm in self._listed:
            return False
        new = row.vm not in self._unlisted
        self._unlisted[row.vm] = row
        return new

    def remove(self, vm):
        """Remove a VM that was never listed."""
        self._unlisted.pop(vm, None)

    def adopt(self, version, rows):
        """Adopt a list; return the :class:`ListChange`, or None if it isn't newer."""
        if version <= self.version:
            return None
        table = {row.vm: row for row in rows if row.vm not in self._left}
        left = [vm for vm in self._listed if vm not in table]
        known = self._listed.keys() | self._unlisted.keys()
        joined = [row for vm, row in table.items() if vm not in known]
        self._record_left(left)
        for vm in table:
            self._unlisted.pop(vm, None)
        self._listed = table
        self.version = version
        return ListChange(joined, left)

    def _record_left(self, vms):
        for vm in vms:
            self._left[vm] = True
        while len(self._left) > MAX_LEFT:
            del self._left[next(iter(self._left))]
