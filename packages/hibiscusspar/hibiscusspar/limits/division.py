"""Functions for dividing a zone's part of a limit among its nodes by demand."""

from typing import NamedTuple

__all__ = ["Division", "divide", "fair_level", "fair_share", "zone_part"]

# Fraction of the part's rate that stays at the home for nodes that run short.
UNLEASED_RATE_FRACTION = 0.15
# Fraction of the part's capacity leased out; the rest is for nodes that run short.
LEASED_CAP_FRACTION = 0.6
# A node's capacity covers its demand for this many renewal periods plus HOLD_S,
# and this many typical requests in a burst.
HOLD_PERIODS = 2.0
HOLD_S = 1.0
TYPICAL_REQUESTS = 3.0
# A node gets a lease only if its capacity covers this many typical requests, and
# the fraction HYSTERESIS more if it has no rate yet.
HYSTERESIS = 0.4
MIN_TYPICAL_REQUESTS = 1.5


class Division(NamedTuple):
    """Rate and capacity of a zone's part that a node should have."""

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
    """Return the max-min fair level: demands capped at it add up to a total.

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


def fair_share(total, demand, demands, nodes):
    """Return the share of a rate that one of several nodes should have.

    Every node gets its demand and an equal share of the surplus; if the demands
    exceed the rate, they are capped at their max-min fair level.
    """
    if total <= 0.0:
        return 0.0
    total_demand = sum(demands)
    if total_demand > total:
        return min(demand, fair_level(total, demands))
    return demand + (total - total_demand) / nodes


def divide(part, demand, demands, nodes, typical_tokens, period_s, has_rate=False):
    """Return the rate and capacity to lease to a node.

    If the capacity is too small for every node to hold tokens for some requests,
    nodes get no lease: the tokens stay at the home, which grants them per request.

    Parameters
    ----------
    part : tuple of (float, float)
        Rate and capacity that the home may divide among the nodes of its zone.
    demand : float
        Demand of the node in tokens per second.
    demands : sequence of float
        Demands of all nodes known to the home, this one included.
    nodes : int
        Number of nodes that may request leases.
    typical_tokens : float
        Tokens of a typical request.
    period_s : float
        Seconds between two renewals.
    has_rate : bool
        Whether the node's lease has a rate already; it then keeps one down to a
        lower capacity (hysteresis).

    Returns
    -------
    Division
    """
    rate, cap = part
    nodes = max(nodes, len(demands), 1)
    hold_s = HOLD_PERIODS * period_s + HOLD_S
    needed = hold_s * demand + TYPICAL_REQUESTS * typical_tokens
    needed_by_all = hold_s * sum(demands) + nodes * TYPICAL_REQUESTS * typical_tokens
    budget = LEASED_CAP_FRACTION * cap
    node_cap = needed
    if needed_by_all > budget:
        node_cap = needed * budget / needed_by_all
    min_cap = (
        MIN_TYPICAL_REQUESTS * typical_tokens * (1.0 if has_rate else 1.0 + HYSTERESIS)
    )
    if node_cap <= 0.0 or node_cap < min_cap:
        return Division(0.0, 0.0)
    shared = rate * (1.0 - UNLEASED_RATE_FRACTION)
    return Division(fair_share(shared, demand, demands, nodes), node_cap)
