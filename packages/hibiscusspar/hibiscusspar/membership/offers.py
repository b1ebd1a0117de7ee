"""Configurations that other VMs offer, and how old the one in force is."""

from typing import NamedTuple

__all__ = ["Offer", "Offers"]

MAX_TRANSIT_S = 1.0


class Offer(NamedTuple):
    """A configuration that a VM has: its revision and the name of its root.

    ``confirmed`` is when that VM knew it to be the newest, by the clock here.
    """

    revision: int
    root: str
    vm: str
    confirmed: float


class Offers:
    """The newest offer of each VM, and when the own configuration was the newest."""

    def __init__(self):
        self._table = {}
        self._confirmed = None

    def best(self):
        """Return the newest :class:`Offer`, or None."""
        return max(self._table.values(), default=None)

    def drop(self, vm):
        """Drop the offer of a VM."""
        self._table.pop(vm, None)

    def take_gossip(self, now, vm, gossip, revision):
        """Take in what a VM tells of its configuration; ours has ``revision``.

        The age that it tells is that of the time of sending; an allowance for the
        transit keeps the age here from being too low.
        """
        confirmed = now - gossip.age_s - MAX_TRANSIT_S
        if gossip.revision > revision:
            self._table[vm] = Offer(gossip.revision, gossip.root, vm, confirmed)
        elif gossip.revision == revision > 0:
            self.confirm_config(confirmed)

    def put_in_force(self, revision, root):
        """Take over the age of an offer that is in force now; drop older offers."""
        for vm, offer in list(self._table.items()):
            if offer.root == root:
                self.confirm_config(offer.confirmed)
            if offer.revision <= revision:
                del self._table[vm]

    def confirm_config(self, at):
        """Take note that the configuration in force was the newest at a time."""
        if self._confirmed is None or at > self._confirmed:
            self._confirmed = at

    def age_s(self, now):
        """Return seconds since the configuration in force was the newest.

        It is 0 as long as there is none.
        """
        return 0.0 if self._confirmed is None else max(0.0, now - self._confirmed)
