"""Permits for requests to targets that have named a limit.

A limit counts the requests of all nodes together, and may be a fraction of a request a
second for each node. So nodes don't divide it: each request to such a target needs a
permit of the coordinator, which issues them at the rate that the target names, to nodes
whose requests wait for the target. A node without a coordinator falls back to an equal
share of the rate, which the coordinator leaves out for every node that is silent.
"""

from typing import NamedTuple

__all__ = ["NodePermits", "PermitDemand", "PermitIssuer", "PermitPolicy"]


class PermitPolicy(NamedTuple):
    """Settings of permits.

    A permit may be used for ``lifetime_s`` seconds. The coordinator issues unused rate
    of at most ``burst_s`` seconds later, and at least one permit. ``min_per_s`` permits
    a second are issued for lower limits as well, because only an answer tells that a
    limit has ended. A node falls back to its share ``stale_s`` seconds after the last
    view.
    """

    lifetime_s: float = 0.5
    burst_s: float = 0.25
    min_per_s: float = 0.2
    stale_s: float = 1.5


class PermitDemand(NamedTuple):
    """Requests of a node that wait for permits: count by target, as of a time.

    A count of 0 asks for one permit, after the nodes whose requests wait.
    """

    node: str
    at: float
    counts: dict[str, int]


class PermitIssuer:
    """Issue of permits by the coordinator.

    Parameters
    ----------
    policy : PermitPolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or PermitPolicy()
        self._levels = {}
        self._last_issues = {}
        self._serial = 0

    def reset(self):
        """Forget all permits, at the start of a term."""
        self._levels = {}
        self._last_issues = {}

    def issue(self, now, limits, demands, available_share):
        """Issue the permits that are due.

        Parameters
        ----------
        now : float
        limits : dict of str to float
            Requests a second by target, for the targets that have a limit.
        demands : list of PermitDemand
        available_share : float
            Share of the limits that is not left to silent nodes.

        Returns
        -------
        dict of str to list of str
            Targets of the permits by node.
        """
        policy = self._policy
        if self._levels.keys() - limits.keys():
            self._forget_others(limits)
        issued = {}
        rows = {}
        for demand in demands:
            for target_id in demand.counts:
                rows.setdefault(target_id, []).append(demand)
        for target_id, per_s in limits.items():
            rate = max(per_s, policy.min_per_s) * available_share
            level, at = self._levels.get(target_id, (0.0, now))
            level = min(level + rate * (now - at), max(1.0, rate * policy.burst_s))
            if level >= 1.0:
                nodes = self._issue_for_target(
                    now, target_id, int(level), rows.get(target_id, ())
                )
                level -= len(nodes)
                for node in nodes:
                    issued.setdefault(node, []).append(target_id)
            self._levels[target_id] = (level, now)
        return issued

    def _issue_for_target(self, now, target_id, most, demands):
        """Issue up to ``most`` permits to nodes in turn; return the nodes."""
        waiting = {demand.node: self._unmet(demand, target_id) for demand in demands}
        idle = {demand.node for demand in demands if not demand.counts[target_id]}
        nodes = []
        while len(nodes) < most:
            candidates = [node for node, count in waiting.items() if count > 0]
            if not candidates:
                break
            node = min(
                candidates,
                key=lambda name: (name in idle, *self._rank(target_id, name)),
            )
            self._record_issue(now, target_id, node)
            waiting[node] -= 1
            nodes.append(node)
        return nodes

    def _forget_others(self, limits):
        """Forget the targets that have no limit any more."""
        self._levels = {t: row for t, row in self._levels.items() if t in limits}
        self._last_issues = {
            key: row for key, row in self._last_issues.items() if key[0] in limits
        }

    def _unmet(self, demand, target_id):
        """Return the requests that had no permit when their node reported them."""
        _, times = self._last_issues.get((target_id, demand.node), (0, []))
        later = sum(at >= demand.at for at in times)
        return max(1, demand.counts[target_id]) - later

    def _rank(self, target_id, node):
        serial, _ = self._last_issues.get((target_id, node), (0, []))
        return serial, node

    def _record_issue(self, now, target_id, node):
        self._serial += 1
        _, times = self._last_issues.get((target_id, node), (0, []))
        recent = [at for at in times if now < at + self._policy.lifetime_s]
        self._last_issues[target_id, node] = (self._serial, [*recent, now])


class NodePermits:
    """Permits that a node holds, and its share of limits without a coordinator.

    Parameters
    ----------
    policy : PermitPolicy, optional
    nodes : float, optional
        Number of nodes that is assumed before the first view.
    initial_level : callable, optional
        Returns the level in [0, 1) at which the share of a limit begins. If it is
        random, the shares of many nodes don't allow their requests at the same time.
    share_factor : float, optional
        Part of its share that a node uses without a coordinator.
    """

    def __init__(
        self, policy=None, nodes=1, initial_level=lambda: 0.0, share_factor=1.0
    ):
        self._policy = policy or PermitPolicy()
        self._initial_level = initial_level
        self._share_factor = share_factor
        self._expiries = {}
        self._shares = {}
        self._nodes = nodes
        self._issued_until = 0.0

    def apply_view(self, now, nodes, issues_permits):
        """Record a view and whether its sender issues permits."""
        self._nodes = max(1, nodes)
        if issues_permits:
            self._issued_until = now + self._policy.stale_s
            self._shares = {}

    def add(self, now, target_ids):
        """Add permits that the coordinator has issued."""
        for target_id in target_ids:
            expiries = self._expiries.setdefault(target_id, [])
            expiries.append(now + self._policy.lifetime_s)

    def retain(self, target_ids):
        """Drop the permits and shares of other targets."""
        for table in (self._expiries, self._shares):
            for target_id in table.keys() - target_ids:
                del table[target_id]

    def count(self, now, target_id, per_s):
        """Return the number of requests that may be sent to a target now."""
        held = [at for at in self._expiries.get(target_id, ()) if now < at]
        if held:
            self._expiries[target_id] = held
            return len(held)
        self._expiries.pop(target_id, None)
        if now < self._issued_until:
            return 0
        return int(self._share(now, target_id, per_s))

    def use(self, target_id):
        """Use a permit for a request; to be called only if there is one."""
        expiries = self._expiries.get(target_id)
        if expiries:
            expiries.pop(0)
        elif target_id in self._shares:
            level, at = self._shares[target_id]
            self._shares[target_id] = (level - 1.0, at)

    def wait_s(self, now, target_id, per_s, waiting):
        """Return the seconds until a further request may be sent to a target.

        Parameters
        ----------
        now : float
        target_id : str
        per_s : float
            Limit of the target.
        waiting : int
            Requests of all nodes that wait for permits.
        """
        rate = self._rate(per_s)
        if now < self._issued_until:
            return (waiting + 1) / rate
        missing = max(0.0, 1.0 - self._share(now, target_id, per_s))
        return missing * self._nodes / (rate * self._share_factor)

    def _rate(self, per_s):
        return max(per_s, self._policy.min_per_s)

    def _share(self, now, target_id, per_s):
        """Return the level of this node's share, at most one request."""
        level, at = self._shares.get(target_id) or (self._initial_level(), now)
        rate = self._rate(per_s) * self._share_factor / self._nodes
        level = min(1.0, level + rate * (now - at))
        self._shares[target_id] = (level, now)
        return level
