"""Simulation of nodes, targets and a network in virtual time, with fault injection.

The invariants are checked against the fake targets, which record what really runs,
what is resident and which loads are in transit, whatever the state of the nodes.
"""

from heapq import heappop, heappush
from itertools import count
from random import Random

from hibiscusspar.config.model import (
    AdapterSpec,
    ModelSpec,
    ServiceSpec,
    TargetSpec,
    WeightStoreSpec,
    empty_configuration,
)
from hibiscusspar.outbox import Outbox
from hibiscusspar.placement.system import (
    Dispatch,
    PlacementSystem,
    Refuse,
    RouteRequest,
)
from hibiscusspar.ports import Member, target_owner_role

TICK_S = 0.1
POLL_S = 0.5


class FakeRoles:
    """Roles as known to one node: the shared table, or a frozen copy of it."""

    def __init__(self, vm, table):
        self._vm = vm
        self._table = table
        self.frozen = None

    def _entry(self, name):
        table = self._table if self.frozen is None else self.frozen
        return table.get(name, ("", 0))

    def require(self, names):
        pass

    def holder(self, name):
        return self._entry(name)[0]

    def number(self, name):
        return self._entry(name)[1]

    def holds(self, name):
        return self._entry(name)[0] == self._vm


class FakeMembers:
    """Members as known to one node: the shared list, with suspects set by the test."""

    def __init__(self, vm, zone, table):
        self.vm = vm
        self.zone = zone
        self._table = table
        self.suspects = set()

    def live(self, zone=""):
        return [m for m in self._table.values() if zone in ("", m.zone)]

    def suspected(self, vm):
        return vm in self.suspects or vm not in self._table


class FakeEngine:
    """Engine that keeps its residency and running requests and records violations."""

    def __init__(self, spec):
        self.spec = spec
        self.incarnation = "1"
        self.resident = set()
        self.running = {}
        self.fence = 0
        self.loading = ""
        self.reports = []
        self.violations = []
        self.evictions = []

    def start(self, now, request_id, label):
        """Start a request; return whether its adapter was resident."""
        if label not in self.resident:
            return False
        self.running[request_id] = label
        return True

    def evict(self, label, fence):
        """Execute an order to evict; return (ok, reason)."""
        if self.spec.checks_fencing and fence < self.fence:
            return False, "fenced"
        self.fence = max(self.fence, fence)
        if label in self.running.values():
            self.violations.append(f"evicted {label} under a running request")
        self.resident.discard(label)
        self.evictions.append(label)
        return True, ""

    def may_load(self, label, fence):
        """Return the reason to refuse an order to load; empty if it is accepted."""
        if self.spec.checks_fencing and fence < self.fence:
            return "fenced"
        self.fence = max(self.fence, fence)
        if label not in self.resident and len(self.resident) >= self.spec.slots:
            return "no_slot"
        return ""

    def restart(self):
        """Restart with a new incarnation, without adapters or running requests."""
        self.incarnation = str(int(self.incarnation) + 1)
        self.resident.clear()
        self.running.clear()


class Node:
    """VM with its placement system, roles and members."""

    def __init__(self, cluster, vm, zone):
        self.vm = vm
        self.zone = zone
        self.roles = FakeRoles(vm, cluster.roles)
        self.members = FakeMembers(vm, zone, cluster.members)
        self.paused_until = 0.0
        self.deferred = []
        self.queued_sends = {}
        self.lives = 0
        self.start(cluster)

    def start(self, cluster):
        """Start a new process, which has no state of an earlier one."""
        self.lives += 1
        rng = Random(f"{self.vm}/{self.lives}")
        self.system = PlacementSystem(
            self.vm, self.zone, self.members, self.roles, rng, cluster.now
        )
        self.requests = {}
        cluster.act(
            self, lambda out: self.system.configure(cluster.now, cluster.config, out)
        )


