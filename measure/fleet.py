"""Simulated fleet of members and roles in virtual time, with lossy exchanges."""

from collections import defaultdict
from random import Random
from typing import NamedTuple

from hibiscusspar.membership.members import MemberSystem
from hibiscusspar.membership.messages import (
    Gossip,
    RoleRows,
    RoleVersions,
    VmEntry,
    VmRows,
)
from hibiscusspar.membership.roles import RoleSystem
from hibiscusspar.outbox import Outbox, PlatformResult
from hibiscusspar_wire.codec import MessageCodec

__all__ = ["TICK_S", "Fleet", "MeanLoad"]

TICK_S = 0.1
REQUEST_HEADER_BYTES = 220
ANSWER_HEADER_BYTES = 170
_CODEC = MessageCodec({"members": (Gossip, VmRows), "roles": (RoleRows, RoleVersions)})


class MeanLoad(NamedTuple):
    """Rates per node and second, averaged over the fleet."""

    exchange_sides: float
    bytes_out: float
    platform_calls: float


class _Node:
    def __init__(self, row, rng, policy, roles):
        self.vm = row.vm
        self.members = MemberSystem(row.vm, row.zone, row.address, rng, (), policy)
        self.roles = RoleSystem(row.vm, row.zone, self.members, rng)
        self.roles.require(roles)
        self.outgoing = defaultdict(list)
        self.platform_results = []
        self.revision = 0
        self.paused_until = 0.0


class Fleet:
    """Nodes that gossip and hold roles, with a fake platform.

    Parameters
    ----------
    zones, per_zone : int
    loss : float
        Fraction of the exchanges that fail.
    seed : int
    policy : GossipPolicy, optional
    uniform : bool
        Whether all nodes get the same zone, so that gossip isn't weighted by zone.
    roles_per_zone : int
    """

    def __init__(
        self, zones, per_zone, loss, seed, policy=None, uniform=False, roles_per_zone=0
    ):
        self.rng = Random(seed)
        self.now = 0.0
        self.loss = loss
        self.exchanges = 0
        self.cross_zone_exchanges = 0
        self.bytes_sent = 0
        self.platform_calls = 0
        self.platform_objects = {}
        self.platform_version = 2
        self.zone_of = {}
        rows = []
        for zone in range(zones):
            for index in range(per_zone):
                vm = f"vm-z{zone}-{index:03}"
                self.zone_of[vm] = zone
                name = "z" if uniform else f"z{zone}"
                rows.append(VmEntry(vm, name, f"10.0.{zone}.{index}:8081", "live"))
        self.rows = tuple(rows)
        self.nodes = {}
        for row in rows:
            roles = [f"role/{row.zone}/{i}" for i in range(roles_per_zone)]
            rng = Random(self.rng.getrandbits(64))
            self.nodes[row.vm] = _Node(row, rng, policy, roles)

    def run(self, seconds, until=None):
        """Run for some seconds or until a condition holds; return the time taken."""
        started = self.now
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for node in self.nodes.values():
                if node.paused_until <= self.now:
                    self._tick(node)
            if until is not None and until():
                break
        return self.now - started

    def set_revision_on(self, vms, revision):
        """Set the revision on some nodes as if they had read it from the platform."""
        for vm in vms:
            self._apply(self.nodes[vm], revision)

    def count_informed(self, revision):
        """Return the number of nodes at a revision or a later one."""
        return sum(node.revision >= revision for node in self.nodes.values())

    def watchers(self):
        """Return the nodes that watch the platform."""
        return [vm for vm, node in self.nodes.items() if node.members.watching]

    def count_suspicions(self):
        """Return the number of pairs (observer, VM) with a suspicion."""
        vms = list(self.nodes)
        return sum(
            node.members.suspected(vm) for node in self.nodes.values() for vm in vms
        )

    def reset_counts(self):
        """Reset all counters."""
        self.exchanges = self.cross_zone_exchanges = self.bytes_sent = (
            self.platform_calls
        ) = 0

    def mean_load(self, seconds):
        """Return the :class:`MeanLoad` since the counts were reset."""
        node_seconds = len(self.nodes) * seconds
        return MeanLoad(
            2 * self.exchanges / node_seconds,
            self.bytes_sent / node_seconds,
            self.platform_calls / node_seconds,
        )

    def _tick(self, node):
        out = Outbox()
        results, node.platform_results = node.platform_results, []
        for system, result in results:
            getattr(node, system).platform_result(self.now, result, out)
        node.members.tick(self.now, out)
        node.roles.tick(self.now, out)
        offer = node.members.best_offer()
        if offer is not None:
            self._apply(node, offer.revision)
        self._process_outbox(node, out)
        for peer in list(node.outgoing):
            self._exchange(node, self.nodes[peer], node.outgoing.pop(peer))

    def _apply(self, node, revision):
        node.revision = revision
        node.members.set_revision(revision, f"root-{revision}")

    def _process_outbox(self, node, out):
        for peer, message in out.sends:
            node.outgoing[peer].append(message)
        for call in out.calls:
            self.platform_calls += 1
            node.platform_results.append(
                (call.system, self._answer_platform_call(call))
            )

    def _exchange(self, sender, receiver, messages):
        self.exchanges += 1
        self.cross_zone_exchanges += (
            self.zone_of[sender.vm] != self.zone_of[receiver.vm]
        )
        size = len(_CODEC.encode(sender.vm, messages))
        self.bytes_sent += size + REQUEST_HEADER_BYTES
        if receiver.paused_until > self.now or self.rng.random() < self.loss:
            return
        self._deliver(receiver, sender.vm, messages)
        answer = receiver.outgoing.pop(sender.vm, [])
        self.bytes_sent += len(_CODEC.encode(receiver.vm, answer)) + ANSWER_HEADER_BYTES
        self._deliver(sender, receiver.vm, answer)

    def _deliver(self, node, sender, messages):
        out = Outbox()
        for message in messages:
            is_for_members = isinstance(message, Gossip | VmRows)
            system = node.members if is_for_members else node.roles
            system.receive(self.now, sender, message, out)
        self._process_outbox(node, out)

    def _answer_platform_call(self, call):
        key = (call.kind, call.name)
        value, version = self.platform_objects.get(key, (None, 0))
        if call.operation == "vms":
            return PlatformResult(call.call_id, "ok", self.rows, 1)
        if call.operation == "get":
            outcome = "ok" if version else "missing"
            return PlatformResult(call.call_id, outcome, value, version)
        if version != call.version:
            return PlatformResult(call.call_id, "conflict", version=version)
        self.platform_version += 1
        self.platform_objects[key] = (call.value, self.platform_version)
        return PlatformResult(call.call_id, "ok", version=self.platform_version)
