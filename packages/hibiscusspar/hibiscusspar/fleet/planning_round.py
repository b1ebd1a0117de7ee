"""Choice of a target for one adapter within one round of planning.

Many nodes request many adapters at once, and a large fleet has many targets, so a
round computes the data that its choices share only once.
"""

from typing import NamedTuple

__all__ = ["Place", "PlannerPolicy", "PlanningRound"]

# Backlog that is accepted to avoid evicting an adapter, for each request of its
# decayed demand, and the maximum for any adapter.
_VICTIM_COST_S = 0.05
_MAX_VICTIM_COST_S = 0.3


class PlannerPolicy(NamedTuple):
    """Settings of the planner; times in seconds.

    The load times are those of the users' data sheets plus the delivery of the order;
    ``store_cost_s`` is the backlog that is accepted to save the weight store a load.
    ``transit`` and ``fleet_transit`` are the numbers of concurrent loads, to one target
    and to all targets, up to which a load takes its usual time; large fleets may have
    ``target_transit`` per target, as given by the data sheets. ``idle_s`` is how long
    an adapter must have been unused before it is evicted, in addition to the report
    interval of the nodes. ``prompt_tokens_s`` is the rate at which an engine processes
    prompts. ``copy_backlog_s`` is the backlog beyond which a further copy pays off.
    An adapter used within ``in_demand_s`` gets a new version before it is requested.
    One copy serves ``copy_requests_s`` requests a second, divided by the decoding steps
    of an event: at two steps that is a third of the prompts that an engine can process,
    so that simultaneous ones don't stall streams. The cost of a place grows by
    ``zone_copy_s`` per copy that its zone has already, and by ``zone_want_s`` outside
    the zone of the waiting requests.
    """

    cold_load_s: float = 0.27
    warm_load_s: float = 0.035
    store_cost_s: float = 0.3
    transit: int = 4
    fleet_transit: int = 8
    target_transit: float = 0.9
    idle_s: float = 0.1
    warm_adapters: int = 100
    prompt_tokens_s: float = 19_200.0
    copy_backlog_s: float = 0.05
    confirm_s: float = 0.3
    in_demand_s: float = 3.0
    copy_requests_s: float = 10.0
    zone_copy_s: float = 0.2
    zone_want_s: float = 0.05


