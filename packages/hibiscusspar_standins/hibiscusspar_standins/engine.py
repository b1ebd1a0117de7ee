"""Stand-in for an engine: adapter slots, continuous batching and resumable streams."""

from collections import OrderedDict, deque
from math import inf
from threading import Condition, Lock, Thread
from time import monotonic, sleep
from zlib import crc32

from hibiscusspar_standins.faults import Faults
from hibiscusspar_standins.ledger import Ledger
from hibiscusspar_standins.platform import RefusedError

__all__ = ["Engine", "Run", "chunk_text", "expected_text", "prompt_tokens"]

MAX_KNOWN_RUNS = 4096
MAX_SNAPSHOTS = 4096
BATCH_STEP_COST = 0.02  # relative extra step time for each further request in the batch
BYTES_PER_TOKEN = 4
CACHE_EVENT_LOSS_PERIOD = 10  # every tenth cache event is lost
CACHE_PREFIX_CHARS = 64


def prompt_tokens(prompt):
    """Return the number of tokens of a prompt."""
    return -(-len(prompt.encode()) // BYTES_PER_TOKEN)


def chunk_text(label, prompt, index):
    """Return the text of one token, which identifies adapter, prompt and index."""
    return f"{label}/{crc32(prompt.encode()):08x}/{index} "


def expected_text(label, prompt, max_tokens):
    """Return the complete text of an answer."""
    return "".join(chunk_text(label, prompt, index) for index in range(max_tokens))


class Run:
    """One request on the engine.

    ``state`` is ``"queued"``, ``"running"``, ``"finished"``, ``"cancelled"`` or
    ``"crashed"``.
    """

    def __init__(self, request, label, prompt, max_tokens, priority, account):
        self.request = request
        self.label = label
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.priority = priority
        self.account = account
        self.generated_tokens = 0
        self.state = "queued"

    @property
    def ended(self):
        """Whether no further token will be generated."""
        return self.state not in ("queued", "running")


class Engine:
    """In-memory engine that :meth:`step` advances.

    Parameters
    ----------
    weights : object
        Has ``fetch(label)``, which returns whether the transfer succeeded.
    slots, concurrency, max_queued : int
        Maximum numbers of resident adapters, running requests and queued requests.
    tokens_per_s : float
        Speed of one request that runs alone.
    checks_fencing : bool
        Whether orders with a stale fencing number are refused.
    lag_s : float
        Delay of the reported state and of the cache events in seconds.
    clock : callable
        Returns the time in seconds.
    cold_s : float
        Seconds for which each incarnation is cold.
    max_cold_per_s : float
        Requests in a second beyond which a cold engine crashes; those for an adapter
        that isn't resident don't count.
    """

    def __init__(
        self,
        weights,
        slots=8,
        concurrency=16,
        max_queued=64,
        tokens_per_s=50.0,
        checks_fencing=False,
        lag_s=0.2,
        clock=monotonic,
        cold_s=0.0,
        max_cold_per_s=inf,
    ):
        self.faults = Faults()
        self.ledger = Ledger(clock)
        self.changed = Condition()
        self.incarnation = 1
        self._weights = weights
        self._slots = slots
        self._concurrency = concurrency
        self._max_queued = max_queued
        self._step_s = 1.0 / tokens_per_s
        self._checks_fencing = checks_fencing
        self._lag_s = lag_s
        self._clock = clock
        self._cold_s = cold_s
        self._max_cold_per_s = max_cold_per_s
        self._cold_until = clock() + cold_s
        self._cold_arrivals = deque()
        self._load_lock = Lock()
        self._resident = set()
        self._reserved = set()
        self._max_fence = 0
        self._runs = OrderedDict()
        self._active = []
        self._snapshots = deque(maxlen=MAX_SNAPSHOTS)
        self._cache_events = deque(maxlen=MAX_SNAPSHOTS)
        self._cache_seq = 0
        self._stopped = False
        self._snapshot()

    def submit(self, run):
        """Queue a run; raise :class:`RefusedError` if it can't run here."""
        with self.changed:
            if run.label not in self._resident:
                raise RefusedError(404, error="adapter not resident")
            if not self._bears(run):
                run.state = "crashed"
                return
            if len(self._active) >= self._concurrency + self._max_queued:
                raise RefusedError(503, error="full")
            self._runs[run.request] = run
            self._active.append(run)
            if len(self._runs) > MAX_KNOWN_RUNS:
                self._runs.popitem(last=False)
            self._snapshot()
            self.changed.notify_all()

    def find(self, request):
        """Return the latest run of a request id, or None."""
        with self.changed:
            return self._runs.get(request)

    def cancel(self, request):
        """Cancel a run and return whether it was still active."""
        with self.changed:
            run = self._runs.get(request)
            if run is None or run.ended:
                return False
            self._end_run(run, "cancelled")
            return True

    def step(self):
        """Generate one token for each running request; return how many ran."""
        with self.changed:
            running = self._schedule_batch()
            for run in running:
                run.generated_tokens += 1
                if run.generated_tokens >= run.max_tokens:
                    self._end_run(run, "finished")
            self.changed.notify_all()
            return len(running)

    def load(self, label, fence):
        """Load an adapter version; loads run one at a time."""
        self._check_fence(label, fence)
        with self._load_lock:
            if not self._reserve(label):
                return
            incarnation = self.incarnation
            loaded = self._weights.fetch(label)
            with self.changed:
                self._reserved.discard(label)
                if not loaded or incarnation != self.incarnation:
                    raise RefusedError(502, error="the load failed")
                self._resident.add(label)
                self._snapshot()
            self.ledger.add("load", label, detail=f"fence {fence}")

    def unload(self, label, fence):
        """Evict an adapter version and crash the runs that use it."""
        self._check_fence(label, fence)
        with self.changed:
            if label not in self._resident:
                return
            for run in [run for run in self._active if run.label == label]:
                detail = "eviction under a running request"
                self.ledger.add("violation", label, request=run.request, detail=detail)
                self._end_run(run, "crashed")
            self._resident.discard(label)
            self._snapshot()
        self.ledger.add("evict", label, detail=f"fence {fence}")

    def restart(self):
        """Drop all runs and adapters, as a cold restart does."""
        with self.changed:
            self.incarnation += 1
            for run in list(self._active):
                self._end_run(run, "crashed")
            self._runs.clear()
            self._resident.clear()
            self._max_fence = 0
            self._cold_until = self._clock() + self._cold_s
            self._cold_arrivals.clear()
            self._snapshot()

    def state(self):
        """Return the state as it was ``lag_s`` ago."""
        horizon = self._clock() - self._lag_s
        with self.changed:
            while len(self._snapshots) > 1 and self._snapshots[1][0] <= horizon:
                self._snapshots.popleft()
            return self._snapshots[0][1]

    def cache_events(self, since):
        """Return the cache events after ``since``, delayed by ``lag_s``, some lost."""
        horizon = self._clock() - self._lag_s
        with self.changed:
            rows = list(self._cache_events)
        return [row for at, row in rows if at <= horizon and row["seq"] > since]

    def _bears(self, run):
        """Return whether a cold engine bears one more request; restart it if not."""
        now = self._clock()
        if now >= self._cold_until:
            return True
        self._cold_arrivals.append(now)
        while self._cold_arrivals[0] <= now - 1.0:
            self._cold_arrivals.popleft()
        count = len(self._cold_arrivals)
        if count <= self._max_cold_per_s:
            return True
        detail = f"{count} requests in a second while cold"
        self.ledger.add("violation", run.label, request=run.request, detail=detail)
        self.restart()
        return False

    def start(self):
        """Advance the engine in a thread until :meth:`stop`."""
        self._stopped = False
        Thread(target=self._run_loop, daemon=True).start()

    def stop(self):
        """End the thread and all runs."""
        with self.changed:
            self._stopped = True
            for run in list(self._active):
                self._end_run(run, "crashed")
            self.changed.notify_all()

    def _run_loop(self):
        while not self._stopped:
            with self.changed:
                self.changed.wait_for(lambda: self._active or self._stopped)
            started = self._clock()
            batch_size = self.step()
            step_s = self._step_s * (1.0 + BATCH_STEP_COST * max(0, batch_size - 1))
            sleep(max(0.0, step_s - (self._clock() - started)))

    def _schedule_batch(self):
        running = [run for run in self._active if run.state == "running"]
        queued = [run for run in self._active if run.state == "queued"]
        queued.sort(key=lambda run: run.priority)
        for run in queued[: self._concurrency - len(running)]:
            run.state = "running"
            self._record(run, "started")
            self._publish_cache_event(run)
            running.append(run)
        return running

    def _end_run(self, run, state):
        run.state = state
        self._active.remove(run)
        self._record(run, state)
        self._snapshot()
        self.changed.notify_all()

    def _record(self, run, kind):
        detail = f"tokens {run.generated_tokens}"
        self.ledger.add(
            kind, run.label, request=run.request, account=run.account, detail=detail
        )

    def _check_fence(self, label, fence):
        with self.changed:
            stale = fence < self._max_fence
            self._max_fence = max(fence, self._max_fence)
        if stale and self._checks_fencing:
            raise RefusedError(409, error="fenced")
        if stale:
            self.ledger.add("violation", label, detail=f"stale fence {fence} accepted")

    def _reserve(self, label):
        with self.changed:
            if label in self._resident:
                return False
            if len(self._resident) + len(self._reserved) >= self._slots:
                raise RefusedError(507, error="no free slot")
            self._reserved.add(label)
            return True

    def _snapshot(self):
        running = sum(run.state == "running" for run in self._active)
        value = {
            "incarnation": self.incarnation,
            "resident": sorted(self._resident),
            "running": running,
            "queued": len(self._active) - running,
            "slots": self._slots,
        }
        self._snapshots.append((self._clock(), value))

    def _publish_cache_event(self, run):
        self._cache_seq += 1
        if self._cache_seq % CACHE_EVENT_LOSS_PERIOD == 0:
            return
        row = {
            "seq": self._cache_seq,
            "prefix": f"{crc32(run.prompt[:CACHE_PREFIX_CHARS].encode()):08x}",
            "adapter": run.label,
            "kind": "stored",
        }
        self._cache_events.append((self._clock(), row))
