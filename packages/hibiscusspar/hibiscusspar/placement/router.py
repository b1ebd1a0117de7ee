"""Routing of requests on one node: dispatch on held grants, or wait for new ones."""

from typing import NamedTuple

from hibiscusspar.placement.events import (
    ROUTE_DISPATCHED,
    ROUTE_REFUSED,
    ROUTE_WAITED,
)
from hibiscusspar.placement.prefixes import PrefixTable
from hibiscusspar.placement.ring import EMPTY_RING, Ring
from hibiscusspar.placement.routing import (
    Dispatch,
    Refuse,
    Wait,
    pick_granted,
    pick_plain,
)
from hibiscusspar.placement.target_selector import TargetSelector
from hibiscusspar.placement.wait_table import WaitTable
from hibiscusspar.placement.want_sender import WantSender

__all__ = ["Router"]

ASK_TIMEOUT_S = 2.0
WANT_REPEAT_S = 1.0
RETRY_AFTER_S = 1.0
GIVE_UP_S = 5.0
ACKNOWLEDGE_S = 0.5
ASK_ANOTHER_EVERY_S = 0.2
LOGGED_CANDIDATES = 8


class _Running(NamedTuple):
    target: str
    label: str


class Router:
    """Router of the requests of this node, with those that run or wait.

    Parameters
    ----------
    members : Members
    roles : Roles
    rng : random.Random
    held_grants : HeldGrantTable
    residency : ResidencyTable
    permits : Permits
    message_sender : MessageSender
    """

    def __init__(
        self, members, roles, rng, held_grants, residency, permits, message_sender
    ):
        self._members = members
        self._rng = rng
        self._grants = held_grants
        self._residency = residency
        self._permits = permits
        self._sender = message_sender
        self._services = {}
        self._specs = {}
        self._rings = {}
        self._running = {}
        self._in_flight = {}
        self._unacknowledged = {}
        self._acknowledge_at = 0.0
        self._repeat_at = 0.0
        self._ask_another_at = 0.0
        self._ready = {}
        self._counts = {}
        self.waits = WaitTable()
        self._selector = TargetSelector(members, roles, residency, self.waits)
        self.want_sender = WantSender(
            held_grants, self.waits, permits, message_sender, self._selector.owner_of
        )
        self.prefixes = PrefixTable()

    def configure(self, configuration):
        """Replace the declared services and targets."""
        self._services = configuration.services
        self._specs = configuration.targets
        by_service = {name: [] for name in configuration.services}
        for name in sorted(configuration.targets):
            spec = configuration.targets[name]
            if not spec.draining:
                by_service.setdefault(spec.service, []).append(name)
        self._rings = {
            service: self._ring(service, names) for service, names in by_service.items()
        }
        self._selector.configure(self._specs, self._rings)

    def owner_of(self, target):
        """Return the VM last known to own a target; empty if none is known."""
        return self._selector.owner_of(target)

    def take_ready(self):
        """Return and clear the (service, label) pairs to route again."""
        ready = list(self._ready)
        self._ready.clear()
        return ready

    def take_counts(self):
        """Return and clear the number of dispatches by target and label."""
        counts, self._counts = self._counts, {}
        return counts

    def attempt(self, now, request, out):
        """Return a :class:`Dispatch` or :class:`Refuse`; None if it has to wait."""
        spec = self._services.get(request.service)
        ring = self._rings.get(request.service, EMPTY_RING)
        if spec is None or not ring.has_other_than(request.excluded):
            return self._refuse(request, (), "no target", out)
        if spec.kind == "plain":
            return self._route_plain(now, request, ring, out)
        return self._route_engine(now, request, ring, out)

    def can_route_now(self, request):
        """Return whether :meth:`attempt` would decide now, without side effects."""
        spec = self._services.get(request.service)
        ring = self._rings.get(request.service, EMPTY_RING)
        if spec is None or not ring.has_other_than(request.excluded):
            return True
        if spec.kind == "engine":
            return bool(self._free_grants(request, ring))
        return any(
            self._in_flight.get(name, 0) < self._specs[name].concurrency
            for name in ring.names
            if name not in request.excluded
        )

    def wait(self, now, request, out):
        """Add a request to those waiting and ask for a grant.

        Returns
        -------
        Wait or Refuse or None
            None if a grant was asked for; :meth:`attempt` should be called again.
        """
        key = (request.service, request.label)
        if not request.adapter:
            return Wait("full")
        row = self.waits.add(now, key, request.request_id)
        if row.asked.keys() <= set(request.excluded):
            self._selector.ask_next(now, key, row, request.excluded)
        if not row.asked:
            refusal = self._refuse_if_no_target(now, request, row, out)
            if refusal is not None:
                self._stop_waiting(request.request_id)
                return refusal
        self.want_sender.increase(key[1], row.asked)
        self.want_sender.flush(out)
        return None

    def log_wait(self, request, out):
        """Log that a request waits and return the :class:`Wait`."""
        label = request.label
        row = self.waits.rows.get((request.service, label))
        asked = tuple(row.asked) if row else ()
        resident_on = self._residency.targets_with(label)
        reason = "granted units in use" if resident_on else "adapter not resident"
        if not asked:
            reason = "no owner known"
        out.log(
            ROUTE_WAITED,
            request=request.request_id,
            adapter=label,
            asked=asked,
            candidates=tuple(sorted(resident_on)[:LOGGED_CANDIDATES]),
            reason=reason,
        )
        return Wait(reason)

    def set_waiting_tokens(self, now, label, services, tokens):
        """Set the number of tokens that wait for a label in the driver's queues."""
        for service in services:
            row = self.waits.ensure((service, label))
            row.tokens = tokens
            if tokens and not row.asked:
                self._selector.ask_next(now, (service, label), row, ())
            self.want_sender.increase(label, row.asked)
            self._remove_if_empty((service, label))

    def finished(self, now, request_id, out):
        """End a request that was running or waiting."""
        self._stop_waiting(request_id)
        running = self._running.pop(request_id, None)
        if running is None:
            return
        if not running.label:
            self._in_flight[running.target] -= 1
            self._ready[self._service_of(running.target), ""] = None
            return
        self.release(running.target, running.label, out)

    def release(self, target, label, out):
        """Release one unit; acknowledge at once if the owner had recalled it."""
        recalled = self._grants.release(target, label)
        self.want_sender.lazy.add((target, label))
        if recalled:
            self._acknowledge(target, label, out)
        else:
            self._mark_ready(label)

    def receive_grant(self, sender, message, out):
        """Process a grant and mark the requests that wait for it as ready.

        A grant of fewer units is acknowledged at once. Acknowledgements of more units
        are collected for up to ``ACKNOWLEDGE_S`` seconds.

        A grant for an earlier run of this process, or of an owner that has sent no
        inquiry, is answered by a :class:`Want`, upon which the owner sends one.
        """
        target, label = message.target, message.label
        before = self._grants.get(target, label)
        level = before.level if before else 0
        grant = self._grants.accept(message)
        if grant is None:
            if not self._grants.is_ignorable(message):
                self._sender.send(out, sender, self.want_sender.message(target, label))
            return
        if grant.level > level:
            self._unacknowledged[target, label] = None
        else:
            self._acknowledge(target, label, out)
        if grant.free:
            self._mark_ready(label)

    def receive_failed(self, now, message):
        """Exclude a target for a label until its failed load may be retried."""
        for key in self.waits.keys_of_label(message.label):
            row = self.waits.rows[key]
            if message.target in row.asked:
                self.waits.cancel_ask(row, message.target)
                row.barred[message.target] = now + message.retry_s
                self._ready[key] = None
        self.want_sender.lazy.add((message.target, message.label))

    def tick(self, now, out):
        """Expire, acknowledge, ask again and send changed wants when due."""
        for key in self.waits.expire(now):
            self._remove_if_empty(key)
            self._ready[key] = None
        if now >= self._acknowledge_at:
            self._acknowledge_at = now + ACKNOWLEDGE_S
            self._send_acknowledgements(out)
        if now >= self._repeat_at:
            self._repeat_at = now + WANT_REPEAT_S
            self._renew_asks(now)
        elif now >= self._ask_another_at:
            self._ask_another_at = now + ASK_ANOTHER_EVERY_S
            self._ask_another(now)
        self.want_sender.tick(now, out)

    def want_permits(self, out):
        """Send the owners of the permit stores how many permits this node wants."""
        self.want_sender.urgent.update((store, "") for store in self._permits.wanted)
        self.want_sender.flush(out)

    def row_adopted(self, now, row):
        """Ask a target for the waiting labels that became resident on it.

        The targets asked before are no longer asked, unless one of them has the
        label too.
        """
        targets_with = self._residency.targets_with
        for label in row.resident:
            for key in self.waits.keys_of_label(label):
                wait_row = self.waits.rows[key]
                if any(name in targets_with(label) for name in wait_row.asked):
                    continue
                if row.target not in self._rings.get(key[0], EMPTY_RING):
                    continue
                for name in list(wait_row.asked):
                    self.waits.cancel_ask(wait_row, name)
                    self.want_sender.urgent.add((name, label))
                self.waits.record_ask(now, wait_row, row.target)
                self.want_sender.urgent.add((row.target, label))

    def _ring(self, service, names):
        known = self._rings.get(service)
        return known if known and known.names == tuple(names) else Ring(names)

    def _refuse_if_no_target(self, now, request, row, out):
        """Refuse a request if no target can be asked for it; otherwise return None."""
        if row.barred:
            after = max(RETRY_AFTER_S, min(row.barred.values()) - now)
            return self._refuse(request, tuple(row.barred), "load failed", out, after)
        if now - row.since >= GIVE_UP_S:
            return self._refuse(request, (), "no owner known", out)
        return None

    def _route_plain(self, now, request, ring, out):
        names = [name for name in ring.names if name not in request.excluded]
        zone = request.zone or self._members.zone
        best, reason = pick_plain(names, self._specs, zone, self._in_flight, self._rng)
        if not best:
            return None
        self._in_flight[best] = self._in_flight.get(best, 0) + 1
        self._running[request.request_id] = _Running(best, "")
        return self._dispatch(request, best, "", names, reason, out)

    def _free_grants(self, request, ring):
        return {
            name: grant
            for name, grant in self._grants.of_label(request.label).items()
            if grant.free and name in ring and name not in request.excluded
        }

    def _route_engine(self, now, request, ring, out):
        label = request.label
        grants = self._free_grants(request, ring)
        if not grants:
            return None
        prefix_target = self.prefixes.target(request.prefix_digest)
        zone = request.zone or self._members.zone
        best, reason = pick_granted(grants, self._specs, zone, prefix_target)
        self._grants.acquire(best, label)
        self.want_sender.record_dispatch(now, label)
        self._running[request.request_id] = _Running(best, label)
        self._stop_waiting(request.request_id)
        self.want_sender.lazy.add((best, label))
        self.prefixes.record(request.prefix_digest, best)
        counts = self._counts.setdefault(best, {})
        counts[label] = counts.get(label, 0) + 1
        incarnation = grants[best].incarnation
        return self._dispatch(request, best, incarnation, list(grants), reason, out)

    def _dispatch(self, request, target, incarnation, candidates, reason, out):
        out.log(
            ROUTE_DISPATCHED,
            request=request.request_id,
            adapter=request.label,
            target=target,
            candidates=tuple(candidates[:LOGGED_CANDIDATES]),
            reason=reason,
        )
        return Dispatch(target, incarnation, reason)

    def _refuse(self, request, candidates, reason, out, after=RETRY_AFTER_S):
        out.log(
            ROUTE_REFUSED,
            request=request.request_id,
            adapter=request.label,
            candidates=candidates,
            reason=reason,
        )
        return Refuse(reason, after)

    def _renew_asks(self, now):
        for key, row in list(self.waits.rows.items()):
            label = key[1]
            for target, since in list(row.asked.items()):
                if now - since >= ASK_TIMEOUT_S and not self._selector.can_ask(target):
                    self.waits.cancel_ask(row, target)
                    self.want_sender.lazy.add((target, label))
            if not row.asked or self._all_saturated(key, row):
                self._selector.ask_next(now, key, row, ())
            for target in row.asked:
                self.want_sender.repeat(target, label)
            if row.requests and not row.asked and _is_refusable(now, row):
                self._ready[key] = None
        for store, want in self._permits.wanted.items():
            if want:
                self.want_sender.repeat(store, "")

    def _ask_another(self, now):
        for key, row in self.waits.rows.items():
            if self._selector.ask_another(now, key, row):
                for target in row.asked:
                    self.want_sender.urgent.add((target, key[1]))

    def _all_saturated(self, key, row):
        rows = self._residency.rows
        return all(
            name in rows and key[1] in rows[name].saturated for name in row.asked
        )

    def _send_acknowledgements(self, out):
        collected, self._unacknowledged = self._unacknowledged, {}
        for target, label in collected:
            if self._grants.get(target, label) is not None:
                self._acknowledge(target, label, out)

    def _acknowledge(self, target, label, out):
        owner = self._grants.owners.get(target, "")
        want = self.want_sender.wanted_units(target, label)
        held = self._grants.acknowledge(target, label, want)
        self.want_sender.record_sent(target, label, want)
        if owner:
            self._sender.send(out, owner, held)

    def _mark_ready(self, label):
        for key in self.waits.keys_of_label(label):
            self._ready[key] = None

    def _stop_waiting(self, request_id):
        key = self.waits.remove(request_id)
        if key is not None:
            self._remove_if_empty(key)

    def _remove_if_empty(self, key):
        for target in self.waits.remove_if_empty(key):
            self.want_sender.lazy.add((target, key[1]))

    def _service_of(self, target):
        spec = self._specs.get(target)
        return spec.service if spec else ""


def _is_refusable(now, row):
    return row.barred or now - row.since >= GIVE_UP_S
