"""The coordinator's table of the last report of each node."""

from collections import Counter
from typing import NamedTuple

from hibiscusspar.fleet.messages import NodeReport, TargetLoad, adapter_key
from hibiscusspar.fleet.report_changes import is_older, started_counts

__all__ = ["NodeRecord", "ReportTable"]

# Bandwidth with which a node forwards a view of a large fleet to a group within some
# milliseconds.
_MIN_FORWARDER_MBPS = 50.0

# Age of a report, in seconds, beyond which it no longer counts.
_REPORT_STALE_S = 1.5


class NodeRecord(NamedTuple):
    """Last report of a node, with the time and address that it came from.

    ``in_use`` maps targets to the adapters of the node's running requests.
    """

    report: NodeReport
    received_at: float
    address: tuple[str, int]
    in_use: dict[str, set]


class ReportTable:
    """Last reports of all nodes, and sums over those that still count."""

    def __init__(self):
        self._records = {}

    @property
    def records(self):
        """Records of all nodes, also of silent ones."""
        return list(self._records.values())

    @property
    def peers(self):
        """Zone and address of all nodes, by name."""
        return {
            record.report.node: (record.report.zone, "{}:{}".format(*record.address))
            for record in self._records.values()
        }

    def record(self, now, report, address):
        """Record a report.

        Returns
        -------
        dict of str to tuple of (set, dict) or None
            By target, the adapters in use and the numbers of requests that started for
            each since the node's previous report; None if a newer one was received
            before.
        """
        known = self._records.get(report.node)
        if known and is_older(report, known.report):
            return None
        same = known is not None and known.report.start == report.start
        earlier = known.report.in_use if same else {}
        in_use, changes = {}, {}
        for target_id, counts in report.in_use.items():
            before = earlier.get(target_id, {})
            # Most counts are those of the last report, as requests take seconds.
            if counts == before:
                keys, started = known.in_use[target_id], {}
            else:
                keys = set(map(adapter_key, counts))
                started = started_counts(counts, before)
            in_use[target_id] = keys
            changes[target_id] = (keys, started)
        self._records[report.node] = NodeRecord(report, now, address, in_use)
        return changes

    def forwarding_order(self, now, stale_s, last):
        """Return the records of all nodes, those that should forward views first.

        These are nodes heard lately whose links carry a view to many others soon, in
        changing order, so that one that forwards nothing doesn't stay the first.

        Parameters
        ----------
        now : float
        stale_s : float
            Age of a report beyond which a node may have failed.
        last : str
            Node that comes last, because it needs no forwarding.
        """

        def rank(record):
            return (
                record.report.node == last,
                now > record.received_at + stale_s,
                record.report.link_mbps < _MIN_FORWARDER_MBPS,
                -record.received_at,
            )

        return sorted(self._records.values(), key=rank)

    def fresh(self, now):
        """Return the records of the nodes whose last report still counts."""
        oldest = now - _REPORT_STALE_S
        return [r for r in self._records.values() if r.received_at >= oldest]

    def loads(self, now):
        """Return the load of each target, summed over the nodes."""
        loads = {}
        for record in self.fresh(now):
            for target_id, load in record.report.loads.items():
                sums = loads.setdefault(target_id, TargetLoad(0, 0))
                sums.running += load.running
                sums.queued_prompt_tokens += load.queued_prompt_tokens
        return loads

    def in_use(self, now):
        """Return the adapters of running requests, by target."""
        in_use = {}
        for record in self.fresh(now):
            for target_id, keys in record.in_use.items():
                in_use.setdefault(target_id, set()).update(keys)
        return in_use

    def wants(self, now):
        """Return the adapters that requests wait for, as all nodes want them."""
        return [want for record in self.fresh(now) for want in record.report.wants]

    def waiting_nodes(self, now, key):
        """Return the addresses of the nodes that want an adapter, and all requests."""
        addresses, waiting = [], 0
        for record in self.fresh(now):
            for want in record.report.wants:
                if (want.model, want.adapter) == key:
                    addresses.append(record.address)
                    waiting += want.waiting
        return sorted(set(addresses)), waiting

    def permit_demand(self, now):
        """Return the numbers of requests that wait for permits, by target."""
        waiting = Counter()
        for record in self.fresh(now):
            if record.report.permit_demand:
                waiting.update(record.report.permit_demand)
        return waiting

    def duties(self, now):
        """Return fence, permission to send orders, and holder of the duties by zone."""
        duties = {}
        holders = [r for r in self.fresh(now) if r.report.duties]
        for record in holders:
            for zone, (fence, may_order) in record.report.duties.items():
                if zone not in duties or fence > duties[zone][0]:
                    duties[zone] = (fence, may_order, record)
        return duties
