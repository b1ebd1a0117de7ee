"""Discrete-event simulation of limit systems on several VMs.

Network, platform and roles are fakes; events run in order of time from a heap.
"""

from heapq import heappop, heappush
from itertools import count
from random import Random

from hibiscusspar.config.model import AccountSpec, TargetSpec, empty_configuration
from hibiscusspar.limits.escrow import KIND
from hibiscusspar.limits.node_limit import Reservation, Shortage
from hibiscusspar.limits.system import LimitSystem
from hibiscusspar.limits.tests.oracle import Oracle
from hibiscusspar.outbox import Outbox, PlatformResult
from hibiscusspar.ports import Member

ROLE_DELAY_S = 1.0
WAIT_S = 1.0
RETRY_S = 0.05
MORE_TOKENS = 20.0


def configuration(accounts, zones, revision=1):
    targets = {z: TargetSpec(z, "s", "127.0.0.1:1", z) for z in zones}
    table = {account.name: account for account in accounts}
    return empty_configuration()._replace(
        revision=revision, accounts=table, targets=targets
    )


def account(name="yard", rate=100.0, burst=400.0, zones=("a", "b")):
    fractions = tuple((zone, 1.0 / len(zones)) for zone in zones)
    return AccountSpec(name, rate, burst, zone_fractions=fractions)


class _View:
    """Members and roles as one VM sees them."""

    def __init__(self, cluster, vm, zone):
        self._cluster = cluster
        self.vm = vm
        self.zone = zone

    def live(self, zone=""):
        return self._cluster.live(zone)

    def suspected(self, vm):
        return False

    def require(self, names):
        pass

    def holder(self, name):
        return self._known(name)[0]

    def number(self, name):
        return self._known(name)[1]

    def holds(self, name):
        return self.holder(name) == self.vm

    def _known(self, name):
        vm = self._cluster.vms.get(self.vm)
        return vm.roles.get(name, ("", 0)) if vm else ("", 0)


class Vm:
    """VM with its clock and its process."""

    def __init__(self, name, zone, offset, drift):
        self.name = name
        self.zone = zone
        self.offset = offset
        self.drift = drift
        self.system = None
        self.paused = False
        self.incarnation = 0
        self.held_back = []
        self.roles = {}
        self.sent = 0
        self.sent_messages = 0

    def clock(self, now):
        return self.offset + now * (1.0 + self.drift)


