"""Configurations offered by other VMs, and the age of the current one."""

from typing import NamedTuple

__all__ = ["Offer", "Offers"]

MAX_TRANSIT_S = 1.0  # Assumed upper bound of the transit time of gossip.


class Offer(NamedTuple):
    """A configuration that a VM has: its revision and the content name of its root.

    ``confirmed`` is when that VM last knew it to be the newest, on the local clock.
    """

    revision: int
    root: str
    vm: str
    confirmed: float


class Offers:
    """Newest offer of each VM, and when the local configuration was the newest."""

    def __init__(self):
        self._table = {}
        self._confirmed = None

    def best(self):
        """Return the :class:`Offer` with the highest revision, or None."""
        return max(self._table.values(), default=None)

    def drop(self, vm):
        """Drop the offer of a VM."""
        self._table.pop(vm, None)

    def process_gossip(self, now, vm, gossip, revision):
        """Process what gossip of a VM says about its configuration.

        The age in the message is that at the time of sending. The allowance
        ``MAX_TRANSIT_S`` is added so that the local age is not too low.

        Parameters
        ----------
        now : float
        vm : str
        gossip : Gossip
        revision : int
            Revision of the local configuration.
        """
        confirmed = now - gossip.age_s - MAX_TRANSIT_S
        if gossip.revision > revision:
            self._table[vm] = Offer(gossip.revision, gossip.root, vm, confirmed)
        elif gossip.revision == revision > 0:
            self.confirm_config(confirmed)

    def mark_applied(self, revision, root):
        """Adopt the age of the applied offer; drop the offers that aren't newer."""
        for vm, offer in list(self._table.items()):
            if offer.root == root:
                self.confirm_config(offer.confirmed)
            if offer.revision <= revision:
                del self._table[vm]

    def confirm_config(self, at):
        """Record that the local configuration was the newest at a time."""
        if self._confirmed is None or at > self._confirmed:
            self._confirmed = at

    def config_age_s(self, now):
        """Return the seconds since the local configuration was the newest.

        It is 0 until it has been confirmed once.
        """
        return 0.0 if self._confirmed is None else max(0.0, now - self._confirmed)
