"""Choice of a target for one adapter within one round of planning.

Many nodes request many adapters at once, and a large fleet has many targets, so a
round computes the data that its choices share only once.
"""

from typing import NamedTuple

__all__ = ["LoadOption", "PlannerPolicy", "PlanningRound"]

# Backlog that is accepted to avoid evicting an adapter, for each request of its
# decayed demand, and the maximum for any adapter.
_EVICTION_COST_S = 0.05
_MAX_EVICTION_COST_S = 0.3


class PlannerPolicy(NamedTuple):
    """Settings of the planner; times in seconds.

    The load times are those of the users' data sheets plus the delivery of the order;
    ``store_cost_s`` is the backlog that is accepted to save the weight store a load.
    ``max_target_loads`` and ``max_fleet_loads`` are the numbers of concurrent loads, on
    one target and on all targets, up to which a load takes its usual time; large fleets
    may have ``fleet_loads_per_target`` per target, as given by the data sheets.
    ``idle_s`` is how long an adapter must have been unused before it is evicted, in
    addition to the report interval of the nodes. The last ``warm_adapters`` that a
    target held load in ``warm_load_s``. ``prompt_tokens_s`` is the rate at which an
    engine processes prompts. ``copy_backlog_s`` is the backlog beyond which a further
    copy pays off. A target whose state is uncertain is queried after ``confirm_s``, and
    while it doesn't answer up to ``max_query_pause_s`` apart. An
    adapter used within ``in_demand_s`` gets a new version before it is requested. One
    copy serves ``copy_requests_s`` requests a second, divided by the decoding steps per
    event: at two steps that is a third of the prompts that an engine can process, so
    that simultaneous ones don't stall streams. The cost of a target grows by
    ``zone_copy_s`` per copy that its zone has already, and by ``other_zone_s`` outside
    the zone of the waiting requests.
    """

    cold_load_s: float = 0.27
    warm_load_s: float = 0.035
    store_cost_s: float = 0.3
    max_target_loads: int = 4
    max_fleet_loads: int = 8
    fleet_loads_per_target: float = 0.9
    idle_s: float = 0.1
    warm_adapters: int = 100
    prompt_tokens_s: float = 19_200.0
    copy_backlog_s: float = 0.05
    confirm_s: float = 0.3
    max_query_pause_s: float = 1.2
    in_demand_s: float = 3.0
    copy_requests_s: float = 10.0
    zone_copy_s: float = 0.2
    other_zone_s: float = 0.05


class LoadOption(NamedTuple):
    """A target that could load an adapter.

    ``cost_s`` is its backlog plus the cost of the load, ``victim`` the adapter to evict
    first, or None.
    """

    cost_s: float
    target_id: str
    victim: tuple[str, str] | None


