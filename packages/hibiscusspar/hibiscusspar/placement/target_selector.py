"""Selection of the targets that a node asks for grants and loads."""

from itertools import islice

from hibiscusspar.placement.ring import EMPTY_RING
from hibiscusspar.placement.routing import (
    LOAD_CHOICES,
    pick_load_target,
    pick_resident,
)
from hibiscusspar.ports import target_owner_role

__all__ = ["TargetSelector"]

ASK_ANOTHER_AFTER_S = 0.1


class TargetSelector:
    """Selector of the targets that a node asks for grants and loads.

    Parameters
    ----------
    members : Members
    roles : Roles
    residency : ResidencyTable
    waits : WaitTable
    """

    def __init__(self, members, roles, residency, waits):
        self._members = members
        self._roles = roles
        self._residency = residency
        self._waits = waits
        self._specs = {}
        self._rings = {}

    def configure(self, specs, rings):
        """Replace the declared targets and the ring of each service."""
        self._specs = specs
        self._rings = rings

    def owner_of(self, target):
        """Return the VM last known to own a target; empty if none is known."""
        role = target_owner_role(target)
        row = self._residency.rows.get(target)
        if row is None or self._roles.number(role) > row.number:
            return self._roles.holder(role)
        return row.owner

    def ask_next(self, now, key, row, excluded):
        """Ask one more target, preferably one that has the label and free units.

        Parameters
        ----------
        now : float
        key : (str, str)
            Service and label.
        row : WaitRow
        excluded : collection of str
            Targets that must not be asked.
        """
        service, label = key
        ring = self._rings.get(service, EMPTY_RING)
        for name in [n for n, until in row.barred.items() if until <= now]:
            del row.barred[name]
        skipped = {*excluded, *row.barred, *row.asked}
        resident_on = self._residency.targets_with(label)
        resident = [
            name
            for name in resident_on
            if name in ring and name not in skipped and self.can_ask(name)
        ]
        if resident and self._ask_resident(now, label, row, resident):
            return
        others = (
            name
            for name in ring.walk(label)
            if name not in skipped and name not in resident_on and self.can_ask(name)
        )
        names = list(islice(others, LOAD_CHOICES))
        if names:
            rows, pending = self._residency.rows, self._waits.pending
            self._waits.record_ask(now, row, pick_load_target(names, rows, pending))

    def _ask_resident(self, now, label, row, resident):
        """Ask a target that has the label; return whether it isn't saturated."""
        rows, zone = self._residency.rows, self._members.zone
        pending = self._waits.pending
        resident = pick_resident(
            resident, rows, self._specs, zone, pending, self._members.vm
        )
        unsaturated = [n for n in resident if label not in rows[n].saturated]
        self._waits.record_ask(now, row, (unsaturated or resident)[0])
        return bool(unsaturated)

    def ask_another(self, now, key, row):
        """Ask another target that has the label if no grant came in time.

        Returns
        -------
        bool
            Whether another target was asked.
        """
        if not row.asked or now - max(row.asked.values()) < ASK_ANOTHER_AFTER_S:
            return False
        resident_on = self._residency.targets_with(key[1])
        if len(resident_on) < 2 or not any(name in resident_on for name in row.asked):
            return False
        if all(name in row.asked for name in resident_on):
            return False
        before = len(row.asked)
        self.ask_next(now, key, row, ())
        return len(row.asked) > before

    def can_ask(self, name):
        """Return whether a target is up and its owner is known and not suspected."""
        row = self._residency.rows.get(name)
        if row is None or not row.incarnation:
            return False
        owner = self.owner_of(name)
        return bool(owner) and not self._members.suspected(owner)
