"""Routing of requests on one node: dispatch on held grants, or wait for new ones."""

from typing import NamedTuple

from hibiscusspar.placement.asker import Asker
from hibiscusspar.placement.asks import WaitTable
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
    pick_held,
    pick_plain,
)
from hibiscusspar.placement.wishes import Wishes

__all__ = ["Router"]

ASK_TIMEOUT_S = 2.0
WANT_REPEAT_S = 1.0
RETRY_AFTER_S = 1.0
GIVE_UP_S = 5.0
ANSWER_S = 0.5
HURRY_EVERY_S = 0.2
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
    holder : HolderTable
    residency : ResidencyTable
    permits : Permits
    post : Post
    """

    def __init__(self, members, roles, rng, holder, residency, permits, post):
        self._members = members
        self._rng = rng
        self._holder = holder
        self._residency = residency
        self._permits = permits
        self._post = post
        self._services = {}
        self._specs = {}
        self._rings = {}
        self._running = {}
        self._in_flight = {}
        self._unanswered = {}
        self._answer_at = 0.0
        self._repeat_at = 0.0
        self._hurry_at = 0.0
        self._ready = {}
        self._counts = {}
        self.waits = WaitTable()
        self._asker = Asker(members, roles, residency, self.waits)
        self.wishes = Wishes(holder, self.waits, permits, post, self._asker.owner_of)
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
        self._asker.configure(self._specs, self._rings)

    def owner_of(self, target):
        """Return the VM last known to own a target; empty if none is known."""
        return self._asker.owner_of(target)

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
            return self._plain(now, request, ring, out)
        return self._held(now, request, ring, out)

    def can_route_now(self, request):
        """Return whether :meth:`attempt` would decide now, without side effects."""
        spec = self._services.get(request.service)
        ring = self._rings.get(request.service, EMPTY_RING)
        if spec is None or not ring.has_other_than(request.excluded):
            return True
        if spec.kind == "engine":
            return bool(self._free_holds(request, ring))
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
            self._asker.ask(now, key, row, request.excluded)
        if not row.asked:
            refusal = self._hopeless(now, request, row, out)
            if refusal is not None:
                self._forget_waiting(request.request_id)
                return refusal
        self.wishes.rose(key[1], row.asked)
        self.wishes.flush(out)
        return None

    def waited(self, request, out):
        """Log that a request waits and return the :class:`Wait`."""
        label = request.label
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
        """Set the number of tokens that wait for a label in the driver's queues."""
        for service in services:
            row = self.waits.ensure((service, label))
            row.tokens = tokens
            if tokens and not row.asked:
                self._asker.ask(now, (service, label), row, ())
            self.wishes.rose(label, row.asked)
            self._settle((service, label))

    def finished(self, now, request_id, out):
        """End a request that was running or waiting."""
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
        """Return one unit; acknowledge at once if the owner had recalled it."""
        recalled = self._holder.give_back(target, label)
        self.wishes.lazy.add((target, label))
        if recalled:
            self._acknowledge(target, label, out)
        else:
            self._note_ready(label)

    def granted(self, sender, message, out):
        """Process a grant and mark the requests that wait for it as ready.

        A grant of fewer units is acknowledged at once. Acknowledgements of more units
        are collected for up to ``ANSWER_S`` seconds.

        A grant for an earlier run of this process, or of an owner that has sent no
        inquiry, is answered by a :class:`Want`, upon which the owner sends one.
        """
        target, label = message.target, message.label
        before = self._holder.hold(target, label)
        level = before.level if before else 0
        hold = self._holder.accept(message)
        if hold is None:
            if not self._holder.answered(message):
                self._post.send(out, sender, self.wishes.message(target, label))
            return
        if hold.level > level:
            self._unanswered[target, label] = None
        else:
            self._acknowledge(target, label, out)
        if hold.free:
            self._note_ready(label)

    def failed(self, now, message):
        """Exclude a target for a label until its failed load may be retried."""
        for key in self.waits.of_label(message.label):
            row = self.waits.rows[key]
            if message.target in row.asked:
                self.waits.unask(row, message.target)
                row.barred[message.target] = now + message.retry_s
                self._ready[key] = None
        self.wishes.lazy.add((message.target, message.label))

    def tick(self, now, out):
        """Expire, acknowledge, ask again and send changed wants when due."""
        for key in self.waits.expire(now):
            self._settle(key)
            self._ready[key] = None
        if now >= self._answer_at:
            self._answer_at = now + ANSWER_S
            self._answer(out)
        if now >= self._repeat_at:
            self._repeat_at = now + WANT_REPEAT_S
            self._review(now)
        elif now >= self._hurry_at:
            self._hurry_at = now + HURRY_EVERY_S
            self._hurry(now)
        self.wishes.tick(now, out)

    def want_permits(self, out):
        """Send the owners of the permit stores how many permits this node wants."""
        self.wishes.urgent.update((store, "") for store in self._permits.wanted)
        self.wishes.flush(out)

    def seen(self, now, row):
        """Ask a target for the waiting labels that became resident on it.

        The targets asked before are no longer asked, unless one of them has the
        label too.
        """
        holders = self._residency.holders
        for label in row.resident:
            for key in self.waits.of_label(label):
                waiting = self.waits.rows[key]
                if any(name in holders(label) for name in waiting.asked):
                    continue
                if row.target not in self._rings.get(key[0], EMPTY_RING):
                    continue
                for name in list(waiting.asked):
                    self.waits.unask(waiting, name)
                    self.wishes.urgent.add((name, label))
                self.waits.ask(now, waiting, row.target)
                self.wishes.urgent.add((row.target, label))

    def _ring(self, service, names):
        known = self._rings.get(service)
        return known if known and known.names == tuple(names) else Ring(names)

    def _hopeless(self, now, request, row, out):
        """Refuse a request if no target can be asked for it; otherwise return None."""
        if row.barred:
            after = max(RETRY_AFTER_S, min(row.barred.values()) - now)
            return self._refuse(request, tuple(row.barred), "load failed", out, after)
        if now - row.since >= GIVE_UP_S:
            return self._refuse(request, (), "no owner known", out)
        return None

    def _plain(self, now, request, ring, out):
        names = [name for name in ring.names if name not in request.excluded]
        zone = request.zone or self._members.zone
        best, reason = pick_plain(names, self._specs, zone, self._in_flight, self._rng)
        if not best:
            return None
        self._in_flight[best] = self._in_flight.get(best, 0) + 1
        self._running[request.request_id] = _Running(best, "")
        return self._dispatch(request, best, "", names, reason, out)

    def _free_holds(self, request, ring):
        return {
            name: hold
            for name, hold in self._holder.of_label(request.label).items()
            if hold.free and name in ring and name not in request.excluded
        }

    def _held(self, now, request, ring, out):
        label = request.label
        holds = self._free_holds(request, ring)
        if not holds:
            return None
        prefix_target = self.prefixes.target(request.prefix_digest)
        zone = request.zone or self._members.zone
        best, reason = pick_held(holds, self._specs, zone, prefix_target)
        self._holder.take(best, label)
        self.wishes.dispatched(now, label)
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

    def _review(self, now):
        for key, row in list(self.waits.rows.items()):
            label = key[1]
            for target, since in list(row.asked.items()):
                if now - since >= ASK_TIMEOUT_S and not self._asker.usable(target):
                    self.waits.unask(row, target)
                    self.wishes.lazy.add((target, label))
            if not row.asked or self._short(key, row):
                self._asker.ask(now, key, row, ())
            for target in row.asked:
                self.wishes.repeat(target, label)
            if row.requests and not row.asked and _stuck(now, row):
                self._ready[key] = None
        for store, want in self._permits.wanted.items():
            if want:
                self.wishes.repeat(store, "")

    def _hurry(self, now):
        for key, row in self.waits.rows.items():
            if self._asker.hurry(now, key, row):
                for target in row.asked:
                    self.wishes.urgent.add((target, key[1]))

    def _short(self, key, row):
        rows = self._residency.rows
        return all(
            name in rows and key[1] in rows[name].saturated for name in row.asked
        )

    def _answer(self, out):
        answers, self._unanswered = self._unanswered, {}
        for target, label in answers:
            if self._holder.hold(target, label) is not None:
                self._acknowledge(target, label, out)

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


def _stuck(now, row):
    return row.barred or now - row.since >= GIVE_UP_S
