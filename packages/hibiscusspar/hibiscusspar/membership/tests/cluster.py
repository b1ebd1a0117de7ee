"""Simulated cluster of members and roles with network and platform faults."""

from random import Random
from typing import Any, NamedTuple

from hibiscusspar.membership.members import MemberSystem
from hibiscusspar.membership.messages import VmEntry
from hibiscusspar.membership.roles import RoleSystem
from hibiscusspar.outbox import Outbox, PlatformResult

MAX_DELAY_S = 8.0


class ListAnswer(NamedTuple):
    vms: tuple
    version: int


class Process:
    """One process of a VM, with its systems and undelivered messages and results."""

    def __init__(self, vm, zone, seed, required, fenced, policy):
        rng = Random(seed)
        self.vm = vm
        self.zone = zone
        self.members = MemberSystem(vm, zone, "127.0.0.1:1", rng)
        self.roles = RoleSystem(vm, zone, self.members, rng, policy)
        self.roles.require(required, fenced)
        self.paused = False
        self.dead = False
        self.inbox = []
        self.results = []
        self.records = []


_NO_PROCESS = Process("", "", 0, (), (), None)


class PendingCall(NamedTuple):
    process: Process
    call: Any


class Cluster:
    """Processes, network and platform.

    ``partitions`` holds frozensets of two VMs that can't exchange messages; the VMs
    in ``without_platform`` can't reach the platform. ``answer_loss``, ``write_delay``,
    ``message_loss`` and ``message_delay`` are probabilities. Only VMs of zone ``"a"``
    require the given roles.
    """

    def __init__(self, zones, required, fenced=(), seed=1, policy=None):
        self.rng = Random(seed)
        self.now = 100.0
        self.required = required
        self.fenced = fenced
        self.policy = policy
        self.processes = {}
        self.old = []
        self.pending_calls = []
        self.partitions = set()
        self.without_platform = set()
        self.objects = {}
        self.version = 1
        self.lists = [ListAnswer((), 1)]
        self.list_lag = 0
        self.answer_loss = 0.0
        self.write_delay = 0.0
        self.message_loss = 0.0
        self.message_delay = 0.0
        self.delayed_messages = []
        self.calls = 0
        for zone, count in zones.items():
            for index in range(count):
                self.add_vm(f"{zone}{index}", zone)

    def add_vm(self, vm, zone):
        rows = {row.vm: row for row in self.lists[-1].vms}
        rows[vm] = VmEntry(vm, zone, "127.0.0.1:1", "live")
        self._publish_list(rows)
        self.start(vm, zone)

    def remove_vm(self, vm):
        rows = {row.vm: row for row in self.lists[-1].vms if row.vm != vm}
        process = self.processes.pop(vm)
        process.dead = True
        self._publish_list(rows)

    def start(self, vm, zone):
        """Start a process on a VM, replacing any that runs there."""
        if vm in self.processes:
            self.processes[vm].dead = True
        seed = self.rng.getrandbits(32)
        required = self.required if zone == "a" else ()
        self.processes[vm] = Process(vm, zone, seed, required, self.fenced, self.policy)

    def run(self, seconds, step=0.25):
        """Run ticks, deliveries and platform calls for some seconds."""
        for _ in range(int(seconds / step)):
            self.now += step
            self._deliver_delayed_messages()
            for process in list(self.processes.values()):
                if not process.paused:
                    self._step(process)
            self._process_calls()

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
        self._execute(process, out)

    def _publish_list(self, rows):
        self.version += 1
        self.lists.append(ListAnswer(tuple(rows.values()), self.version))

    def _step(self, process):
        out = Outbox()
        inbox, process.inbox = process.inbox, []
        results, process.results = process.results, []
        for sender, message in inbox:
            self._system(process, message).receive(self.now, sender, message, out)
        for system, result in results:
            getattr(process, system).platform_result(self.now, result, out)
        process.members.tick(self.now, out)
        process.roles.tick(self.now, out)
        self._execute(process, out)

    def _system(self, process, message):
        kind = type(message).__name__
        return process.roles if kind.startswith("Role") else process.members

    def _execute(self, process, out):
        process.records += out.records
        for peer, message in out.sends:
            receiver = self.processes.get(peer)
            partitioned = frozenset((peer, process.vm)) in self.partitions
            if receiver and not partitioned and self.rng.random() >= self.message_loss:
                self._deliver(receiver, process.vm, message)
        for call in out.calls:
            self.calls += 1
            self.pending_calls.append(PendingCall(process, call))

    def _deliver(self, receiver, sender, message):
        if self.rng.random() < self.message_delay:
            due = self.now + self.rng.uniform(0, MAX_DELAY_S)
            self.delayed_messages.append((due, receiver, sender, message))
        else:
            receiver.inbox.append((sender, message))

    def _deliver_delayed_messages(self):
        delayed_messages, self.delayed_messages = self.delayed_messages, []
        for row in delayed_messages:
            due, receiver, sender, message = row
            if due > self.now:
                self.delayed_messages.append(row)
            else:
                receiver.inbox.append((sender, message))

    def _process_calls(self):
        pending_calls, self.pending_calls = self.pending_calls, []
        for pending in pending_calls:
            write = pending.call.operation in ("create", "update")
            if write and self._is_delayed(pending):
                self._answer(pending, "unknown", None, 0)
                self.pending_calls.append(pending._replace(process=_NO_PROCESS))
                continue
            if pending.process.vm in self.without_platform:
                self._answer(pending, "refused", None, 0)
                continue
            outcome, value, version = self._apply(pending.call)
            if self.rng.random() < self.answer_loss:
                self._answer(pending, "unknown" if write else "refused", None, 0)
            else:
                self._answer(pending, outcome, value, version)

    def _is_delayed(self, pending):
        chance = 0.5 if pending.process is _NO_PROCESS else self.write_delay
        return self.rng.random() < chance

    def _answer(self, pending, outcome, value, version):
        if not pending.process.dead:
            result = PlatformResult(pending.call.call_id, outcome, value, version)
            pending.process.results.append((pending.call.system, result))

    def _apply(self, call):
        key = (call.kind, call.name)
        value, version = self.objects.get(key, (None, 0))
        match call.operation:
            case "vms":
                lag = self.rng.randint(0, self.list_lag)
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
