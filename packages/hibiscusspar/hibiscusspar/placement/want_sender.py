"""Reporting of the units that this node wants to the owners of targets."""

from hibiscusspar.placement.demand import HALF_LIFE_S, DemandTable
from hibiscusspar.placement.messages import Want

__all__ = ["WantSender"]

REPORT_S = 1.0
DEMAND_ROWS = 4096


class WantSender:
    """Sender of changed wants: at once, with the next tick, or once a second.

    Changes are collected in ``urgent``, ``soon`` and ``lazy``, respectively.

    Parameters
    ----------
    held_grants : HeldGrantTable
    waits : WaitTable
    permits : Permits
    message_sender : MessageSender
    owner_of : callable
        Returns the VM that owns a target; empty if none is known.
    """

    def __init__(self, held_grants, waits, permits, message_sender, owner_of):
        self._grants = held_grants
        self._waits = waits
        self._permits = permits
        self._sender = message_sender
        self._owner_of = owner_of
        self._sent = {}
        self._report_at = 0.0
        self._now = 0.0
        self.demand = DemandTable(HALF_LIFE_S, DEMAND_ROWS)
        self.urgent = set()
        self.soon = set()
        self.lazy = set()

    def record_dispatch(self, now, label):
        """Count a request for a label that this node dispatched."""
        self._now = now
        self.demand.add(now, label, 1)

    def wanted_units(self, target, label):
        """Return the units of a target that this node wants, including those in use."""
        if not label:
            return self._permits.wanted.get(target, 0)
        grant = self._grants.get(target, label)
        used = grant.in_use if grant else 0
        return used + self._waits.waiting_for(target, label)

    def increase(self, label, targets):
        """Queue increased wants of a label for sending.

        The first unit wanted beyond those granted is sent at once, more units with
        the next tick.
        """
        for target in targets:
            grant = self._grants.get(target, label)
            level = grant.level if grant else 0
            first = self._sent.get((target, label), 0) <= level
            (self.urgent if first else self.soon).add((target, label))

    def repeat(self, target, label):
        """Send a want again, since the last message may have been lost."""
        self._sent.pop((target, label), None)
        self.urgent.add((target, label))

    def record_sent(self, target, label, units):
        """Record that another message contained a want."""
        self._sent[target, label] = units

    def tick(self, now, out):
        """Send the changes since the last tick."""
        self._now = now
        if now >= self._report_at:
            self._report_at = now + REPORT_S
            self.soon |= self.lazy
            self.lazy = set()
        self.urgent |= self.soon
        self.soon = set()
        self.flush(out)

    def flush(self, out):
        """Send the urgent changes to the owners."""
        urgent, self.urgent = self.urgent, set()
        for target, label in sorted(urgent):
            units = self.wanted_units(target, label)
            if self._sent.get((target, label), 0) != units:
                self._send(target, label, units, out)

    def message(self, target, label):
        """Return the :class:`Want` for a label of a target."""
        term = self._grants.term(target)
        units = self.wanted_units(target, label)
        used = self.demand.value(self._now, label)
        return Want(target, label, *term, self._grants.node_life, units, used)

    def _send(self, target, label, units, out):
        owner = self._owner_of(target)
        if not owner:
            return
        if units:
            self._sent[target, label] = units
        else:
            self._sent.pop((target, label), None)
        self._sender.send(out, owner, self.message(target, label))
