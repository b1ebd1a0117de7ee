"""Simulated engines that fall silent, and the streams that they run."""

from math import inf
from types import SimpleNamespace

from hibiscusspar.fleet.retries import AttemptFailure

__all__ = [
    "EVENT_STEPS",
    "MAX_GAP_S",
    "Engine",
    "Run",
    "SimulatedAttempts",
]

EVENT_STEPS = 4
MAX_GAP_S = 0.3
# Prompt tokens read in a second and in one step, seconds of a step, and slots.
_PROMPT_TOKENS_S = 19_200.0
_CHUNK_TOKENS = 4096
_STEP_S, _STEP_REQUEST_S = 0.00947, 0.00002
_SLOTS = 128


class Run:
    """Run of a stream at an engine, and the way of its node to it.

    Parameters
    ----------
    engine : Engine
    stream : object
    tokens : int
        Prompt tokens to read.
    is_repeat : bool
        Whether another engine has read the prompt before.
    """

    is_own = True

    def __init__(self, engine, stream, tokens, is_repeat):
        self.engine, self.stream = engine, stream
        self.tokens, self.is_repeat = tokens, is_repeat
        # Prompt tokens at first, and those that the scheduler counted.
        self.prompt_tokens = self.counted_tokens = tokens
        self.is_refused = False
        self.phase = self.last_at = None
        # Seconds since the last event in which the engine read prompts again.
        self.repeat_s = 0.0
        # Times and lengths of pauses that were too long, and whether one of them was
        # because of prompts that were read again.
        self.pauses = []
        self.has_repeat_pause = False

    def begin(self):
        """Send the request, which a full engine refuses."""
        self.is_refused = not self.engine.add(self)

    def close(self):
        """End the run."""
        self.engine.remove(self)

    cancel = close

    def record_silence(self):
        """Record that the target is silent."""

    def record_event(self, at):
        """Record when an event was sent."""
        if self.last_at is not None:
            pause_s = at - self.last_at
            if pause_s > MAX_GAP_S:
                self.pauses.append((at, pause_s))
            if pause_s > MAX_GAP_S >= pause_s - self.repeat_s:
                self.has_repeat_pause = True
        self.last_at, self.repeat_s = at, 0.0


class Engine:
    """Engine that reads prompts between decoding steps.

    Parameters
    ----------
    target_id : str
    now : float
    on_event : callable
        Called with a run and the time of its event.
    """

    def __init__(self, target_id, now, on_event):
        self.target_id = target_id
        self.running = 0
        self.silent_from = self.silent_until = inf
        self._on_event = on_event
        self._prompts = []
        self._phases = [{} for _ in range(EVENT_STEPS)]
        self._steps = 0
        self._free_at = now

    def add(self, run):
        """Add a run; return whether there was room."""
        if self.running >= _SLOTS:
            return False
        self.running += 1
        self._prompts.append(run)
        return True

    def add_running(self, run, phase):
        """Add a run whose prompt has been read, ``phase`` steps after an event."""
        self.running += 1
        run.phase = phase
        self._phases[phase][run] = None

    def remove(self, run):
        """Remove a run, unless it has been removed."""
        if run in self._prompts:
            self._prompts.remove(run)
            self.running -= 1
        elif run.phase is not None and run in self._phases[run.phase]:
            del self._phases[run.phase][run]
            self.running -= 1

    def advance(self, now):
        """Run the steps that begin before a time."""
        while self._free_at < now and self.running:
            if self.silent_from <= self._free_at < self.silent_until:
                self._free_at = self.silent_until
            else:
                self._step()
        self._free_at = max(self._free_at, now)

    def _step(self):
        room, repeated = _CHUNK_TOKENS, 0
        phase = self._steps % EVENT_STEPS
        while self._prompts and room:
            run = self._prompts[0]
            read = min(room, run.tokens)
            run.tokens -= read
            room -= read
            repeated += read * run.is_repeat
            if not run.tokens:
                self._prompts.pop(0)
                run.phase = phase
                self._phases[phase][run] = None
        prompt_s = (_CHUNK_TOKENS - room) / _PROMPT_TOKENS_S
        self._free_at += prompt_s + _STEP_S + _STEP_REQUEST_S * self.running
        self._steps += 1
        if repeated:
            for runs in self._phases:
                for run in runs:
                    run.repeat_s += repeated / _PROMPT_TOKENS_S
        for run in list(self._phases[phase]):
            run.record_event(self._free_at)
            self._on_event(run, self._free_at)


class SimulatedAttempts:
    """Second attempts at simulated engines, in place of ``Attempts``.

    Parameters
    ----------
    engines : dict of str to Engine
    on_sent : callable
        Called with a run that was sent.
    """

    def __init__(self, engines, on_sent):
        self._engines = engines
        self._on_sent = on_sent

    def connect(self, admitted, _state, placement, _is_second, _limit_s):
        """Return a run, which isn't begun yet, of the stream of a request.

        The engine reads the prompt and what the stream has of its answer.
        """
        engine, stream = self._engines[placement.target.target_id], admitted.stream
        run = Run(engine, stream, admitted.prompt_tokens + stream.done, True)
        run.counted_tokens = placement.prompt_tokens
        return run

    def send(self, _admitted, _state, _placement, connection, **_options):
        """Begin a run."""
        connection.begin()
        self._on_sent(connection)

    def read_head(self, _admitted, _state, _placement, connection, *_):
        """Return the head of an answer, and the failure that it shows."""
        response = SimpleNamespace(headers={})
        if connection.is_refused:
            return response, AttemptFailure("head", "status 503", True, False)
        return response, None

    def drain_refusal(self, connection, _response, _failure):
        """Close the connection of a refusal."""
        connection.close()
        return False
