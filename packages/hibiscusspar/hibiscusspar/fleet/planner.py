"""Which adapters are loaded where: the coordinator's decision.

Load pattern: most requests name one of thousands of adapters of which a target
holds a few, and a new one is asked for several times a second. A wanted adapter is
loaded at once where its requests would wait least, in the place of one that nobody
uses. Adapters that a target held lately load much faster there, so they go back.
"""

from typing import NamedTuple

from hibiscusspar.fleet.demand import AdapterDemand
from hibiscusspar.fleet.holdings import Copy, Held
from hibiscusspar.fleet.messages import Want
from hibiscusspar.fleet.model_loads import LoadPace, ModelNeed, choose_model
from hibiscusspar.fleet.planning_round import PlannerPolicy, PlanningRound

__all__ = ["AdapterPlanner", "LoadOrder", "OrderOutcome"]


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

    def targets_to_query(self, now):
        """Return the targets whose state must be asked for, and note it."""
        found = []
        for target_id, held in self._held.items():
            if held.accepted is None and not held.ordering and now >= held.ask_at:
                held.ask_at = now + self._policy.confirm_s
                found.append(target_id)
        return found

    def record_report(self, now, target_id, accepted, adapters, pending, models=None):
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
        held.was_queried = True
        held.changed()

    def used(self, now, target_id, keys):
        """Note that adapters are in use at a target."""
        held = self._held.get(target_id)
        if held is not None:
            for key in keys:
                held.last_used[key] = now

    def record_starts(self, now, counts):
        """Note how many requests began to use each adapter.

        Those that name none need only the base model.
        """
        self._demand.record_starts(now, {key: n for key, n in counts.items() if key[1]})

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
        plan = PlanningRound(
            self._policy,
            now,
            self._held,
            targets,
            backlogs,
            in_use,
            self._demand,
            interval_s,
        )
        for target_id in list(plan.free):
            order = self._model_order(now, target_id, targets, wants)
            if order is not None:
                plan.free.pop(target_id).ordering = True
                orders.append(order)
        for want in wants:
            if not plan.free:
                break
            orders += self._orders_for(plan, want)
        for want in self._scarce(plan, targets):
            orders += self._orders_for(plan, want, ahead=True)
        return orders

    def _scarce(self, plan, targets):
        """Return wants for further copies of adapters that few targets serve.

        Load pattern: many nodes send requests for one adapter to the one target that
        holds it, within the time that their counts take to reach each other.
        """
        found = []
        engines = {
            target.service: engine
            for target, engine in targets.values()
            if target.target_id in plan.free
        }
        for service, engine in sorted(engines.items()):
            each = self._policy.copy_requests_s / engine.event_steps
            models = {model.name for model in engine.models}
            rates = self._demand.rates(plan.now, each)
            for key, rate in sorted(rates.items(), key=lambda row: -row[1]):
                if key[0] in models and len(plan.holders.get(key, ())) < rate / each:
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

    def record_outcome(self, now, outcome):
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
        # A load that the target answers with "holds already" is not counted there.
        changes = order.operation == "unload" or outcome.result != "done"
        held.accepted = order.expected + changes
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

    def _orders_for(self, plan, want, ahead=False):
        """Return the order that serves a want, marked as on its way, or none."""
        key = (want.model, want.adapter)
        newest = self._newest.get(key, 0)
        if key in plan.purposes:
            return []
        if not want.extra_copy and plan.is_held(key, newest, want.excluded_targets):
            return []
        place = plan.best_place(want, newest, ahead)
        if place is None:
            plan.is_short = True
            return []
        if want.extra_copy and not ahead and place.cost_s > plan.least_backlog_s(key):
            return []
        held = plan.free[place.target_id]
        if place.victim is not None:
            order = LoadOrder(
                place.target_id, "unload", *place.victim, 0, held.accepted
            )
        elif plan.is_full(key, place.target_id):
            return []
        else:
            order = LoadOrder(place.target_id, "load", *key, newest, held.accepted)
        held.ordering = True
        held.purpose = key
        plan.note(held, order)
        return [order]

    def _is_held(self, key, newest):
        return any(
            held.copies[key].version >= newest
            for held in self._held.values()
            if key in held.copies and held.accepted is not None
        )

    def _load_s(self, held, key):
        policy = self._policy
        return policy.warm_load_s if key in held.warm else policy.cold_load_s
