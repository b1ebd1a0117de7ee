"""Gossip-based membership: live and suspected VMs, and the revision of each.

A VM counts as gone only when the platform's list no longer shows it. A silent VM
is suspected, which affects routing only.
"""

from hibiscusspar.membership.events import (
    LIST_ADOPTED,
    MEMBER_JOINED,
    MEMBER_LEFT,
    MEMBER_RESTARTED,
    MEMBER_SUSPECTED,
    MEMBER_TRUSTED,
    WATCHER_CHANGED,
)
from hibiscusspar.membership.heartbeats import Heartbeats
from hibiscusspar.membership.messages import Beat, Gossip, VmEntry, VmRows
from hibiscusspar.membership.offers import Offers
from hibiscusspar.membership.policies import GossipPolicy
from hibiscusspar.membership.reachability import Reachability
from hibiscusspar.membership.rendezvous import ranked
from hibiscusspar.membership.vm_table import VmTable
from hibiscusspar.outbox import PlatformCall
from hibiscusspar.ports import Member

__all__ = ["MemberSystem"]

PLATFORM = "platform"
WATCHER_KEY = "watcher"
SEED_PREFIX = "seed:"
SUSPICION_CHECK_S = 1.0


class MemberSystem:
    """System ``members``; implements :class:`hibiscusspar.ports.Members`.

    Parameters
    ----------
    vm, zone, address : str
        Id of this VM, its zone and the ``"IP:port"`` of its peer port.
    rng : random.Random
    seeds : sequence of str
        Addresses of peer ports to gossip with while no other VM of the zone is known.
    policy : GossipPolicy, optional
    """

    name = "members"

    def __init__(self, vm, zone, address, rng, seeds=(), policy=None):
        self.vm = vm
        self.zone = zone
        self._me = VmEntry(vm, zone, address, "live")
        self._rng = rng
        self._policy = policy or GossipPolicy()
        self._table = VmTable()
        self._beats = Heartbeats()
        self._suspected = set()
        self._reachability = Reachability()
        self._incarnation = 1
        self._count = 0
        self._revision = 0
        self._root = ""
        self._offers = Offers()
        self._next_round = 0.0
        self._next_list = 0.0
        self._next_suspicion_check = 0.0
        self._call_count = 0
        self._list_call = ""
        self._list_misses = 0
        self._last_tick = None
        self._expedited_rounds = 0
        self._watching = False
        self.round_peers = []
        self._seeds = {SEED_PREFIX + at: at for at in seeds if at != address}

    @property
    def list_version(self):
        """Version of the newest known list of the platform."""
        return self._table.version

    @property
    def watching(self):
        """Whether this VM is one of the watchers of the platform for its zone."""
        return self._watching

    @property
    def incarnation(self):
        """Incarnation of this process; it grows with each restart."""
        return self._incarnation

    def live(self, zone=""):
        """Return the members of a zone, or of all zones, that have not left."""
        return [
            Member(row.vm, row.zone, row.address)
            for row in self._rows()
            if zone in ("", row.zone)
        ]

    def suspected(self, vm):
        """Return whether a VM has been silent too long, is unreachable or has left."""
        if vm == self.vm:
            return False
        row = self._table.get(vm)
        if row is None or vm in self._suspected:
            return True
        return self._reachability.is_unreachable(vm, row.zone)

    def leaving(self, vm):
        """Return whether the platform's list marks a VM as leaving."""
        row = self._table.get(vm)
        return row is not None and row.state == "leaving"

    def is_listed(self, vm):
        """Return whether the newest known list of the platform shows a VM."""
        return self._table.is_listed(vm)

    def address_of(self, vm):
        """Return the address of a VM's peer port, or None if it is unknown."""
        row = self._table.get(vm)
        return row.address if row else self._seeds.get(vm)

    def revisions(self):
        """Return the last reported revision of each VM, this one included."""
        found = {row.vm: self._reported_revision(row.vm) for row in self._rows()}
        found[self.vm] = self._revision
        return found

    def candidates(self, zone):
        """Return the ids of the live, unsuspected members of a zone."""
        rows = [row for row in self._rows() if row.zone == zone]
        eligible = [row.vm for row in rows if row.state == "live"]
        return [vm for vm in eligible if not self.suspected(vm)]

    def best_offer(self):
        """Return the newest :class:`Offer` above the local revision, or None."""
        return self._offers.best()

    def drop_offer(self, vm):
        """Drop the offer of a VM from which fetching failed."""
        self._offers.drop(vm)

    def set_revision(self, revision, root):
        """Record the local configuration, and spread it by gossip."""
        self._revision = revision
        self._root = root
        self._offers.mark_applied(revision, root)
        self.expedite_gossip()

    def confirm_config(self, now):
        """Record that the local configuration is the newest of the platform."""
        self._offers.confirm_config(now)

    def config_age_s(self, now):
        """Return the seconds since the local configuration was known to be the newest.

        It is 0 until it has been confirmed once.
        """
        return self._offers.config_age_s(now)

    def expedite_gossip(self):
        """Gossip to several peers in each of the next ticks, ahead of the period."""
        self._expedited_rounds = self._policy.expedited_rounds

    def tick(self, now, out):
        """Update the suspicions, and gossip if a round is due."""
        self._compensate_for_pause(now)
        self._request_list(now, out)
        self._update_suspicions(now, out)
        self.round_peers = self._choose_peers(now)
        if self.round_peers:
            self._count += 1
        for peer in self.round_peers:
            out.send(peer, self._gossip(now, peer, reply=False))

    def record_exchange(self, vm, ok):
        """Record whether an exchange with a VM got its answer."""
        row = self._table.get(vm)
        if row is not None and vm != self.vm:
            size = sum(other.zone == row.zone for other in self._table.rows())
            self._reachability.record(vm, row.zone, ok, size)

    def receive(self, now, sender, message, out):
        """Process gossip or a list of VMs from a peer."""
        self.record_exchange(sender, ok=True)
        if isinstance(message, VmRows):
            self._adopt(now, message.version, message.rows, sender, out)
        elif isinstance(message, Gossip):
            self._process_gossip(now, sender, message, out)

    def platform_result(self, now, result, out):
        """Adopt the requested list of VMs."""
        if result.call_id != self._list_call:
            return
        self._list_call = ""
        if result.outcome == "ok":
            rows = [VmEntry(r.vm, r.zone, r.address, r.state) for r in result.value]
            self._adopt(now, result.version, rows, PLATFORM, out)

    def _rows(self):
        rows = self._table.rows()
        if self._table.get(self.vm) is None:
            rows.append(self._me)
        return rows

    def _compensate_for_pause(self, now):
        last, self._last_tick = self._last_tick, now
        if last is not None and now - last > self._policy.pause_s:
            self._beats.shift(now - last)

    def _request_list(self, now, out):
        if now < self._next_list:
            return
        watching = self._is_watcher()
        if watching != self._watching:
            self._watching = watching
            out.log(WATCHER_CHANGED, watching=watching)
        known = self._table.is_listed(self.vm)
        period = self._list_period_s(watching, known)
        self._next_list = now + period * self._rng.uniform(0.75, 1.25)
        if watching or not known:
            self._call_count += 1
            self._list_call = f"list-{self._call_count}"
            out.call(PlatformCall(self.name, self._list_call, "vms", "", ""))

    def _list_period_s(self, watching, known):
        """Return the seconds to the next check; short while this VM isn't listed."""
        policy = self._policy
        usual = policy.list_period_s if watching else policy.list_check_s
        if known:
            return usual
        self._list_misses += 1
        return min(usual, policy.list_retry_s * 2 ** min(self._list_misses - 1, 8))

    def _is_watcher(self):
        eligible = self.candidates(self.zone)
        return self.vm in ranked(WATCHER_KEY, eligible)[: self._policy.watchers]

    def _update_suspicions(self, now, out):
        if now < self._next_suspicion_check:
            return
        self._next_suspicion_check = now + SUSPICION_CHECK_S
        for row in self._rows():
            if row.vm != self.vm:
                self._beats.track(row.vm, now)
                self._update_suspicion(now, row, out)

    def _update_suspicion(self, now, row, out):
        silent = self._beats.silent_s(row.vm, now)
        if silent > self._policy.forget_s and not self._table.is_listed(row.vm):
            self._remove(row.vm, "silent", out)
            self._table.remove(row.vm)
            return
        limit = self._policy.suspect_other_zone_s
        if row.zone == self.zone:
            limit = self._policy.suspect_s
        if silent > limit and row.vm not in self._suspected:
            self._suspected.add(row.vm)
            out.log(MEMBER_SUSPECTED, peer=row.vm, silent_s=round(silent, 1))
        elif silent <= limit and row.vm in self._suspected:
            self._suspected.discard(row.vm)
            out.log(MEMBER_TRUSTED, peer=row.vm)

    def _choose_peers(self, now):
        if self._expedited_rounds > 0:
            self._expedited_rounds -= 1
            return self._outdated_peers(self._policy.fanout)
        if now < self._next_round:
            return []
        self._next_round = now + self._policy.period_s * self._rng.uniform(0.75, 1.25)
        return self._one_peer()

    def _outdated_peers(self, count):
        """Return random peers of the zone and one of another, outdated ones first."""
        rows = [row for row in self._rows() if row.vm != self.vm]
        own = [row.vm for row in rows if row.zone == self.zone]
        other = [row.vm for row in rows if row.zone != self.zone]
        outdated = self._outdated(own)
        peers = self._sample(outdated or own, count)
        return peers + self._sample(self._outdated(other), 1) or self._one_peer()

    def _outdated(self, vms):
        return [vm for vm in vms if self._reported_revision(vm) < self._revision]

    def _reported_revision(self, vm):
        beat = self._beats.get(vm)
        return beat.revision if beat else 0

    def _one_peer(self):
        own, other = [], []
        for row in self._rows():
            if row.vm != self.vm:
                (own if row.zone == self.zone else other).append(row.vm)
        own = own or list(self._seeds)
        elsewhere = other and self._rng.random() < self._policy.other_zone
        pool = other if elsewhere or not own else own
        return [self._rng.choice(pool)] if pool else []

    def _gossip(self, now, peer, reply):
        unlisted = self._table.unlisted()
        if len(unlisted) > self._policy.max_unlisted:
            unlisted = tuple(self._rng.sample(unlisted, self._policy.max_unlisted))
        return Gossip(
            self.zone,
            self._me.address,
            self._revision,
            self._root,
            round(self.config_age_s(now), 3),
            self._table.version,
            reply,
            self._select_beats(now, peer),
            unlisted,
        )

    def _select_beats(self, now, peer):
        own_beat = Beat(self.vm, self._incarnation, self._count, self._revision)
        recent = [beat for beat in self._beats.recent(now) if beat.vm != peer]
        own = [beat for beat in recent if self._zone_of(beat.vm) == self.zone]
        other = [beat for beat in recent if self._zone_of(beat.vm) != self.zone]
        room = self._policy.max_beats - 1
        own_sample = self._sample(
            own, max(self._policy.own_zone_beats, room - len(other))
        )
        other_sample = self._sample(other, room - len(own_sample))
        # From its own old heartbeat a restarted peer learns its former incarnation.
        peer_beat = [beat] if (beat := self._beats.get(peer)) and beat.count else []
        return (own_beat, *peer_beat, *own_sample, *other_sample)

    def _sample(self, rows, count):
        return self._rng.sample(rows, min(len(rows), max(0, count)))

    def _zone_of(self, vm):
        row = self._table.get(vm)
        return row.zone if row else ""

    def _process_gossip(self, now, sender, gossip, out):
        row = VmEntry(sender, gossip.zone, gossip.address, "live")
        for unlisted in (row, *gossip.unlisted):
            if unlisted.vm != self.vm and self._table.announce(unlisted):
                self._add(now, unlisted, sender, out)
        for beat in gossip.beats:
            self._process_beat(now, beat, out)
        self._offers.process_gossip(now, sender, gossip, self._revision)
        if gossip.list_version < self._table.version:
            rows = self._table.listed()
            out.send(sender, VmRows(self._table.version, rows))
        if not gossip.reply:
            self._count += 1
            out.send(sender, self._gossip(now, sender, reply=True))

    def _process_beat(self, now, beat, out):
        if beat.vm == self.vm:
            if (beat.incarnation, beat.count) > (self._incarnation, self._count):
                self._incarnation = beat.incarnation + 1
            return
        known = self._beats.get(beat.vm)
        if not self._beats.merge(beat, now):
            return
        if known and 0 < known.incarnation < beat.incarnation:
            out.log(MEMBER_RESTARTED, peer=beat.vm, incarnation=beat.incarnation)

    def _adopt(self, now, version, rows, source, out):
        change = self._table.adopt(version, rows)
        if change is None:
            return
        out.log(LIST_ADOPTED, version=version, vms=len(rows), source=source)
        for row in change.joined:
            if row.vm != self.vm:
                self._add(now, row, source, out)
        for vm in change.left:
            self._remove(vm, "not listed", out)
        self.expedite_gossip()

    def _add(self, now, row, source, out):
        self._beats.track(row.vm, now)
        out.log(MEMBER_JOINED, peer=row.vm, peer_zone=row.zone, source=source)

    def _remove(self, vm, reason, out):
        self._beats.remove(vm)
        self._suspected.discard(vm)
        self._offers.drop(vm)
        self._reachability.remove(vm)
        out.log(MEMBER_LEFT, peer=vm, reason=reason)
