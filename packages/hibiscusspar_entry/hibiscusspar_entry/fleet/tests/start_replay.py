"""Replay of the store calls of a fleet in virtual time, without a network.

The decisions are those of the product: elections, deferral of leases and own reads.
Views are played: a node gets them once it knows the coordinator's address.
"""

from collections import Counter
from contextlib import ExitStack, contextmanager
from random import Random
from types import SimpleNamespace
from unittest.mock import patch

from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.lease import Election, LeaseTiming
from hibiscusspar.fleet.takeover import Applicant, takeover_delay_s
from hibiscusspar_entry.fleet.lease_deferral import LeaseDeferral
from hibiscusspar_entry.fleet.lease_keeper import LeaseKeeper
from hibiscusspar_entry.fleet.own_reads import OwnReads
from hibiscusspar_entry.fleet.store_backoff import StoreBackoff
from hibiscusspar_wire.platform_errors import ConflictError, RefusedError

__all__ = ["Replay", "former_rules"]

ZONES = ("z0", "z1", "z2")
DRAIN_S = CONFIG_S = 0.72 * 2.0
# Kind, wait and gap of its watch in seconds, age limit.
KINDS = (
    ("config", 0.5, 0.02, CONFIG_S),
    ("servers", 0.5, 0.15, DRAIN_S),
    ("versions", 2.0, 0.15, DRAIN_S),
)
# Targets by size of the fleet, and targets on a page of a listing.
TARGETS = {9: 15, 66: 62, 73: 62, 100: 120, 195: 300, 360: 830}
PAGE = 50
COORDINATOR_TIMING = LeaseTiming(renew_s=0.4, valid_s=0.9, order_gap_s=0.0)
DUTY_TIMING = LeaseTiming(renew_s=0.6, valid_s=1.5, order_gap_s=3.3)
STEP_S = 0.05


@contextmanager
def former_rules():
    """Decide as builds up to 4554b0c: fixed polls and gaps, and no wait for a view."""
    own_reads = "hibiscusspar_entry.fleet.own_reads"
    rules = {
        "hibiscusspar.fleet.lease.lease_pause_s": lambda f, r, i, timing, x: (
            timing.poll_s
        ),
        "hibiscusspar.fleet.lease.leaves_lease": lambda heard, is_current, was_read: (
            heard and is_current
        ),
        f"{own_reads}.read_pause_s": lambda state, wait_s, gap_s: gap_s,
        f"{own_reads}.is_held": lambda state: False,
    }
    with ExitStack() as stack:
        for name, rule in rules.items():
            stack.enter_context(patch(name, rule))
        yield


class Store:
    """Objects with conditional writes; counts the calls by kind."""

    era = 1

    def __init__(self):
        self.calls = Counter()
        self.rows = {}
        self.rejects = lambda: False

    def get(self, _kind, name):
        self._count()
        if name not in self.rows:
            return None
        value, revision = self.rows[name]
        return SimpleNamespace(value=value, revision=revision)

    def create(self, kind, name, value):
        return self.update(kind, name, value, 0)

    def update(self, _kind, name, value, revision):
        self._count()
        _, known = self.rows.get(name, (None, 0))
        if known != revision:
            raise ConflictError("store.update", name, "answered 409", 0)
        self.rows[name] = (value, known + 1)
        return known + 1

    def _count(self):
        self.calls["leases"] += 1
        if self.rejects():
            raise RefusedError("store", "s", "answered 503")


