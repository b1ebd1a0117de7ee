"""Random faults, which may overlap in time."""

import signal
from time import monotonic
from typing import NamedTuple

from hibiscusspar_platform.tests.cut_links import CutKind
from soak.crashes import Disturbance
from soak.deployment import IDLE_LIMIT_S, config
from soak.evacuations import BOUND_S, Evacuation
from soak.limits import LIMIT_MIN_S, NamedLimit
from soak.rests import EngineFault

__all__ = ["FaultPlan", "Undo"]

_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGKILL, signal.SIGSTOP)


class Undo(NamedTuple):
    """Call that ends a fault, and its time in seconds since the start."""

    at: float
    call: object


class FaultPlan:
    """Generator of random faults for a deployment.

    ``withdrawn`` maps each withdrawn key to the time of its withdrawal, and ``log``
    holds a line for each injected fault. ``limits`` holds the limits that engines
    named, ``limit_ends`` the times of their ends by engine, ``signalled`` the number of
    a node and the time for each signal, ``stops`` the same without SIGHUP,
    ``disturbances`` the faults of nodes and of their paths to the store,
    ``engine_faults`` those of their paths to engines, and ``evacuations`` the
    evacuations of zones that were lifted.
    """

    def __init__(self, deployment, rng):
        self._deployment = deployment
        self._rng = rng
        self._undos = []
        self._version = 1
        self.idle_limit_s = IDLE_LIMIT_S
        self.keys = {"k0"}
        self.withdrawn = {}
        self.log = []
        self.limits = []
        self.limit_ends = {}
        self.signalled = []
        self.stops = []
        self.disturbances = []
        self.engine_faults = []
        self.evacuations = []
        self._evacuated_at = {}
        deployment.on_crash = self._forget_limit

    def end_statements(self):
        """End limits, rests and evacuations."""
        for zone in sorted(self._evacuated_at):
            self._lift(zone)
        for engine in self._deployment.engines:
            engine.rest_s = None
            if engine.limit_per_s is not None:
                self._end_limit(engine)

    def step(self, now):
        """End the faults that are due and start another one."""
        for undo in [u for u in self._undos if u.at <= now]:
            undo.call()
            self._undos.remove(undo)
        kinds = [
            self._signal,
            self._signal,
            self._store_link,
            self._engine_link,
            self._store,
            self._configure,
            self._leave_orders_unanswered,
        ]
        if self._deployment.old_path is None:
            # Older builds keep neither to limits nor to rests nor to evacuations, and
            # have no proxies.
            kinds += [self._name_limit, self._cut_links, self._rest, self._evacuate]
        description = self._rng.choice(kinds)(now, self._rng.uniform(0.3, 3.0))
        self.log.append(f"{now:.1f} {description}")

    def _schedule_undo(self, now, duration_s, call):
        self._undos.append(Undo(now + duration_s, call))

    def _signal(self, now, duration_s):
        node = self._rng.choice(self._deployment.nodes)
        number = self._rng.choice(_SIGNALS)
        self.signalled.append((node.number, monotonic()))
        node.send_signal(number)
        if number is not signal.SIGHUP:
            self.stops.append(self.signalled[-1])
        self._disturb(node.number, duration_s)
        if number is signal.SIGSTOP:
            self._schedule_undo(now, duration_s, lambda: self._wake(node))
        elif number is signal.SIGKILL:
            node.held_down = True
            self._schedule_undo(
                now, duration_s, lambda: setattr(node, "held_down", False)
            )
        return f"{number.name} to node {node.number}"

    def _disturb(self, node, duration_s):
        now = monotonic()
        self.disturbances.append(Disturbance(node, now, now + duration_s))

    def _forget_limit(self, engine):
        """End the limit of an engine that crashed; the next incarnation names none."""
        if engine.limit_per_s is not None:
            self._end_limit(engine)

    def _wake(self, node):
        node.send_signal(signal.SIGCONT)
        self.signalled.append((node.number, monotonic()))
        self.stops.append(self.signalled[-1])

    def _name_limit(self, now, duration_s):
        engine = self._rng.choice(self._deployment.engines)
        if engine.limit_per_s is not None:
            return f"{engine.target_id} keeps its limit"
        engine.limit_per_s = self._rng.choice((0.5, 1.0, 3.0))
        limit = NamedLimit(engine, engine.limit_per_s, monotonic())
        self.limits.append(limit)
        # The platform holds nodes to a limit some seconds after it was named.
        duration_s += LIMIT_MIN_S
        self._schedule_undo(now, duration_s, lambda: self._end_limit(engine))
        return f"limit of {engine.target_id} for {duration_s:.1f} s"

    def _cut_links(self, now, duration_s):
        rng = self._rng
        nodes = rng.sample(self._deployment.nodes, rng.choice((1, 1, 2)))
        kind = rng.choice((CutKind.SILENT, CutKind.RESET, CutKind.LIVING))
        duration_s *= 2.0
        for node in nodes:
            node.cut_links(kind)
            self._schedule_undo(now, duration_s, node.cut_links)
        # Requests of these nodes come through others.
        self._fault_engines(None, duration_s)
        numbers = sorted(node.number for node in nodes)
        return (
            f"nodes {numbers} cut off from all engines ({kind}) for {duration_s:.1f} s"
        )

    def _rest(self, now, duration_s):
        engine = self._rng.choice(self._deployment.engines)
        engine.rest_s = self._rng.choice((0.4, 1.5, 3.0))
        self._schedule_undo(now, duration_s, lambda: setattr(engine, "rest_s", None))
        return f"{engine.target_id} asks for {engine.rest_s} s of rest"

    def _evacuate(self, now, duration_s):
        zone = self._rng.choice(("z0", "z1"))
        if zone in self._evacuated_at:
            self._lift(zone)
            return f"{zone} returns"
        self._deployment.store.put("evacuations", zone, self._rng.choice(({}, None)))
        self._evacuated_at[zone] = monotonic()
        duration_s += BOUND_S
        self._schedule_undo(now, duration_s, lambda: self._lift(zone))
        return f"{zone} evacuated for {duration_s:.1f} s"

    def _lift(self, zone):
        acked_at = self._evacuated_at.pop(zone, None)
        if acked_at is not None:
            self.evacuations.append(Evacuation(zone, acked_at, monotonic()))
            self._deployment.store.delete("evacuations", zone)

    def _fault_engines(self, engine, duration_s):
        now = monotonic()
        self.engine_faults.append(EngineFault(engine, now, now + duration_s))

    def _end_limit(self, engine):
        engine.limit_per_s = None
        self.limit_ends.setdefault(engine, []).append(monotonic())

    def _store_link(self, now, duration_s):
        node = self._rng.choice(self._deployment.nodes)
        self._disturb(node.number, duration_s)
        return f"store of node {node.number}: " + self._fault_link(
            now, duration_s, node.proxy
        )

    def _engine_link(self, now, duration_s):
        proxies = self._deployment.engine_proxies
        index = self._rng.randrange(len(proxies))
        self._fault_engines(self._deployment.engines[index], duration_s)
        return f"engine {index}: " + self._fault_link(now, duration_s, proxies[index])

    def _fault_link(self, now, duration_s, proxy):
        kind = self._rng.choice(("delay", "reset", "to", "from", "both", "refuse"))
        if kind == "delay":
            proxy.delay_s = self._rng.uniform(0.01, 0.3)
        elif kind == "reset":
            proxy.reset_all()
        elif kind == "refuse":
            proxy.refuses = True
            proxy.reset_all()
        else:
            directions = ("to", "from") if kind == "both" else (kind,)
            proxy.silent = frozenset(directions)
        self._schedule_undo(now, duration_s, proxy.heal)
        return f"{kind} for {duration_s:.1f} s"

    def _store(self, now, duration_s):
        store = self._deployment.store
        kind = self._rng.choice((503, 429, "compact"))
        if kind == "compact":
            store.compact()
            return "store compacted"
        store.fail_with = kind
        self._disturb(None, duration_s)
        self._schedule_undo(now, duration_s, lambda: setattr(store, "fail_with", None))
        return f"store answers {kind} for {duration_s:.1f} s"

    def _configure(self, now, _duration_s):
        version = self._version + self._rng.randrange(1, 4)
        withdrawable = sorted(self.keys - {"k0"})
        if withdrawable and self._rng.random() < 0.5:
            key = self._rng.choice(withdrawable)
            self.keys.discard(key)
            self.withdrawn[key] = now
        else:
            self.keys.add(f"k{version}")
        self.publish(version)
        return f"configuration {version} with {sorted(self.keys)}"

    def publish(self, version=None):
        """Publish the configuration, as the next version if none is given."""
        self._version = version or self._version + 1
        cold_start_s = self._deployment.cold_start_s
        new_config = config(self._version, self.keys, cold_start_s, self.idle_limit_s)
        self._deployment.store.put("config", "main", new_config)

    def _leave_orders_unanswered(self, _now, _duration_s):
        engine = self._rng.choice(self._deployment.engines)
        engine.unanswered_orders = self._rng.randrange(1, 4)
        return f"orders to {engine.target_id} unanswered"
