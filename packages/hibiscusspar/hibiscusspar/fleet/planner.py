"""Which adapters are loaded where: the coordinator's decision.

Load pattern: most requests name one of thousands of adapters of which a target
holds a few, and a new one is asked for several times a second. A wanted adapter is
loaded at once where its requests would wait least, in the place of one that nobody
uses. Adapters that a target held lately load much faster there, so they go back.
"""

from collections import OrderedDict
from typing import NamedTuple

from hibiscusspar.fleet.demand import AdapterDemand
from hibiscusspar.fleet.messages import Want
from hibiscusspar.fleet.model_loads import LoadPace, ModelNeed, choose_model

__all__ = ["AdapterPlanner", "Held", "LoadOrder", "OrderOutcome", "PlannerPolicy"]


# Backlog worth bearing to spare an adapter of one request in the time of the demand,
# and the most for any adapter.
_VICTIM_COST_S = 0.05
_MAX_VICTIM_COST_S = 0.3


class PlannerPolicy(NamedTuple):
    """Settings of the planner; times in seconds.

    The load times are those of the users' sheets with the way of the order;
    ``store_cost_s`` is the backlog worth bearing to spare the weight store a load.
    ``transit`` and ``fleet_transit`` are the numbers of loads on their way to one
    target and to all targets at which a load still takes its usual time; large fleets
    may have ``target_transit`` for each target, as the users' sheets give it.
    ``idle_s`` is how long an adapter must have been unused before it is evicted, beyond
    the time between the reports of nodes. ``prompt_tokens_s`` is how fast an engine
    reads prompts.
    ``copy_backlog_s`` is the backlog beyond which a further copy pays. An adapter
    used within ``in_demand_s`` gets a new version before it is asked for. One copy
    serves ``copy_requests_s`` requests a second: a third of the prompts that an engine
    can read, so that those that come together make no stream pause. A copy in a zone
    that has one already is worth ``zone_copy_s`` of backlog less, one outside the zone
    of those who ask ``zone_want_s``.
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
    copy_requests_s: float = 5.0
    zone_copy_s: float = 0.2
    zone_want_s: float = 0.05


class LoadOrder(NamedTuple):
    """One order to a target; ``expected`` is the number of orders it must have seen."""

    target_id: str
    operation: str
    model: str
    adapter: str
    version: int
    expected: int


class OrderOutcome(NamedTuple):
    """What became of an order: ``accepted``, ``done``, ``refused`` or ``lost``."""

    order: LoadOrder
    result: str


class Copy(NamedTuple):
    """One adapter at one target; ready from ``ready_at`` on."""

    version: int
    ready_at: float


class Held:
    """What the coordinator knows of one target's adapters.

    ``accepted`` is the number of orders the target has carried out, None if it
    must be asked. ``models`` maps the models it holds to the time from which they are
    ready. ``ordering`` is whether an order is on its way, ``known`` whether
    the target was ever asked.
    """

    def __init__(self, born):
        self.born = born
        self.copies = {}
        self.models = {}
        self.accepted = None
        self.ordering = False
        self.purpose = None
        self.known = False
        self.ask_at = 0.0
        self.warm = OrderedDict()
        self.last_used = {}
        self.number = 0

    def changed(self):
        """Give the new state a number, so that nodes can tell it from older ones."""
        self.number += 1


class AdapterPlanner:
    """Table of what each target holds, and the choice of the next orders.

    Parameters
    ----------
    policy : PlannerPolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or PlannerPolicy()
        self._held = {}
        self._newest = {}
        self._demand = AdapterDemand()
        self._pace = LoadPace()

    @property
    def held(self):
        """Rows by target id."""
        return self._held

    def reset(self):
        """Forget everything: another process gave orders since."""
        self._held = {}

    def announce(self, model, adapter, version):
        """Take in that a version of an adapter was announced."""
        key = (model, adapter)
        self._newest[key] = max(version, self._newest.get(key, 0))

    def sync(self, targets):
        """Follow the directory: new, restarted and lost targets.

        Parameters
        ----------
        targets : iterable of Target
        """
        seen = {target.target_id: target for target in targets}
        for target_id in self._held.keys() - seen.keys():
            del self._held[target_id]
        for target_id, target in seen.items():
            held = self._held.get(target_id)
            if held is None or held.born != target.born:
                self._held[target_id] = held = Held(target.born)
                held.copies = {
                    key: Copy(version, 0.0) for key, version in target.adapters.items()
                }
                held.changed()
            for model in target.models:
                held.models[model] = 0.0

    def to_ask(self, now):
        """Return the targets whose state must be asked for, and note it."""
        found = []
        for target_id, held in self._held.items():
            if held.accepted is None and not held.ordering and now >= held.ask_at:
                held.ask_at = now + self._policy.confirm_s
                found.append(target_id)
        return found

    def reported(self, now, target_id, accepted, adapters, pending, models=None):
        """Take in a target's own report.

        Parameters
        ----------
        now : float
        target_id : str
        accepted : int
            Orders it has carried out.
        adapters, pending : dict
            Versions by ``(model, adapter)``, resident and on their way.
        models : collection of str, optional
            Models that it holds.
        """
        held = self._held.get(target_id)
        if held is None or held.accepted is not None or held.ordering:
            return
        ready_at = now + self._policy.cold_load_s
        held.copies = {key: Copy(v, 0.0) for key, v in adapters.items()}
        held.copies.update({key: Copy(v, ready_at) for key, v in pending.items()})
        held.accepted = accepted
        if models is not None:
            held.models = dict.fromkeys(models, 0.0)
        held.known = True
        held.changed()

    def used(self, now, target_id, keys):
        """Note that adapters are in use at a target."""
        held = self._held.get(target_id)
        if held is not None:
            for key in keys:
                held.last_used[key] = now

    def begun(self, now, counts):
        """Note how many requests began to use each adapter."""
        self._demand.begun(now, counts)

    def next_orders(self, now, targets, wants, backlogs, in_use, interval_s=0.1):
        """Choose orders, at most one a target, and mark them as on their way.

        Parameters
        ----------
        now : float
        targets : dict of str to tuple of (Target, EngineRule)
            Targets that may be ordered.
        wants : list of Want
            Most urgent first.
        backlogs : dict of str to float
            Seconds of work before a new request at each target.
        in_use : dict of str to set
            Adapters of running requests by target.
        interval_s : float, optional
            Time between the reports of a node, in seconds.

        Returns
        -------
        list of LoadOrder
        """
        orders = []
        free = {
            target_id: self._held[target_id]
            for target_id in targets
            if target_id in self._held
            and self._held[target_id].accepted is not None
            and not self._held[target_id].ordering
        }
        for target_id in sorted(free):
            order = self._model_order(now, target_id, targets, wants)
            if order is not None:
                free.pop(target_id)
                self._held[target_id].ordering = True
                orders.append(order)
        idle_s = self._policy.idle_s + interval_s
        plan = _Round(self._policy, now, self._held, in_use, self._demand, idle_s)
        for want in wants:
            if not free:
                break
            order = self._order_for(plan, want, free, targets, backlogs)
            if order is not None:
                orders.append(self._begin(plan, free, order, want))
        for want in self._scarce(plan, free, targets):
            order = self._order_for(plan, want, free, targets, backlogs, ahead=True)
            if order is not None:
                orders.append(self._begin(plan, free, order, want))
        return orders

    def _begin(self, plan, free, order, want):
        """Mark an order as on its way and return it."""
        held = free.pop(order.target_id)
        held.ordering = True
        held.purpose = (want.model, want.adapter)
        plan.note(held, order)
        return order

    def _scarce(self, plan, free, targets):
        """Return wants for further copies of adapters that few targets serve.

        Load pattern: many nodes send requests for one adapter to the one target that
        holds it, within the time that their counts take to reach each other.
        """
        least = self._policy.copy_requests_s
        rates = self._demand.rates(plan.now, least)
        found = []
        for service in sorted({targets[target_id][0].service for target_id in free}):
            models = {
                model.name
                for target, engine in targets.values()
                if target.service == service
                for model in engine.models
            }
            for key, rate in sorted(rates.items(), key=lambda row: -row[1]):
                if key[0] in models and len(plan.holders.get(key, ())) < rate / least:
                    found.append(Want(service, *key, 1, 0, 0, True))
        return found

    def _model_order(self, now, target_id, targets, wants):
        """Return the order that gives a target a model it should hold, or None."""
        target, engine = targets[target_id]
        held = self._held[target_id]
        if held.models:
            return None
        needs = self._needs(target.service, targets, wants)
        model = choose_model(engine, held.models, needs)
        if model is None or not self._pace.allow(now, engine.loads_per_s):
            return None
        held.models[model.name] = now + model.load_s + self._policy.confirm_s
        return LoadOrder(target_id, "load", model.name, "", 0, held.accepted)

    def _needs(self, service, targets, wants):
        needs = {}
        for target_id, (target, engine) in targets.items():
            if target.service != service or target_id not in self._held:
                continue
            for model in engine.models:
                need = needs.get(model.name, ModelNeed(0, 0))
                copies = need.copies + (model.name in self._held[target_id].models)
                needs[model.name] = ModelNeed(copies, 0)
        for want in wants:
            if want.service == service and want.model in needs:
                need = needs[want.model]
                needs[want.model] = need._replace(waiting=need.waiting + want.waiting)
        return needs

    def outdated(self, now, service):
        """Return wants for adapters in use of which only older versions are held.

        Load pattern: a new version of an adapter that many ask for is announced,
        and after the grace no request may begin on the older one.
        """
        keys = {
            key
            for held in self._held.values()
            for key, used_at in held.last_used.items()
            if key in held.copies and now <= used_at + self._policy.in_demand_s
        }
        return [
            Want(service, *key, 1, 0, 0, False)
            for key in sorted(keys)
            if key in self._newest and not self._is_held(key, self._newest[key])
        ]

    def finished(self, now, outcome):
        """Take in what became of an order."""
        order = outcome.order
        held = self._held.get(order.target_id)
        if held is None:
            return
        held.ordering = False
        held.purpose = None
        if outcome.result in ("lost", "refused"):
            held.accepted = None
            held.ask_at = now + self._policy.confirm_s
            if not order.adapter:
                held.models.pop(order.model, None)
            return
        held.accepted = order.expected + 1
        if not order.adapter:
            return
        key = (order.model, order.adapter)
        if order.operation == "unload":
            held.copies.pop(key, None)
        else:
            wait_s = 0.0 if outcome.result == "done" else self._load_s(held, key)
            held.copies[key] = Copy(order.version, now + wait_s)
            held.last_used[key] = now + wait_s
        held.warm[key] = None
        held.warm.move_to_end(key)
        while len(held.warm) > self._policy.warm_adapters:
            held.warm.popitem(last=False)
        held.changed()

    def _order_for(self, plan, want, free, targets, backlogs, ahead=False):
        """Return the order that serves a want best, or None.

        ``ahead`` is whether the copy is for requests that are still to come.
        """
        key = (want.model, want.adapter)
        newest = self._newest.get(key, 0)
        if key in plan.purposes:
            return None
        if not want.more and plan.is_held(key, newest, want.avoid):
            return None
        best = None
        for target_id, held in free.items():
            if target_id in want.avoid or not _can_take(plan, want, targets, target_id):
                continue
            copy = held.copies.get(key)
            if copy is not None and copy.version >= newest:
                continue
            if copy is not None and key in plan.in_use(target_id):
                # A replacement waits for the runs, and new ones are refused.
                continue
            victim = None
            if (
                copy is None
                and len(held.copies) >= targets[target_id][1].adapter_places
            ):
                victim = plan.victim(target_id)
                if victim is None:
                    continue
            cost = backlogs.get(target_id, 0.0) + self._load_cost(
                plan, held, want, victim
            )
            zone = targets[target_id][0].zone
            if want.zone and zone != want.zone:
                cost += self._policy.zone_want_s
            if ahead:
                cost += self._policy.zone_copy_s * plan.copies_in(zone, key, targets)
                if victim is not None and plan.loss(victim) > plan.loss(key) / 2:
                    continue
            if best is None or cost < best[0]:
                best = (cost, target_id, victim)
        if best is None:
            return None
        cost, target_id, victim = best
        if want.more and not ahead and cost > self._least_backlog(plan, key, backlogs):
            return None
        held = free[target_id]
        if victim is not None:
            return LoadOrder(target_id, "unload", *victim, 0, held.accepted)
        if key not in held.warm and plan.flying >= plan.most_flying:
            return None
        return LoadOrder(target_id, "load", *key, newest, held.accepted)

    def _load_cost(self, plan, held, want, victim):
        """Return the seconds that a load costs beside the backlog."""
        key = (want.model, want.adapter)
        cost = self._load_s(held, key)
        if key not in held.warm:
            cost += self._policy.store_cost_s / want.waiting
        if victim is not None:
            cost += min(_MAX_VICTIM_COST_S, _VICTIM_COST_S * plan.loss(victim))
        return cost

    def _least_backlog(self, plan, key, backlogs):
        waits = [
            backlogs.get(target_id, 0.0) - self._policy.copy_backlog_s
            for target_id, _ in plan.holders.get(key, ())
        ]
        return min(waits, default=float("inf"))

    def _is_held(self, key, newest):
        return any(
            held.copies[key].version >= newest
            for held in self._held.values()
            if key in held.copies and held.accepted is not None
        )

    def _load_s(self, held, key):
        policy = self._policy
        return policy.warm_load_s if key in held.warm else policy.cold_load_s


