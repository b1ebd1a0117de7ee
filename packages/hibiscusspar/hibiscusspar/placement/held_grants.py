"""Grants held by this node: units it may use and units in use."""

from hibiscusspar.placement.messages import Held, Holdings

__all__ = ["HeldGrant", "HeldGrantTable"]


class HeldGrant:
    """Units of one label on one target granted to this node."""

    __slots__ = ("in_use", "incarnation", "level", "serial")

    def __init__(self):
        self.level = 0
        self.in_use = 0
        self.serial = 0
        self.incarnation = ""

    @property
    def free(self):
        """Number of units that may be acquired now."""
        return max(0, self.level - self.in_use)

    @property
    def bound(self):
        """Maximum units in use until the next message about this grant."""
        return max(self.level, self.in_use)


class HeldGrantTable:
    """All grants held by this node, by target and label.

    Parameters
    ----------
    node_life : int
        Identifies this run of the process; later runs have higher numbers.
    """

    def __init__(self, node_life):
        self.node_life = node_life
        self.terms = {}
        self.owners = {}
        self.grants = {}
        self._by_label = {}
        self._min_serials = {}

    def of_label(self, label):
        """Return the grants of a label by target."""
        return self._by_label.get(label, {})

    def get(self, target, label):
        """Return the grant of a label on a target, or None."""
        return self.grants.get(target, {}).get(label)

    def term(self, target):
        """Return the term of the last owner accepted for a target."""
        return self.terms.get(target, (0, 0))

    def answer_inquiry(self, message):
        """Accept a new owner and return the :class:`Holdings`.

        Return None if its term is older than the one known. Grants of earlier
        owners that are still in transit are ignored from now on; units granted
        before stay usable and are reported.
        """
        term = (message.number, message.life)
        known = self.term(message.target)
        if term < known:
            return None
        if term > known:
            self.terms[message.target] = term
            self._min_serials.pop(message.target, None)
            for grant in self.grants.get(message.target, {}).values():
                grant.serial = 0
        self.owners[message.target] = message.owner
        held = self.grants.get(message.target, {})
        pairs = tuple((label, h.bound) for label, h in held.items() if h.bound)
        return Holdings(message.target, *term, self.node_life, pairs)

    def is_ignorable(self, message):
        """Return whether a grant that was not accepted needs no answer.

        That is so if its term is out of date, or if it is of the known owner and for
        this run of the process, so that only its serial is out of date.
        """
        term = (message.number, message.life)
        known = self.term(message.target)
        if term == known:
            return message.node_life == self.node_life
        return term < known

    def accept(self, message):
        """Apply a :class:`Grant` and return the held grant, or None if out of date."""
        if (message.number, message.life) != self.term(message.target):
            return None
        if message.node_life != self.node_life:
            return None
        grant = self.get(message.target, message.label)
        min_serial = grant.serial if grant else self._min_serials.get(message.target, 0)
        if message.serial < min_serial:
            return None
        grant = self._ensure(message.target, message.label)
        grant.serial = message.serial
        grant.level = message.level
        grant.incarnation = message.incarnation
        return grant

    def acknowledge(self, target, label, want):
        """Return the :class:`Held` that reports the bound units to the owner."""
        grant = self._ensure(target, label)
        term = self.term(target)
        life = self.node_life
        message = Held(target, label, *term, life, grant.serial, grant.bound, want)
        if not grant.level and not grant.in_use:
            self._forget(target, label)
        return message

    def acquire(self, target, label):
        """Acquire one unit; the caller has checked that one is free."""
        self.grants[target][label].in_use += 1

    def release(self, target, label):
        """Release one unit and return whether the owner had recalled it."""
        grant = self.grants[target][label]
        grant.in_use -= 1
        return grant.in_use >= grant.level

    def _ensure(self, target, label):
        held = self.grants.setdefault(target, {})
        grant = held.get(label)
        if grant is None:
            grant = held[label] = HeldGrant()
            self._by_label.setdefault(label, {})[target] = grant
        return grant

    def _forget(self, target, label):
        grant = self.grants[target].pop(label)
        min_serial = self._min_serials.get(target, 0)
        self._min_serials[target] = max(min_serial, grant.serial + 1)
        if not self.grants[target]:
            del self.grants[target]
        del self._by_label[label][target]
        if not self._by_label[label]:
            del self._by_label[label]
