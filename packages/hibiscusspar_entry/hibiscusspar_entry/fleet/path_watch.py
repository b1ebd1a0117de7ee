"""Watch over the paths of one node to targets, and search for nodes that have one."""

import threading

from msgspec.json import encode as to_json

from hibiscusspar.fleet.messages import ProxyOffer, SendNotice
from hibiscusspar.fleet.paths import PathTable
from hibiscusspar.fleet.proxy_offers import Offer, OfferTable, asked_peers
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.address import parse_address
from hibiscusspar_entry.fleet.events import PATH_CHANGED
from hibiscusspar_wire.target_connections import CallFailedError

__all__ = ["PathWatch"]

# Time between two questions for offers, in seconds: at first, and while offers hold or
# none comes.
_FIRST_ASK_S = 0.05
_ASK_S = 0.4


class PathWatch:
    """Paths of one node to targets, and the offers of peers for those that are cut.

    Parameters
    ----------
    clock : callable
    zone : str
    connections : TargetConnections
    peers : PeerTable
    channel : Channel
    call_later : callable
        Calls a function after a delay in seconds.
    rng : random.Random
    """

    def __init__(self, clock, zone, connections, peers, channel, call_later, rng):
        self._clock = clock
        self._zone = zone
        self._connections = connections
        self._peers = peers
        self._channel = channel
        self._call_later = call_later
        self._rng = rng
        self._lock = threading.Lock()
        self._paths = PathTable()
        self._offers = OfferTable()
        self._targets = {}
        self._services = set()
        self._ask_at = 0.0
        self._ask_gap_s = _FIRST_ASK_S
        # Called with the targets of a service whose path was cut or is back. What
        # failed on a cut path says nothing about them.
        self.on_changed = lambda targets: None
        # Returns token, port and load of an offer to an address, or None.
        self.make_offer = lambda address: None

    @property
    def cut_services(self):
        """Services whose targets this node can't reach."""
        with self._lock:
            return self._paths.cut_services

    def set_targets(self, targets):
        """Replace the directory of targets."""
        with self._lock:
            if targets is not self._targets:
                self._services = {target.service for target in targets.values()}
            self._targets = targets
            self._paths.retain(self._services)

    def target(self, target_id):
        """Return a target of the directory, or None."""
        return self._targets.get(target_id)

    def is_cut(self, service):
        """Return whether this node can't reach the targets of a service."""
        with self._lock:
            return self._paths.is_cut(service)

    def record_sent(self, service):
        """Record that a request was sent over this node's own links."""
        with self._lock:
            self._paths.record_sent(self._clock(), service)

    def record_answer(self, service):
        """Record that a target answered over this node's own links."""
        with self._lock:
            self._paths.record_answer(self._clock(), service)

    def record_failure(self, service):
        """Record that an attempt over this node's own links failed."""
        with self._lock:
            self._paths.record_failure(service)

    def reaches_engines(self, zone):
        """Return whether this node, or else no peer, reaches the engines of a zone."""
        with self._lock:
            now = self._clock()
            cut = {
                service
                for service in self._paths.cut_services
                if self._offers.has_offer(now, service)
            }
            return not cut or not any(
                target.service in cut and target.zone == zone and target.models
                for target in self._targets.values()
            )

    def has_offer(self, service):
        """Return whether a peer offers to be the proxy for a service."""
        with self._lock:
            return self._offers.has_offer(self._clock(), service)

    def begin_proxied(self, service, excluded):
        """Choose a proxy and count a request for it; return its name and offer.

        Returns None if no peer offers to be the proxy.
        """
        with self._lock:
            now = self._clock()
            chosen = self._offers.choose(now, service, self._zone, excluded)
            if chosen is not None:
                self._offers.begin(chosen[0])
            return chosen

    def end_proxied(self, peer):
        """Count the end of a request at a proxy."""
        with self._lock:
            self._offers.end(peer)

    def withdraw_offer(self, peer):
        """Drop the offer of a peer that doesn't keep it."""
        with self._lock:
            self._offers.withdraw(peer)

    def apply_notice(self, notice, address):
        """Answer a peer without a path, or record its offer."""
        if notice.proxy_asked:
            self._answer(notice.proxy_asked, address)
        row = notice.proxy_offer
        peer = self._peer_at(address) if row is not None else None
        if peer is None:
            return
        offer = Offer(
            self._peers.peers[peer].zone,
            f"{address[0]}:{row.port}",
            row.token,
            frozenset(row.services),
            row.load,
            self._clock(),
        )
        with self._lock:
            self._offers.record(peer, offer)

    def tick(self):
        """Start the checks that are due, and ask peers for offers while one is cut."""
        with self._lock:
            now = self._clock()
            due = self._paths.due_checks(now)
            cut = self._paths.cut_services
            is_offered = all(self._offers.has_offer(now, service) for service in cut)
        for service in due:
            self._call_later(0.0, lambda service=service: self._check(service))
        if not cut:
            self._ask_gap_s = _FIRST_ASK_S
        elif now >= self._ask_at:
            self._ask_gap_s = min(_ASK_S, 2 * self._ask_gap_s)
            self._ask_at = now + (_ASK_S if is_offered else self._ask_gap_s)
            self._ask(cut)

    def refuses(self, target):
        """Return whether a target refuses connections while this node reaches others.

        A refusal over links that are cut says nothing about the target.
        """
        try:
            self._connections.check(target.address)
        except CallFailedError as error:
            return error.is_refused and self._reaches_another(target)
        return False

    def _reaches_another(self, target):
        others = [t for t in self._targets.values() if t.address != target.address]
        same = [t for t in others if t.service == target.service]
        others = [t for t in same or others if not t.draining]
        return not others or self._is_reached(self._rng.choice(others))

    def _ask(self, services):
        peers = self._peers.peers
        body = to_json(SendNotice([], proxy_asked=services))
        for name in asked_peers(peers, self._zone, self._rng):
            self._channel.send(parse_address(peers[name].address), body)

    def _answer(self, services, address):
        """Offer to be the proxy of a node for the services that this node reaches."""
        if self._peer_at(address) is None:
            return
        with self._lock:
            now = self._clock()
            proven = [s for s in services if self._paths.is_proven(now, s)]
            known = {target.service for target in self._targets.values()}
            for service in known.intersection(services) - set(proven):
                self._paths.request_check(service)
        offered = self.make_offer(address) if proven else None
        if offered is not None:
            offer = ProxyOffer(proven, *offered)
            self._channel.send(address, SendNotice([], proxy_offer=offer))

    def _peer_at(self, address):
        """Return the name of the peer at an address, or None if no view showed it."""
        text = f"{address[0]}:{address[1]}"
        addresses = self._peers.addresses.items()
        return next((name for name, known in addresses if known == text), None)

    def _check(self, service):
        with self._lock:
            count, ends_with = self._paths.tries(service)
            targets = [t for t in self._targets.values() if t.service == service]
        usable = [target for target in targets if not target.draining] or targets
        if not usable:
            return
        tried, is_reached = [], False
        for target in self._rng.sample(usable, min(count, len(usable))):
            tried.append(target.target_id)
            is_reached = self._is_reached(target)
            if is_reached == ends_with:
                break
        with self._lock:
            now = self._clock()
            changed = self._paths.record_check(now, service, is_reached)
        if changed:
            fields = {"service": service, "is_cut": not is_reached, "tried": tried}
            write_records([(PATH_CHANGED, fields)])
            self._ask_at = 0.0
            self.on_changed(targets)

    def _is_reached(self, target):
        try:
            self._connections.check(target.address)
        except CallFailedError:
            return False
        return True
