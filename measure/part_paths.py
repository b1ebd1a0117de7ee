"""Search for proxies by nodes that have lost their links to all targets."""

from hibiscusspar_entry.fleet.tests.crash_network import NetworkFaults
from hibiscusspar_entry.fleet.tests.path_network import ZONES, PathNetwork
from measure.report import Table

__all__ = ["run"]

SIZES = (9, 78, 360)
FAULTS = (
    ("none", NetworkFaults()),
    ("0.4 lost, 0.2 late, 0.1 doubled", NetworkFaults(0.4, 0.1, 0.2)),
)
# From then on the platform compares the nodes.
STABLE_WINDOW_S = 3.0
WARM_UP_S = 3.0
CUT_S = 10.0


def run(quick):
    """Return the table of the part."""
    rows = []
    for size in SIZES[:2] if quick else SIZES:
        for name, faults in FAULTS:
            rows.append((size, name, *_cut_zone(size, faults)))
    columns = (
        "nodes",
        "datagrams",
        "s to the first proxy",
        "served",
        "busiest proxy",
        "KB/s a cut node",
        "KB/s another node",
    )
    note = (
        "A third of the nodes, a whole zone, loses its silent links to all targets for "
        "10 s: seconds until each of these nodes has had a proxy for a request, share "
        "of their requests that find one from 3 s after the cut, requests at the "
        "busiest proxy as a multiple of the mean, and bytes that nodes receive."
    )
    return [Table("Nodes without a path to targets", columns, rows, note)]


def _cut_zone(size, faults):
    network = PathNetwork(size, faults)
    network.run(WARM_UP_S)
    cut = {n for n in range(size) if n % ZONES == 0}
    cut_at = network.clock.now
    network.cut(cut)
    network.run(CUT_S)
    first_at = {}
    for row in network.proxied:
        if row.proxy is not None:
            first_at.setdefault(row.node, row.at - cut_at)
    compared = [p for p in network.proxied if p.at > cut_at + STABLE_WINDOW_S]
    served = sum(p.proxy is not None for p in compared) / len(compared)
    others = [node for node in network.nodes if node.number not in cut]
    mean_open = sum(node.open for node in others) / len(others)
    busiest = max(node.open for node in others) / mean_open
    return (
        max(first_at.values()),
        served,
        busiest,
        _kb_per_s([network.nodes[n] for n in cut]),
        _kb_per_s(others),
    )


def _kb_per_s(nodes):
    return max(node.received_bytes for node in nodes) / CUT_S / 1e3
