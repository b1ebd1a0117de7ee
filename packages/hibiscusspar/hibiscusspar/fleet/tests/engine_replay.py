"""Replay of arrivals at engines of different speeds, decided by the pure decisions."""

from collections import deque
from random import Random
from typing import NamedTuple
from zlib import crc32

from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.prompt_queue import PromptQueues
from hibiscusspar.fleet.routing import Candidate, ChoicePolicy
from hibiscusspar.fleet.stream_relief import RecentPace, ReliefRow, StreamRelief
from hibiscusspar.fleet.target_speeds import SpeedFactors, SpeedPolicy, SpeedSamples
from hibiscusspar.fleet.targets import Target
from hibiscusspar.fleet.waiting import Job, Refuse, Send, decide

__all__ = [
    "EstimatedSpeeds",
    "Load",
    "Outcome",
    "StreamMoves",
    "UsualSpeeds",
    "make_target",
    "replay",
]

CHOICE = ChoicePolicy()
TICK_S = 0.02
# Time between views, which tell the decisions how many prompt tokens are queued.
VIEW_S = 0.16
CHUNK_TOKENS = 4096
STEP_S = 0.0095
STEP_REQUEST_S = 0.00002


class Load(NamedTuple):
    """Arrivals of streams; ``slowness`` returns the factor of a target at a time.

    Each adapter is resident at ``copies`` targets.
    """

    slowness: object
    targets: int = 9
    copies: int = 4
    per_s: float = 24.0
    seconds: float = 30.0
    event_steps: int = 4
    max_gap_s: float = 0.3
    first_byte_s: float = 1.0
    seed: int = 1
    steps: tuple[int, int] = (80, 400)


class Outcome(NamedTuple):
    """Result of a stream; the longest pause is None if it was refused."""

    arrived: float
    target_id: str
    first_byte_s: float
    longest_pause_s: float | None
    ended_at: float | None = None


class _Stream:
    def __init__(self, job, sent_to, steps):
        self.job, self.sent_to, self.steps = job, sent_to, steps
        # Target that began it, unlike the one of a moved stream.
        self.began_at = sent_to
        self.number = crc32(job.request_id.encode())
        self.tokens = job.prompt_tokens
        self.done = 0
        self.first_at = self.last_at = None
        self.longest_pause_s = 0.0

    def step(self, now):
        """Decode one step and return whether it ends an event."""
        self.done += 1
        if self.done % self.job.event_steps:
            return False
        self.pause_s, self.last_at = now - (self.last_at or now), now
        self.first_at = self.first_at or now
        self.longest_pause_s = max(self.longest_pause_s, self.pause_s)
        return True


class _Engine:
    def __init__(self, target_id):
        self.target_id = target_id
        self.prompts, self.streams = [], []
        self.reported_tokens = 0
        self.busy_until = 0.0

    @property
    def running(self):
        """Number of streams, also of those whose prompts wait."""
        return len(self.prompts) + len(self.streams)

    def advance(self, now, load, speeds, reading_until):
        """Run the steps that begin before a time and return the streams that ended."""
        ended = []
        while self.busy_until < now and (self.prompts or self.streams):
            room, ready = CHUNK_TOKENS, []
            while self.prompts and room:
                read = min(room, self.prompts[0].tokens)
                self.prompts[0].tokens -= read
                room -= read
                if not self.prompts[0].tokens:
                    ready.append(self.prompts.pop(0))
            seconds = (CHUNK_TOKENS - room) / CHOICE.prompt_tokens_s
            seconds += STEP_S + STEP_REQUEST_S * len(self.streams)
            self.busy_until += seconds * load.slowness(self.target_id, self.busy_until)
            self.streams += ready
            for stream in self.streams:
                if stream.step(self.busy_until):
                    speeds.record(self.busy_until, stream, reading_until)
            ended += [row for row in self.streams if row.done >= row.steps]
            self.streams = [row for row in self.streams if row.done < row.steps]
        self.busy_until = max(self.busy_until, now)
        return ended


class UsualSpeeds:
    """Decisions assume the usual times for all targets."""

    def factor(self, target_id):
        """Return the factor of a target that decisions use."""
        return 1.0

    def record(self, now, stream, reading_until):
        """Record an event of a stream."""

    def tick(self, now, target_ids, reading_until):
        """Exchange what was recorded."""

    def moved(self, now, stream, source):
        """Record that a stream has been moved."""


