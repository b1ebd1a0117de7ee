"""Cost of the origins of streams, and requests to targets with a limit."""

from random import Random
from time import perf_counter

from msgspec.json import decode
from msgspec.json import encode as to_json

from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.messages import SendNotice
from hibiscusspar.fleet.peers import Peer, PeerTable
from hibiscusspar.fleet.permits import NodePermits, PermitDemand, PermitIssuer
from hibiscusspar.fleet.stream_origins import StreamOrigin
from hibiscusspar_entry.fleet.address import parse_address
from hibiscusspar_entry.fleet.origin_exchange import OriginExchange
from measure.report import Table

__all__ = ["run"]

# Nodes, and streams that begin a second, all nodes together.
SIZES = ((9, 80), (78, 700), (360, 4000))
STREAMS = 2000
# Share of the nodes that are lost between the begin and the resumption of a stream.
LOST_SHARES = (0.0, 0.1, 0.35)
LOOKUP_STEP_S = 0.2
ORIGIN = StreamOrigin("drafting-models", "v1.2")
# Limits of a target in requests a second.
LIMITS = (0.5, 1.0, 10.0)
TICK_S = 0.02
RUN_S = 20.0
WINDOW_S = 4.0


def run(quick):
    """Return the tables of the part."""
    sizes = SIZES[:2] if quick else SIZES
    return [_origin_table(sizes), _limit_table(sizes)]


class _Network:
    """Nodes that hand each other datagrams, except to those that are lost."""

    def __init__(self, count):
        addresses = {f"front-zone-{n}": f"10.0.{n}.1:7000" for n in range(count)}
        peers = {name: Peer("z", address) for name, address in addresses.items()}
        self.sent_bytes = 0
        self.lost = set()
        self.now = 100.0
        # Time that passes with each look at the clock. A lookup lets its whole wait
        # pass at once, as all answers are there by then.
        self.step_s = 0.0
        self.nodes = {}
        for address in addresses.values():
            table = PeerTable(address)
            table.update(self.now, peers, count)
            channel = _Channel(self, parse_address(address))
            exchange = OriginExchange(self._tick, table, channel)
            self.nodes[parse_address(address)] = exchange

    def _tick(self):
        self.now += self.step_s
        return self.now

    def deliver(self, sender, address, message):
        self.sent_bytes += len(message)
        if address not in self.lost:
            notice = decode(message, type=SendNotice)
            self.nodes[address].apply_notice(notice, sender)


class _Channel:
    def __init__(self, network, address):
        self._network = network
        self._address = address

    def send(self, address, message):
        body = message if isinstance(message, bytes) else to_json(message)
        self._network.deliver(self._address, address, body)


def _origin_table(sizes):
    rows = []
    for count, rate in sizes:
        for share in LOST_SHARES:
            rows.append((count, rate, share, *_origins(count, rate, share)))
    columns = ("nodes", "streams/s", "lost", "found", "KB/s", "ms a stream")
    note = (
        "Share of the streams whose origin is found at another node after a share of "
        "the nodes, the first one included, is lost; bytes that a node receives per "
        "second, and processor time of all nodes for one stream, sending left out."
    )
    return Table("Origins of streams", columns, rows, note)


def _origins(count, rate, share):
    """Return the share that is found, KB a second of a node, and ms a stream."""
    rng, network = Random(f"{count}/{share}"), _Network(count)
    addresses = list(network.nodes)
    found, seconds, sent = 0, 0.0, 0
    streams = min(STREAMS, 20_000 // count)
    for number in range(streams):
        first, second = rng.sample(addresses, 2)
        request_id = f"{rng.getrandbits(64):016x}{number}"
        before = network.sent_bytes
        started = perf_counter()
        network.nodes[first].announce(request_id, ORIGIN)
        seconds += perf_counter() - started
        sent += network.sent_bytes - before
        others = [a for a in addresses if a not in (first, second)]
        network.lost = {*rng.sample(others, int(share * count)), first}
        network.step_s = LOOKUP_STEP_S
        found += network.nodes[second].find(request_id) is not None
        network.step_s = 0.0
        network.lost = set()
    kb_per_s = sent / streams * rate / count / 1e3
    return found / streams, kb_per_s, seconds / streams * 1e3


def _limit_table(sizes):
    rows = []
    for count, _ in sizes:
        for per_s in LIMITS:
            sent = _sent(count, per_s)
            most = max(sum(at <= t < at + WINDOW_S for t in sent) for at in sent)
            allowed = 1.5 * per_s * WINDOW_S + 5
            rows.append((count, per_s, most, allowed, len(sent) / RUN_S))
    columns = ("nodes", "limit", "most in 4 s", "allowed", "sent a second")
    note = (
        "Requests to one target for which requests wait at every node; reports are as "
        "old as their interval."
    )
    return Table("Requests to a target with a limit", columns, rows, note)


def _sent(count, per_s):
    rng, issuer, now = Random(count), PermitIssuer(), 100.0
    nodes = {f"n{n}": NodePermits() for n in range(count)}
    interval_s, sent = exchange_interval_s(count), []
    while now < 100.0 + RUN_S:
        now += TICK_S
        demands = [
            PermitDemand(name, now - rng.random() * interval_s, {"t1": 5})
            for name in nodes
        ]
        issued = issuer.issue(now, {"t1": per_s}, demands, 1.0)
        for name, node in nodes.items():
            node.apply_view(now, count, True)
            node.add(now, issued.get(name, ()))
            while node.count(now, "t1", per_s) > 0:
                node.use("t1")
                sent.append(now)
    return sent