class Place(NamedTuple):
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
    held : dict of str to Held
    targets : dict of str to tuple of (Target, EngineRule)
        Targets that may get orders.
    backlogs : dict of str to float
        Seconds of work queued before a new request at each target.
    in_use : dict of str to set
        Adapters of running requests, by target.
    demand : AdapterDemand
    interval_s : float
        Interval between the reports of a node, in seconds.
    """

    def __init__(
        self, policy, now, held, targets, backlogs, in_use, demand, interval_s
    ):
        self.now = now
        self.flying = 0
        self.holders = {}
        self.purposes = set()
        # Whether no place was found for some want of this round.
        self.is_short = False
        self.free = {
            target_id: held[target_id]
            for target_id in sorted(targets)
            if target_id in held
            and held[target_id].accepted is not None
            and not held[target_id].ordering
        }
        # Further loads would slow down all of them, so that none finishes sooner.
        self.most_flying = max(
            policy.fleet_transit, round(policy.target_transit * len(held))
        )
        self._policy = policy
        self._held = held
        self._targets = targets
        self._backlogs = backlogs
        self._in_use = in_use
        self._demand = demand
        self._latest_use = now - policy.idle_s - interval_s
        self._victims = {}
        self._transit = {}
        self._warm = {}
        self._ranked = {}
        for target_id, row in held.items():
            transit = sum(copy.ready_at > now for copy in row.copies.values())
            self._transit[target_id] = transit
            self.flying += transit + row.ordering
            if row.purpose is not None:
                self.purposes.add(row.purpose)
            if row.accepted is not None:
                for key, copy in row.copies.items():
                    self.holders.setdefault(key, []).append((target_id, copy.version))
                for key in row.warm:
                    self._warm.setdefault(key, []).append(target_id)

    def note(self, held, order):
        """Record an order of this round; its target gets no other one."""
        self.free.pop(order.target_id, None)
        self.purposes.add(held.purpose)
        self.flying += order.operation == "load"

    def is_held(self, key, newest, avoid):
        """Return whether a usable target holds an adapter in its newest version."""
        return any(
            version >= newest and target_id not in avoid
            for target_id, version in self.holders.get(key, ())
        )

    def is_full(self, key, target_id):
        """Return whether a load would slow down all loads in progress."""
        is_cold = key not in self._held[target_id].warm
        return is_cold and self.flying >= self.most_flying

    def best_place(self, want, newest, ahead=False):
        """Return the place with the least cost for a want, or None.

        Parameters
        ----------
        want : Want
        newest : int
            Lowest version that is acceptable.
        ahead : bool, optional
            Whether the copy is for expected rather than waiting requests.
        """
        key = (want.model, want.adapter)
        best = None
        special = self._warm.get(key, []) + [t for t, _ in self.holders.get(key, ())]
        for target_id in special:
            best = self._better(best, want, newest, ahead, target_id)
        policy = self._policy
        cold_s = policy.cold_load_s + policy.store_cost_s / want.waiting
        for least_s, target_id in self._by_cost(want.service, want.model):
            if best is not None and least_s + cold_s >= best.cost_s:
                break
            if target_id in self.free:
                best = self._better(best, want, newest, ahead, target_id)
        return best

    def least_backlog_s(self, key):
        """Return the highest cost at which a further copy of an adapter pays off."""
        waits = [
            self._backlogs.get(target_id, 0.0) - self._policy.copy_backlog_s
            for target_id, _ in self.holders.get(key, ())
        ]
        return min(waits, default=float("inf"))

    def loss(self, key):
        """Return the cost of evicting one copy: its share of the demand."""
        copies = len(self.holders.get(key, ()))
        return self._demand.of(self.now, key) / max(1, copies)

    def _by_cost(self, service, model):
        """Return (least cost, target id) of the targets that can load, cheapest first.

        The cost doesn't depend on the adapter, only on its model.
        """
        found = self._ranked.get((service, model))
        if found is None:
            found = []
            for target_id in self.free:
                if not self._can_take(service, model, target_id):
                    continue
                victim = (
                    self._victim(target_id) if self._is_occupied(target_id) else None
                )
                cost_s = self._backlogs.get(target_id, 0.0) + self._victim_cost_s(
                    victim
                )
                found.append((cost_s, target_id))
            found.sort()
            self._ranked[service, model] = found
        return found

    def _better(self, best, want, newest, ahead, target_id):
        """Return the cheaper of ``best`` and the place that a target offers."""
        place = self._place(want, newest, ahead, target_id)
        if place is None or (best is not None and best.cost_s <= place.cost_s):
            return best
        return place

    def _place(self, want, newest, ahead, target_id):
        """Return the place on a target for a want, or None if it can't be loaded."""
        policy, key = self._policy, (want.model, want.adapter)
        held = self.free.get(target_id)
        if held is None or target_id in want.excluded_targets:
            return None
        if not self._can_take(want.service, want.model, target_id):
            return None
        copy = held.copies.get(key)
        if copy is not None and (
            copy.version >= newest or key in self._in_use.get(target_id, ())
        ):
            # A replacement waits for running requests, and new ones are refused.
            return None
        victim = None
        if copy is None and self._is_occupied(target_id):
            victim = self._victim(target_id)
            if victim is None:
                return None
        cost_s = self._backlogs.get(target_id, 0.0) + self._victim_cost_s(victim)
        if key in held.warm:
            cost_s += policy.warm_load_s
        else:
            cost_s += policy.cold_load_s + policy.store_cost_s / want.waiting
        zone = self._targets[target_id][0].zone
        if want.zone and zone != want.zone:
            cost_s += policy.zone_want_s
        if ahead:
            if victim is not None and self._is_needed(victim, key):
                return None
            cost_s += policy.zone_copy_s * self._copies_in(zone, key)
        return Place(cost_s, target_id, victim)

    def _is_needed(self, victim, key):
        """Return whether a copy ahead of demand must not evict another adapter.

        While requests wait for places, a second copy would take one of these.
        """
        return self.is_short or self.loss(victim) > self.loss(key) / 2

    def _can_take(self, service, model, target_id):
        """Return whether a target holds a model and may start another load."""
        target, _ = self._targets[target_id]
        ready_at = self._held[target_id].models.get(model)
        return (
            target.service == service
            and ready_at is not None
            and ready_at <= self.now
            and self._transit[target_id] < self._policy.transit
        )

    def _is_occupied(self, target_id):
        places = self._targets[target_id][1].adapter_places
        return len(self._held[target_id].copies) >= places

    def _victim_cost_s(self, victim):
        if victim is None:
            return 0.0
        return min(_MAX_VICTIM_COST_S, _VICTIM_COST_S * self.loss(victim))

    def _copies_in(self, zone, key):
        """Return the number of a zone's targets that hold an adapter."""
        holders = (self._targets.get(t) for t, _ in self.holders.get(key, ()))
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
        idle = [
            (self.loss(key), held.last_used.get(key, 0.0), key)
            for key, copy in held.copies.items()
            if key not in in_use
            and copy.ready_at <= self.now
            and held.last_used.get(key, 0.0) <= self._latest_use
        ]
        return min(idle)[-1] if idle else None
