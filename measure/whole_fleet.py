"""All parts of a fleet together in virtual time: limits, scheduler, placement.

Nine nodes before six engines, with fakes of members, roles and the platform. One
process runs them all from a heap of events; a request takes the steps that it
takes in ``hibiscusspard``, without sockets.
"""

from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from hibiscusspar.config.model import (
    AccountSpec,
    AdapterSpec,
    ModelSpec,
    ServiceSpec,
    TargetSpec,
    empty_configuration,
)
from hibiscusspar.limits.node_limit import Reservation
from hibiscusspar.limits.system import LimitSystem, home_role_names
from hibiscusspar.outbox import Outbox, PlatformResult
from hibiscusspar.placement.routing import Dispatch, RouteRequest
from hibiscusspar.placement.system import PlacementSystem, role_names
from hibiscusspar.placement.tests.cluster import FakeEngine, FakeMembers, FakeRoles
from hibiscusspar.ports import Member
from hibiscusspar.scheduling.scheduler import Job, Scheduler

__all__ = ["ACCOUNTS", "Ended", "Fleet", "Offered"]

ACCOUNTS = ("large-1", "large-2", "middle", "small-1", "small-2")
SHARES = (0.40, 0.25, 0.15, 0.12, 0.08)  # of the fleet's rate, by account
NODES_PER_ZONE = 3
TARGETS = 6
SLOTS = 8
CONCURRENCY = 16
ADAPTERS = 3000
TICK_S = 0.1
POLL_S = 0.5
SEND_S = 0.1  # longest wait of a message for the next exchange
URGENT_SEND_S = 0.02  # the same of an urgent one, or of an answer
TOKEN_WAIT_S = 1.0
QUEUE_WAIT_S = 20.0
RETRY_S = 0.05
RETRIES = 2
STEP_S = 0.02  # of an engine whose batch holds one request: one token each
STEP_GROWTH = 0.02  # by each further request of the batch
LOAD_S = 0.25
LOADS_PER_S = 3.0
IN_TRANSIT = 8


class Offered(NamedTuple):
    """One request as its caller sends it; ``tokens`` is its upper bound."""

    at: float
    account: str
    adapter: int
    node: int
    tokens: float
    used: float
    output_tokens: int


class Ended(NamedTuple):
    """How a request ended; times in seconds.

    ``outcome`` is ``"answered"``, ``"limit"`` or ``"busy"``. ``stall_s`` is the
    wait for a target if the adapter was resident nowhere when it began, else 0.
    """

    offered: Offered
    outcome: str
    wait_s: float = 0.0
    stall_s: float = 0.0


class _Engine(FakeEngine):
    """An engine whose requests share its steps; counts batches."""

    def __init__(self, spec):
        super().__init__(spec)
        self.tokens = 0.0
        self.busy_s = 0.0

    def service_s(self, output_tokens):
        batch = max(1, len(self.running))
        step_s = STEP_S * (1.0 + STEP_GROWTH * (batch - 1))
        self.tokens += output_tokens
        return output_tokens * step_s


class _Node:
    """The systems of one node."""

    def __init__(self, fleet, vm, zone):
        self.vm = vm
        self.zone = zone
        members = FakeMembers(vm, zone, fleet.members)
        roles = FakeRoles(vm, fleet.roles)
        self.limits = LimitSystem(vm, zone, members, roles, Random(f"limits/{vm}"))
        self.placement = PlacementSystem(
            vm, zone, members, roles, Random(f"placement/{vm}"), fleet.now
        )
        self.scheduler = Scheduler(self.placement)
        self.systems = {"limits": self.limits, "placement": self.placement}


class _Open:
    """A request between its reservation and its end."""

    def __init__(self, offered, node, reservation, cold):
        self.offered = offered
        self.node = node
        self.reservation = reservation
        self.cold = cold
        self.tries = 0
        self.excluded = ()
        self.waits_since = offered.at
        self.target = ""


