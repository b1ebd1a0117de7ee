"""Functions for choosing the target of a request or of a load."""

from math import log2
from typing import NamedTuple

from xxhash import xxh64_intdigest

__all__ = [
    "LOAD_CHOICES",
    "Dispatch",
    "Refuse",
    "RouteRequest",
    "Wait",
    "pick_granted",
    "pick_load_target",
    "pick_plain",
    "pick_resident",
]

LOAD_CHOICES = 3
PENDING_COST = 1.0
RANK_COST = 0.5


class RouteRequest(NamedTuple):
    """Properties of a request that routing needs.

    ``excluded`` are targets that must not be chosen.
    """

    request_id: str
    service: str
    adapter: str = ""
    version: str = ""
    prefix_digest: str = ""
    zone: str = ""
    excluded: tuple[str, ...] = ()

    @property
    def label(self):
        """Label ``adapter@version``; empty for a request without an adapter."""
        return f"{self.adapter}@{self.version}" if self.adapter else ""


class Dispatch(NamedTuple):
    """Decision to send a request to a target now; it takes one unit of concurrency."""

    target: str
    incarnation: str
    reason: str


class Wait(NamedTuple):
    """Decision to keep a request queued until its label is ready."""

    reason: str


class Refuse(NamedTuple):
    """Decision to refuse a request; the client may retry after ``retry_after_s``."""

    reason: str
    retry_after_s: float = 1.0


def pick_granted(grants, specs, zone, prefix_target):
    """Choose among the targets on which this node has free units.

    Parameters
    ----------
    grants : dict of str to HeldGrant
        Targets with at least one free unit.
    specs : dict of str to TargetSpec
    zone : str
        Zone of the request.
    prefix_target : str
        Target that has the prefix of the prompt in its cache; empty if none is known.

    Returns
    -------
    (str, str)
        The target and the reason for it.
    """

    def cost(name):
        grant = grants[name]
        return (
            specs[name].zone != zone,
            name != prefix_target,
            grant.in_use / grant.level,
            name,
        )

    best = min(grants, key=cost)
    if specs[best].zone != zone:
        return best, "resident in another zone"
    if best == prefix_target:
        return best, "resident with prefix"
    return best, "resident"


def pick_resident(names, rows, specs, zone, pending, vm):
    """Order targets that have a label: own zone first, then by a hash.

    The hash includes the node's VM. Nodes thus prefer different targets, so that few
    nodes share the units of a target and their grants are recalled less often.
    """

    def cost(name):
        in_other_zone = specs[name].zone != zone
        return (
            rows[name].pending > 0 and in_other_zone,
            in_other_zone,
            pending.get(name, 0),
            xxh64_intdigest(f"{vm}|{name}".encode()),
        )

    return sorted(names, key=cost)


def pick_load_target(names, rows, pending):
    """Choose the target to ask for a load.

    The names are in the order of the ring walk of the label, so that all nodes ask
    the same target unless it has much more load than the next.

    Parameters
    ----------
    names : sequence of str
        The first :data:`LOAD_CHOICES` targets whose owners can be asked.
    rows : dict of str to Row
    pending : dict of str to int
        Number of labels that this node has already asked of each target.

    Returns
    -------
    str
    """

    def cost(index):
        row = rows[names[index]]
        queue = max(row.pending, pending.get(row.target, 0))
        return queue * PENDING_COST + log2(1 + row.pressure) + index * RANK_COST

    return names[min(range(len(names)), key=cost)]


def pick_plain(names, specs, zone, in_flight, rng):
    """Choose a target of a plain service by the power of two choices.

    Two targets of the zone are drawn at random and the less loaded one is taken. If
    all targets of the zone are full, those of other zones are used.

    Returns
    -------
    (str, str)
        The target and the reason for it; the target is empty if all are full.
    """
    not_full = [n for n in names if in_flight.get(n, 0) < specs[n].concurrency]
    in_zone = [n for n in not_full if specs[n].zone == zone]
    pool = in_zone or not_full
    if not pool:
        return "", "full"
    drawn = rng.sample(pool, min(2, len(pool)))
    best = min(drawn, key=lambda n: in_flight.get(n, 0) / specs[n].concurrency)
    return best, "two choices" if in_zone else "spill to another zone"
