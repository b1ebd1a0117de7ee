"""Exclusive roles of a zone, stored in one platform object.

Roles don't depend on leases: while the platform is unreachable, no role is
reassigned and the holders continue. A process acts in a role only after it has
read the zone's object since its start. It resumes the roles that an earlier
process of its VM held under new fencing numbers, so that a write of that process
that is still in flight can't take effect.
"""

from typing import NamedTuple

from hibiscusspar.membership.events import (
    ROLE_GAINED,
    ROLE_LOST,
    ROLE_RELEASED,
    ROLE_WRITE,
)
from hibiscusspar.membership.messages import RoleRows, RoleVersions
from hibiscusspar.membership.policies import RolePolicy
from hibiscusspar.membership.rendezvous import first
from hibiscusspar.membership.role_plan import PlanInput, is_assignable, plan
from hibiscusspar.membership.role_table import RoleTable, object_value, parse_object
from hibiscusspar.outbox import PlatformCall

__all__ = ["ROLES_KIND", "RoleSystem"]

ROLES_KIND = "roles"
_READING = ("vms", "get")
_WRITING = ("create", "update")


class _Call(NamedTuple):
    call_id: str
    operation: str
    sent_at: float


class _Write(NamedTuple):
    write_id: str
    entries: dict
    changed: tuple
    released: dict