class Node:
    """One process: its elections, what views told it, and its own reads."""

    def __init__(self, replay, number, started_at):
        self.replay, self.number, self.started_at = replay, number, started_at
        self.is_cut = False
        self.reported_at = self.view_at = self.rows_at = None
        self.config_at = self.directory_at = None
        # Times between the directories that this node has read by itself.
        self.read_gaps = []
        self.waits = False
        rng = replay.rng
        store = replay.store
        clock = lambda: max(replay.clock(), started_at)  # noqa: E731
        zone, start = ZONES[number % 3], f"s{rng.random()}"
        jitter_s = rng.uniform(0.0, 0.3)

        def applicant(duty_zone):
            age_s = clock() - started_at
            other = duty_zone not in ("", zone)
            return Applicant(jitter_s, age_s, 1.0, 100.0, in_other_zone=other)

        def election(duty_zone, timing):
            delay_s = lambda: takeover_delay_s(applicant(duty_zone))  # noqa: E731
            names = f"m{number}", start, str(number)
            return Election(*names, timing, delay_s, rng.random())

        self.election = election("", COORDINATOR_TIMING)
        view_age_s = lambda: self.view_age_s  # noqa: E731
        nodes = lambda: len(replay.nodes) if self.view_at is not None else 1  # noqa: E731
        self.deferral = LeaseDeferral(
            clock, self.election, applicant, view_age_s, nodes
        )
        backoff = StoreBackoff(clock, replay.noise, nodes, lambda: False)
        keepers = {"coordinator": (self.election, self.deferral.skips_coordinator)}
        for name in ZONES:
            skips = lambda name=name: self.deferral.skips_duty(name)  # noqa: E731
            keepers[f"orders-{name}"] = (election(name, DUTY_TIMING), skips)
        self.keepers = [
            LeaseKeeper(name, duty, store, clock, skips, backoff)
            for name, (duty, skips) in keepers.items()
        ]
        fraction, leads = rng.random(), lambda: self.election.leads
        arguments = clock, leads, view_age_s, nodes
        self.reads = OwnReads(*arguments, lambda: self.waits, fraction)
        self.config_reads = OwnReads(*arguments, lambda: True, fraction)
        self.watches = {row[0]: [started_at, None] for row in KINDS}

    @property
    def view_age_s(self):
        return None if self.view_at is None else self.replay.clock() - self.view_at

    def step(self):
        now = self.replay.clock()
        if now < self.started_at:
            return
        is_known = self.directory_at is not None or self.rows_at is not None
        self.waits = self.replay.callers_wait and not is_known
        for keeper in self.keepers:
            keeper.step()
        self._exchange(now)
        for row in KINDS:
            self._watch(now, *row)

    def _exchange(self, now):
        """Take a view if the coordinator is known, alive and reached."""
        record = self.election.record
        holder = self.replay.leader
        interval_s = exchange_interval_s(len(self.replay.nodes))
        if self.is_cut or record is None or holder is None:
            return
        if self.view_at is None and record.address != str(holder.number):
            return
        if self.reported_at is None:
            self.reported_at = now
        if now >= (self.view_at or self.reported_at) + interval_s:
            if self.replay.noise.random() < self.replay.loss:
                return
            if self.view_at is not None:
                self.rows_at = self.rows_at or now
            self.view_at = now
            held = [
                zone
                for zone, keeper in zip(ZONES, holder.known_duties(), strict=True)
                if keeper
            ]
            self.deferral.apply_view(SimpleNamespace(leased=True, held=held))

    def known_duties(self):
        """Return for each zone whether a live process holds its duty."""
        return [
            any(node.keepers[1 + i].election.leads for node in self.replay.nodes)
            for i in range(len(ZONES))
        ]

    def _watch(self, now, kind, wait_s, gap_s, limit_s):
        state = self.watches[kind]
        next_at, sent_at = state
        if now < next_at:
            return
        leads = self.election.leads
        limit = 0.0 if self.rows_at is None and kind == "servers" else limit_s
        if not leads and self.view_age_s is not None and self.view_age_s < limit:
            state[:] = now + 0.12, None
            return
        reads = self.config_reads if kind == "config" else self.reads
        age_s = None if sent_at is None else now - sent_at
        if reads.is_held(age_s, limit_s):
            return
        pages = 1
        if kind == "servers":
            pages += self.replay.targets // PAGE
        calls, took_s = (pages, 0.0) if sent_at is None else (1, wait_s)
        if kind == "servers":
            # Some target renews its entry all the time.
            took_s = 0.0
        self.replay.store.calls[kind] += calls
        if kind == "config":
            self.config_at = self.config_at or now
        elif kind == "servers":
            self.read_gaps.append(now - (sent_at if sent_at is not None else now))
            self.directory_at = self.directory_at or now
        pause_s = reads.pause_s(took_s, wait_s, gap_s, limit_s)
        state[:] = now + took_s + pause_s, now


class Replay:
    """Fleet in virtual time.

    Parameters
    ----------
    nodes : int
    seed : int
    spread_s : float, optional
        Time over which the processes start.
    callers_wait : bool, optional
        Whether requests wait at each node from its start on.
    """

    def __init__(self, nodes, seed, spread_s=1.0, callers_wait=False):
        # Starts and jitters must not depend on how many datagrams are sent, so that two
        # replays of one seed can be compared.
        self.rng = Random(seed)
        self.noise = Random(seed + 1)
        self.now = 100.0
        self.targets = TARGETS[nodes]
        self.loss = 0.0
        self.store = Store()
        self.spread_s, self.callers_wait = spread_s, callers_wait
        self.nodes = []
        self.start_all(range(nodes))

    def clock(self):
        """Return the time in seconds."""
        return self.now

    @property
    def leader(self):
        """Process that coordinates, or None."""
        leading = [n for n in self.nodes if n.election.holds(self.now)]
        return leading[0] if leading else None

    @property
    def calls(self):
        """Number of all calls of the store."""
        return self.store.calls.total()

    def start_all(self, numbers):
        """Start processes, in place of those that ran before."""
        self.nodes = [
            Node(self, number, self.now + self.rng.uniform(0.0, self.spread_s))
            for number in numbers
        ]

    def run(self, seconds, until=lambda: False):
        """Advance the time; return the seconds until the condition held."""
        started_at = self.now
        while self.now < started_at + seconds and not until():
            for node in self.nodes:
                node.step()
            self.now += STEP_S
        return self.now - started_at

    def all_have_views(self):
        """Return whether all nodes but the coordinator have a whole view."""
        return all(n.rows_at is not None or n.election.leads for n in self.nodes)
