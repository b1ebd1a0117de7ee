"""Replay of arrivals at engines of different speeds, decided by the pure decisions."""

from random import Random
from typing import NamedTuple

from hibiscusspar.fleet.prompt_queue import PromptQueues
from hibiscusspar.fleet.routing import Candidate, ChoicePolicy
from hibiscusspar.fleet.waiting import Job, Refuse, Send, decide

__all__ = ["Load", "Outcome", "replay"]

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


class Outcome(NamedTuple):
    """Result of a stream; the longest pause is None if it was refused."""

    arrived: float
    target_id: str
    first_byte_s: float
    longest_pause_s: float | None


class _Stream:
    def __init__(self, job, sent_to, steps):
        self.job, self.sent_to, self.steps = job, sent_to, steps
        self.tokens = job.prompt_tokens
        self.done = 0
        self.first_at = self.last_at = None
        self.longest_pause_s = 0.0

    def step(self, now):
        """Decode one step and return the pause before the event that it ends."""
        self.done += 1
        if self.done % self.job.event_steps:
            return None
        pause_s, self.last_at = now - (self.last_at or now), now
        self.first_at = self.first_at or now
        self.longest_pause_s = max(self.longest_pause_s, pause_s)
        return pause_s or None


class _Engine:
    def __init__(self, target_id):
        self.target_id = target_id
        self.prompts, self.streams = [], []
        self.reported_tokens = 0
        self.busy_until = 0.0

    def advance(self, now, load, on_event):
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
                pause_s = stream.step(self.busy_until)
                if pause_s is not None:
                    on_event(self.busy_until, self.target_id, pause_s)
            ended += [row for row in self.streams if row.done >= row.steps]
            self.streams = [row for row in self.streams if row.done < row.steps]
        self.busy_until = max(self.busy_until, now)
        return ended


def replay(load, factor, on_event=lambda now, target_id, pause_s: None, tick=None):
    """Return the outcomes of a load.

    Parameters
    ----------
    load : Load
    factor : callable
        Returns the factor of a target that decisions use.
    on_event : callable, optional
        Called with the time, the target and the pause before each event of a stream.
    tick : callable, optional
        Called with the time, before the decisions of a tick, and all targets.
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
            for stream in engine.advance(now, load, on_event):
                outcomes.append(_outcome(stream))
        if now >= view_at:
            view_at = now + VIEW_S
            for engine in engines.values():
                engine.reported_tokens = sum(row.tokens for row in engine.prompts)
        if tick is not None:
            tick(now, engines)
        undecided = []
        for (job, steps), held in waiting:
            rows = [_candidate(now, engines[name], queues, factor) for name in held]
            decision = decide(now, job, rows, "z1")
            if isinstance(decision, Send):
                sent_to = decision.target_id
                engines[sent_to].prompts.append(_Stream(job, sent_to, steps))
                tokens = job.prompt_tokens
                queues.record_send(now, sent_to, tokens, factor(sent_to))
            elif isinstance(decision, Refuse):
                outcomes.append(Outcome(job.arrived, "", now - job.arrived, None))
            else:
                undecided.append(((job, steps), held))
        waiting = undecided
    return outcomes


def _job(load, at, tokens, rng):
    job = Job(
        "r",
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
    return job, rng.randrange(80, 400)


def _outcome(stream):
    first_s = stream.first_at - stream.job.arrived
    pause_s = stream.longest_pause_s
    return Outcome(stream.job.arrived, stream.sent_to, first_s, pause_s)


def _candidate(now, engine, queues, factor):
    return Candidate(
        engine.target_id,
        "z1",
        128,
        len(engine.prompts) + len(engine.streams),
        engine.reported_tokens,
        queues.backlog_s(now, engine.target_id),
        factor=factor(engine.target_id),
    )
