"""Control traffic of placement in a subset of the large fleet, in virtual time."""

from bisect import bisect
from collections import Counter
from itertools import accumulate
from random import Random

from msgspec.json import encode

from hibiscusspar.config.model import TargetSpec
from hibiscusspar.placement.tests.cluster import Cluster
from measure.placement_load import ADAPTER_LOAD_INTERVAL_S, ADAPTER_LOAD_S

__all__ = ["fleet_row"]

ZONES = tuple(f"z{index}" for index in range(6))
ADAPTERS = 36000
ZIPF_EXPONENT = 1.8
REQUESTS_PER_NODE_S = 11.0
TARGETS_PER_NODE = 830 / 360
SLOTS = 8
CONCURRENCY = 16
SERVICE_S = 2.0
HEADROOM = 1.5
SETTLE_S = 8.0
STALL_THRESHOLD_S = 0.05


def fleet_row(per_zone, seconds):
    """Return the table row of a fleet whose engines start warm.

    Parameters
    ----------
    per_zone : int
        Nodes in each of six zones.
    seconds : float
        Duration of the load; the first half is not counted.

    Returns
    -------
    tuple
        Nodes, targets, requests per second, stalled requests in percent, then per
        node and second messages, flushes of messages and bytes, and last the most
        frequent message type.
    """
    nodes = per_zone * len(ZONES)
    rate = REQUESTS_PER_NODE_S * nodes
    weights = list(accumulate(1 / (r + 1) ** ZIPF_EXPONENT for r in range(ADAPTERS)))
    cluster = _warm_cluster(per_zone, int(nodes * TARGETS_PER_NODE), weights, rate)
    sent = _count_messages(cluster)
    cluster.run(SETTLE_S)
    rng = Random("fleet")
    _offer_load(cluster, seconds / 2, rate, weights, rng)
    sent.clear()
    counted_from, flushes = cluster.now, cluster.exchanges
    _offer_load(cluster, seconds / 2, rate, weights, rng)
    per_node_s = nodes * seconds / 2
    counted = [r for r in cluster.requests.values() if r.submitted_at >= counted_from]
    kinds = {kind: n for kind, n in sent.items() if kind != "bytes"}
    return (
        nodes,
        len(cluster.engines),
        rate,
        100 * sum(_is_stalled(record) for record in counted) / len(counted),
        sum(kinds.values()) / per_node_s,
        (cluster.exchanges - flushes) / per_node_s,
        sent["bytes"] / per_node_s,
        max(kinds, key=kinds.get),
    )


def _warm_cluster(per_zone, replicas, weights, rate):
    targets = [
        TargetSpec(f"t{i}", "drafting", "", ZONES[i % 6], True, SLOTS, CONCURRENCY)
        for i in range(replicas)
    ]
    names = {f"a{index}": ("1",) for index in range(ADAPTERS)}
    sizes = dict.fromkeys(ZONES, per_zone)
    cluster = Cluster(sizes, targets, names, Random("fleet"), 0.001, ADAPTER_LOAD_S)
    cluster.load_interval_s = ADAPTER_LOAD_INTERVAL_S
    cluster.batch_messages = True
    _fill_slots(cluster, weights, rate)
    return cluster


def _fill_slots(cluster, weights, rate):
    """Make the most popular adapters resident on as many engines as they need."""
    engines = list(cluster.engines.values())
    Random("slots").shuffle(engines)
    rank = 0
    while any(len(engine.resident) < SLOTS for engine in engines):
        share = (weights[rank] - (weights[rank - 1] if rank else 0.0)) / weights[-1]
        copies = 1 + int(HEADROOM * rate * SERVICE_S * share / CONCURRENCY)
        engines.sort(key=lambda engine: len(engine.resident))
        for engine in engines[:copies]:
            if len(engine.resident) < SLOTS:
                engine.resident.add(f"a{rank}@1")
        rank += 1


def _count_messages(cluster):
    sent = Counter()
    original_send = cluster._send

    def count_and_send(sender, send):
        sent[type(send.message).__name__] += 1
        sent["bytes"] += len(encode(send.message))
        original_send(sender, send)

    cluster._send = count_and_send
    return sent


def _offer_load(cluster, seconds, rate, weights, rng):
    vms = sorted(cluster.nodes)
    end = cluster.now + seconds
    while cluster.now < end:
        rank = min(bisect(weights, rng.random() * weights[-1]), ADAPTERS - 1)
        service_s = SERVICE_S * rng.uniform(0.5, 1.5)
        cluster.submit(rng.choice(vms), "drafting", f"a{rank}", "1", service_s)
        cluster.run(rng.expovariate(rate))


def _is_stalled(record):
    return (
        record.started_at is None
        or record.started_at - record.submitted_at > STALL_THRESHOLD_S
    )