class _Round:
    """What one round of planning looks up again and again."""

    def __init__(self, policy, now, held, in_use, demand, idle_s):
        self.now = now
        self.flying = 0
        self.holders = {}
        self.purposes = set()
        self._policy = policy
        self._held = held
        self._in_use = in_use
        self._demand = demand
        self._idle_s = idle_s
        self._victims = {}
        self._transit = {}
        # Beyond it all loads take longer, and none comes sooner.
        self.most_flying = max(
            policy.fleet_transit, round(policy.target_transit * len(held))
        )
        for target_id, row in held.items():
            transit = sum(copy.ready_at > now for copy in row.copies.values())
            self._transit[target_id] = transit
            self.flying += transit + row.ordering
            if row.purpose is not None:
                self.purposes.add(row.purpose)
            if row.accepted is not None:
                for key, copy in row.copies.items():
                    self.holders.setdefault(key, []).append((target_id, copy.version))

    def note(self, held, order):
        """Count an order of this round."""
        self.purposes.add(held.purpose)
        self.flying += order.operation == "load"

    def is_held(self, key, newest, avoid):
        """Whether a usable target holds an adapter in its newest version."""
        return any(
            version >= newest and target_id not in avoid
            for target_id, version in self.holders.get(key, ())
        )

    def models(self, target_id):
        """Return the models of a target and when they are ready."""
        return self._held[target_id].models

    def in_use(self, target_id):
        """Return the adapters of running requests at a target."""
        return self._in_use.get(target_id, ())

    def has_room_in_transit(self, target_id):
        """Whether one more load may be on its way to a target."""
        return self._transit[target_id] < self._policy.transit

    def copies_in(self, zone, key, targets):
        """Return the number of a zone's targets that hold an adapter."""
        holders = [targets.get(target_id) for target_id, _ in self.holders.get(key, ())]
        return sum(row is not None and row[0].zone == zone for row in holders)

    def loss(self, key):
        """Return what evicting one copy costs: the demand that falls to it."""
        copies = len(self.holders.get(key, ()))
        return self._demand.of(self.now, key) / max(1, copies)

    def victim(self, target_id):
        """Return the adapter whose eviction costs least, or None if all are in use.

        Load pattern: more adapters are asked for than there are places, so those
        that are asked for again soon must stay.
        """
        if target_id not in self._victims:
            self._victims[target_id] = self._find_victim(target_id)
        return self._victims[target_id]

    def _find_victim(self, target_id):
        held, in_use = self._held[target_id], self.in_use(target_id)
        latest = self.now - self._idle_s
        idle = [
            (self.loss(key), held.last_used.get(key, 0.0), key)
            for key, copy in held.copies.items()
            if key not in in_use
            and copy.ready_at <= self.now
            and held.last_used.get(key, 0.0) <= latest
        ]
        return min(idle)[-1] if idle else None


def _can_take(plan, want, targets, target_id):
    """Return whether a target serves a want's model and has room in transit."""
    target, _ = targets[target_id]
    ready_at = plan.models(target_id).get(want.model)
    return (
        target.service == want.service
        and ready_at is not None
        and ready_at <= plan.now
        and plan.has_room_in_transit(target_id)
    )