class EstimatedSpeeds(UsualSpeeds):
    """Estimates of some nodes, each of which sees the events of its own streams.

    ``sampling`` is the number of these nodes, ``nodes`` that of the whole fleet, which
    determines the intervals of reports and views. Reports and views reach every node.
    Nodes read events ``late_s`` late on average.
    """

    def __init__(self, nodes, sampling, late_s=0.0):
        self._late_s = late_s
        self.interval_s = exchange_interval_s(nodes)
        self._samples = [SpeedSamples() for _ in range(sampling)]
        self._report_at = [i / sampling * self.interval_s for i in range(sampling)]
        self._view_at = 0.0
        self._table = SpeedFactors()
        self._rng = Random(7)
        self._node_of = {}
        self._sampled = {}
        self.factors = {}

    def factor(self, target_id):
        return self.factors.get(target_id, 1.0)

    def record(self, now, stream, reading_until):
        target_id, steps = stream.sent_to, stream.job.event_steps
        if self._late_s:
            now += self._rng.expovariate(1.0 / self._late_s)
        if stream not in self._node_of:
            samples = self._node_of[stream] = self._rng.choice(self._samples)
            samples.begin(now, target_id, 1, steps)
            self.record_begin(now, samples, target_id)
            self._sampled[stream] = (now, stream.done)
        samples = self._node_of[stream]
        sampled_at, done = self._sampled[stream]
        if now - sampled_at >= SpeedPolicy().min_gap_s:
            until, count = reading_until(target_id), stream.done - done
            samples.record(now, target_id, 1, now - sampled_at, count, until)
            self.record_gap(now, samples, target_id, now - sampled_at, count, until)
            self._sampled[stream] = (now, stream.done)
        if stream.done >= stream.steps - steps:
            samples.end(target_id, 1)
            self.record_end(samples, target_id)

    def record_begin(self, now, samples, target_id):
        """Record the first event of a stream at a node, given by its samples."""

    def record_gap(self, now, samples, target_id, gap_s, steps, until):
        """Record the gap before an event, and until when the target reads prompts."""

    def record_end(self, samples, target_id):
        """Record the end of a stream at a node."""

    def tick(self, now, target_ids, reading_until):
        for node, samples in enumerate(self._samples):
            if now >= self._report_at[node]:
                self._report_at[node] += self.interval_s
                estimates = samples.estimates(now, reading_until, self.interval_s)
                counts = len(self._samples), len(target_ids)
                self._table.record(now, samples.due(now, estimates, *counts))
        if now >= self._view_at:
            self._view_at = now + self.interval_s
            targets = {name: make_target(name) for name in target_ids}
            self._table.update(now, targets, self.interval_s)
            self.factors = self._table.factors

    def moved(self, now, stream, source):
        samples = self._node_of.get(stream)
        if samples is not None:
            samples.end(source, 1)
            samples.begin(now, stream.sent_to, 1, stream.job.event_steps)
            self._sampled[stream] = (now, stream.done)

    def rows(self):
        """Return the factors as views tell them, with the times that they are of."""
        rows = {name: self._table.row(name) for name in self.factors}
        return {t: _Told(row.born, row.factor, row.at) for t, row in rows.items()}


class _Told(NamedTuple):
    born: int
    factor: float
    as_of: float


class StreamMoves:
    """Relief by the nodes of a fleet, each of which moves its own streams.

    A node decides at most every ``STEP_S`` from the running streams of the last view.
    A copy takes ``COPY_S``, in which the stream makes no progress.
    """

    STEP_S = 0.25
    COPY_S = 0.015

    def __init__(self, nodes, deadline_s, policy=None):
        self._relief = [StreamRelief(policy) for _ in range(nodes)]
        self._step_at = [i / nodes * self.STEP_S for i in range(nodes)]
        self._deadline_s = deadline_s
        self._targets = None
        self._running, self._view_at = {}, 0.0
        self._history = deque(maxlen=10)
        self._moved = set()
        self._paces = {}
        self._left_at = {}
        self._under_way = []
        self.count = 0
        # Streams by which more than half of those of a target left it in a second.
        self.excess = 0

    def tick(self, now, engines, queues, speeds):
        """Move the streams that are due."""
        for at, stream, source in [row for row in self._under_way if row[0] <= now]:
            self._under_way.remove((at, stream, source))
            engines[stream.sent_to].streams.append(stream)
            speeds.moved(now, stream, source)
        due = [node for node, at in enumerate(self._step_at) if now >= at]
        if not due:
            return
        self._targets = self._targets or {name: make_target(name) for name in engines}
        told = speeds.rows()
        if now >= self._view_at:
            self._view_at = now + speeds.interval_s
            self._running = {name: row.running for name, row in engines.items()}
            self._history.append((now, self._running))
        homes = {}
        for engine in engines.values():
            for stream in engine.streams:
                homes.setdefault(stream.number % len(self._relief), []).append(stream)
        for node in due:
            self._step_at[node] += self.STEP_S
            relief = self._relief[node]
            relief.record(now, self._targets, told)
            rows = [
                self._row(now, stream)
                for stream in homes.get(node, ())
                if stream not in self._moved and stream.first_at
            ]
            for row in relief.select(now, rows, self._running.get):
                self._move(now, relief, row.key, engines, queues, speeds)

    def _row(self, now, stream):
        job = stream.job
        events = stream.done // job.event_steps
        attempt_s = stream.last_at - stream.first_at
        gap_s = attempt_s / (events - 1) if events > 1 else None
        if stream not in self._paces:
            self._paces[stream] = RecentPace(now, events)
        return ReliefRow(
            stream,
            job.request_id,
            stream.sent_to,
            job.priority,
            events,
            stream.steps // job.event_steps,
            gap_s,
            self._paces[stream].gap_s(now, events),
            now - stream.first_at,
            job.arrived,
            job.arrived + self._deadline_s,
        )

    def _move(self, now, relief, stream, engines, queues, speeds):
        source = stream.sent_to
        excluded = relief.unsuitable(source) | {source}
        rows = [
            _candidate(now, engine, queues, speeds)
            for name, engine in engines.items()
            if name not in excluded
        ]
        job = stream.job._replace(prompt_tokens=1, arrived=now, give_up_at=now)
        decision = decide(now, job, rows, "z1")
        if not isinstance(decision, Send):
            return
        relief.record_move(now, source)
        self.count += 1
        left = [at for at in self._left_at.get(source, ()) if at > now - 1.0]
        self._left_at[source] = [*left, now]
        before = max(r[source] for at, r in self._history if at > now - 1.2)
        self.excess += len(left) + 1 > max(1, before / 2)
        engines[source].streams.remove(stream)
        self._moved.add(stream)
        stream.sent_to = decision.target_id
        self._under_way.append((now + self.COPY_S, stream, source))