class Cluster:
    """Simulated VMs of several zones with the given accounts.

    ``chance`` maps the faults of a message, ``"lose"``, ``"double"`` and ``"late"``,
    to their probabilities.
    """

    def __init__(self, sizes, accounts, seed=0, latency_s=0.001, tick_s=0.1):
        self.rng = Random(seed)
        self.now = 0.0
        self.vms = {}
        self._live = {}
        self.roles = {}
        self.objects = {}
        self.cuts = set()
        self.isolated = set()
        self.platform_up = True
        self.chance = {"lose": 0.0, "double": 0.0, "late": 0.0}
        self.late_s = 20.0
        self.platform_lost = 0.0
        self.refused = 0
        self.admitted = 0
        self.on_send = None
        self.last_key = None
        self._latency_s = latency_s
        self._tick_s = tick_s
        self._heap = []
        self._order = count()
        self._version = 0
        self._keys = count()
        self.open = {}
        self.configuration = configuration(accounts, sizes)
        self.oracles = {a.name: Oracle((a.rate, a.burst)) for a in accounts}
        for zone, size in sizes.items():
            for index in range(size):
                self.add_vm(f"{zone}{index}", zone)
        self.assign_roles()

    def live(self, zone=""):
        if zone not in self._live:
            self._live[zone] = [
                Member(vm.name, vm.zone, "")
                for vm in self.vms.values()
                if not zone or vm.zone == zone
            ]
        return self._live[zone]

    def add_vm(self, name, zone):
        offset = self.rng.uniform(0.0, 1e5)
        vm = Vm(name, zone, offset, self.rng.uniform(-4e-4, 4e-4))
        self.vms[name] = vm
        self._live.clear()
        self.start_process(name)
        self.schedule(self.rng.uniform(0.0, self._tick_s), self._tick, name, vm)

    def start_process(self, name):
        """Restart the process of a VM, which loses its state."""
        vm = self.vms[name]
        vm.incarnation += 1
        vm.paused = False
        vm.held_back = []
        vm.roles = dict(self.roles)
        rng = Random(self.rng.getrandbits(64))
        view = _View(self, name, vm.zone)
        vm.system = LimitSystem(name, vm.zone, view, view, rng)
        out = Outbox()
        vm.system.configure(vm.clock(self.now), self.configuration, out)
        self._carry_out(vm, out)

    def remove_vm(self, name):
        """Remove a VM for good, also from the platform's list."""
        del self.vms[name]
        self._live.clear()
        self.assign_roles()

    def pause(self, name):
        self.vms[name].paused = True

    def resume(self, name):
        vm = self.vms[name]
        vm.paused = False
        held, vm.held_back = vm.held_back, []
        for function, args in held:
            late = args[2] == self._learn_role
            self.schedule(ROLE_DELAY_S if late else 0.0, function, *args)

    def publish(self, accounts, zones=None):
        zones = zones or sorted({vm.zone for vm in self.vms.values()})
        revision = self.configuration.revision + 1
        self.configuration = configuration(accounts, zones, revision)
        for vm in self.vms.values():
            self._run(vm, vm.incarnation, self._configure, vm, self.configuration)
        self._update_limits()

    def assign_roles(self):
        """Assign roles whose VM is gone to running VMs of the same zone."""
        for zone in sorted({vm.zone for vm in self.vms.values()}):
            if not self.platform_up or zone in self.cuts:
                continue
            names = sorted(
                vm.name for vm in self.vms.values() if vm.zone == zone and not vm.paused
            )
            for index, name in enumerate(sorted(self.configuration.accounts)):
                role = f"limit-home/{zone}/{name}"
                holder, number = self.roles.get(role, ("", 0))
                if holder not in self.vms and names:
                    chosen = names[(index + number) % len(names)]
                    self._set_role(role, chosen, number + 1)

    def hand_over(self, role, chosen):
        """Move a role to another VM; its holder learns of it and stops first."""
        holder, number = self.roles[role]
        if holder in self.vms and not self.vms[holder].paused and self.platform_up:
            self.vms[holder].roles[role] = ("", number + 1)
            self._set_role(role, chosen, number + 1)

    def _set_role(self, role, holder, number):
        """Set the holder of a role; other VMs learn of it after a random delay."""
        self.roles[role] = (holder, number)
        for vm in self.vms.values():
            delay_s = 0.0 if vm.name == holder else self.rng.uniform(0.0, ROLE_DELAY_S)
            args = (vm, vm.incarnation, self._learn_role, vm, role, holder, number)
            self.schedule(delay_s, self._run, *args)

    def _learn_role(self, vm, role, holder, number):
        if vm.roles.get(role, ("", 0))[1] < number or not vm.roles[role][0]:
            vm.roles[role] = (holder, number)

    def request(self, vm_name, account, tokens, used=None, lasts_s=0.0, retry=False):
        """Reserve tokens for a request on a VM; return the system's answer.

        If ``used`` is given, the reservation is settled after ``lasts_s``.
        """
        vm = self.vms.get(vm_name)
        if vm is None or vm.paused:
            return None
        out = Outbox()
        answer = vm.system.reserve(vm.clock(self.now), account, tokens, out, retry)
        self._carry_out(vm, out)
        if not isinstance(answer, Reservation):
            self.refused += 1
            return answer
        self.admitted += 1
        key = self.last_key = next(self._keys)
        self.oracles[account].admit(key, self.now, tokens)
        if used is not None:
            self.settle_later(vm, key, answer, used, lasts_s)
        return answer

    def submit(self, vm_name, account, tokens, lasts_s=0.5, until=None):
        """Send a request that is retried for ``WAIT_S``, as callers' requests are."""
        retry = until is not None
        until = until if retry else self.now + WAIT_S
        answer = self.request(vm_name, account, tokens, tokens, lasts_s, retry)
        if not isinstance(answer, Shortage) or self.now + RETRY_S > until:
            return
        self.refused -= 1
        args = (vm_name, account, tokens, lasts_s, until)
        self.schedule(RETRY_S, self.submit, *args)

    def drain(self, duration_s, names=None, step_s=0.1, more=MORE_TOKENS):
        """Spend all tokens of the VMs and request more, for some seconds."""
        end = self.now + duration_s
        while self.now < end:
            for name in names or sorted(self.vms):
                self._spend(name, more)
            self.run(min(step_s, end - self.now))

    def _spend(self, name, more):
        vm = self.vms.get(name)
        if vm is None or vm.paused:
            return
        status = vm.system.status(vm.clock(self.now))
        for account in status:
            level = vm.system.status(vm.clock(self.now))[account]["level"]
            if level > 0.0:
                self.request(name, account, level, level)
            self.request(name, account, more, more)

    def settle_later(self, vm, key, reservation, used, lasts_s):
        """Settle a reservation of a VM after ``lasts_s``."""
        args = (vm, key, reservation.account, reservation.reservation_id, used)
        self.schedule(lasts_s, self._run, vm, vm.incarnation, self._settle, *args)

    def run(self, duration_s):
        """Run the events of the next ``duration_s`` seconds."""
        end = self.now + duration_s
        while self._heap and self._heap[0][0] <= end:
            at, _, function, args = heappop(self._heap)
            self.now = at
            function(*args)
        self.now = end

    def schedule(self, delay_s, function, *args):
        heappush(self._heap, (self.now + delay_s, next(self._order), function, args))

    def over_admitted(self):
        """Return the tokens by which the worst account exceeded its limit."""
        lowest = min(oracle.lowest() for oracle in self.oracles.values())
        return max(0.0, -lowest)

    def _tick(self, name, vm):
        if self.vms.get(name) is not vm:
            return
        if not vm.paused:
            out = Outbox()
            vm.system.tick(vm.clock(self.now), out)
            self._carry_out(vm, out)
        self.schedule(self._tick_s, self._tick, name, vm)

    def _run(self, vm, incarnation, function, *args):
        """Call a function in a VM's process, after a pause, unless it restarted."""
        if self.vms.get(vm.name) is not vm or vm.incarnation != incarnation:
            return
        if vm.paused:
            vm.held_back.append((self._run, (vm, incarnation, function, *args)))
            return
        function(*args)

    def _configure(self, vm, configuration):
        if configuration.revision < self.configuration.revision:
            return
        out = Outbox()
        vm.system.configure(vm.clock(self.now), configuration, out)
        self._carry_out(vm, out)

    def _settle(self, vm, key, account, reservation_id, used):
        out = Outbox()
        vm.system.settle(vm.clock(self.now), reservation_id, used, out)
        self.oracles[account].settle(key, used)
        self._carry_out(vm, out)

    def _carry_out(self, vm, out):
        peers = set()
        for send in out.sends:
            peers.add(send.peer)
            self.transmit(vm, send.peer, send.message)
        vm.sent += len(peers)
        vm.sent_messages += len(out.sends)
        for call in out.calls:
            self.schedule(self._latency_s, self._platform, vm, vm.incarnation, call)

    def transmit(self, vm, peer, message):
        """Send a message through the faulty network."""
        if self.on_send is not None:
            self.on_send(vm, peer, message)
        copies = 0 if self.rng.random() < self.chance["lose"] else 1
        copies += self.rng.random() < self.chance["double"]
        for _ in range(copies):
            late = self.rng.random() < self.chance["late"]
            delay_s = self._latency_s * self.rng.uniform(0.5, 1.5)
            delay_s += self.rng.uniform(0.0, self.late_s) if late else 0.0
            self.schedule(delay_s, self._deliver, vm.name, vm.zone, peer, message)

    def _deliver(self, sender, zone, peer, message):
        vm = self.vms.get(peer)
        if vm is None:
            return
        if sender != peer and self.isolated & {sender, peer}:
            return
        if zone != vm.zone and (zone in self.cuts or vm.zone in self.cuts):
            return
        self._run(vm, vm.incarnation, self._receive, vm, sender, message)

    def _receive(self, vm, sender, message):
        out = Outbox()
        vm.system.receive(vm.clock(self.now), sender, message, out)
        self._carry_out(vm, out)

    def _platform(self, vm, incarnation, call):
        reached = self.platform_up and vm.zone not in self.cuts
        result = PlatformResult(call.call_id, "refused")
        if reached:
            result = self._apply(call)
            if self.rng.random() < self.platform_lost:
                result = PlatformResult(call.call_id, "unknown")
        self.schedule(
            self._latency_s,
            self._run,
            vm,
            incarnation,
            self._platform_result,
            vm,
            result,
        )

    def _apply(self, call):
        value, version = self.objects.get(call.name, (None, 0))
        if call.kind != KIND:
            raise AssertionError(f"unexpected kind {call.kind}")
        if call.operation == "get":
            outcome = "ok" if version else "missing"
            return PlatformResult(call.call_id, outcome, value, version)
        if version != call.version:
            return PlatformResult(call.call_id, "conflict", None, version)
        self._version += 1
        self.objects[call.name] = (call.value, self._version)
        self._update_limits()
        return PlatformResult(call.call_id, "ok", None, self._version)

    def _platform_result(self, vm, result):
        out = Outbox()
        vm.system.platform_result(vm.clock(self.now), result, out)
        self._carry_out(vm, out)

    def _update_limits(self):
        """Set the oracles' limits: as configured, or as recorded if that is more."""
        for name, spec in self.configuration.accounts.items():
            value, _ = self.objects.get(name, ({"parts": {}}, 0))
            parts = value["parts"].values()
            rate = max(spec.rate, sum(part[0] for part in parts))
            cap = max(spec.burst, sum(part[1] for part in parts))
            self.oracles[name].set_limit(self.now, (rate, cap))
