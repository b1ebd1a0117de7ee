"""Targets owned by this node: handling of their messages, grants and orders."""

from hibiscusspar.outbox import Order
from hibiscusspar.placement.events import (
    ADAPTER_MISSING,
    EVICT_DONE,
    EVICT_ORDERED,
    GRANT_CHANGED,
    HOLDER_ORPHANED,
    INCARNATION_CHANGED,
    LOAD_DONE,
    LOAD_FAILED,
    LOAD_ORDERED,
    OWNER_FENCED,
    OWNER_STARTED,
    OWNER_STOPPED,
    RECALLED,
)
from hibiscusspar.placement.messages import Failed, Inquiry
from hibiscusspar.placement.owned_target import SETTLE_S, OwnedTarget
from hibiscusspar.placement.permits import STORE_PREFIX
from hibiscusspar.placement.planner import fence_step, next_step
from hibiscusspar.ports import target_owner_role

__all__ = ["OwnerTable"]

INQUIRY_S = 1.0
SWEEP_S = 1.0
ORDER_RETRY_S = 5.0
UNKNOWN_RETRY_S = 0.5
PERMIT_HOLD_S = 30.0
MAX_COOLDOWN_S = 3600.0


class OwnerTable:
    """Targets owned by this node by name, including permit stores.

    Parameters
    ----------
    members : Members
    roles : Roles
    message_sender : MessageSender
    permits : Permits
    publish : callable
        Called with (now, row, out) for each changed row.
    """

    def __init__(self, members, roles, message_sender, permits, publish):
        self._members = members
        self._roles = roles
        self._sender = message_sender
        self._permits = permits
        self._publish = publish
        self._specs = {}
        self._hold_s = PERMIT_HOLD_S
        self._swept_at = 0.0
        self._permit_shortage = False
        self.owned = {}

    def configure(self, specs, hold_s):
        """Replace the specs of this zone.

        Parameters
        ----------
        specs : dict of str to TargetSpec
        hold_s : float
            Time for which the units of a lost node stay reserved; at least the
            longest time that a request may run.
        """
        self._specs = specs
        self._hold_s = hold_s
        for name, owned in self.owned.items():
            spec = specs.get(name)
            if spec is not None and spec != owned.spec:
                owned.spec = spec
                owned.ledger.capacity = spec.concurrency
                owned.ledger.mark_dirty()

    def tick(self, now, out):
        """Start and stop owning targets by role, then plan each owned target."""
        for name in self._specs:
            self._sync_role(now, name, out)
        for name in [name for name in self.owned if name not in self._specs]:
            self._stop(name, out)
        if now - self._swept_at >= SWEEP_S:
            self._swept_at = now
            self._sweep(now, out)
        for owned in self.owned.values():
            self._plan_and_grant(now, owned, out)
        self._want_permits(now)

    def plan_waiting(self, now, out):
        """Plan the targets that wait for a permit."""
        for owned in self.owned.values():
            if owned.wants_permit:
                self._plan_and_grant(now, owned, out)

    def take_permit_shortage(self, now):
        """Return whether a load found no permit since the last call."""
        shortage, self._permit_shortage = self._permit_shortage, False
        if shortage:
            self._want_permits(now)
        return shortage

    def receive_want(self, now, sender, message, out):
        """Process a :class:`Want`."""
        owned = self.owned.get(message.target)
        if owned is None:
            return
        if not _is_current(owned, sender, message):
            owned.early_wants[sender, message.label] = (message.want, message.used)
            self._inquire(now, owned, sender, out)
            return
        owned.ledger.record_want(now, sender, message.label, message.want, message.used)
        self._plan_and_grant(now, owned, out)

    def receive_held(self, now, sender, message, out):
        """Process a :class:`Held`."""
        owned = self.owned.get(message.target)
        if owned is None or not _is_current(owned, sender, message):
            return
        if owned.ledger.acknowledge(sender, message):
            self._plan_and_grant(now, owned, out)

    def receive_holdings(self, now, sender, message, out):
        """Process a :class:`Holdings`."""
        owned = self.owned.get(message.target)
        if owned is None or (message.number, message.life) != owned.term:
            return
        hold_s = self._hold_s_of(owned)
        if owned.ledger.record_holdings(now, message, sender, hold_s):
            self._log_orphan(owned, sender, hold_s, out)
        for key in [key for key in owned.early_wants if key[0] == sender]:
            owned.ledger.record_want(now, sender, key[1], *owned.early_wants.pop(key))
        self._plan_and_grant(now, owned, out)

    def receive_usage(self, now, message):
        """Process a :class:`Usage`."""
        owned = self.owned.get(message.target)
        if owned is not None:
            for label, count in message.counts:
                owned.demand.add(now, label, count)

    def receive_missing(self, now, message, out):
        """Process a :class:`Missing`."""
        owned = self.owned.get(message.target)
        if owned is None or message.incarnation != owned.incarnation:
            return
        if message.label in owned.resident and owned.order is None:
            out.log(ADAPTER_MISSING, target=message.target, adapter=message.label)
            owned.remove(message.label)
            self._plan_and_grant(now, owned, out)

    def receive_state(self, now, target, incarnation, resident, asked_at, out):
        """Process a report of the target itself, requested at ``asked_at``."""
        owned = self.owned.get(target)
        if owned is None or asked_at - owned.owned_since < SETTLE_S:
            return
        if not owned.reachable:
            owned.reachable = True
            owned.ledger.mark_dirty()
        self._update_incarnation(now, owned, incarnation, out)
        if incarnation == owned.incarnation and owned.order is None:
            owned.apply_report(now, asked_at, resident)
        self._plan_and_grant(now, owned, out)

    def record_unreachable(self, now, target, out):
        """Record that the target doesn't answer."""
        owned = self.owned.get(target)
        if owned is not None and owned.reachable:
            owned.reachable = False
            self._plan_and_grant(now, owned, out)

    def receive_result(self, now, order, ok, reason, incarnation, out):
        """Process the outcome of an order.

        If not ``ok``, ``reason`` is ``"fenced"``, ``"no_slot"``, ``"failed"`` or
        ``"unknown"``.
        """
        owned = self.owned.get(order.target)
        if owned is None or owned.order != order:
            return
        if not ok and (reason == "unknown" or _failed_evict(order, reason)):
            owned.retry_at = now + UNKNOWN_RETRY_S
            return
        owned.order = None
        if incarnation:
            self._update_incarnation(now, owned, incarnation, out)
        if reason == "fenced" and not ok:
            owned.fenced = True
            owned.ledger.mark_dirty()
            out.log(OWNER_FENCED, target=order.target, number=order.fence)
        elif order.action == "load":
            self._end_load(now, owned, order, ok, reason, out)
        elif ok:
            owned.record_eviction(now, _label(order))
            out.log(EVICT_DONE, target=order.target, adapter=_label(order))
        if order.action == "load" or not ok:
            self._release_permit(now, owned, owned.order_at)
        self._plan_and_grant(now, owned, out)

    def _end_load(self, now, owned, order, ok, reason, out):
        label = _label(order)
        if ok:
            owned.record_fence_raised(now)
            owned.record_load(now, label)
            seconds = now - owned.order_at
            out.log(LOAD_DONE, target=order.target, adapter=label, seconds=seconds)
            return
        delay = owned.record_failure(now, label)
        out.log(
            LOAD_FAILED,
            target=order.target,
            adapter=label,
            reason=reason,
            retry_s=delay,
        )
        for name, node in sorted(owned.ledger.shares):
            if name == label and node in owned.ledger.nodes:
                self._sender.send(out, node, Failed(order.target, label, delay))

    def _release_permit(self, now, owned, started):
        if owned.permit_store:
            self._permits.release(now, owned.permit_store, started)
            owned.permit_store = ""

    def _update_incarnation(self, now, owned, incarnation, out):
        before = owned.incarnation
        if owned.update_incarnation(incarnation):
            out.log(
                INCARNATION_CHANGED,
                target=owned.spec.name,
                before=before,
                after=incarnation,
            )

    def _sync_role(self, now, name, out):
        role = target_owner_role(name)
        owned = self.owned.get(name)
        number = self._roles.number(role)
        holds = self._roles.holds(role)
        if owned is not None and (not holds or owned.number != number):
            self._stop(name, out)
            owned = None
        if holds and owned is None:
            self._start(now, name, number, out)

    def _start(self, now, name, number, out):
        spec = self._specs[name]
        spare = 0 if name.startswith(STORE_PREFIX) else 1
        owned = OwnedTarget(spec, (number, int(now * 1000) + 1), now, spare)
        self.owned[name] = owned
        out.log(OWNER_STARTED, target=name, number=number)
        for vm in sorted(self._live()):
            self._inquire(now, owned, vm, out)

    def _stop(self, name, out):
        owned = self.owned.pop(name)
        if owned.permit_store:
            self._permits.release(
                owned.order_at + PERMIT_HOLD_S, owned.permit_store, 0.0
            )
        out.log(OWNER_STOPPED, target=name, number=owned.number)

    def _sweep(self, now, out):
        live = self._live()
        for owned in self.owned.values():
            for vm in [vm for vm in owned.ledger.nodes if vm not in live]:
                del owned.ledger.nodes[vm]
                owned.inquired_at.pop(vm, None)
                hold_s = self._hold_s_of(owned)
                if owned.ledger.orphan(now, vm, hold_s):
                    self._log_orphan(owned, vm, hold_s, out)
                owned.ledger.mark_dirty()
            for key in [key for key in owned.early_wants if key[0] not in live]:
                del owned.early_wants[key]
            for vm in sorted(live - owned.ledger.nodes.keys()):
                self._inquire(now, owned, vm, out)

    def _log_orphan(self, owned, vm, hold_s, out):
        out.log(HOLDER_ORPHANED, target=owned.spec.name, node=vm, hold_s=hold_s)

    def _hold_s_of(self, owned):
        if owned.spec.name.startswith(STORE_PREFIX):
            return PERMIT_HOLD_S
        return self._hold_s

    def _live(self):
        return {member.vm for member in self._members.live()} | {self._members.vm}

    def _inquire(self, now, owned, vm, out):
        if now - owned.inquired_at.get(vm, -INQUIRY_S) < INQUIRY_S:
            return
        owned.inquired_at[vm] = now
        message = Inquiry(owned.spec.name, self._members.vm, *owned.term)
        self._sender.send(out, vm, message)

    def _all_reported(self, owned):
        return self._live() <= owned.ledger.nodes.keys()

    def _plan_and_grant(self, now, owned, out):
        if owned.spec.name.startswith(STORE_PREFIX):
            grantable = self._store_grantable(now, owned)
        else:
            self._plan(now, owned, out)
            grantable = owned.grantable(now)
        for node, grant in owned.ledger.rebalance(now, grantable, owned.incarnation):
            out.log(
                GRANT_CHANGED,
                target=grant.target,
                adapter=grant.label,
                node=node,
                level=grant.level,
                reason="demand",
            )
            self._sender.send(out, node, grant)
        row = owned.row(now, self._members.vm)
        if row is not None:
            self._publish(now, row, out)

    def _store_grantable(self, now, owned):
        may_increase = owned.settled(now) and self._all_reported(owned)
        shares = owned.ledger.shares
        return lambda label, node: may_increase or shares[label, node].level > 0

    def _plan(self, now, owned, out):
        if owned.order is not None:
            if now >= owned.retry_at:
                owned.retry_at = now + ORDER_RETRY_S
                out.order(owned.order)
            return
        if now - owned.owned_since < SETTLE_S:
            return
        step = fence_step(now, owned) or next_step(
            now, owned, lambda: self._all_reported(owned)
        )
        if step is None:
            self._release_permit(now, owned, now - MAX_COOLDOWN_S)
        elif owned.permit_store or self._acquire_permit(owned):
            self._execute(now, owned, step, out)

    def _acquire_permit(self, owned):
        """Acquire a permit, before any eviction so that no slot is empty for long."""
        owned.permit_store = self._permits.acquire()
        self._permit_shortage = self._permit_shortage or not owned.permit_store
        return bool(owned.permit_store)

    def _execute(self, now, owned, step, out):
        if step.action == "load":
            self._load(now, owned, step, out)
        elif step.action == "evict":
            self._evict(now, owned, step, out)
        else:
            owned.start_eviction(now, step.label)
            out.log(
                RECALLED,
                target=owned.spec.name,
                adapter=step.label,
                reason=step.reason,
            )

    def _load(self, now, owned, step, out):
        self._order(now, owned, "load", step.label, out)
        out.log(
            LOAD_ORDERED,
            target=owned.spec.name,
            adapter=step.label,
            candidates=step.candidates,
            reason=step.reason,
        )

    def _evict(self, now, owned, step, out):
        owned.start_eviction(now, step.label)
        self._order(now, owned, "evict", step.label, out)
        out.log(
            EVICT_ORDERED,
            target=owned.spec.name,
            adapter=step.label,
            candidates=step.candidates,
            reason=step.reason,
        )

    def _order(self, now, owned, action, label, out):
        adapter, _, version = label.partition("@")
        order = Order(owned.spec.name, action, adapter, version, owned.number)
        owned.order = order
        owned.order_at = now
        owned.retry_at = now + ORDER_RETRY_S
        out.order(order)

    def _want_permits(self, now):
        waiting_loads = sum(owned.wants_permit for owned in self.owned.values())
        self._permits.set_wanted(now, waiting_loads)


def _is_current(owned, sender, message):
    """Return whether sender and owner know each other's current term and run."""
    same_term = (message.number, message.life) == owned.term
    return same_term and owned.ledger.nodes.get(sender) == message.node_life


def _failed_evict(order, reason):
    return order.action == "evict" and reason != "fenced"


def _label(order):
    return f"{order.adapter}@{order.version}"
