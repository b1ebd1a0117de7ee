"""Functions for distributing the coordinator's views to many nodes.

Fleets range from nine nodes to hundreds, and the traffic of the coordinator must not
grow in proportion. In large fleets it sends a view to the first node of each group,
which forwards it to the others.
"""

from math import ceil, sqrt

__all__ = [
    "MAX_DIRECT_NODES",
    "coordinator_silent_s",
    "exchange_interval_s",
    "view_groups",
    "view_interval_s",
]

# Largest fleet in which the coordinator sends views to every node directly.
MAX_DIRECT_NODES = 16
# Interval of reports and views in a small fleet, longer than a round of datagrams.
_MIN_INTERVAL_S = 0.1
# Interval per node that limits the coordinator to some 500 reports a second.
_INTERVAL_PER_NODE_S = 0.002
# Fraction of the interval after which a view with news may be sent.
_NEWS_INTERVAL_FRACTION = 0.5
# Shortest silence after which the coordinator may have failed, and the same in
# intervals of views, which are 0.72 s at 360 nodes.
_SILENT_S = 0.5
_SILENT_INTERVALS = 1.5


def exchange_interval_s(nodes):
    """Return the interval of reports and of views in seconds.

    Parameters
    ----------
    nodes : int
    """
    return max(_MIN_INTERVAL_S, nodes * _INTERVAL_PER_NODE_S)


def view_interval_s(nodes, has_news):
    """Return the shortest time between two views in seconds.

    Parameters
    ----------
    nodes : int
    has_news : bool
        Whether the view tells of copies that requests may wait for.
    """
    interval_s = exchange_interval_s(nodes)
    return interval_s * _NEWS_INTERVAL_FRACTION if has_news else interval_s


def coordinator_silent_s(nodes):
    """Return the silence in seconds after which the coordinator may have failed.

    Parameters
    ----------
    nodes : int
    """
    return max(_SILENT_S, _SILENT_INTERVALS * exchange_interval_s(nodes))


def view_groups(nodes, zone_of):
    """Divide nodes into groups whose first member forwards views to the others.

    All nodes of a group are in one zone, so a view crosses zones at most once per
    group.

    Parameters
    ----------
    nodes : list
        Most recently heard nodes first.
    zone_of : callable
        Returns the zone of a node.

    Returns
    -------
    list of list
        Groups of one node in a small fleet.
    """
    if len(nodes) <= MAX_DIRECT_NODES:
        return [[node] for node in nodes]
    size = ceil(sqrt(len(nodes)))
    zones = {}
    for node in nodes:
        zones.setdefault(zone_of(node), []).append(node)
    groups = []
    for members in zones.values():
        count = ceil(len(members) / size)
        groups += [members[index::count] for index in range(count)]
    return groups
