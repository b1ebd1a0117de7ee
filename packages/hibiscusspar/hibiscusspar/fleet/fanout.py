"""How the coordinator's views reach many nodes.

Load pattern: a fleet grows from nine nodes to hundreds, and what one node sends must
not grow with it. Views go to the first node of each group, which passes them on.
"""

from math import ceil, sqrt

__all__ = ["DIRECT_NODES", "exchange_interval_s", "view_groups"]

# Up to this many nodes the coordinator sends to each itself.
DIRECT_NODES = 16
# Time between reports or views of a small fleet, longer than a round of datagrams.
_INTERVAL_S = 0.1
# Growth with the nodes that keeps the coordinator at some 500 reports a second.
_INTERVAL_A_NODE_S = 0.002


def exchange_interval_s(nodes):
    """Return the seconds between reports, and between views.

    Parameters
    ----------
    nodes : int
    """
    return max(_INTERVAL_S, nodes * _INTERVAL_A_NODE_S)


def view_groups(nodes, zone_of):
    """Divide nodes into groups whose first member passes views on.

    The nodes of a group are in one zone, so that a view crosses zones once a group.

    Parameters
    ----------
    nodes : list
        Those heard most lately first.
    zone_of : callable
        Returns the zone of a node.

    Returns
    -------
    list of list
        Groups of one for a small fleet.
    """
    if len(nodes) <= DIRECT_NODES:
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
