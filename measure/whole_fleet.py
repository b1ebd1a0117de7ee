"""Simulated fleet with limits, scheduler and placement together, in virtual time.

Nine nodes and six engines with fake members, roles and platform run from one event
heap. A request takes the same steps as in ``hibiscusspard``, but without sockets.
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

__all__ = ["ACCOUNTS", "Fleet", "OfferedRequest", "RequestResult"]

ACCOUNTS = ("large-1", "large-2", "middle", "small-1", "small-2")
SHARES = (0.40, 0.25, 0.15, 0.12, 0.08)  # of the fleet's rate, by account
NODES_PER_ZONE = 3
TARGETS = 6
SLOTS = 8
CONCURRENCY = 16
ADAPTERS = 3000
TICK_S = 0.1
POLL_S = 0.5
MAX_SEND_DELAY_S = 0.1  # longest wait of a message for the next exchange
MAX_URGENT_SEND_DELAY_S = 0.02  # the same for urgent messages and answers
TOKEN_WAIT_S = 1.0
QUEUE_WAIT_S = 20.0
RETRY_S = 0.05
RETRIES = 2
STEP_S = 0.02  # engine step with one request in the batch; one token per request
STEP_GROWTH = 0.02  # relative growth of a step per further request of the batch
ADAPTER_LOAD_S = 0.25
LOADS_PER_S = 3.0
FULL_SPEED_TRANSFERS = 8


class OfferedRequest(NamedTuple):
    """Request as its caller sends it; ``tokens`` is its upper bound."""

    at: float
    account: str
    adapter: int
    node: int
    tokens: float
    used: float
    output_tokens: int


class RequestResult(NamedTuple):
    """How a request ended; times are in seconds.

    ``outcome`` is ``"answered"``, ``"limit"`` or ``"busy"``. ``stall_s`` is the wait
    for a target if the adapter was resident nowhere on arrival, else 0.
    """

    offered: OfferedRequest
    outcome: str
    wait_s: float = 0.0
    stall_s: float = 0.0


class _Engine(FakeEngine):
    """Fake engine whose steps get longer with the size of its batch."""

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
    """Systems of one node."""

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


class _OpenRequest:
    """Request between its reservation and its end.

    ``cold`` tells whether its adapter was resident nowhere on arrival.
    """

    def __init__(self, offered, node, reservation, cold):
        self.offered = offered
        self.node = node
        self.reservation = reservation
        self.cold = cold
        self.failed_attempts = 0
        self.excluded = ()
        self.queued_at = offered.at
        self.target = ""


class Fleet:
    """Nodes, engines and a weight store in virtual time.

    Parameters
    ----------
    zones : sequence of str
    rate : float
        Tokens per second of all accounts together.
    latency_s : float
        One-way latency between zones.
    seed : int
    """

    def __init__(self, zones, rate, latency_s, seed=1):
        self.now = 0.0
        self.members = {}
        self.roles = {}
        self.results = []
        self.loads = 0
        self.messages = 0
        self.batches = []
        self.cut_zone = ""
        self._latency_s = latency_s
        self._rng = Random(seed)
        self._events = []
        self._sequence = count()
        self._platform_objects = {}
        self._platform_version = 0
        self._open_requests = {}
        self._next_load = 0.0
        self._transfers = 0
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
        """Schedule the arrivals of requests."""
        for request in requests:
            self._call_at(request.at, self._admit, request, request.at, False)

    def call_at(self, when, action):
        """Schedule an action such as a fault."""
        self._call_at(when, action)

    def restart_engine(self, name):
        """Restart an engine; its running requests fail and are retried elsewhere."""
        engine = self.engines[name]
        interrupted = list(engine.running)
        engine.restart()
        for request_id in interrupted:
            self._attempt_failed(request_id)

    def run(self, end):
        """Run all events up to the time ``end``."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action, args = heappop(self._events)
            action(*args)
        self.now = end

    def _assign_roles(self, zones):
        for zone in zones:
            vms = [node.vm for node in self.nodes if node.zone == zone]
            names = home_role_names(self.configuration, zone)
            names += role_names(self.configuration, zone)
            for index, name in enumerate(names):
                self.roles[name] = (vms[index % len(vms)], 1)

    def _start(self):
        for node in self.nodes:
            self._run_step(node, lambda out, n=node: self._configure(n, out))
            self._call_at(self._rng.uniform(0.0, TICK_S), self._tick, node)
        for name in self.engines:
            self._call_at(self._rng.uniform(0.0, POLL_S), self._poll, name)
        self._call_at(1.0, self._sample)

    def _configure(self, node, out):
        node.limits.configure(self.now, self.configuration, out)
        node.placement.configure(self.now, self.configuration, out)
        node.scheduler.configure(self.configuration)

    def _call_at(self, when, action, *args):
        heappush(self._events, (when, next(self._sequence), action, args))

    def _run_step(self, node, step, sender=""):
        """Run a step of a node and carry out its decisions, messages and calls.

        ``sender`` is the node whose message the step receives. Messages to it go
        back with the answer to the exchange.
        """
        out = Outbox()
        result = step(out)
        node.scheduler.start_ready(self.now, out)
        for request_id, decision in node.scheduler.take_decided():
            self._handle_decision(request_id, decision)
        for send in out.sends:
            urgent = send.peer in out.urgent or send.peer == sender
            self._send(
                node, send, MAX_URGENT_SEND_DELAY_S if urgent else MAX_SEND_DELAY_S
            )
        for call in out.calls:
            self._call_at(
                self.now + self._latency_s, self._answer_platform_call, node, call
            )
        for order in out.orders:
            self._call_at(self.now + self._latency_s, self._execute_order, node, order)
        return result

    def _tick(self, node):
        def tick(out):
            for system in node.systems.values():
                system.tick(self.now, out)

        self._run_step(node, tick)
        self._call_at(self.now + TICK_S, self._tick, node)

    def _send(self, node, send, max_delay_s):
        self.messages += 1
        peer = next(n for n in self.nodes if n.vm == send.peer)
        if self.is_cut(node.zone, peer.zone):
            return
        delay_s = self._rng.uniform(0.0, max_delay_s) + self._latency_s
        self._call_at(self.now + delay_s, self._deliver, node.vm, peer, send.message)

    def is_cut(self, zone, other):
        """Return whether two zones are cut off from each other."""
        return zone != other and self.cut_zone in (zone, other)

    def _deliver(self, sender, node, message):
        topic = type(message).__module__.split(".")[1]
        system = node.systems[topic]
        self._run_step(
            node, lambda out: system.receive(self.now, sender, message, out), sender
        )

    def _answer_platform_call(self, node, call):
        result = PlatformResult(call.call_id, "refused")
        if node.zone != self.cut_zone:
            result = self._apply_platform_call(call)
        system = node.systems[call.system]
        self._call_at(
            self.now + self._latency_s,
            self._run_step,
            node,
            lambda out: system.platform_result(self.now, result, out),
        )

    def _apply_platform_call(self, call):
        value, version = self._platform_objects.get((call.kind, call.name), (None, 0))
        if call.operation == "get":
            outcome = "ok" if version else "missing"
            return PlatformResult(call.call_id, outcome, value, version)
        if version != call.version:
            return PlatformResult(call.call_id, "conflict", None, version)
        self._platform_version += 1
        self._platform_objects[call.kind, call.name] = (
            call.value,
            self._platform_version,
        )
        return PlatformResult(call.call_id, "ok", None, self._platform_version)

    def _admit(self, offered, arrived_at, retry):
        node = self.nodes[offered.node]
        answer = self._run_step(
            node,
            lambda out: node.limits.reserve(
                self.now, offered.account, offered.tokens, out, retry
            ),
        )
        if isinstance(answer, Reservation):
            self._add_request(offered, node, answer)
            return
        wait_s = (
            RETRY_S if answer.lease_requested else max(RETRY_S, answer.retry_after_s)
        )
        if not answer.retry_after_s or self.now + wait_s > arrived_at + TOKEN_WAIT_S:
            self.results.append(RequestResult(offered, "limit"))
            return
        self._call_at(self.now + wait_s, self._admit, offered, arrived_at, True)

    def _add_request(self, offered, node, reservation):
        request_id = f"r{next(self._sequence)}"
        label = f"a{offered.adapter}@1"
        cold = not any(label in engine.resident for engine in self.engines.values())
        self._open_requests[request_id] = _OpenRequest(offered, node, reservation, cold)
        self._enqueue(request_id)
        self._call_at(self.now + QUEUE_WAIT_S, self._expire, request_id)

    def _enqueue(self, request_id):
        open_request = self._open_requests[request_id]
        offered = open_request.offered
        open_request.queued_at = self.now
        open_request.target = ""
        adapter = f"a{offered.adapter}"
        route = RouteRequest(
            request_id,
            "draft",
            adapter,
            "1",
            "",
            open_request.node.zone,
            open_request.excluded,
        )
        job = Job(route, offered.account, offered.tokens, self.now + QUEUE_WAIT_S)
        refusal = self._run_step(
            open_request.node,
            lambda out: open_request.node.scheduler.add(self.now, job, out),
        )
        if refusal is not None:
            self._end_request(request_id, "busy", 0.0)

    def _expire(self, request_id):
        open_request = self._open_requests.get(request_id)
        if open_request is None or open_request.target:
            return
        refusal = self._run_step(
            open_request.node,
            lambda out: open_request.node.scheduler.give_up(self.now, request_id, out),
        )
        if refusal is not None:
            self._end_request(request_id, "busy", 0.0)

    def _handle_decision(self, request_id, decision):
        open_request = self._open_requests[request_id]
        if not isinstance(decision, Dispatch):
            self._call_at(self.now, self._end_request, request_id, "busy", 0.0)
            return
        open_request.target = decision.target
        self._call_at(self.now + self._latency_s, self._start_on_engine, request_id)

    def _start_on_engine(self, request_id):
        open_request = self._open_requests.get(request_id)
        if open_request is None:
            return
        engine = self.engines[open_request.target]
        offered = open_request.offered
        label = f"a{offered.adapter}@1"
        cut = self.is_cut(open_request.node.zone, engine.spec.zone)
        if cut or not engine.start(self.now, request_id, label):
            self._attempt_failed(request_id)
            return
        service_s = engine.service_s(offered.output_tokens)
        args = request_id, engine, engine.incarnation
        self._call_at(self.now + service_s, self._finish, *args)

    def _finish(self, request_id, engine, incarnation):
        if engine.incarnation != incarnation or request_id not in self._open_requests:
            return
        del engine.running[request_id]
        open_request = self._open_requests[request_id]
        tokens = open_request.offered.output_tokens
        self._release_target(open_request, request_id)
        self._end_request(request_id, "answered", open_request.offered.used, tokens)

    def _attempt_failed(self, request_id):
        open_request = self._open_requests[request_id]
        open_request.excluded = (*open_request.excluded, open_request.target)
        open_request.failed_attempts += 1
        self._release_target(open_request, request_id)
        if open_request.failed_attempts > RETRIES:
            self._end_request(request_id, "busy", 0.0)
        else:
            self._enqueue(request_id)

    def _release_target(self, open_request, request_id):
        self._run_step(
            open_request.node,
            lambda out: open_request.node.placement.finished(
                self.now, request_id, "end", out
            ),
        )

    def _end_request(self, request_id, outcome, used, tokens=0):
        open_request = self._open_requests.pop(request_id, None)
        if open_request is None:
            return
        wait_s = open_request.queued_at - open_request.offered.at
        if outcome == "answered":
            wait_s = self.now - open_request.offered.at - tokens * STEP_S
        stall_s = max(0.0, wait_s) if open_request.cold else 0.0
        self.results.append(
            RequestResult(open_request.offered, outcome, wait_s, stall_s)
        )
        reservation_id = open_request.reservation.reservation_id
        self._run_step(
            open_request.node,
            lambda out: open_request.node.limits.settle(
                self.now, reservation_id, used, out
            ),
        )

    def _poll(self, name):
        self._call_at(self.now + POLL_S, self._poll, name)
        engine = self.engines[name]
        holder, _ = self.roles[f"target-owner/{name}"]
        node = next(n for n in self.nodes if n.vm == holder)
        report = engine.incarnation, tuple(sorted(engine.resident))
        asked_at = self.now

        def deliver(out):
            node.placement.target_state(
                self.now, name, *report, len(engine.running), 0, out, asked_at
            )

        self._call_at(self.now + self._latency_s, self._run_step, node, deliver)

    def _sample(self):
        self._call_at(self.now + 1.0, self._sample)
        for engine in self.engines.values():
            if engine.running:
                self.batches.append((self.now, len(engine.running)))

    def _execute_order(self, node, order):
        engine = self.engines[order.target]
        label = f"{order.adapter}@{order.version}"
        if order.action == "evict":
            self._send_order_result(node, order, *engine.evict(label, order.fence))
            return
        reason = engine.may_load(label, order.fence)
        if reason or label in engine.resident:
            self._send_order_result(node, order, not reason, reason)
            return
        self.loads += 1
        start = max(self.now, self._next_load)
        self._next_load = start + 1.0 / LOADS_PER_S
        self._call_at(start, self._start_transfer, node, order, engine.incarnation)

    def _start_transfer(self, node, order, incarnation):
        self._transfers += 1
        load_s = ADAPTER_LOAD_S * max(1.0, self._transfers / FULL_SPEED_TRANSFERS)
        self._call_at(self.now + load_s, self._finish_load, node, order, incarnation)

    def _finish_load(self, node, order, incarnation):
        self._transfers -= 1
        engine = self.engines[order.target]
        if engine.incarnation != incarnation:
            self._send_order_result(node, order, False, "failed")
            return
        engine.resident.add(f"{order.adapter}@{order.version}")
        self._send_order_result(node, order, True, "")

    def _send_order_result(self, node, order, ok, reason):
        incarnation = self.engines[order.target].incarnation

        def deliver(out):
            node.placement.order_result(self.now, order, ok, reason, incarnation, out)

        self._call_at(self.now + self._latency_s, self._run_step, node, deliver)


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
