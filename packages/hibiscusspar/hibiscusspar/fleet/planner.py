"""Placement of adapters on targets, planned by the coordinator.

Most requests name one of thousands of adapters, of which a target holds a few, and
several times a second one is requested that no target holds. The planner loads it at
once on the target where its requests would wait least, if necessary in place of an
unused one. A target loads an adapter that it held recently much faster, so it is
preferred.
"""

from itertools import count
from typing import NamedTuple

from hibiscusspar.fleet.demand import AdapterDemand
from hibiscusspar.fleet.holdings import AdapterCopy, TargetHoldings
from hibiscusspar.fleet.holdings_index import HoldingsIndex
from hibiscusspar.fleet.messages import Want
from hibiscusspar.fleet.model_loads import LoadRateLimiter, ModelDemand, choose_model
from hibiscusspar.fleet.planning_round import PlannerPolicy, PlanningRound
from hibiscusspar.fleet.service_targets import ServiceTargets

__all__ = ["AdapterPlanner", "LoadOrder", "OrderOutcome"]


class LoadOrder(NamedTuple):
    """One order to a target, refused unless it has carried out ``expected`` orders."""

    target_id: str
    operation: str
    model: str
    adapter: str
    version: int
    expected: int


class OrderOutcome(NamedTuple):
    """Result of an order: ``accepted``, ``done``, ``refused`` or ``lost``."""

    order: LoadOrder
    result: str


