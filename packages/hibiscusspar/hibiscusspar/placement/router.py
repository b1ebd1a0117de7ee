"""Routing on one node: dispatches on grants held, else asks owners for them."""

from typing import NamedTuple

from hibiscusspar.placement.asks import WaitTable
from hibiscusspar.placement.events import (
    ROUTE_DISPATCHED,
    ROUTE_REFUSED,
    ROUTE_WAITED,
)
from hibiscusspar.placement.prefixes import PrefixTable
from hibiscusspar.placement.residency import rendezvous
from hibiscusspar.placement.routing import (
    Dispatch,
    Refuse,
    Wait,
    pick_held,
    pick_load_target,
    pick_plain,
    pick_resident,
)
from hibiscusspar.placement.wishes import Wishes
from hibiscusspar.ports import target_owner

__all__ = ["Router"]

ASK_TIMEOUT_S = 2.0
WANT_REPEAT_S = 1.0
RETRY_AFTER_S = 1.0
LOGGED_CANDIDATES = 8


class _Running(NamedTuple):
    target: str
    label: str


class Router:
    """Requests that run or wait on this node.

    Parameters
    ----------
    members : Members
    roles : Roles
    rng : random.Random
    holder : HolderTable
    residency : ResidencyTable
    permits : Permits
    post : Post
    """

    def __init__(self, members, roles, rng, holder, residency, permits, post):
        self._members = members
        self._roles = roles
        self._rng = rng
        self._holder = holder
        self._residency = residency
        self._permits = permits
        self._post = post
        self._services = {}
        self._specs = {}
        self._by_service = {}
        self._running = {}
        self._in_flight = {}
        self._repeat_at = 0.0
        self._ready = {}
        self._counts = {}
        self.waits = WaitTable()
        self.wishes = Wishes(holder, self.waits, permits, post, self.owner_of)
        self.prefixes = PrefixTable()

    def configure(self, configuration):
        """Take in the declared services and targets."""
        self._services = configuration.services
        self._specs = configuration.targets
        self._by_service = {}
        for name in sorted(configuration.targets):
            spec = configuration.targets[name]
            if not spec.draining:
                self._by_service.setdefault(spec.service, []).append(name)

    def take_ready(self):
        """Return and clear the (service, label) whose waiting requests may go."""
        ready = list(self._ready)
        self._ready.clear()
        return ready

    def take_counts(self):
        """Return and clear the dispatches by target and label."""
        counts, self._counts = self._counts, {}
        return counts

    def owner_of(self, target):
        """Return the VM that owns a target as far as is known; empty if none."""
        role = target_owner(target)
        row = self._residency.rows.get(target)
        if row is None or self._roles.number(role) > row.number:
            return self._roles.holder(role)
        return row.owner

    def attempt(self, now, request, out):
        """Return a :class:`Dispatch` or :class:`Refuse`, or None if it has to wait."""
        spec = self._services.get(request.service)
        names = [
            name
            for name in self._by_service.get(request.service, ())
            if name not in request.excluded
        ]
        if spec is None or not names:
            return self._refuse(request, (), "no target", out)
        if spec.kind == "plain":
            return self._plain(now, request, names, out)
        return self._held(now, request, names, out)

    def room(self, request):
        """Return whether :meth:`attempt` would decide now; it changes nothing."""
        spec = self._services.get(request.service)
        allowed = set(self._by_service.get(request.service, ()))
        allowed.difference_update(request.excluded)
        if spec is None or not allowed:
            return True
        if spec.kind == "plain":
            return any(
                self._in_flight.get(name, 0) < self._specs[name].concurrency
                for name in allowed
            )
        holds = self._holder.of_label(label_of(request))
        return any(hold.free for name, hold in holds.items() if name in allowed)

    def wait(self, now, request, out):
        """Keep a request waiting and ask for what it needs."""
        key = (request.service, label_of(request))
        if not request.adapter:
            return Wait("full")
        row = self.waits.add(now, key, request.request_id)
        if not row.asked:
            self._ask(now, key, row, request.excluded)
        if not row.asked and row.barred:
            self._forget_waiting(request.request_id)
            after = max(RETRY_AFTER_S, min(row.barred.values()) - now)
            return self._refuse(request, tuple(row.barred), "load failed", out, after)
        self.wishes.rose(key[1], row.asked)
        self.wishes.flush(out)
        return None

    def waited(self, request, out):
        """Log that a request waits and return the :class:`Wait`."""
        label = label_of(request)
        row = self.waits.rows.get((request.service, label))
        asked = tuple(row.asked) if row else ()
        holders = self._residency.holders(label)
        reason = "granted units in use" if holders else "adapter not resident"
        if not asked:
            reason = "no owner known"
        out.log(
            ROUTE_WAITED,
            request=request.request_id,
            adapter=label,
            asked=asked,
            candidates=tuple(sorted(holders)[:LOGGED_CANDIDATES]),
            reason=reason,
        )
        return Wait(reason)

    def hint(self, now, label, services, tokens):
        """Set the tokens that wait for a label in the driver's queues."""
        for service in services:
            row = self.waits.ensure((service, label))
            row.tokens = tokens
            if tokens and not row.asked:
                self._ask(now, (service, label), row, ())
            self.wishes.rose(label, row.asked)
            self._settle((service, label))

    def finished(self, now, request_id, out):
        """End a request that ran or waited."""
        self._forget_waiting(request_id)
        running = self._running.pop(request_id, None)
        if running is None:
            return
        if not running.label:
            self._in_flight[running.target] -= 1
            self._ready[self._specs_service(running.target), ""] = None
            return
        self.give_back(running.target, running.label, out)

    def give_back(self, target, label, out):
        """Give back one unit, and tell the owner if it waits to hear of it."""
        recalled = self._holder.give_back(target, label)
        self.wishes.lazy.add((target, label))
        if recalled:
            self._acknowledge(target, label, out)
        else:
            self._note_ready(label)

    def granted(self, sender, message, out):
        """Take in a grant, acknowledge it and wake what waits for it.

        A grant to an earlier life of this process, or of an owner that never asked,
        is answered by a wish, on which the owner asks what is held.
        """
        hold = self._holder.accept(message)
        target, label = message.target, message.label
        if hold is None:
            if not self._holder.answered(message):
                self._post.send(out, sender, self.wishes.message(target, label))
            return
        self._acknowledge(message.target, message.label, out)
        if hold.free:
            self._note_ready(message.label)

    def failed(self, now, message):
        """Bar a target for a label whose load failed there."""
        for key in self.waits.of_label(message.label):
            row = self.waits.rows[key]
            if message.target in row.asked:
                self.waits.unask(row, message.target)
                row.barred[message.target] = now + message.retry_s
                self._ready[key] = None
        self.wishes.lazy.add((message.target, message.label))

    def tick(self, now, out):
        """Ask again where nothing came, and report changed wishes."""
        for key in self.waits.expire(now):
            self._settle(key)
            self._ready[key] = None
        if now >= self._repeat_at:
            self._repeat_at = now + WANT_REPEAT_S
            self._review(now)
        self.wishes.tick(now, out)

    def want_permits(self, out):
        """Tell the stores how many permits this node can use."""
        self.wishes.urgent.update((store, "") for store in self._permits.wanted)
        self.wishes.flush(out)

    def seen(self, now, row):
        """Ask a target for the waiting labels that have become resident there."""
        holders = self._residency.holders
        for label in row.resident:
            for key in self.waits.of_label(label):
                waiting = self.waits.rows[key]
                if any(name in holders(label) for name in waiting.asked):
                    continue
                if row.target not in self._by_service.get(key[0], ()):
                    continue
                for name in list(waiting.asked):
                    self.waits.unask(waiting, name)
                    self.wishes.urgent.add((name, label))
                self.waits.ask(now, waiting, row.target)
                self.wishes.urgent.add((row.target, label))

    def _plain(self, now, request, names, out):
        zone = request.zone or self._members.zone
        best, reason = pick_plain(names, self._specs, zone, self._in_flight, self._rng)
        if not best:
            return None
        self._in_flight[best] = self._in_flight.get(best, 0) + 1
        self._running[request.request_id] = _Running(best, "")
        return self._dispatch(request, best, "", names, reason, out)

    def _held(self, now, request, names, out):
        label = label_of(request)
        allowed = set(names)
        holds = {
            name: hold
            for name, hold in self._holder.of_label(label).items()
            if hold.free and name in allowed
        }
        if not holds:
            return None
        prefix_target = self.prefixes.target(request.prefix_digest)
        zone = request.zone or self._members.zone
        best, reason = pick_held(holds, self._specs, zone, prefix_target)
        self._holder.take(best, label)
        self._running[request.request_id] = _Running(best, label)
        self._forget_waiting(request.request_id)
        self.wishes.lazy.add((best, label))
        self.prefixes.note(request.prefix_digest, best)
        counts = self._counts.setdefault(best, {})
        counts[label] = counts.get(label, 0) + 1
        incarnation = holds[best].incarnation
        return self._dispatch(request, best, incarnation, list(holds), reason, out)

    def _dispatch(self, request, target, incarnation, candidates, reason, out):
        out.log(
            ROUTE_DISPATCHED,
            request=request.request_id,
            adapter=label_of(request),
            target=target,
            candidates=tuple(candidates[:LOGGED_CANDIDATES]),
            reason=reason,
        )
        return Dispatch(target, incarnation, reason)

    def _refuse(self, request, candidates, reason, out, after=RETRY_AFTER_S):
        out.log(
            ROUTE_REFUSED,
            request=request.request_id,
            adapter=label_of(request),
            candidates=candidates,
            reason=reason,
        )
        return Refuse(reason, after)

    def _ask(self, now, key, row, excluded):
        service, label = key
        usable = [
            name
            for name in self._by_service.get(service, ())
            if name not in excluded and self._usable(name)
        ]
        for name in [n for n, until in row.barred.items() if until <= now]:
            del row.barred[name]
        usable = [n for n in usable if n not in row.barred and n not in row.asked]
        if not usable:
            return
        holders = self._residency.holders(label)
        rows = self._residency.rows
        resident = [name for name in usable if name in holders]
        pending = self.waits.pending
        if resident:
            zone = self._members.zone
            resident = pick_resident(resident, rows, self._specs, zone, pending)
            open_ones = [n for n in resident if label not in rows[n].saturated]
            chosen = (open_ones or resident)[0]
            self.waits.ask(now, row, chosen)
            if open_ones:
                return
            usable = [name for name in usable if name not in holders]
        if usable:
            if not row.order:
                row.order = tuple(rendezvous(label, self._by_service[service]))
            chosen = pick_load_target(label, usable, rows, pending, row.order)
            self.waits.ask(now, row, chosen)

    def _usable(self, name):
        row = self._residency.rows.get(name)
        if row is None or not row.incarnation:
            return False
        owner = self.owner_of(name)
        return bool(owner) and not self._members.suspected(owner)

    def _review(self, now):
        for key, row in list(self.waits.rows.items()):
            label = key[1]
            for target, since in list(row.asked.items()):
                if now - since >= ASK_TIMEOUT_S and not self._usable(target):
                    self.waits.unask(row, target)
                    self.wishes.lazy.add((target, label))
            if not row.asked or self._short(key, row):
                self._ask(now, key, row, ())
            for target in row.asked:
                self.wishes.repeat(target, label)
            if row.barred and not row.asked:
                self._ready[key] = None
        for store, want in self._permits.wanted.items():
            if want:
                self.wishes.repeat(store, "")

    def _short(self, key, row):
        rows = self._residency.rows
        return all(
            name in rows and key[1] in rows[name].saturated for name in row.asked
        )

    def _acknowledge(self, target, label, out):
        owner = self._holder.owners.get(target, "")
        want = self.wishes.units(target, label)
        held = self._holder.acknowledge(target, label, want)
        self.wishes.note_told(target, label, want)
        if owner:
            self._post.send(out, owner, held)

    def _note_ready(self, label):
        for key in self.waits.of_label(label):
            self._ready[key] = None

    def _forget_waiting(self, request_id):
        key = self.waits.done(request_id)
        if key is not None:
            self._settle(key)

    def _settle(self, key):
        for target in self.waits.settle(key):
            self.wishes.lazy.add((target, key[1]))

    def _specs_service(self, target):
        spec = self._specs.get(target)
        return spec.service if spec else ""


def label_of(request):
    """Return ``adapter@version``, empty for a request without an adapter."""
    if not request.adapter:
        return ""
    return f"{request.adapter}@{request.version}"
