"""How a home divides its zone's part of a limit among the nodes, by demand."""

from typing import NamedTuple

__all__ = ["Division", "divide", "fair_level", "share_of", "zone_part"]

POOL_RATE_FRACTION = 0.15  # of the part, kept back for nodes that fall short
NODES_CAP_FRACTION = 0.6  # of the part; the rest is for nodes that fall short
HOLD_PERIODS = 2.0  # of renewal, that a node can bridge at its demand
HOLD_S = 1.0
TYPICAL_REQUESTS = 3.0  # that a node can admit one upon the other
HYSTERESIS = 0.4
MIN_TYPICAL_REQUESTS = 1.5  # below which nodes hold nothing ahead


class Division(NamedTuple):
    """What an asker should get of a zone's part."""

    rate: float
    cap: float


def zone_part(account, zone, zones):
    """Return the rate and burst that a zone is entitled to.

    Parameters
    ----------
    account : AccountSpec
    zone : str
    zones : sequence of str
        Zones among which an account without fractions is divided equally.
    """
    fractions = dict(account.zone_fractions)
    if not fractions:
        names = set(zones) | {zone}
        fractions = {name: 1.0 / len(names) for name in names}
    fraction = fractions.get(zone, 0.0)
    return account.rate * fraction, account.burst * fraction


def fair_level(total, demands):
    """Return the level at which demands, each cut to it, add up to a total.

    Parameters
    ----------
    total : float
    demands : sequence of float
        Their sum exceeds ``total``.
    """
    left = total
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        level = left / (len(ordered) - index)
        if demand >= level:
            return level
        left -= demand
    return ordered[-1] if ordered else 0.0


def share_of(total, demand, demands, nodes):
    """Return the part of a rate that one of several nodes should have.

    Every node gets its demand and an equal part of what is spare; if there is too
    little, the demands are cut to the same level.
    """
    if total <= 0.0:
        return 0.0
    asked = sum(demands)
    if asked > total:
        return min(demand, fair_level(total, demands))
    return demand + (total - asked) / nodes


def divide(part, demand, demands, nodes, typical, period_s, has_rate=False):
    """Return the lease that a node should have.

    If the capacity is too small for every node to hold some requests, nodes hold
    nothing ahead: the tokens stay at the home, which gives them for each request.

    Parameters
    ----------
    part : tuple of (float, float)
        Rate and capacity that the home may divide among the nodes of its zone.
    demand : float
        Tokens per second that the node sees.
    demands : sequence of float
        The same of all nodes known to the home, the asker among them.
    nodes : int
        Number of nodes that may come to ask.
    typical : float
        Tokens of a usual request.
    period_s : float
        Seconds between two renewals.
    has_rate : bool
        Whether the node accrues already, which it then does somewhat longer.

    Returns
    -------
    Division
    """
    rate, cap = part
    nodes = max(nodes, len(demands), 1)
    hold_s = HOLD_PERIODS * period_s + HOLD_S
    needed = hold_s * demand + TYPICAL_REQUESTS * typical
    needed_by_all = hold_s * sum(demands) + nodes * TYPICAL_REQUESTS * typical
    budget = NODES_CAP_FRACTION * cap
    node_cap = needed
    if needed_by_all > budget:
        node_cap = needed * budget / needed_by_all
    least = MIN_TYPICAL_REQUESTS * typical * (1.0 if has_rate else 1.0 + HYSTERESIS)
    if node_cap <= 0.0 or node_cap < least:
        return Division(0.0, 0.0)
    shared = rate * (1.0 - POOL_RATE_FRACTION)
    return Division(share_of(shared, demand, demands, nodes), node_cap)
