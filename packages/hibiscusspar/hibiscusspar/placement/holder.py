"""Grants held by this node: units it may use and units in use."""

from hibiscusspar.placement.messages import Held, Holdings

__all__ = ["Hold", "HolderTable"]


class Hold:
    """Units of one label on one target granted to this node."""

    __slots__ = ("in_use", "incarnation", "level", "serial")

    def __init__(self):
        self.level = 0
        self.in_use = 0
        self.serial = 0
        self.incarnation = ""

    @property
    def free(self):
        """Number of units that may be taken now."""
        return max(0, self.level - self.in_use)

    @property
    def bound(self):
        """Maximum units in use until the next message about this grant."""
        return max(self.level, self.in_use)


class HolderTable:
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
        self.holds = {}
        self._by_label = {}
        self._floors = {}

    def of_label(self, label):
        """Return the holds of a label by target."""
        return self._by_label.get(label, {})

    def hold(self, target, label):
        """Return the hold of a label on a target, or None."""
        return self.holds.get(target, {}).get(label)

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
            self._floors.pop(message.target, None)
            for hold in self.holds.get(message.target, {}).values():
                hold.serial = 0
        self.owners[message.target] = message.owner
        held = self.holds.get(message.target, {})
        pairs = tuple((label, h.bound) for label, h in held.items() if h.bound)
        return Holdings(message.target, *term, self.node_life, pairs)

    def answered(self, message):
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
        """Apply a grant and return its hold, or None if the grant is out of date."""
        if (message.number, message.life) != self.term(message.target):
            return None
        if message.node_life != self.node_life:
            return None
        hold = self.hold(message.target, message.label)
        floor = hold.serial if hold else self._floors.get(message.target, 0)
        if message.serial < floor:
            return None
        hold = self._ensure(message.target, message.label)
        hold.serial = message.serial
        hold.level = message.level
        hold.incarnation = message.incarnation
        return hold

    def acknowledge(self, target, label, want):
        """Return the :class:`Held` that reports the bound units to the owner."""
        hold = self._ensure(target, label)
        term = self.term(target)
        life = self.node_life
        message = Held(target, label, *term, life, hold.serial, hold.bound, want)
        if not hold.level and not hold.in_use:
            self._forget(target, label)
        return message

    def take(self, target, label):
        """Use one unit; the caller has checked that one is free."""
        self.holds[target][label].in_use += 1

    def give_back(self, target, label):
        """End the use of one unit; return whether the owner had recalled it."""
        hold = self.holds[target][label]
        hold.in_use -= 1
        return hold.in_use >= hold.level

    def _ensure(self, target, label):
        held = self.holds.setdefault(target, {})
        hold = held.get(label)
        if hold is None:
            hold = held[label] = Hold()
            self._by_label.setdefault(label, {})[target] = hold
        return hold

    def _forget(self, target, label):
        hold = self.holds[target].pop(label)
        floor = self._floors.get(target, 0)
        self._floors[target] = max(floor, hold.serial + 1)
        if not self.holds[target]:
            del self.holds[target]
        del self._by_label[label][target]
        if not self._by_label[label]:
            del self._by_label[label]
