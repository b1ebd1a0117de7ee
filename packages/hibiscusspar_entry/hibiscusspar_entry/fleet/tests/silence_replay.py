"""Replay of targets that fall silent, decided by the schedulers of a whole fleet.

Each node has its own scheduler, retry budgets and second attempts.
"""

from collections import Counter
from math import sqrt
from random import Random
from types import SimpleNamespace
from typing import NamedTuple

from hibiscusspar.fleet.lent_retries import RetryPool
from hibiscusspar.fleet.retries import RetryBudgets
from hibiscusspar.fleet.waiting import Refuse
from hibiscusspar.requests.ejection import EjectionPolicy, EjectionTable
from hibiscusspar_entry.fleet.forward_policy import ForwardPolicy
from hibiscusspar_entry.fleet.hedging import Hedging
from hibiscusspar_entry.fleet.limit_exchange import LimitExchange
from hibiscusspar_entry.fleet.placement_job import make_job
from hibiscusspar_entry.fleet.request_scheduler import RequestScheduler
from hibiscusspar_entry.fleet.request_state import RequestState
from hibiscusspar_entry.fleet.shared_budgets import SharedBudgets
from hibiscusspar_entry.fleet.tests.crash_network import NetworkFaults
from hibiscusspar_entry.fleet.tests.silence_engines import (
    EVENT_STEPS,
    MAX_GAP_S,
    Engine,
    Run,
    SimulatedAttempts,
)
from hibiscusspar_entry.fleet.tests.silence_network import SchedulerNetwork
from hibiscusspar_entry.fleet.tests.test_request_scheduler import (
    Clock,
    engine_rules,
    make_gate,
    target,
)

__all__ = ["RETRY_RATIO", "RETRY_SLACK", "Case", "Replay"]

# Targets by the number of nodes.
_TARGETS = {9: 6, 78: 30, 360: 130}
_SERVICE = "draft"
RETRY_RATIO, RETRY_SLACK = 0.2, 58
_RETRY_WINDOW_S = 10.0
_ZONES = 3
_TICK_S = 0.01
_DEADLINE_S = 30.0
_WAIT_S = 1.5
_STEPS = (330, 1500)
_STEP_S = 0.0125
# Streams that run at each target at first, and new ones a second, which keep as many.
_STREAMS = 30
_ARRIVALS_S = 24.0 / 9.0
# Lognormal sizes of prompts with a mean of 1,460 tokens.
_PROMPT_MU, _PROMPT_SIGMA, _MAX_PROMPT = 7.16, 0.5, 6000
_SILENT_AFTER_S = 1.5
_SILENT = "t0"
_ROUTE = SimpleNamespace(
    idempotent=True,
    resumable=True,
    max_attempts=2,
    first_byte_slo_s=1.0,
    max_gap_s=MAX_GAP_S,
    kind="stream",
)


class Case(NamedTuple):
    """Silence of one target, or pause of the links of one node; times in seconds."""

    nodes: int
    silent_s: float = 0.0
    link_pause_s: float = 0.0
    faults: NetworkFaults = NetworkFaults()
    seed: int = 1
    seconds: float = 5.0


class Stream:
    """Request of a caller at its node."""

    def __init__(self, node, arrived, prompt_tokens, steps, request_id, fraction):
        self.node, self.steps, self.arrived = node, steps, arrived
        self.state = RequestState()
        self.state.splitter = SimpleNamespace(count=0, last_event=None)
        # Run, placement and watch of the attempt whose events the caller gets.
        self.run = self.placement = self.watch = None
        self.ticket = self.second = None
        self.has_first_byte = False
        self.step_at = 0.0
        # Run whose event has arrived while the links of the node were paused.
        self.held = None
        self.ended = ""
        self.runs = []
        self.moved_at = None
        self.admitted = SimpleNamespace(
            stream=self,
            route=_ROUTE,
            is_engine=True,
            service=_SERVICE,
            call=SimpleNamespace(request_id=request_id, model="m", adapter="a1"),
            priority=1,
            prompt_tokens=prompt_tokens,
            first_arrived=arrived,
            arrived=arrived,
            ends_at=arrived + _DEADLINE_S,
            fraction=fraction,
            event_steps=EVENT_STEPS,
            account="",
            digest="",
        )

    @property
    def done(self):
        """Number of decoding steps of which the caller has the events."""
        return self.state.splitter.count * EVENT_STEPS

    @property
    def target_id(self):
        """Target of the attempt whose events the caller gets, or an empty string."""
        return self.run.engine.target_id if self.run else ""