class RoleSystem:
    """System ``roles``; implements :class:`hibiscusspar.ports.Roles`.

    Parameters
    ----------
    vm, zone : str
    members : MemberSystem
    rng : random.Random
    policy : RolePolicy, optional
    """

    name = "roles"

    def __init__(self, vm, zone, members, rng, policy=None):
        self._vm = vm
        self._zone = zone
        self._members = members
        self._rng = rng
        self._policy = policy or RolePolicy()
        self._table = RoleTable()
        self._required = frozenset()
        self._fenced = frozenset()
        self._has_read_object = False
        self._inactive = {}
        self._releasing = {}
        self._leaving = False
        self._held = frozenset()
        self._call = None
        self._write = None
        self._listed = None
        self._failures = 0
        self._call_count = 0
        self._next_check = 0.0
        self._list_version = 0
        self._next_poll = 0.0
        self._next_rebalance = 0.0
        self._known_since = {}
        self._suspected_since = {}

    @property
    def held(self):
        """Names of the roles in which this VM may act now."""
        return self._held

    @property
    def handed_over(self):
        """Whether this VM holds no role of its zone any more."""
        return self._has_read_object and not self._own_entries()

    def require(self, names, fenced=()):
        """Replace the roles of this zone that must have a holder.

        Parameters
        ----------
        names : sequence of str
        fenced : sequence of str
            Roles among them whose target checks fencing numbers.
        """
        if self._required != frozenset(names):
            self._next_check = 0.0
        self._required = frozenset(names)
        self._fenced = frozenset(fenced) & self._required

    def holder(self, name):
        """Return the last known holder of a role, or an empty string."""
        return self._table.find(name).holder

    def number(self, name):
        """Return the last known fencing number of a role, or 0."""
        return self._table.find(name).number

    def holds(self, name):
        """Return whether this VM holds a role and may act in it now."""
        return name in self._held

    def hand_over_all(self, now, out):
        """Stop acting in all roles and hand them over; safe to repeat."""
        self._leaving = True
        for name, entry in self._own_entries().items():
            self._stop_acting(name, entry, out)
        self._update_held(out)
        self._next_check = now

    def tick(self, now, out):
        """Gossip the known versions, and start a change of the object if needed."""
        for peer in self._members.round_peers:
            out.send(peer, RoleVersions(self._table.versions()))
        if self._call and now - self._call.sent_at > self._policy.call_timeout_s:
            self._end_change(now, "unknown", 0, out)
        if self._members.list_version != self._list_version:
            self._list_version = self._members.list_version
            self._next_check = min(self._next_check, now + self._failures)
        if self._call or now < self._next_check:
            return
        self._next_check = now + self._policy.check_s * self._rng.uniform(0.75, 1.25)
        self._record_presence(now)
        self._rebalance(now, out)
        if self._must_read(now):
            self._start_call(now, "vms" if self._is_assigner() else "get", out)

    def receive(self, now, sender, message, out):
        """Process role versions or entries from a peer."""
        if isinstance(message, RoleRows):
            entries, _ = _parse_rows(message)
            self._adopt(message.zone, message.version, entries, out)
        elif isinstance(message, RoleVersions):
            self._exchange_versions(sender, message, out)

    def platform_result(self, now, result, out):
        """Continue the change to which the answered call belongs."""
        if self._call is None or result.call_id != self._call.call_id:
            return
        operation = self._call.operation
        if operation in _WRITING:
            self._end_change(now, result.outcome, result.version, out)
        elif result.outcome not in ("ok", "missing"):
            self._end_change(now, "refused", 0, out)
        elif operation == "vms":
            self._listed = result
            self._start_call(now, "get", out)
        else:
            self._process_object(now, result, out)

    def _own_entries(self):
        entries = self._table.entries(self._zone)
        return {n: e for n, e in entries.items() if e.holder == self._vm}

    def _is_assigner(self):
        """Return whether this VM assigns the roles of its zone that have no holder."""
        eligible = self._members.candidates(self._zone)
        return first(f"steward/{self._zone}", eligible) == self._vm

    def _record_presence(self, now):
        """Record since when VMs are known, and since when they are suspected."""
        present = {member.vm for member in self._members.live(self._zone)}
        suspected = {vm for vm in present if self._members.suspected(vm)}
        self._known_since = {vm: self._known_since.get(vm, now) for vm in present}
        self._suspected_since = {
            vm: self._suspected_since.get(vm, now) for vm in suspected
        }

    def _presumed_failed(self, now):
        limit = self._policy.presume_failed_s
        return frozenset(
            v for v, at in self._suspected_since.items() if now - at > limit
        )

    def _rebalance(self, now, out):
        """Release roles that rendezvous hashing gives to a VM known for long enough."""
        if now < self._next_rebalance or not self._has_read_object or self._leaving:
            return
        pause = self._policy.rebalance_s * self._rng.uniform(0.75, 1.25)
        self._next_rebalance = now + pause
        stable = [
            vm
            for vm in self._listed_candidates()
            if now - self._known_since.get(vm, now) >= self._policy.stable_s
        ]
        if self._failures or self._vm not in stable:
            return
        moves = [n for n in sorted(self._held) if first(n, stable) != self._vm]
        not_required = sorted(self._held - self._required) if self._required else []
        for name in (not_required + moves)[: self._policy.max_moves]:
            self._releasing[name] = self._table.entries(self._zone)[name].number

    def _listed_candidates(self):
        eligible = self._members.candidates(self._zone)
        return [vm for vm in eligible if self._members.is_listed(vm)]

    def _must_read(self, now):
        if self._leaving:
            return bool(self._own_entries()) or not self._has_read_object
        if not self._has_read_object or self._releasing or self._resuming():
            return True
        if not self._is_assigner():
            return False
        return now >= self._next_poll or self._has_assignable(now)

    def _resuming(self):
        if self._leaving:
            return {}
        own = self._own_entries()
        return {
            name: number
            for name, number in self._inactive.items()
            if name not in self._releasing
            and name in own
            and own[name].number == number
        }

    def _has_assignable(self, now):
        entries = self._table.entries(self._zone)
        listed = [m.vm for m in self._members.live() if self._members.is_listed(m.vm)]
        version = self._members.list_version
        inputs = self._plan_input(now, listed, listed, version)
        return any(is_assignable(n, entries.get(n), inputs) for n in self._required)

    def _plan_input(self, now, listed, eligible, list_version, assigning=True):
        if self._leaving:
            eligible = [vm for vm in eligible if vm != self._vm]
        return PlanInput(
            self._vm,
            self._required,
            self._fenced,
            self._presumed_failed(now),
            dict(self._releasing),
            self._resuming(),
            assigning,
            frozenset(listed),
            tuple(eligible),
            list_version,
        )

    def _start_call(self, now, operation, out, value=None, version=0):
        self._call_count += 1
        call_id = f"{operation}-{self._call_count}"
        self._call = _Call(call_id, operation, now)
        out.call(
            PlatformCall(
                self.name, call_id, operation, ROLES_KIND, self._zone, value, version
            )
        )

    def _process_object(self, now, result, out):
        self._next_poll = now + self._policy.poll_s * self._rng.uniform(0.75, 1.25)
        entries, counter = {}, 0
        if result.outcome == "ok":
            entries, counter = parse_object(result.value)
            self._adopt(self._zone, result.version, entries, out)
        self._record_first_read()
        self._update_held(out)
        inputs = self._fresh_plan_input(now)
        changes = plan(entries, counter, inputs)
        if not changes.changed:
            self._end_successful_change(now)
            self._next_check += self._policy.idle_s
            return
        self._send_write(now, result, changes, inputs, out)

    def _record_first_read(self):
        """Mark the roles that an earlier process of this VM held as inactive."""
        if not self._has_read_object:
            self._has_read_object = True
            self._inactive = {n: e.number for n, e in self._own_entries().items()}

    def _fresh_plan_input(self, now):
        listed, self._listed = self._listed, None
        if listed is None:
            eligible = self._listed_candidates()
            version = self._members.list_version
            return self._plan_input(now, eligible, eligible, version, assigning=False)
        rows = [r for r in listed.value if r.zone == self._zone and r.state == "live"]
        eligible = [row.vm for row in rows if not self._members.suspected(row.vm)]
        shown = [row.vm for row in listed.value]
        return self._plan_input(now, shown, eligible, listed.version)

    def _send_write(self, now, result, changes, inputs, out):
        released = {}
        for name, entry in self._own_entries().items():
            if inputs.releasing.get(name) == entry.number:
                released[name] = entry.number
                self._stop_acting(name, entry, out)
        self._update_held(out)
        write_id = f"{self._rng.getrandbits(128):032x}"
        self._write = _Write(write_id, changes.entries, changes.changed, released)
        value = object_value(changes.entries, changes.counter, write_id)
        operation = "update" if result.outcome == "ok" else "create"
        self._start_call(now, operation, out, value, result.version)

    def _stop_acting(self, name, entry, out):
        if self._inactive.get(name) != entry.number:
            successor = "" if self._leaving else "by rendezvous"
            number = entry.number
            out.log(ROLE_RELEASED, role=name, number=number, successor=successor)
        self._inactive[name] = entry.number
        self._releasing[name] = entry.number

    def _end_change(self, now, outcome, version, out):
        """End a change; after an unknown outcome the next read shows its effect."""
        write, self._write = self._write, None
        if write is not None:
            out.log(
                ROLE_WRITE,
                role_zone=self._zone,
                outcome=outcome,
                changes=len(write.changed),
                version=version,
            )
            self._process_write_outcome(write, outcome, version, out)
        if not self._leaving:
            self._releasing = {}
        if outcome == "ok":
            self._end_successful_change(now)
            return
        self._call = None
        self._listed = None
        self._failures += 1
        self._next_check = now + self._retry_delay_s()
        self._update_held(out)

    def _process_write_outcome(self, write, outcome, version, out):
        if outcome == "ok":
            self._adopt(self._zone, version, write.entries, out)
            rows = self._table.rows(self._zone)
            new = {write.entries[n].holder for n in write.changed if n in write.entries}
            for vm in sorted(new - {"", self._vm}):
                out.send(vm, rows)
        elif outcome != "unknown" and not self._leaving:
            for name, number in write.released.items():
                if self._inactive.get(name) == number:
                    del self._inactive[name]

    def _end_successful_change(self, now):
        self._call = None
        self._failures = 0
        if not self._leaving:
            self._releasing = {}
        self._next_check = now + self._policy.check_s * self._rng.uniform(0.75, 1.25)

    def _retry_delay_s(self):
        bound = self._policy.retry_s * 2 ** min(self._failures, 10)
        return self._rng.uniform(0.5, 1.0) * min(bound, self._policy.max_retry_s)

    def _exchange_versions(self, sender, message, out):
        known = {row.zone: row.version for row in message.zones}
        for zone, version in self._table.versions():
            if version > known.get(zone, 0):
                out.send(sender, self._table.rows(zone))
        if any(v > self._table.version(zone) for zone, v in known.items()):
            out.send(sender, RoleVersions(self._table.versions()))

    def _adopt(self, zone, version, entries, out):
        if not self._table.adopt(zone, version, entries):
            return
        self._members.expedite_gossip()
        if zone != self._zone:
            return
        for name, number in list(self._inactive.items()):
            entry = entries.get(name)
            if entry is None or entry.number > number:
                del self._inactive[name]
        if self._leaving:
            for name, entry in self._own_entries().items():
                self._stop_acting(name, entry, out)
        self._update_held(out)

    def _update_held(self, out):
        """Update the roles in which this VM may act, and log the changes."""
        own = self._own_entries() if self._has_read_object else {}
        held = {n for n, e in own.items() if self._inactive.get(n) != e.number}
        for name in sorted(held - self._held):
            out.log(ROLE_GAINED, role=name, number=own[name].number)
        for name in sorted(self._held - held):
            out.log(ROLE_LOST, role=name, holder=self.holder(name))
        self._held = frozenset(held)


def _parse_rows(message):
    rows = {row.role: [row.holder, row.number, row.seen] for row in message.rows}
    return parse_object({"roles": rows, "counter": 0})
