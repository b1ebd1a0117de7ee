"""A fleet of members and roles in virtual time, with exchanges that may be lost."""

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

__all__ = ["Fleet", "Load", "TICK_S"]

TICK_S = 0.1
REQUEST_HEADER_BYTES = 220
ANSWER_HEADER_BYTES = 170
_CODEC = MessageCodec({"members": (Gossip, VmRows), "roles": (RoleRows, RoleVersions)})


class Load(NamedTuple):
    """What a node did in a second, on average over the fleet."""

    exchange_sides: float
    bytes_out: float
    platform_calls: float


class _Node:
    def __init__(self, row, rng, policy, roles):
        self.vm = row.vm
        self.members = MemberSystem(row.vm, row.zone, row.address, rng, (), policy)
        self.roles = RoleSystem(row.vm, row.zone, self.members, rng)
        self.roles.require(roles)
        self.due = defaultdict(list)
        self.results = []
        self.revision = 0
        self.paused_until = 0.0


class Fleet:
    """Nodes by zone; ``loss`` is the part of exchanges that fail.

    Parameters
    ----------
    zones, per_zone : int
    loss : float
    seed : int
    policy : GossipPolicy, optional
    one_zone : bool
        Whether the nodes ignore their zones, for gossip without weighting.
    roles_per_zone : int
    """

    def __init__(
        self, zones, per_zone, loss, seed, policy=None, one_zone=False, roles_per_zone=0
    ):
        self.rng = Random(seed)
        self.now = 0.0
        self.loss = loss
        self.exchanges = 0
        self.cross_zone = 0
        self.bytes = 0
        self.calls = 0
        self.objects = {}
        self.version = 2
        self.real_zone = {}
        rows = []
        for zone in range(zones):
            for index in range(per_zone):
                vm = f"vm-z{zone}-{index:03}"
                self.real_zone[vm] = zone
                name = "z" if one_zone else f"z{zone}"
                rows.append(VmEntry(vm, name, f"10.0.{zone}.{index}:8081", "live"))
        self.rows = tuple(rows)
        self.nodes = {}
        for row in rows:
            roles = [f"role/{row.zone}/{i}" for i in range(roles_per_zone)]
            rng = Random(self.rng.getrandbits(64))
            self.nodes[row.vm] = _Node(row, rng, policy, roles)

    def run(self, seconds, until=None):
        """Run for a time, or until a condition holds; return the seconds used."""
        started = self.now
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for node in self.nodes.values():
                if node.paused_until <= self.now:
                    self._tick(node)
            if until is not None and until():
                break
        return self.now - started

    def publish(self, vms, revision):
        """Let some nodes have a revision from the platform."""
        for vm in vms:
            self._apply(self.nodes[vm], revision)

    def knowing(self, revision):
        """Return the number of nodes that have a revision in force."""
        return sum(node.revision >= revision for node in self.nodes.values())

    def watchers(self):
        """Return the nodes that watch the platform."""
        return [vm for vm, node in self.nodes.items() if node.members.watching]

    def suspicions(self):
        """Return how many pairs of nodes suspect one another now."""
        vms = list(self.nodes)
        return sum(
            node.members.suspected(vm) for node in self.nodes.values() for vm in vms
        )

    def reset_counts(self):
        """Begin to count anew."""
        self.exchanges = self.cross_zone = self.bytes = self.calls = 0

    def load(self, seconds):
        """Return the :class:`Load` since the counts were reset."""
        share = len(self.nodes) * seconds
        return Load(2 * self.exchanges / share, self.bytes / share, self.calls / share)

    def _tick(self, node):
        out = Outbox()
        results, node.results = node.results, []
        for system, result in results:
            getattr(node, system).platform_result(self.now, result, out)
        node.members.tick(self.now, out)
        node.roles.tick(self.now, out)
        offer = node.members.best_offer()
        if offer is not None:
            self._apply(node, offer.revision)
        self._take(node, out)
        for peer in list(node.due):
            self._exchange(node, self.nodes[peer], node.due.pop(peer))

    def _apply(self, node, revision):
        node.revision = revision
        node.members.set_revision(revision, f"root-{revision}")

    def _take(self, node, out):
        for peer, message in out.sends:
            node.due[peer].append(message)
        for call in out.calls:
            self.calls += 1
            node.results.append((call.system, self._answer(call)))

    def _exchange(self, sender, receiver, messages):
        self.exchanges += 1
        self.cross_zone += self.real_zone[sender.vm] != self.real_zone[receiver.vm]
        size = len(_CODEC.encode(sender.vm, messages))
        self.bytes += size + REQUEST_HEADER_BYTES
        if receiver.paused_until > self.now or self.rng.random() < self.loss:
            return
        self._deliver(receiver, sender.vm, messages)
        answer = receiver.due.pop(sender.vm, [])
        self.bytes += len(_CODEC.encode(receiver.vm, answer)) + ANSWER_HEADER_BYTES
        self._deliver(sender, receiver.vm, answer)

    def _deliver(self, node, sender, messages):
        out = Outbox()
        for message in messages:
            of_members = isinstance(message, Gossip | VmRows)
            system = node.members if of_members else node.roles
            system.receive(self.now, sender, message, out)
        self._take(node, out)

    def _answer(self, call):
        key = (call.kind, call.name)
        value, version = self.objects.get(key, (None, 0))
        if call.operation == "vms":
            return PlatformResult(call.call_id, "ok", self.rows, 1)
        if call.operation == "get":
            outcome = "ok" if version else "missing"
            return PlatformResult(call.call_id, outcome, value, version)
        if version != call.version:
            return PlatformResult(call.call_id, "conflict", version=version)
        self.version += 1
        self.objects[key] = (call.value, self.version)
        return PlatformResult(call.call_id, "ok", version=self.version)