class _Node:
    def __init__(self, replay, number):
        self.name, self.zone = f"n{number}", f"z{number % _ZONES}"
        self.view_number = 0
        self.paused_until = 0.0
        clock = replay.clock
        gate = make_gate(clock, LimitExchange(clock))
        ejection = EjectionTable(EjectionPolicy())
        self.scheduler = RequestScheduler(
            self.name, "s", self.zone, clock, ejection, 3.0, gate
        )
        self.scheduler.configure(engine_rules())
        self.scheduler.set_targets(replay.targets)
        self.budgets = SharedBudgets(
            RetryBudgets(RETRY_RATIO, RETRY_SLACK, _RETRY_WINDOW_S), self.name
        )
        self.hedging = Hedging(
            SimpleNamespace(
                request_scheduler=self.scheduler,
                clock=clock,
                retry_budgets=self.budgets,
                metrics=SimpleNamespace(silences=replay),
                # The links that pause are not known to be cut.
                paths=SimpleNamespace(is_cut=lambda service: False),
            ),
            ForwardPolicy(),
            SimulatedAttempts(replay.engines, replay.record_second),
            lambda admitted, state, _: state.attempts < admitted.route.max_attempts,
            SimpleNamespace(sent=lambda *_: None, failed=lambda *_: None),
            monotonic_clock=clock,
        )