class PlanningRound:
    """Data shared by the choices of one round of planning.

    Parameters
    ----------
    policy : PlannerPolicy
    now : float
    held : dict of str to TargetHoldings
    index : HoldingsIndex
        Index of ``held``.
    targets : dict of str to tuple of (Target, EngineRule)
        Targets that may get orders.
    backlogs : dict of str to float
        Cost of a further copy at each target: the seconds of work queued before a new
        request, and what its speed adds.
    in_use : dict of str to set
        Adapters of running requests, by target.
    demand : AdapterDemand
    interval_s : float
        Interval between the reports of a node, in seconds.
    """

    def __init__(
        self, policy, now, held, index, targets, backlogs, in_use, demand, interval_s
    ):
        self.now = now
        self.pending_adapters = set()
        # Whether no target was found for some want of this round.
        self.has_unplaced_want = False
        self.free = {
            target_id: row
            for target_id in sorted(targets)
            if (row := held.get(target_id)) is not None
            and row.orders_accepted is not None
            and not row.order_in_progress
        }
        # Further loads would slow down all of them, so that none finishes sooner.
        self.max_loads_in_progress = max(
            policy.max_fleet_loads, round(policy.fleet_loads_per_target * len(held))
        )
        self._policy = policy
        self._held = held
        self._index = index
        self._targets = targets
        self._backlogs = backlogs
        self._in_use = in_use
        self._demand = demand
        self._idle_before = now - policy.idle_s - interval_s
        self._victims = {}
        self._cost_rankings = {}
        self._loads_by_target = index.loading(now)
        self.loads_in_progress = sum(self._loads_by_target.values())
        ordered = [
            row
            for row in held.values()
            if row.order_in_progress or row.pending_adapter is not None
        ]
        for row in ordered:
            self.loads_in_progress += row.order_in_progress
            if row.pending_adapter is not None:
                self.pending_adapters.add(row.pending_adapter)

    def record_order(self, held, order):
        """Record an order of this round; its target gets no other one."""
        self.free.pop(order.target_id, None)
        self.pending_adapters.add(held.pending_adapter)
        self.loads_in_progress += order.operation == "load"

    def is_held(self, key, newest, excluded_targets):
        """Return whether a usable target that stays holds the newest version."""
        return any(
            version >= newest
            and target_id not in excluded_targets
            and not self._held[target_id].draining
            for target_id, version in self._index.holders(key)
        )

    def is_load_limit_reached(self, key, target_id):
        """Return whether a load would slow down all loads in progress."""
        is_cold = key not in self._held[target_id].warm
        return is_cold and self.loads_in_progress >= self.max_loads_in_progress

    def best_option(self, want, newest, proactive=False):
        """Return the cheapest option for a want, or None.

        Parameters
        ----------
        want : Want
        newest : int
            Lowest version that is acceptable.
        proactive : bool, optional
            Whether the copy is for expected rather than waiting requests.
        """
        key = (want.model, want.adapter)
        best = None
        holders = [target_id for target_id, _ in self._index.holders(key)]
        warm = [
            target_id
            for target_id, row in self._held.items()
            if key in row.warm and row.orders_accepted is not None
        ]
        preferred = warm + holders
        for target_id in preferred:
            best = self._cheaper(best, want, newest, proactive, target_id)
        policy = self._policy
        cold_s = policy.cold_load_s + policy.store_cost_s / want.waiting
        for min_cost_s, target_id in self._targets_by_cost(want.service, want.model):
            if best is not None and min_cost_s + cold_s >= best.cost_s:
                break
            if target_id in self.free:
                best = self._cheaper(best, want, newest, proactive, target_id)
        return best

    def max_copy_cost_s(self, key):
        """Return the highest cost at which a further copy of an adapter pays off."""
        costs = [
            self._backlogs.get(target_id, 0.0) - self._policy.copy_backlog_s
            for target_id, _ in self._index.holders(key)
        ]
        return min(costs, default=float("inf"))

    def demand_per_copy(self, key):
        """Return the demand for an adapter per copy, the cost of evicting a copy."""
        requests = self._demand.request_count(self.now, key)
        # Most adapters have one copy, or no requests lately.
        return requests and requests / max(1, self._index.holder_count(key))

    def _targets_by_cost(self, service, model):
        """Return the targets that can load adapters of a model, cheapest first.

        Each is given with its backlog and eviction cost, the minimum for any adapter.
        """
        found = self._cost_rankings.get((service, model))
        if found is None:
            found = []
            for target_id in self.free:
                if not self._can_load(service, model, target_id):
                    continue
                victim = (
                    self._victim(target_id)
                    if self._has_no_free_place(target_id)
                    else None
                )
                cost_s = self._backlogs.get(target_id, 0.0) + self._eviction_cost_s(
                    victim
                )
                found.append((cost_s, target_id))
            found.sort()
            self._cost_rankings[service, model] = found
        return found

    def _cheaper(self, best, want, newest, proactive, target_id):
        """Return the cheaper of ``best`` and a target's option."""
        option = self._option(want, newest, proactive, target_id)
        if option is None or (best is not None and best.cost_s <= option.cost_s):
            return best
        return option

    def _option(self, want, newest, proactive, target_id):
        """Return the option to load an adapter on a target, or None if impossible."""
        policy, key = self._policy, (want.model, want.adapter)
        held = self.free.get(target_id)
        if held is None or target_id in want.excluded_targets:
            return None
        if not self._can_load(want.service, want.model, target_id):
            return None
        copy = held.copies.get(key)
        if copy is not None and (
            copy.version >= newest or key in self._in_use.get(target_id, ())
        ):
            # A replacement waits for running requests, and new ones are refused.
            return None
        victim = None
        if copy is None and self._has_no_free_place(target_id):
            victim = self._victim(target_id)
            if victim is None:
                return None
        cost_s = self._backlogs.get(target_id, 0.0) + self._eviction_cost_s(victim)
        if key in held.warm:
            cost_s += policy.warm_load_s
        else:
            cost_s += policy.cold_load_s + policy.store_cost_s / want.waiting
        zone = self._targets[target_id][0].zone
        if want.zone and zone != want.zone:
            cost_s += policy.other_zone_s
        if proactive:
            if victim is not None and self._is_needed(victim, key):
                return None
            cost_s += policy.zone_copy_s * self._copies_in(zone, key)
        return LoadOption(cost_s, target_id, victim)

    def _is_needed(self, victim, key):
        """Return whether a proactive copy must not evict an adapter.

        While requests wait for adapters that have no place on a target, a second copy
        of another adapter must not take one.
        """
        return (
            self.has_unplaced_want
            or self.demand_per_copy(victim) > self.demand_per_copy(key) / 2
        )

    def _can_load(self, service, model, target_id):
        """Return whether a target holds a model and may start another load."""
        target, _ = self._targets[target_id]
        ready_at = self._held[target_id].models.get(model)
        return (
            target.service == service
            and ready_at is not None
            and ready_at <= self.now
            and self._loads_by_target.get(target_id, 0) < self._policy.max_target_loads
        )

    def _has_no_free_place(self, target_id):
        places = self._targets[target_id][1].adapter_places
        return len(self._held[target_id].copies) >= places

    def _eviction_cost_s(self, victim):
        if victim is None:
            return 0.0
        return min(
            _MAX_EVICTION_COST_S, _EVICTION_COST_S * self.demand_per_copy(victim)
        )

    def _copies_in(self, zone, key):
        """Return the number of a zone's targets that hold an adapter."""
        holders = (self._targets.get(t) for t, _ in self._index.holders(key))
        return sum(row is not None and row[0].zone == zone for row in holders)

    def _victim(self, target_id):
        """Return the adapter whose eviction costs least, or None if all are in use.

        When more adapters are requested than there are places, evicting one that is
        soon requested again would cause another load.
        """
        if target_id not in self._victims:
            self._victims[target_id] = self._find_victim(target_id)
        return self._victims[target_id]

    def _find_victim(self, target_id):
        held, in_use = self._held[target_id], self._in_use.get(target_id, ())
        now, idle_before, last_used = self.now, self._idle_before, held.last_used
        idle = [
            (last_used.get(key, 0.0), key)
            for key, copy in held.copies.items()
            if key not in in_use
            and copy.ready_at <= now
            and last_used.get(key, 0.0) <= idle_before
        ]
        if not idle:
            return None
        counts = self._demand.request_counts(now, [key for _, key in idle])
        holder_count = self._index.holder_count
        return min(
            (counts[key] / max(1, holder_count(key)) if key in counts else 0.0, at, key)
            for at, key in idle
        )[-1]
