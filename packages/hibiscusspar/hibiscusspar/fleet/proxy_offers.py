"""Offers of nodes to be the proxy of nodes without a path to targets."""

from typing import NamedTuple

from hibiscusspar.fleet.fanout import MAX_DIRECT_NODES

__all__ = ["Offer", "OfferTable", "asked_peers"]

# Time in seconds for which an offer holds at the node that got it. It is renewed
# several times meanwhile.
_VALID_S = 1.5
# Peers that are asked at once in a large fleet: of the own zone, and of others.
_ASKED_NEAR = 4
_ASKED_FAR = 6
# Open requests that a peer of the own zone may have beyond one of another zone, whose
# traffic has a price.
_ZONE_ADVANTAGE = 4


class Offer(NamedTuple):
    """Offer of a peer to be the proxy for some services.

    ``load`` is the number of its open requests when it made the offer.
    """

    zone: str
    address: str
    token: str
    services: frozenset[str]
    load: int
    at: float


class OfferTable:
    """Offers that a node has got, by peer."""

    def __init__(self):
        self._offers = {}
        self._open = {}

    def record(self, peer, offer):
        """Replace the offer of a peer."""
        self._offers[peer] = offer

    def withdraw(self, peer):
        """Drop the offer of a peer that doesn't keep it."""
        self._offers.pop(peer, None)

    def has_offer(self, now, service):
        """Return whether some peer offers to be the proxy for a service."""
        return any(self._holds(now, offer, service) for offer in self._offers.values())

    def choose(self, now, service, zone, excluded=frozenset()):
        """Return the peer that should send a request, with its offer, or None.

        Parameters
        ----------
        now : float
        service : str
        zone : str
            Zone of this node.
        excluded : frozenset of str, optional
            Peers that must not be chosen.
        """
        ranked = [
            (self._cost(peer, offer, zone), peer, offer)
            for peer, offer in self._offers.items()
            if peer not in excluded and self._holds(now, offer, service)
        ]
        if not ranked:
            return None
        _, peer, offer = min(ranked)
        return peer, offer

    def begin(self, peer):
        """Count a request that is sent to a peer."""
        self._open[peer] = self._open.get(peer, 0) + 1

    def end(self, peer):
        """Count the end of a request at a peer."""
        count = self._open.get(peer, 0) - 1
        if count > 0:
            self._open[peer] = count
        else:
            self._open.pop(peer, None)

    def _cost(self, peer, offer, zone):
        distance = 0 if offer.zone == zone else _ZONE_ADVANTAGE
        return offer.load + self._open.get(peer, 0) + distance

    def _holds(self, now, offer, service):
        return service in offer.services and now < offer.at + _VALID_S


def asked_peers(peers, zone, rng):
    """Return the peers that a node without a path asks for offers.

    Parameters
    ----------
    peers : dict of str to Peer
    zone : str
        Zone of the node.
    rng : random.Random

    Returns
    -------
    list of str
        All peers of a small fleet.
    """
    names = sorted(peers)
    if len(names) < MAX_DIRECT_NODES:
        return names
    near = [name for name in names if peers[name].zone == zone]
    far = [name for name in names if peers[name].zone != zone]
    return rng.sample(near, min(_ASKED_NEAR, len(near))) + rng.sample(
        far, min(_ASKED_FAR, len(far))
    )
