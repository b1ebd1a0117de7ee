"""Placement system: routing on this node, and the targets that it owns."""

from hibiscusspar.placement.declared import (
    engine_targets,
    longest_deadline,
    owned_specs,
    role_names,
)
from hibiscusspar.placement.events import VERSION_KEPT
from hibiscusspar.placement.gossip import Gossip
from hibiscusspar.placement.held_grants import HeldGrantTable
from hibiscusspar.placement.message_sender import MessageSender
from hibiscusspar.placement.messages import (
    Digest,
    Failed,
    Grant,
    Held,
    Holdings,
    Inquiry,
    Missing,
    Rows,
    Usage,
    Versions,
    Want,
)
from hibiscusspar.placement.owners import OwnerTable
from hibiscusspar.placement.permits import Permits
from hibiscusspar.placement.residency import ResidencyTable
from hibiscusspar.placement.router import Router
from hibiscusspar.placement.routing import Dispatch, Refuse, RouteRequest, Wait

__all__ = [
    "Dispatch",
    "PlacementSystem",
    "Refuse",
    "RouteRequest",
    "Wait",
    "role_names",
]

USAGE_S = 4.0


class PlacementSystem:
    """Router of requests and placer of adapters on the targets owned by this node.

    Parameters
    ----------
    vm, zone : str
        VM of this node and its zone.
    members : Members
    roles : Roles
    rng : random.Random
    now : float
        Start time of the process in seconds of the monotonic clock of its VM.
    """

    name = "placement"

    def __init__(self, vm, zone, members, roles, rng, now=0.0):
        self._vm = vm
        self._zone = zone
        self._grants = HeldGrantTable(int(now * 1000) + 1)
        self._residency = ResidencyTable()
        self._sender = MessageSender(vm)
        self._permits = Permits(zone, self._grants)
        self._gossip = Gossip(members, self._residency, self._sender, rng)
        self._router = Router(
            members,
            roles,
            rng,
            self._grants,
            self._residency,
            self._permits,
            self._sender,
        )
        self._owners = OwnerTable(
            members, roles, self._sender, self._permits, self._publish
        )
        self._configuration = None
        self._permit_stores = []
        self._prefetched = set()
        self._usage_at = now
        self._handlers = _handlers(self)

    def configure(self, now, configuration, out):
        """Apply a new configuration."""
        specs = owned_specs(configuration)
        engines = engine_targets(configuration)
        self._configuration = configuration
        self._permit_stores = [name for name in specs if name not in engines]
        own_specs = {
            name: spec for name, spec in specs.items() if spec.zone == self._zone
        }
        self._owners.configure(own_specs, longest_deadline(configuration))
        self._permits.configure(configuration, self._permit_stores)
        self._router.configure(configuration)
        for target in [t for t in self._residency.rows if t not in specs]:
            self._residency.forget(target)
        self._process_local(now, out)

    def route(self, now, request, out):
        """Decide how to handle a request.

        Parameters
        ----------
        now : float
        request : RouteRequest
        out : Outbox

        Returns
        -------
        Dispatch or Wait or Refuse
            A :class:`Dispatch` takes one unit of concurrency. After a :class:`Wait`,
            call again once :meth:`take_ready` returns the service and label of the
            request, or end it with :meth:`finished`.
        """
        decision = self._router.attempt(now, request, out)
        if decision is not None:
            return decision
        decision = self._router.wait(now, request, out)
        if decision is not None:
            return decision
        self._process_local(now, out)
        decision = self._router.attempt(now, request, out)
        return decision or self._router.log_wait(request, out)

    def can_route_now(self, request):
        """Return whether :meth:`route` would decide without a :class:`Wait`."""
        return self._router.can_route_now(request)

    def finished(self, now, request_id, outcome, out):
        """End a request that ran or waited, and release its unit."""
        self._router.finished(now, request_id, out)
        self._process_local(now, out)

    def set_waiting_tokens(self, now, adapter, version, tokens, out):
        """Set the number of tokens that wait for an adapter in the node's queues."""
        services = [s.name for s in self._services_of(adapter)]
        self._router.set_waiting_tokens(now, f"{adapter}@{version}", services, tokens)
        self._router.want_sender.flush(out)
        self._process_local(now, out)

    def take_ready(self):
        """Return and clear the (service, ``adapter@version``) pairs to route again."""
        return self._router.take_ready()

    def serving_version(self, now, adapter, out):
        """Return the version to use for a request that names only the adapter.

        That is the current version. If it is resident nowhere but an earlier one is,
        the earlier one is returned and a load of the current one is requested.
        """
        spec = self._configuration.adapters[adapter]
        if self._residency.targets_with(f"{adapter}@{spec.current}"):
            if adapter in self._prefetched:
                self._prefetched.discard(adapter)
                self.set_waiting_tokens(now, adapter, spec.current, 0, out)
            return spec.current
        for version in reversed(spec.versions):
            if self._residency.targets_with(f"{adapter}@{version}"):
                self._prefetched.add(adapter)
                self.set_waiting_tokens(now, adapter, spec.current, 1, out)
                out.log(
                    VERSION_KEPT,
                    adapter=adapter,
                    version=version,
                    instead_of=spec.current,
                )
                return version
        return spec.current

    def targets_to_poll(self):
        """Return the targets whose state this node must poll because it owns them."""
        return [name for name in self._owners.owned if name not in self._permit_stores]

    def resident_targets(self, adapter, version):
        """Return the targets on which a version is known to be resident."""
        return sorted(self._residency.targets_with(f"{adapter}@{version}"))

    def target_state(
        self, now, target, incarnation, resident, running, queued, out, asked_at=None
    ):
        """Process the report of a target on its state, which may lag.

        ``asked_at`` is the time at which the report was requested. It defaults to
        ``now``, which is wrong if the process may have been paused in between.
        """
        asked_at = now if asked_at is None else asked_at
        self._owners.receive_state(now, target, incarnation, resident, asked_at, out)
        self._process_local(now, out)

    def target_unreachable(self, now, target, out):
        """Record that a target doesn't answer its owner."""
        self._owners.record_unreachable(now, target, out)
        self._process_local(now, out)

    def target_restarted(self, now, target, incarnation, out):
        """Process a response of a target that carried a new incarnation."""
        row = self._residency.rows.get(target)
        if row is None or row.incarnation in ("", incarnation):
            return
        for label in row.resident:
            self._report_missing(target, label, row.incarnation, out)
        self._process_local(now, out)

    def adapter_missing(self, now, target, adapter, version, incarnation, out):
        """Process the refusal of an adapter as not resident by a target.

        ``incarnation`` is that of the dispatch; if empty, it defaults to the one
        known to this node.
        """
        row = self._residency.rows.get(target)
        if not incarnation and row is not None:
            incarnation = row.incarnation
        self._report_missing(target, f"{adapter}@{version}", incarnation, out)
        self._process_local(now, out)

    def cache_event(self, now, target, sequence, prefix, kind):
        """Process a cache event; events may be late or missing."""
        self._router.prefixes.event(target, sequence, prefix, kind)

    def order_result(self, now, order, ok, reason, incarnation, out):
        """Process the outcome of an order.

        If not ``ok``, ``reason`` is ``"fenced"``, ``"no_slot"``, ``"failed"`` or
        ``"unknown"``.
        """
        self._owners.receive_result(now, order, ok, reason, incarnation, out)
        self._process_local(now, out)

    def tick(self, now, out):
        """Do the periodic work of all parts of the system."""
        for store in self._permits.take_cooled_down(now):
            self._router.release(store, "", out)
        self._owners.tick(now, out)
        self._router.want_permits(out)
        self._router.tick(now, out)
        if now - self._usage_at >= USAGE_S:
            self._usage_at = now
            self._send_usage(out)
        self._process_local(now, out)
        self._gossip.tick(now, out)

    def receive(self, now, sender, message, out):
        """Process one message of the VM ``sender``."""
        self._handlers[type(message)](now, sender, message, out)
        self._process_local(now, out)

    def platform_result(self, now, result, out):
        """Do nothing; this system uses the platform only through its roles."""

    def _process_local(self, now, out):
        for message in self._sender.take_local():
            self._handlers[type(message)](now, self._vm, message, out)
        if self._owners.take_permit_shortage(now):
            self._router.want_permits(out)
            self._process_local(now, out)

    def _publish(self, now, row, out):
        if self._residency.adopt(row):
            self._gossip.queue_own(row)
            self._router.row_adopted(now, row)
            self._router.want_sender.flush(out)

    def _receive_grant(self, now, sender, message, out):
        self._router.receive_grant(sender, message, out)
        if not message.label:
            self._owners.plan_waiting(now, out)

    def _receive_rows(self, now, sender, message, out):
        for row in self._gossip.receive_rows(message):
            self._router.row_adopted(now, row)
        self._router.want_sender.flush(out)

    def _services_of(self, adapter):
        model = self._configuration.adapters[adapter].model
        services = self._configuration.services.values()
        return [s for s in services if s.kind == "engine" and s.model == model]

    def _report_missing(self, target, label, incarnation, out):
        self._residency.drop_label(target, label)
        owner = self._router.owner_of(target)
        if owner:
            self._sender.send(out, owner, Missing(target, label, incarnation))

    def _send_usage(self, out):
        for target, counts in self._router.take_counts().items():
            owner = self._router.owner_of(target)
            if owner:
                message = Usage(target, tuple(counts.items()))
                self._sender.send(out, owner, message)

    def _receive_inquiry(self, now, sender, message, out):
        answer = self._grants.answer_inquiry(message)
        if answer is not None:
            self._sender.send(out, message.owner, answer)


def _handlers(system):
    owners, gossip, router = system._owners, system._gossip, system._router
    return {
        Want: owners.receive_want,
        Held: owners.receive_held,
        Holdings: owners.receive_holdings,
        Missing: lambda now, sender, m, out: owners.receive_missing(now, m, out),
        Usage: lambda now, sender, m, out: owners.receive_usage(now, m),
        Grant: system._receive_grant,
        Failed: lambda now, sender, m, out: router.receive_failed(now, m),
        Inquiry: system._receive_inquiry,
        Rows: system._receive_rows,
        Digest: lambda now, sender, m, out: gossip.receive_digest(sender, m, out),
        Versions: lambda now, sender, m, out: gossip.receive_versions(sender, m, out),
    }