def make_target(target_id, born=1, service="draft"):
    """Return a target of a service with an engine."""
    return Target(target_id, service, "", "z1", 128, False, born, 0, {}, {})


def replay(load, speeds, moves=None):
    """Return the outcomes of a load whose decisions use some speeds.

    ``moves`` moves streams of slow targets, none by default.
    """
    rng = Random(load.seed)
    engines = {f"t{n}": _Engine(f"t{n}") for n in range(load.targets)}
    queues = PromptQueues(CHOICE.prompt_tokens_s)
    waiting, outcomes = [], []
    now = next_at = view_at = 0.0
    while now < load.seconds or any(e.prompts or e.streams for e in engines.values()):
        now += TICK_S
        while next_at < min(now, load.seconds):
            tokens = min(6000, int(rng.lognormvariate(6.8, 0.7)))
            held = rng.sample(sorted(engines), load.copies)
            waiting.append((_job(load, next_at, tokens, rng), held))
            next_at += rng.expovariate(load.per_s)
        for engine in engines.values():
            for stream in engine.advance(now, load, speeds, queues.done_at):
                outcomes.append(_outcome(stream))
        if now >= view_at:
            view_at = now + VIEW_S
            for engine in engines.values():
                engine.reported_tokens = sum(row.tokens for row in engine.prompts)
        speeds.tick(now, engines, queues.done_at)
        if moves is not None:
            moves.tick(now, engines, queues, speeds)
        undecided = []
        for (job, steps), held in waiting:
            rows = [_candidate(now, engines[name], queues, speeds) for name in held]
            decision = decide(now, job, rows, "z1")
            if isinstance(decision, Send):
                sent_to = decision.target_id
                engines[sent_to].prompts.append(_Stream(job, sent_to, steps))
                tokens = job.prompt_tokens
                queues.record_send(now, sent_to, tokens, speeds.factor(sent_to))
            elif isinstance(decision, Refuse):
                outcomes.append(Outcome(job.arrived, "", now - job.arrived, None))
            else:
                undecided.append(((job, steps), held))
        waiting = undecided
    return outcomes


def _job(load, at, tokens, rng):
    job = Job(
        f"r{at}",
        "draft",
        ("m", "a"),
        1,
        tokens,
        at,
        load.first_byte_s,
        at + 1.5 * load.first_byte_s,
        rng.random(),
        load.max_gap_s,
        load.event_steps,
    )
    return job, rng.randrange(*load.steps)


def _outcome(stream):
    first_s = stream.first_at - stream.job.arrived
    pause_s = stream.longest_pause_s
    arrived, began_at = stream.job.arrived, stream.began_at
    return Outcome(arrived, began_at, first_s, pause_s, stream.last_at)


def _candidate(now, engine, queues, speeds):
    return Candidate(
        engine.target_id,
        "z1",
        128,
        engine.running,
        engine.reported_tokens,
        queues.backlog_s(now, engine.target_id),
        factor=speeds.factor(engine.target_id),
    )
