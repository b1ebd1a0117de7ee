"""Which nodes are told of sends.

Load pattern: a fleet grows from nine nodes to hundreds, and what one node sends and
receives must not grow with it.
"""

from typing import NamedTuple

from hibiscusspar.fleet.fanout import DIRECT_NODES

__all__ = ["Audience", "Peer", "PeerTable", "decision_interval_s", "notice_interval_s"]

# A node that no view showed for this long is gone; views show each within some seconds.
_FORGET_S = 20.0
# Notices that a node receives in a second, at most: some percent of a core.
_NOTICES_PER_S = 1000.0


# Time in which a notice reaches a node of half a core and is taken in, in seconds.
_NOTICE_S = 0.004


class Peer(NamedTuple):
    """Another node: its zone and ``ip:port``."""

    zone: str
    address: str


class Audience(NamedTuple):
    """Addresses that a notice is sent to, and those that pass it on to their zones."""

    direct: list[str]
    relays: list[str]


def notice_interval_s(nodes):
    """Return the shortest time between two notices of a node in a fleet."""
    return nodes / _NOTICES_PER_S


def decision_interval_s(peers, fraction):
    """Return the time until a node decides again about its waiting requests.

    Load pattern: requests for one adapter wait on many nodes, and all would be sent
    in the moment in which a copy is ready or a target has read its prompts. Nodes
    decide at different times, so that most know what the others have just sent.

    Parameters
    ----------
    peers : int
    fraction : float
        Random number, uniform in [0, 1).
    """
    return peers * _NOTICE_S * (0.5 + fraction)


class PeerTable:
    """Nodes that views have shown lately.

    Parameters
    ----------
    address : str
        Address of this node, which is no peer of itself.
    """

    def __init__(self, address):
        self._address = address
        self._rows = {}

    def update(self, now, peers):
        """Take in the nodes that a view shows, by name."""
        for name, peer in peers.items():
            if peer.address != self._address:
                self._rows[name] = (peer, now)

    @property
    def count(self):
        """Number of nodes shown lately."""
        return len(self._rows)

    def direct_addresses(self, now, zone):
        """Return the addresses of the nodes that are told directly.

        In a small fleet these are all nodes, else those of a zone.
        """
        self._rows = {
            name: row for name, row in self._rows.items() if now < row[1] + _FORGET_S
        }
        is_small = len(self._rows) < DIRECT_NODES
        return [
            peer.address
            for peer, _ in self._rows.values()
            if is_small or peer.zone == zone
        ]

    def notice_recipients(self, now, zone, rng):
        """Return who is told of a send by a node of a zone.

        A notice crosses to each other zone once, because bytes between zones are dear.

        Parameters
        ----------
        now : float
        zone : str
        rng : random.Random

        Returns
        -------
        Audience
        """
        direct = self.direct_addresses(now, zone)
        zones = {}
        for peer, _ in self._rows.values():
            if peer.zone != zone and len(self._rows) >= DIRECT_NODES:
                zones.setdefault(peer.zone, []).append(peer.address)
        return Audience(direct, [rng.choice(zones[name]) for name in sorted(zones)])