class Request:
    """Request in the cluster, with its state."""

    def __init__(self, request, node, submitted_at, service_s):
        self.request = request
        self.node = node
        self.submitted_at = submitted_at
        self.service_s = service_s
        self.state = "new"
        self.target = ""
        self.incarnation = ""
        self.started_at = None
        self.stalled = False
        self.attempts = 0


class Cluster:
    """Discrete-event simulation of nodes and engines in virtual time.

    Parameters
    ----------
    zones : dict of str to int
        Number of nodes of each zone.
    targets : list of TargetSpec
    adapters : dict of str to tuple of str
        Versions of each adapter; the last one is current.
    rng : random.Random
    delay_s : float
        Mean one-way delay of messages and calls.
    load_s : float
        Duration of a load while at most ``in_transit`` are in transit.
    in_transit : int
        Maximum number of loads in transit at full speed.
    """

    def __init__(
        self, zones, targets, adapters, rng, delay_s=0.001, load_s=0.25, in_transit=8
    ):
        self.now = 100.0
        self.rng = rng
        self.delay_s = delay_s
        self.load_s = load_s
        self.loss = 0.0
        self.load_failures = 0.0
        self.load_interval_s = 0.0
        self._next_load = 0.0
        self.lost_answers = 0.0
        self.partitions = set()
        self.roles = {}
        self.members = {}
        self.engines = {spec.name: FakeEngine(spec) for spec in targets}
        self.requests = {}
        self.answered = []
        self.refused = []
        self.loads_in_transit = 0
        self.max_loads_in_transit = 0
        self.loads = 0
        self.load_times = []
        self.log_records = []
        self.keep_log_records = False
        self.batch_messages = False
        self.send_urgent_at_once = True
        self.exchanges = 0
        self.violations = []
        self.messages = 0
        self._serial = count(1)
        self._events = []
        self.config = configuration_of(targets, adapters, in_transit)
        self.nodes = {}
        for zone, size in zones.items():
            for index in range(size):
                self.add_node(f"{zone}-{index}", zone)
        self.assign_roles()
        for node in list(self.nodes.values()):
            self._schedule(TICK_S * self.rng.random(), self._tick, node)
        for name in self.engines:
            self._schedule(POLL_S * self.rng.random(), self._poll, name)

    def add_node(self, vm, zone):
        """Start a VM and add it to the list of VMs."""
        self.members[vm] = Member(vm, zone, f"{vm}:1")
        self.nodes[vm] = Node(self, vm, zone)
        return self.nodes[vm]

    def join(self, vm, zone):
        """Start a VM in a running cluster."""
        node = self.add_node(vm, zone)
        self._schedule(TICK_S, self._tick, node)
        return node

    def assign_roles(self):
        """Assign every role without a live holder to a live node of its zone."""
        specs = self._owned()
        for zone in sorted({spec.zone for spec in specs.values()}):
            vms = sorted(m.vm for m in self.members.values() if m.zone == zone)
            names = sorted(n for n, spec in specs.items() if spec.zone == zone)
            for index, name in enumerate(names):
                role = target_owner_role(name)
                holder, number = self.roles.get(role, ("", 0))
                if vms and holder not in self.members:
                    self.roles[role] = (vms[index % len(vms)], number + 1)

    def move_role(self, target, vm):
        """Assign a target's role to another node with a higher number."""
        _, number = self.roles[target_owner_role(target)]
        self.roles[target_owner_role(target)] = (vm, number + 1)

    def submit(self, vm, service, adapter, version, service_s=1.0, prefix=""):
        """Send a request to a node now and return its record."""
        request_id = f"r{next(self._serial)}"
        node = self.nodes[vm]
        request = RouteRequest(request_id, service, adapter, version, prefix, node.zone)
        record = Request(request, node, self.now, service_s)
        self.requests[request_id] = node.requests[request_id] = record
        self._run_or_defer(node, self._route, record)
        return record

    def kill(self, vm):
        """Remove a VM from the list of VMs and break its connections."""
        node = self.nodes.pop(vm)
        del self.members[vm]
        node.paused_until = float("inf")
        self._drop_connections(node)

    def restart(self, vm):
        """Restart the process of a VM."""
        node = self.nodes[vm]
        self._drop_connections(node)
        node.deferred = []
        node.paused_until = 0.0
        node.start(self)

    def pause(self, vm, seconds):
        """Pause a process for some seconds; it resumes with its state unchanged."""
        self.nodes[vm].paused_until = self.now + seconds

    def restart_engine(self, target):
        """Restart a target, which breaks its running requests."""
        engine = self.engines[target]
        broken = list(engine.running)
        engine.restart()
        for request_id in broken:
            self._answer(self.requests[request_id], "broken", engine.incarnation)

    def run(self, seconds):
        """Advance virtual time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action, args = heappop(self._events)
            action(*args)
        self.now = end

    def act(self, node, step, sender=""):
        """Run one step of a node and execute the entries of its outbox.

        If messages are batched, those to the sender of the processed message are sent
        at once, as the response of its exchange.
        """
        out = Outbox()
        step(out)
        if self.keep_log_records:
            self.log_records += out.records
        if self.batch_messages:
            self._batch(node, out, sender)
        else:
            for send in out.sends:
                self._send(node.vm, send)
        for order in out.orders:
            late = 1.5 * self.rng.random() if self.rng.random() < self.loss else 0.0
            self._schedule(self._delay() + late, self._send_order, node, order)
        for key in node.system.take_ready():
            for record in list(node.requests.values()):
                waiting = record.state == "waiting"
                if waiting and (record.request.service, _label(record)) == key:
                    self._route(record)

    def _owned(self):
        from hibiscusspar.placement.declared import owned_specs

        return owned_specs(self.config)

    def _schedule(self, after, action, *args):
        heappush(self._events, (self.now + after, next(self._serial), action, args))

    def _delay(self):
        return self.delay_s * (0.5 + self.rng.random())

    def _run_or_defer(self, node, action, *args):
        if node.paused_until > self.now:
            node.deferred.append((action, args))
        else:
            action(*args)

    def _tick(self, node):
        if self.nodes.get(node.vm) is not node:
            return
        if node.paused_until <= self.now:
            waiting, node.deferred = node.deferred, []
            for action, args in waiting:
                action(*args)
            self.act(node, lambda out: node.system.tick(self.now, out))
            self._flush(node, list(node.queued_sends))
        self._schedule(TICK_S, self._tick, node)

    def _send(self, sender, send):
        self.messages += 1
        if self._is_cut(sender, send.peer) or self.rng.random() < self.loss:
            return
        extra = 2.0 * self.rng.random() if self.rng.random() < self.loss else 0.0
        self._schedule(
            self._delay() + extra, self._deliver, sender, send.peer, send.message
        )
        if self.rng.random() < self.loss / 2:
            self._schedule(3.0, self._deliver, sender, send.peer, send.message)

    def _batch(self, node, out, sender):
        """Queue messages until the next tick unless they are urgent or a response."""
        for send in out.sends:
            node.queued_sends.setdefault(send.peer, []).append(send)
        now = [sender, *sorted(out.urgent)] if self.send_urgent_at_once else [sender]
        self._flush(node, now)

    def _flush(self, node, peers):
        for peer in peers:
            sends = node.queued_sends.pop(peer, [])
            self.exchanges += bool(sends)
            for send in sends:
                self._send(node.vm, send)

    def _is_cut(self, one, other):
        zones = [self.nodes[vm].zone for vm in (one, other) if vm in self.nodes]
        return len(zones) == 2 and frozenset(zones) in self.partitions

    def _deliver(self, sender, peer, message):
        node = self.nodes.get(peer)
        if node is None:
            return

        def step(out):
            node.system.receive(self.now, sender, message, out)

        self._run_or_defer(node, self.act, node, step, sender)

    def _route(self, record):
        if record.state not in ("new", "waiting"):
            return
        node = record.node
        self.act(node, lambda out: self._decide(record, out))

    def _decide(self, record, out):
        node = record.node
        decision = node.system.route(self.now, record.request, out)
        if isinstance(decision, Dispatch):
            record.state = "running"
            record.target = decision.target
            record.incarnation = decision.incarnation
            self._schedule(self._delay(), self._run_or_defer, node, self._begin, record)
        elif isinstance(decision, Refuse):
            record.state = "refused"
            self.refused.append((record, decision))
            node.requests.pop(record.request.request_id, None)
        else:
            record.state = "waiting"
            record.stalled = True

    def _begin(self, record):
        engine = self.engines[record.target]
        if record.state != "running":
            return
        label = _label(record)
        request_id = record.request.request_id
        if not engine.start(self.now, request_id, label):
            if record.incarnation == engine.incarnation:
                engine.violations.append(f"{label} was evicted while granted")
            self._answer(record, "missing", engine.incarnation)
            return
        record.started_at = self.now
        self._schedule(record.service_s, self._end, record, engine, engine.incarnation)

    def _end(self, record, engine, incarnation):
        if engine.incarnation != incarnation:
            return
        if engine.running.pop(record.request.request_id, None) is None:
            return
        self._answer(record, "answered", incarnation)

    def _answer(self, record, outcome, incarnation):
        if record.state != "running":
            return
        self._schedule(
            self._delay(), self._deliver_answer, record, outcome, incarnation
        )

    def _deliver_answer(self, record, outcome, incarnation):
        node = record.node
        if self.nodes.get(node.vm) is node:
            self._run_or_defer(node, self._answered, record, outcome, incarnation)

    def _answered(self, record, outcome, incarnation):
        node = record.node
        request_id = record.request.request_id
        if request_id not in node.requests or record.state != "running":
            return
        record.state = outcome
        target = record.target

        def step(out):
            system = node.system
            system.finished(self.now, request_id, outcome, out)
            if outcome == "missing":
                adapter, version = record.request.adapter, record.request.version
                system.adapter_missing(
                    self.now, target, adapter, version, incarnation, out
                )

        self.act(node, step)
        if outcome == "answered":
            self.answered.append(record)
            del node.requests[request_id]
        else:
            record.attempts += 1
            record.state = "new"
            self._schedule(TICK_S, self._run_or_defer, node, self._route, record)

    def _drop_connections(self, node):
        for record in list(node.requests.values()):
            record.state = "lost"
            self._schedule(self.rng.random(), self._cancel, record.request.request_id)
        node.requests = {}

    def _cancel(self, request_id):
        for engine in self.engines.values():
            engine.running.pop(request_id, None)

    def _poll(self, name):
        self._schedule(POLL_S, self._poll, name)
        engine = self.engines[name]
        report = (engine.incarnation, tuple(sorted(engine.resident)))
        lag = 0.5 + self.rng.random()
        holder, _ = self.roles[target_owner_role(name)]
        node = self.nodes.get(holder)
        if node is not None:
            asked_at = self.now + lag
            self._schedule(
                lag,
                self._run_or_defer,
                node,
                self._report,
                node,
                name,
                report,
                asked_at,
            )

    def _report(self, node, name, report, asked_at):
        def step(out):
            node.system.target_state(self.now, name, *report, 0, 0, out, asked_at)

        if self.nodes.get(node.vm) is node:
            self.act(node, step)

    def _send_order(self, node, order):
        lost = node.paused_until == float("inf")
        if not lost or self.rng.random() < 0.5:
            if lost:
                self._order(node, order, node.lives)
            else:
                self._run_or_defer(node, self._order, node, order, node.lives)

    def _order(self, node, order, lives):
        if node.lives != lives and self.rng.random() < 0.5:
            return
        engine = self.engines[order.target]
        label = f"{order.adapter}@{order.version}"
        if order.action == "evict":
            ok, reason = engine.evict(label, order.fence)
            self._result(node, order, ok, reason, engine.incarnation)
            return
        reason = engine.may_load(label, order.fence)
        if reason or label in engine.resident:
            self._result(node, order, not reason, reason, engine.incarnation)
            return
        self.loads += 1
        start = max(self.now, self._next_load)
        self._next_load = start + self.load_interval_s
        self._schedule(start - self.now, self._transfer, node, order)

    def _transfer(self, node, order):
        engine = self.engines[order.target]
        self.loads_in_transit += 1
        self.max_loads_in_transit = max(
            self.max_loads_in_transit, self.loads_in_transit
        )
        self.load_times.append(self.now)
        slow = max(1.0, self.loads_in_transit / self.config.weight_store.max_in_transit)
        seconds = self.load_s * slow
        self._schedule(seconds, self._loaded, node, order, engine.incarnation)

    def _loaded(self, node, order, incarnation):
        self.loads_in_transit -= 1
        engine = self.engines[order.target]
        if engine.incarnation != incarnation:
            self._result(node, order, False, "failed", engine.incarnation)
            return
        if self.rng.random() < self.load_failures:
            self._result(node, order, False, "failed", engine.incarnation)
            return
        if len(engine.resident) >= engine.spec.slots:
            self._result(node, order, False, "no_slot", engine.incarnation)
            return
        engine.resident.add(f"{order.adapter}@{order.version}")
        self._result(node, order, True, "", engine.incarnation)

    def _result(self, node, order, ok, reason, incarnation):
        if self.rng.random() < self.lost_answers:
            ok, reason, incarnation = False, "unknown", ""
        self._schedule(
            self._delay(), self._take_result, node, order, ok, reason, incarnation
        )

    def _take_result(self, node, order, ok, reason, incarnation):
        def step(out):
            node.system.order_result(self.now, order, ok, reason, incarnation, out)

        if self.nodes.get(node.vm) is node:
            self._run_or_defer(node, self.act, node, step)


def configuration_of(targets, adapters, in_transit):
    """Return a configuration with engine targets and adapters."""
    services = {spec.service for spec in targets}
    return empty_configuration()._replace(
        revision=1,
        services={name: ServiceSpec(name, "engine", "base") for name in services},
        targets={spec.name: spec for spec in targets},
        models={"base": ModelSpec("base")},
        adapters={
            name: AdapterSpec(name, "base", versions, versions[-1])
            for name, versions in adapters.items()
        },
        weight_store=WeightStoreSpec(3.0, in_transit),
    )


def all_violations(cluster):
    """Return the violations recorded by the engines and by the weight store."""
    found = [v for engine in cluster.engines.values() for v in engine.violations]
    if cluster.max_loads_in_transit > cluster.config.weight_store.max_in_transit:
        found.append(f"{cluster.max_loads_in_transit} loads in transit")
    return found


def _label(record):
    return f"{record.request.adapter}@{record.request.version}"


def three_zones(slots=4, concurrency=8, per_zone=2, checks=True):
    """Return the targets of one service in three zones."""
    zones = ("caerdydd", "abertawe", "wrecsam")
    return [
        TargetSpec(
            f"drafting-{zone}-{index}",
            "drafting",
            "127.0.0.1:1",
            zone,
            checks,
            slots,
            concurrency,
        )
        for zone in zones
        for index in range(per_zone)
    ]


def make_cluster(seed=1, nodes=3, adapters=40, **targets):
    """Return a cluster of three zones."""
    zones = dict.fromkeys(("caerdydd", "abertawe", "wrecsam"), nodes)
    names = {f"a{index}": ("1", "2") for index in range(adapters)}
    return Cluster(zones, three_zones(**targets), names, Random(seed))