class Fleet:
    """Nodes, engines and a weight store in virtual time.

    Parameters
    ----------
    zones : sequence of str
    rate : float
        Tokens per second of all accounts together.
    latency_s : float
        One way between zones.
    seed : int
    """

    def __init__(self, zones, rate, latency_s, seed=1):
        self.now = 0.0
        self.members = {}
        self.roles = {}
        self.ended = []
        self.loads = 0
        self.messages = 0
        self.batches = []
        self.cut = ""
        self._latency_s = latency_s
        self._rng = Random(seed)
        self._events = []
        self._order = count()
        self._objects = {}
        self._version = 0
        self._open = {}
        self._next_load = 0.0
        self._transit = 0
        self.configuration = _configuration(zones, rate)
        targets = self.configuration.targets.values()
        self.engines = {spec.name: _Engine(spec) for spec in targets}
        self.nodes = []
        for zone in zones:
            for index in range(NODES_PER_ZONE):
                vm = f"{zone}-{index}"
                self.members[vm] = Member(vm, zone, vm)
                self.nodes.append(_Node(self, vm, zone))
        self._assign_roles(zones)
        self._start()

    def offer(self, requests):
        """Schedule requests of callers."""
        for request in requests:
            self._at(request.at, self._admit, request, request.at, False)

    def at(self, when, action):
        """Schedule a fault or another change."""
        self._at(when, action)

    def restart_engine(self, name):
        """Restart an engine; what ran on it breaks and is sent again elsewhere."""
        engine = self.engines[name]
        broken = list(engine.running)
        engine.restart()
        for request_id in broken:
            self._attempt_failed(request_id)

    def run(self, seconds):
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action, args = heappop(self._events)
            action(*args)
        self.now = seconds

    def _assign_roles(self, zones):
        for zone in zones:
            vms = [node.vm for node in self.nodes if node.zone == zone]
            names = home_role_names(self.configuration, zone)
            names += role_names(self.configuration, zone)
            for index, name in enumerate(names):
                self.roles[name] = (vms[index % len(vms)], 1)

    def _start(self):
        for node in self.nodes:
            self._act(node, lambda out, n=node: self._configure(n, out))
            self._at(self._rng.uniform(0.0, TICK_S), self._tick, node)
        for name in self.engines:
            self._at(self._rng.uniform(0.0, POLL_S), self._poll, name)
        self._at(1.0, self._sample)

    def _configure(self, node, out):
        node.limits.configure(self.now, self.configuration, out)
        node.placement.configure(self.now, self.configuration, out)
        node.scheduler.configure(self.configuration)

    def _at(self, when, action, *args):
        heappush(self._events, (when, next(self._order), action, args))

    def _act(self, node, step, sender=""):
        """Run a step of a node, start what it made ready, carry out the rest.

        ``sender`` is the node whose message the step takes in; what is due to it
        goes back with the answer.
        """
        out = Outbox()
        found = step(out)
        node.scheduler.start_ready(self.now, out)
        for request_id, decision in node.scheduler.take_decided():
            self._decided(request_id, decision)
        for send in out.sends:
            urgent = send.peer in out.urgent or send.peer == sender
            self._send(node, send, URGENT_SEND_S if urgent else SEND_S)
        for call in out.calls:
            self._at(self.now + self._latency_s, self._platform, node, call)
        for order in out.orders:
            self._at(self.now + self._latency_s, self._order_to, node, order)
        return found

    def _tick(self, node):
        def tick(out):
            for system in node.systems.values():
                system.tick(self.now, out)

        self._act(node, tick)
        self._at(self.now + TICK_S, self._tick, node)

    def _send(self, node, send, longest_s):
        self.messages += 1
        peer = next(n for n in self.nodes if n.vm == send.peer)
        if self.is_cut(node.zone, peer.zone):
            return
        delay_s = self._rng.uniform(0.0, longest_s) + self._latency_s
        self._at(self.now + delay_s, self._deliver, node.vm, peer, send.message)

    def is_cut(self, zone, other):
        """Return whether nothing gets from one zone to another."""
        return zone != other and self.cut in (zone, other)

    def _deliver(self, sender, node, message):
        topic = type(message).__module__.split(".")[1]
        system = node.systems[topic]
        self._act(
            node, lambda out: system.receive(self.now, sender, message, out), sender
        )

    def _platform(self, node, call):
        result = PlatformResult(call.call_id, "refused")
        if node.zone != self.cut:
            result = self._apply(call)
        system = node.systems[call.system]
        self._at(
            self.now + self._latency_s,
            self._act,
            node,
            lambda out: system.platform_result(self.now, result, out),
        )

    def _apply(self, call):
        value, version = self._objects.get((call.kind, call.name), (None, 0))
        if call.operation == "get":
            outcome = "ok" if version else "missing"
            return PlatformResult(call.call_id, outcome, value, version)
        if version != call.version:
            return PlatformResult(call.call_id, "conflict", None, version)
        self._version += 1
        self._objects[call.kind, call.name] = (call.value, self._version)
        return PlatformResult(call.call_id, "ok", None, self._version)

    def _admit(self, offered, since, retry):
        node = self.nodes[offered.node]
        found = self._act(
            node,
            lambda out: node.limits.reserve(
                self.now, offered.account, offered.tokens, out, retry
            ),
        )
        if isinstance(found, Reservation):
            self._schedule(offered, node, found)
            return
        wait_s = RETRY_S if found.lease_requested else max(RETRY_S, found.retry_after_s)
        if not found.retry_after_s or self.now + wait_s > since + TOKEN_WAIT_S:
            self.ended.append(Ended(offered, "limit"))
            return
        self._at(self.now + wait_s, self._admit, offered, since, True)

    def _schedule(self, offered, node, reservation):
        request_id = f"r{next(self._order)}"
        label = f"a{offered.adapter}@1"
        cold = not any(label in engine.resident for engine in self.engines.values())
        self._open[request_id] = _Open(offered, node, reservation, cold)
        self._queue(request_id)
        self._at(self.now + QUEUE_WAIT_S, self._expire, request_id)

    def _queue(self, request_id):
        row = self._open[request_id]
        offered = row.offered
        row.waits_since = self.now
        row.target = ""
        adapter = f"a{offered.adapter}"
        route = RouteRequest(
            request_id, "draft", adapter, "1", "", row.node.zone, row.excluded
        )
        job = Job(route, offered.account, offered.tokens, self.now + QUEUE_WAIT_S)
        refusal = self._act(
            row.node, lambda out: row.node.scheduler.add(self.now, job, out)
        )
        if refusal is not None:
            self._end(request_id, "busy", 0.0)

    def _expire(self, request_id):
        row = self._open.get(request_id)
        if row is None or row.target:
            return
        refusal = self._act(
            row.node, lambda out: row.node.scheduler.give_up(self.now, request_id, out)
        )
        if refusal is not None:
            self._end(request_id, "busy", 0.0)

    def _decided(self, request_id, decision):
        row = self._open[request_id]
        if not isinstance(decision, Dispatch):
            self._at(self.now, self._end, request_id, "busy", 0.0)
            return
        row.target = decision.target
        self._at(self.now + self._latency_s, self._begin, request_id)

    def _begin(self, request_id):
        row = self._open.get(request_id)
        if row is None:
            return
        engine = self.engines[row.target]
        offered = row.offered
        label = f"a{offered.adapter}@1"
        cut = self.is_cut(row.node.zone, engine.spec.zone)
        if cut or not engine.start(self.now, request_id, label):
            self._attempt_failed(request_id)
            return
        service_s = engine.service_s(offered.output_tokens)
        args = request_id, engine, engine.incarnation
        self._at(self.now + service_s, self._finish, *args)

    def _finish(self, request_id, engine, incarnation):
        if engine.incarnation != incarnation or request_id not in self._open:
            return
        del engine.running[request_id]
        row = self._open[request_id]
        tokens = row.offered.output_tokens
        self._release(row, request_id)
        self._end(request_id, "answered", row.offered.used, tokens)

    def _attempt_failed(self, request_id):
        row = self._open[request_id]
        row.excluded = (*row.excluded, row.target)
        row.tries += 1
        self._release(row, request_id)
        if row.tries > RETRIES:
            self._end(request_id, "busy", 0.0)
        else:
            self._queue(request_id)

    def _release(self, row, request_id):
        self._act(
            row.node,
            lambda out: row.node.placement.finished(self.now, request_id, "end", out),
        )

    def _end(self, request_id, outcome, used, tokens=0):
        row = self._open.pop(request_id, None)
        if row is None:
            return
        wait_s = row.waits_since - row.offered.at
        if outcome == "answered":
            wait_s = self.now - row.offered.at - tokens * STEP_S
        stall_s = max(0.0, wait_s) if row.cold else 0.0
        self.ended.append(Ended(row.offered, outcome, wait_s, stall_s))
        reservation_id = row.reservation.reservation_id
        self._act(
            row.node,
            lambda out: row.node.limits.settle(self.now, reservation_id, used, out),
        )

    def _poll(self, name):
        self._at(self.now + POLL_S, self._poll, name)
        engine = self.engines[name]
        holder, _ = self.roles[f"target-owner/{name}"]
        node = next(n for n in self.nodes if n.vm == holder)
        report = engine.incarnation, tuple(sorted(engine.resident))
        asked_at = self.now

        def take(out):
            node.placement.target_state(
                self.now, name, *report, len(engine.running), 0, out, asked_at
            )

        self._at(self.now + self._latency_s, self._act, node, take)

    def _sample(self):
        self._at(self.now + 1.0, self._sample)
        for engine in self.engines.values():
            if engine.running:
                self.batches.append((self.now, len(engine.running)))

    def _order_to(self, node, order):
        engine = self.engines[order.target]
        label = f"{order.adapter}@{order.version}"
        if order.action == "evict":
            self._result(node, order, *engine.evict(label, order.fence))
            return
        reason = engine.may_load(label, order.fence)
        if reason or label in engine.resident:
            self._result(node, order, not reason, reason)
            return
        self.loads += 1
        start = max(self.now, self._next_load)
        self._next_load = start + 1.0 / LOADS_PER_S
        self._at(start, self._transfer, node, order, engine.incarnation)

    def _transfer(self, node, order, incarnation):
        self._transit += 1
        load_s = LOAD_S * max(1.0, self._transit / IN_TRANSIT)
        self._at(self.now + load_s, self._loaded, node, order, incarnation)

    def _loaded(self, node, order, incarnation):
        self._transit -= 1
        engine = self.engines[order.target]
        if engine.incarnation != incarnation:
            self._result(node, order, False, "failed")
            return
        engine.resident.add(f"{order.adapter}@{order.version}")
        self._result(node, order, True, "")

    def _result(self, node, order, ok, reason):
        incarnation = self.engines[order.target].incarnation

        def take(out):
            node.placement.order_result(self.now, order, ok, reason, incarnation, out)

        self._at(self.now + self._latency_s, self._act, node, take)


def _configuration(zones, rate):
    targets = [
        TargetSpec(
            f"t{i}", "draft", "", zones[i % len(zones)], True, SLOTS, CONCURRENCY
        )
        for i in range(TARGETS)
    ]
    fractions = tuple((zone, 1.0 / len(zones)) for zone in zones)
    accounts = [
        AccountSpec(name, rate * share, 10.0 * rate * share, 1.0, fractions)
        for name, share in zip(ACCOUNTS, SHARES, strict=True)
    ]
    return empty_configuration()._replace(
        revision=1,
        services={"draft": ServiceSpec("draft", "engine", "base")},
        targets={spec.name: spec for spec in targets},
        models={"base": ModelSpec("base")},
        adapters={
            f"a{i}": AdapterSpec(f"a{i}", "base", ("1",), "1") for i in range(ADAPTERS)
        },
        accounts={spec.name: spec for spec in accounts},
    )
