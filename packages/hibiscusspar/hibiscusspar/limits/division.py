"""How a home divides its zone's part of a limit among the nodes, by demand."""

from typing import NamedTuple

__all__ = ["Division", "divide", "fair_level", "share_of", "zone_part"]

POOL_RATE_FRACTION = 0.1  # of the part, kept back for nodes that fall short
POOL_CAP_FRACTION = 0.3  # of the part, kept back for nodes that fall short
EQUAL_CAP_FRACTION = 0.3  # of the nodes' capacity, divided equally


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

    Every node gets its demand and a part of what is spare; if there is too
    little, the demands are cut to the same level.
    """
    if total <= 0.0:
        return 0.0
    asked = sum(demands)
    if asked > total:
        return min(demand, fair_level(total, demands))
    spare = total - asked
    by_demand = demand / asked if asked > 0.0 else 1.0 / nodes
    return demand + spare * 0.5 * (1.0 / nodes + by_demand)


def divide(rate, cap, demand, demands, nodes):
    """Return the lease that a node should have.

    Parameters
    ----------
    rate, cap : float
        What the home may divide among the nodes of its zone.
    demand : float
        Tokens per second that the node sees.
    demands : sequence of float
        The same of all nodes known to the home, the asker among them.
    nodes : int
        Number of nodes that may come to ask.

    Returns
    -------
    Division
    """
    nodes = max(nodes, len(demands), 1)
    node_rate = share_of(rate * (1.0 - POOL_RATE_FRACTION), demand, demands, nodes)
    spread = cap * (1.0 - POOL_CAP_FRACTION)
    asked = sum(demands)
    by_demand = demand / asked if asked > 0.0 else 1.0 / nodes
    equal = EQUAL_CAP_FRACTION / nodes
    node_cap = spread * (equal + (1.0 - EQUAL_CAP_FRACTION) * by_demand)
    return Division(node_rate, node_cap)