class AdapterPlanner:
    """Record of what each target holds, and choice of the next orders.

    Parameters
    ----------
    policy : PlannerPolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or PlannerPolicy()
        self._held = {}
        # Not per target, so that a restarted target doesn't begin with old numbers.
        self._revisions = count(1)
        self._newest = {}
        self._index = HoldingsIndex(self._newest)
        self._demand = AdapterDemand()
        self._load_limiter = LoadRateLimiter()
        self._service_targets = ServiceTargets()

    @property
    def held(self):
        """Record of each target, by target id."""
        return self._held

    def reset(self):
        """Forget all targets, since another process may have given orders."""
        self._held = {}
        self._index = HoldingsIndex(self._newest)

    def announce(self, model, adapter, version):
        """Record an announced version of an adapter."""
        key = (model, adapter)
        self._newest[key] = max(version, self._newest.get(key, 0))
        self._index.check(key)

    def sync(self, targets):
        """Update the targets from the directory: new, restarted and removed ones.

        Parameters
        ----------
        targets : iterable of Target
        """
        seen = {target.target_id: target for target in targets}
        for target_id in self._held.keys() - seen.keys():
            del self._held[target_id]
            self._index.remove(target_id)
        for target_id, target in seen.items():
            held = self._held.get(target_id)
            if held is None or held.born != target.born:
                self._held[target_id] = held = TargetHoldings(
                    target.born, self._revisions
                )
                held.copies = {
                    key: AdapterCopy(version, 0.0)
                    for key, version in target.adapters.items()
                }
                held.increment_revision()
                self._index.put(target_id, held)
            held.draining = target.draining
            for model in target.models:
                held.models[model] = 0.0

    def targets_to_query(self, now):
        """Return the targets to query now, and mark their queries as in progress."""
        found = []
        unknown = [r for r in self._held.items() if r[1].orders_accepted is None]
        for target_id, held in unknown:
            if (
                not held.order_in_progress
                and not held.query_in_progress
                and now >= held.next_query_at
            ):
                held.query_in_progress = True
                found.append(target_id)
        return found

    def record_no_report(self, now, target_id):
        """Record that a query got no answer; the next one follows after a backoff."""
        held = self._held.get(target_id)
        if held is None:
            return
        held.query_in_progress = False
        pause_s = self._policy.confirm_s * 2.0**held.failed_queries
        held.next_query_at = now + min(pause_s, self._policy.max_query_pause_s)
        # The exponent need not grow beyond the longest pause.
        held.failed_queries = min(held.failed_queries + 1, 8)

    def record_report(
        self, now, target_id, orders_accepted, adapters, pending, models=None
    ):
        """Record a target's report of its own state.

        Parameters
        ----------
        now : float
        target_id : str
        orders_accepted : int
            Number of orders that it has carried out.
        adapters, pending : dict
            Versions of the resident and of the loading adapters, by
            ``(model, adapter)``.
        models : collection of str, optional
            Models that it holds.
        """
        held = self._held.get(target_id)
        if held is None:
            return
        held.query_in_progress = False
        held.failed_queries = 0
        if held.orders_accepted is not None or held.order_in_progress:
            return
        ready_at = now + self._policy.cold_load_s
        held.copies = {key: AdapterCopy(v, 0.0) for key, v in adapters.items()}
        held.copies.update(
            {key: AdapterCopy(v, ready_at) for key, v in pending.items()}
        )
        held.orders_accepted = orders_accepted
        if models is not None:
            held.models = dict.fromkeys(models, 0.0)
        held.was_queried = True
        held.increment_revision()
        self._index.put(target_id, held)

    def used(self, now, target_id, keys):
        """Record that adapters are in use at a target."""
        held = self._held.get(target_id)
        if held is not None:
            for key in keys:
                held.last_used[key] = now

    def record_starts(self, now, counts):
        """Record the numbers of started requests by adapter.

        Requests without an adapter need only the base model and are not counted.
        """
        self._demand.record_starts(now, {key: n for key, n in counts.items() if key[1]})

    def next_orders(self, now, targets, wants, backlogs, in_use, interval_s=0.1):
        """Choose orders, at most one per target, and mark them as in progress.

        Parameters
        ----------
        now : float
        targets : dict of str to tuple of (Target, EngineRule)
            Targets that may get orders.
        wants : list of Want
            Most urgent first.
        backlogs : dict of str to float
            Cost of a further copy at each target: the seconds of work queued before a
            new request, and what its speed adds.
        in_use : dict of str to set
            Adapters of running requests, by target.
        interval_s : float, optional
            Interval between the reports of a node, in seconds.

        Returns
        -------
        list of LoadOrder
        """
        orders = []
        plan = PlanningRound(
            self._policy,
            now,
            self._held,
            self._index,
            targets,
            backlogs,
            in_use,
            self._demand,
            interval_s,
        )
        # Nearly all targets hold a model.
        without_model = [t for t, held in plan.free.items() if not held.models]
        for target_id in without_model:
            order = self._model_order(now, target_id, targets, wants)
            if order is not None:
                plan.free.pop(target_id).order_in_progress = True
                orders.append(order)
        for want in wants:
            if not plan.free:
                break
            orders += self._orders_for(plan, want)
        for want in self._proactive_wants(plan, targets):
            orders += self._orders_for(plan, want, proactive=True)
        return orders

    def _proactive_wants(self, plan, targets):
        """Return wants for further copies of adapters with too few for their demand.

        Before their counts reach each other, many nodes send requests for an adapter to
        the only target that holds it. Further copies keep it from being overloaded.
        """
        found = []
        engines = self._service_targets.engines(targets, plan.free)
        for service, engine in sorted(engines.items()):
            rate_per_copy = self._policy.copy_requests_s / engine.event_steps
            models = {model.name for model in engine.models}
            rates = self._demand.rates(plan.now, rate_per_copy)
            for key, rate in sorted(rates.items(), key=lambda row: -row[1]):
                copies = self._index.holder_count(key)
                if key[0] in models and copies < rate / rate_per_copy:
                    found.append(Want(service, *key, 1, 0, 0, True))
        return found

    def _model_order(self, now, target_id, targets, wants):
        """Return the order to load a model on a target that holds none, or None."""
        target, engine = targets[target_id]
        held = self._held[target_id]
        demands = self._model_demands(target.service, targets, wants)
        model = choose_model(engine, held.models, demands)
        if model is None or not self._load_limiter.allow(now, engine.loads_per_s):
            return None
        held.models[model.name] = now + model.load_s + self._policy.confirm_s
        return LoadOrder(target_id, "load", model.name, "", 0, held.orders_accepted)

    def _model_demands(self, service, targets, wants):
        demands = {}
        for target_id, (target, engine) in targets.items():
            if target.service != service or target_id not in self._held:
                continue
            for model in engine.models:
                demand = demands.get(model.name, ModelDemand(0, 0))
                copies = demand.copies + (model.name in self._held[target_id].models)
                demands[model.name] = ModelDemand(copies, 0)
        for want in wants:
            if want.service == service and want.model in demands:
                demand = demands[want.model]
                demands[want.model] = demand._replace(
                    waiting=demand.waiting + want.waiting
                )
        return demands

    def outdated(self, now, service):
        """Return wants for adapters in use of which only older versions are held.

        After a new version is announced, no request may start on the older one once
        the grace period is over, so the new one is loaded without waiting for requests.
        """
        return [
            Want(service, *key, 1, 0, 0, False)
            for key in sorted(self._index.outdated)
            if self._is_in_demand(now, key)
        ]

    def _is_in_demand(self, now, key):
        """Return whether a target with a copy of an adapter has used it lately."""
        used_at = [
            self._held[target_id].last_used.get(key)
            for target_id in self._index.with_copy(key)
        ]
        in_demand_s = self._policy.in_demand_s
        return any(at is not None and now <= at + in_demand_s for at in used_at)

    def record_outcome(self, now, outcome):
        """Record the result of an order."""
        order = outcome.order
        held = self._held.get(order.target_id)
        if held is None:
            return
        held.order_in_progress = False
        held.pending_adapter = None
        if outcome.result in ("lost", "refused"):
            held.orders_accepted = None
            self._index.put(order.target_id, held)
            held.next_query_at = now + self._policy.confirm_s
            if not order.adapter:
                held.models.pop(order.model, None)
            return
        # A target doesn't count a load of an adapter that it holds already.
        changes = order.operation == "unload" or outcome.result != "done"
        held.orders_accepted = order.expected + changes
        if not order.adapter:
            self._index.put(order.target_id, held)
            return
        key = (order.model, order.adapter)
        if order.operation == "unload":
            held.copies.pop(key, None)
        else:
            wait_s = 0.0 if outcome.result == "done" else self._load_s(held, key)
            held.copies[key] = AdapterCopy(order.version, now + wait_s)
            held.last_used[key] = now + wait_s
        held.warm[key] = None
        held.warm.move_to_end(key)
        while len(held.warm) > self._policy.warm_adapters:
            held.warm.popitem(last=False)
        held.increment_revision()
        self._index.put(order.target_id, held)

    def _orders_for(self, plan, want, proactive=False):
        """Return a list with the order for a want, if any, marked as in progress."""
        key = (want.model, want.adapter)
        newest = self._newest.get(key, 0)
        if key in plan.pending_adapters:
            return []
        if not want.extra_copy and plan.is_held(key, newest, want.excluded_targets):
            return []
        option = plan.best_option(want, newest, proactive)
        if option is None:
            plan.has_unplaced_want = True
            return []
        if (
            want.extra_copy
            and not proactive
            and option.cost_s > plan.max_copy_cost_s(key)
        ):
            return []
        held = plan.free[option.target_id]
        if option.victim is not None:
            order = LoadOrder(
                option.target_id, "unload", *option.victim, 0, held.orders_accepted
            )
        elif plan.is_load_limit_reached(key, option.target_id):
            return []
        else:
            order = LoadOrder(
                option.target_id, "load", *key, newest, held.orders_accepted
            )
        held.order_in_progress = True
        held.pending_adapter = key
        plan.record_order(held, order)
        return [order]

    def _load_s(self, held, key):
        policy = self._policy
        return policy.warm_load_s if key in held.warm else policy.cold_load_s