class Replay:
    """Fleet with a coordinator, in simulated time.

    Parameters
    ----------
    case : Case

    Attributes
    ----------
    outcomes : Counter
        Ended silences by what ``Hedging`` recorded.
    seconds : list of (float, Run)
        Second attempts that were sent.
    at_silence : list of Stream
        Streams of the silent target when its silence began.
    begins_at, silent_at : float
    """

    def __init__(self, case):
        self.case = case
        self.clock = Clock()
        self.outcomes, self.seconds = Counter(), []
        self.streams, self.at_silence = [], []
        self._active = {}
        self._rng = Random(f"{case.nodes}/{case.seed}")
        noise = Random(f"{case.nodes}/{case.seed}/network")
        pool = RetryPool(RETRY_RATIO, RETRY_SLACK, _RETRY_WINDOW_S)
        self._network = SchedulerNetwork(self.clock, case.faults, noise, pool)
        self.targets = {
            f"t{n}": target(f"t{n}", ["a1"], zone=f"z{n % _ZONES}")
            for n in range(_TARGETS[case.nodes])
        }
        self.engines = {
            name: Engine(name, self.clock.now, self._record_event)
            for name in self.targets
        }
        self.nodes = [_Node(self, n) for n in range(case.nodes)]
        self.begins_at = self.clock.now
        self.silent_at = self.begins_at + _SILENT_AFTER_S
        self._begin_streams()
        self._network.begin(self.nodes)
        self._network.call_later(0.0, self._arrive)

    def labels(self, outcome):
        """Return the counter of an outcome of silences."""
        return SimpleNamespace(inc=lambda: self.outcomes.update([outcome]))

    def run(self):
        """Play the case and return itself."""
        case, silent = self.case, self.engines[_SILENT]
        if case.silent_s:
            silent.silent_from = self.silent_at
            silent.silent_until = self.silent_at + case.silent_s
        ends_at = self.clock.now + case.seconds
        while self.clock.now < ends_at:
            self._network.run_until(self.clock.now + _TICK_S)
            if not self.at_silence and self.clock.now >= self.silent_at:
                self._begin_silence()
            for engine in self.engines.values():
                engine.advance(self.clock.now)
            for node in self.nodes:
                if node.scheduler.has_waiting:
                    node.scheduler.tick()
            for stream in list(self._active):
                self._advance(stream)
        return self

    def record_second(self, run):
        """Record that a second attempt was sent."""
        run.stream.second = run
        run.stream.runs.append(run)
        self.seconds.append((self.clock.now, run))

    def _begin_silence(self):
        self.at_silence = [s for s in self._active if s.target_id == _SILENT]
        if self.case.link_pause_s:
            self.nodes[0].paused_until = self.silent_at + self.case.link_pause_s

    def _begin_streams(self):
        """Begin the streams that run at first, and the requests counted for retries."""
        rng, now = self._rng, self.clock.now
        per_s = _ARRIVALS_S * len(self.targets) / len(self.nodes)
        for node in self.nodes:
            at = now - _RETRY_WINDOW_S
            while (at := at + rng.expovariate(per_s)) < now:
                node.budgets.request(_SERVICE, at)
        for target_id, engine in self.engines.items():
            for node in rng.sample(self.nodes * _STREAMS, _STREAMS):
                # Long streams run more often at a given time.
                steps = int(sqrt(rng.uniform(*(n**2 for n in _STEPS))))
                done = rng.randrange(steps)
                stream = self._make_stream(node, now - done * _STEP_S, steps)
                stream.state.splitter.count = done // EVENT_STEPS
                job = make_job(stream.admitted, stream.state, now, _WAIT_S)
                job = job._replace(
                    prompt_tokens=0,
                    arrived=now,
                    excluded=frozenset(self.targets.keys() - {target_id}),
                )
                ticket = node.scheduler.submit(job)
                run = self._begin(stream, ticket.placement, tokens=0)
                engine.add_running(run, rng.randrange(EVENT_STEPS))

    def _make_stream(self, node, arrived, steps):
        rng = self._rng
        tokens = min(_MAX_PROMPT, int(rng.lognormvariate(_PROMPT_MU, _PROMPT_SIGMA)))
        request_id = f"r{len(self.streams)}-{self.case.seed}"
        row = Stream(node, arrived, tokens, steps, request_id, rng.random())
        self.streams.append(row)
        return row

    def _arrive(self):
        rng, now = self._rng, self.clock.now
        node = rng.choice(self.nodes)
        stream = self._make_stream(node, now, rng.randrange(*_STEPS))
        node.budgets.request(_SERVICE, now)
        job = make_job(stream.admitted, stream.state, now, _WAIT_S)
        stream.ticket = node.scheduler.submit(job)
        self._active[stream] = None
        gap_s = rng.expovariate(_ARRIVALS_S * len(self.targets))
        self._network.call_later(gap_s, self._arrive)

    def _begin(self, stream, placement, tokens):
        """Begin the first attempt of a stream; return its run."""
        engine = self.engines[placement.target.target_id]
        stream.state.begin_attempt(engine.target_id)
        stream.run, stream.placement = Run(engine, stream, tokens, False), placement
        stream.runs.append(stream.run)
        watch = stream.node.hedging.watch(stream.admitted, stream.state, placement)
        stream.watch = watch
        self._active[stream] = None
        return stream.run

    def _advance(self, stream):
        """Let the thread of a request do what is due."""
        now, watch = self.clock.now, stream.watch
        if stream.ticket is not None:
            ticket = stream.ticket
            if isinstance(ticket.decision, Refuse):
                self._end(stream, "refused")
            elif ticket.decision is not None:
                stream.ticket = None
                tokens = stream.admitted.prompt_tokens
                self._begin(stream, ticket.placement, tokens).begin()
                if stream.run.is_refused:
                    self._end(stream, "full")
        elif now >= stream.admitted.ends_at:
            self._end(stream, "deadline")
        elif now < stream.node.paused_until:
            if now >= watch.starts_at and now >= stream.step_at:
                stream.step_at = now + watch.step(now)
        elif stream.held is not None:
            run, stream.held = stream.held, None
            self._receive(run)
        elif now >= watch.starts_at and now >= stream.step_at:
            stream.step_at = now + watch.step(now)
            if stream.second is not None and stream.second.is_refused:
                watch.read_second()
                stream.second = None

    def _record_event(self, run, _at):
        stream = run.stream
        if run is stream.run:
            stream.state.splitter.count += 1
            if stream.done >= stream.steps:
                run.close()
        elif run is not stream.second:
            return
        if stream.held is not None or self.clock.now < stream.node.paused_until:
            stream.held = stream.held if stream.held is stream.run else run
        else:
            self._receive(run)

    def _receive(self, run):
        """Let a node receive an event."""
        stream = run.stream
        if run is stream.run:
            if not stream.has_first_byte:
                stream.has_first_byte = True
                stream.node.scheduler.record_first_byte(stream.placement)
            stream.watch.record_progress()
            stream.second, stream.step_at = None, 0.0
            if stream.done >= stream.steps:
                self._end(stream, "whole")
        elif run is stream.second and stream.watch.read_second():
            self._take_over(stream)

    def _take_over(self, stream):
        """Let the second attempt of a stream replace the first one."""
        scheduler = stream.node.scheduler
        attempt = stream.watch.take_answered()
        stream.run.close()
        stream.watch.close()
        scheduler.release(stream.placement, stream.has_first_byte)
        stream.state.leave_target()
        stream.run, stream.second = attempt.connection, None
        stream.placement, stream.watch = attempt.placement, attempt.silence
        stream.state.take_over(stream.target_id, stream.run, None)
        stream.has_first_byte = True
        scheduler.record_first_byte(stream.placement)
        stream.watch.record_progress()
        stream.moved_at, stream.step_at = self.clock.now, 0.0

    def _end(self, stream, reason):
        stream.ended = reason
        self._active.pop(stream, None)
        if stream.run is None:
            return
        scheduler = stream.node.scheduler
        stream.run.close()
        stream.watch.close()
        scheduler.release(stream.placement, stream.has_first_byte)
        if reason == "whole":
            scheduler.record_success(stream.target_id)
