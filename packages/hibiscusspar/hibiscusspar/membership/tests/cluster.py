"""Simulated cluster of members and roles with network and platform faults."""

from random import Random
from typing import Any, NamedTuple

from hibiscusspar.membership.members import MemberSystem
from hibiscusspar.membership.messages import VmEntry
from hibiscusspar.membership.roles import RoleSystem
from hibiscusspar.outbox import Outbox, PlatformResult

MAX_LATE_S = 8.0


class ListAnswer(NamedTuple):
    vms: tuple
    version: int


class Process:
    """One process of a VM, with its systems and undelivered messages and results."""

    def __init__(self, vm, zone, seed, wanted, fenced, policy):
        rng = Random(seed)
        self.vm = vm
        self.zone = zone
        self.members = MemberSystem(vm, zone, "127.0.0.1:1", rng)
        self.roles = RoleSystem(vm, zone, self.members, rng, policy)
        self.roles.require(wanted, fenced)
        self.paused = False
        self.dead = False
        self.inbox = []
        self.results = []
        self.records = []


_NOBODY = Process("", "", 0, (), (), None)


class InFlight(NamedTuple):
    process: Process
    call: Any


class Cluster:
    """Processes, network and platform.

    ``cut`` holds frozensets of two VMs that can't exchange messages; the VMs in
    ``away`` can't reach the platform. Only VMs of zone ``"a"`` require the given
    roles.
    """

    def __init__(self, zones, wanted, fenced=(), seed=1, policy=None):
        self.rng = Random(seed)
        self.now = 100.0
        self.wanted = wanted
        self.fenced = fenced
        self.policy = policy
        self.processes = {}
        self.old = []
        self.flights = []
        self.cut = set()
        self.away = set()
        self.objects = {}
        self.version = 1
        self.lists = [ListAnswer((), 1)]
        self.lag = 0
        self.answers_lost = 0.0
        self.writes_delayed = 0.0
        self.loss = 0.0
        self.late = 0.0
        self.held_back = []
        self.calls = 0
        for zone, count in zones.items():
            for index in range(count):
                self.add_vm(f"{zone}{index}", zone)

    def add_vm(self, vm, zone):
        rows = {row.vm: row for row in self.lists[-1].vms}
        rows[vm] = VmEntry(vm, zone, "127.0.0.1:1", "live")
        self._list(rows)
        self.start(vm, zone)

    def remove_vm(self, vm):
        rows = {row.vm: row for row in self.lists[-1].vms if row.vm != vm}
        process = self.processes.pop(vm)
        process.dead = True
        self._list(rows)

    def start(self, vm, zone):
        """Start a process on a VM, replacing any that runs there."""
        if vm in self.processes:
            self.processes[vm].dead = True
        seed = self.rng.getrandbits(32)
        wanted = self.wanted if zone == "a" else ()
        self.processes[vm] = Process(vm, zone, seed, wanted, self.fenced, self.policy)

    def run(self, seconds, step=0.25):
        """Run ticks, deliveries and platform calls for some seconds."""
        for _ in range(int(seconds / step)):
            self.now += step
            self._deliver_held_back()
            for process in list(self.processes.values()):
                if not process.paused:
                    self._work(process)
            self._settle_flights()

    def acting(self, role):
        """Return (VM, number) of each process that may act in a role."""
        return [
            (process.vm, process.roles.number(role))
            for process in self.processes.values()
            if process.roles.holds(role)
        ]

    def hand_over(self, vm):
        process = self.processes[vm]
        out = Outbox()
        process.roles.hand_over_all(self.now, out)
        self._carry_out(process, out)

    def _list(self, rows):
        self.version += 1
        self.lists.append(ListAnswer(tuple(rows.values()), self.version))

    def _work(self, process):
        out = Outbox()
        inbox, process.inbox = process.inbox, []
        results, process.results = process.results, []
        for sender, message in inbox:
            self._system(process, message).receive(self.now, sender, message, out)
        for system, result in results:
            getattr(process, system).platform_result(self.now, result, out)
        process.members.tick(self.now, out)
        process.roles.tick(self.now, out)
        self._carry_out(process, out)

    def _system(self, process, message):
        kind = type(message).__name__
        return process.roles if kind.startswith("Role") else process.members

    def _carry_out(self, process, out):
        process.records += out.records
        for peer, message in out.sends:
            target = self.processes.get(peer)
            apart = frozenset((peer, process.vm)) in self.cut
            if target and not apart and self.rng.random() >= self.loss:
                self._deliver(target, process.vm, message)
        for call in out.calls:
            self.calls += 1
            self.flights.append(InFlight(process, call))

    def _deliver(self, target, sender, message):
        if self.rng.random() < self.late:
            due = self.now + self.rng.uniform(0, MAX_LATE_S)
            self.held_back.append((due, target, sender, message))
        else:
            target.inbox.append((sender, message))

    def _deliver_held_back(self):
        held_back, self.held_back = self.held_back, []
        for row in held_back:
            due, target, sender, message = row
            if due > self.now:
                self.held_back.append(row)
            else:
                target.inbox.append((sender, message))

    def _settle_flights(self):
        flights, self.flights = self.flights, []
        for flight in flights:
            write = flight.call.operation in ("create", "update")
            if write and self._is_delayed(flight):
                self._answer(flight, "unknown", None, 0)
                self.flights.append(flight._replace(process=_NOBODY))
                continue
            if flight.process.vm in self.away:
                self._answer(flight, "refused", None, 0)
                continue
            outcome, value, version = self._apply(flight.call)
            if self.rng.random() < self.answers_lost:
                self._answer(flight, "unknown" if write else "refused", None, 0)
            else:
                self._answer(flight, outcome, value, version)

    def _is_delayed(self, flight):
        chance = 0.5 if flight.process is _NOBODY else self.writes_delayed
        return self.rng.random() < chance

    def _answer(self, flight, outcome, value, version):
        if not flight.process.dead:
            result = PlatformResult(flight.call.call_id, outcome, value, version)
            flight.process.results.append((flight.call.system, result))

    def _apply(self, call):
        key = (call.kind, call.name)
        value, version = self.objects.get(key, (None, 0))
        match call.operation:
            case "vms":
                lag = self.rng.randint(0, self.lag)
                listed = self.lists[max(0, len(self.lists) - 1 - lag)]
                return "ok", listed.vms, listed.version
            case "get":
                return ("ok", value, version) if version else ("missing", None, 0)
            case "create" if version:
                return "conflict", None, version
            case "update" if version != call.version:
                return "conflict", None, version
        self.version += 1
        self.objects[key] = (call.value, self.version)
        return "ok", None, self.version
