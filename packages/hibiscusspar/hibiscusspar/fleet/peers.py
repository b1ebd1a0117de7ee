"""Choice of the nodes that receive notices of sent requests.

Fleets range from nine nodes to hundreds, and the notices that one node sends and
receives must not grow in proportion.
"""

from typing import NamedTuple

from hibiscusspar.fleet.fanout import MAX_DIRECT_NODES, exchange_interval_s

__all__ = [
    "ROTATED_PEERS",
    "NoticeRecipients",
    "Peer",
    "PeerTable",
    "decision_interval_s",
    "notice_interval_s",
]

# Peers that a view carries in rotation, so that each is sent again and again.
ROTATED_PEERS = 3
# A node that no view showed for this long is dropped, at the earliest.
_MIN_FORGET_S = 20.0
# Rotations through all nodes that views may miss a node before it is dropped.
_FORGET_ROTATIONS = 2.5
# Most notices that a node receives per second: some percent of a core.
_NOTICES_PER_S = 1000.0


# Time in which a notice reaches and is processed by a node of half a core, in seconds.
_NOTICE_DELAY_S = 0.004


class Peer(NamedTuple):
    """Another node: its zone and ``ip:port``."""

    zone: str
    address: str


class NoticeRecipients(NamedTuple):
    """Addresses that receive a notice, and those that also forward it in their zone."""

    direct: list[str]
    relays: list[str]


def notice_interval_s(nodes):
    """Return the shortest interval between the notices of a node, in seconds."""
    return nodes / _NOTICES_PER_S


def decision_interval_s(peers, fraction):
    """Return the time until a node reconsiders its waiting requests, in seconds.

    Requests for one adapter wait on many nodes, and all would be sent at the moment
    when a copy is ready or a target has processed its prompts (thundering herd).
    Random intervals let most nodes know what the others have just sent.

    Parameters
    ----------
    peers : int
    fraction : float
        Random number, uniform in [0, 1).
    """
    return peers * _NOTICE_DELAY_S * (0.5 + fraction)


class PeerTable:
    """Nodes that recent views have shown.

    Parameters
    ----------
    address : str
        Address of this node, which is left out.
    """

    def __init__(self, address):
        self._address = address
        self._rows = {}
        self._forget_s = _MIN_FORGET_S

    def update(self, now, peers, nodes=1):
        """Add the nodes that a view shows.

        Parameters
        ----------
        now : float
        peers : dict of str to Peer
            Some nodes by name.
        nodes : int, optional
            Number of all nodes.
        """
        rotation_s = nodes / ROTATED_PEERS * exchange_interval_s(nodes)
        self._forget_s = max(_MIN_FORGET_S, _FORGET_ROTATIONS * rotation_s)
        for name, peer in peers.items():
            if peer.address != self._address:
                self._rows[name] = (peer, now)

    @property
    def count(self):
        """Number of nodes in the table."""
        return len(self._rows)

    @property
    def peers(self):
        """Nodes in the table by name."""
        return {name: peer for name, (peer, _) in self._rows.copy().items()}

    @property
    def addresses(self):
        """Address of each node in the table by name."""
        return {name: peer.address for name, peer in self.peers.items()}

    def direct_addresses(self, now, zone):
        """Return the addresses of the nodes that receive notices directly.

        In a small fleet these are all nodes, otherwise the nodes of a zone.
        """
        self._rows = {
            name: row
            for name, row in self._rows.items()
            if now < row[1] + self._forget_s
        }
        is_small = len(self._rows) < MAX_DIRECT_NODES
        return [
            peer.address
            for peer, _ in self._rows.values()
            if is_small or peer.zone == zone
        ]

    def notice_recipients(self, now, zone, rng):
        """Return the recipients of a notice from a node of a zone.

        A notice crosses to each other zone once, because traffic between zones is
        expensive.

        Parameters
        ----------
        now : float
        zone : str
        rng : random.Random

        Returns
        -------
        NoticeRecipients
        """
        direct = self.direct_addresses(now, zone)
        zones = {}
        for peer, _ in self._rows.values():
            if peer.zone != zone and len(self._rows) >= MAX_DIRECT_NODES:
                zones.setdefault(peer.zone, []).append(peer.address)
        return NoticeRecipients(
            direct, [rng.choice(zones[name]) for name in sorted(zones)]
        )
