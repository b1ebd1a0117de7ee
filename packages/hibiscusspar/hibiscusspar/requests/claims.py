"""Claims of Idempotency-Keys in the platform, with group commit.

A request that is not idempotent and carries an ``Idempotency-Key`` is sent only
after its key is claimed. All pending claims of a shard are written in one
conditional update, so the number of writes depends on the time and the number of
shards, not on the number of requests. A claim is won only once a version of the
shard is known to contain it, from the answer of the update or by a read.
"""

from typing import NamedTuple

from hibiscusspar.outbox import PlatformCall
from hibiscusspar.requests.claim_shard import (
    ANSWERED,
    CLAIMED,
    UNKNOWN,
    Change,
    Entry,
    apply_changes,
    key_digest,
    parse_shard,
    shard_of,
    shard_value,
)
from hibiscusspar.requests.claim_types import (
    Away,
    ClaimPolicy,
    Earlier,
    Mismatch,
    Won,
)
from hibiscusspar.requests.events import (
    CLAIM_DECIDED,
    CLAIM_SHARD_CONFLICT,
    CLAIM_SHARD_UNREACHABLE,
)
from hibiscusspar.requests.lifecycle import Outcome

__all__ = ["Claims"]

_KIND = "claims"
_ID_BITS = 64


class _PendingClaim(NamedTuple):
    claim_id: str
    account: str
    key: str
    body: str
    deadline: float


class _Shard:
    """Known content of one shard, and the changes that this VM has pending."""

    def __init__(self):
        self.version = None
        self.entries = {}
        self.pending = {}
        self.final_changes = {}
        self.possibly_written = set()
        self.call_id = ""
        self.operation = ""
        self.written = None
        self.stale = True
        self.next_at = 0.0
        self.unreachable_until = 0.0
        self.conflicts = 0
        self.expiring_since = {}


class Claims:
    """Pending and won claims of this VM.

    Parameters
    ----------
    members : hibiscusspar.ports.Members
    rng : random.Random
    process_id : str
        Id of this process, unique among all processes of the VM. A claim id
        consists of the VM, this id and a number, so it is unique even if two
        processes have equal random seeds.
    policy : ClaimPolicy, optional
    system : str
        Name of the system that receives the results of platform calls.
    on_verdict : callable, optional
        Called with the id of a claim and its verdict. By default verdicts are
        stored for :meth:`take_verdicts`.
    """

    def __init__(
        self, members, rng, process_id, policy=None, system="requests", on_verdict=None
    ):
        self._members = members
        self._rng = rng
        self._policy = policy or ClaimPolicy()
        self._system = system
        self._process_id = process_id
        self._last_claim_number = 0
        self._shards = {}
        self._calls = {}
        self._verdicts = {}
        self._on_verdict = on_verdict or self._store_verdict
        self._won = {}

    @property
    def unwritten(self):
        """Number of claims and final changes not yet written to the platform."""
        return sum(len(s.pending) + len(s.final_changes) for s in self._shards.values())

    def claim(self, now, account, key, body, deadline):
        """Claim a key; the verdict is given later, see :meth:`take_verdicts`.

        Parameters
        ----------
        now : float
        account, key : str
        body : str
            Digest of the request body.
        deadline : float
            Time at which a claim that is still undecided gets :class:`Away`.

        Returns
        -------
        str
            Id of the claim.
        """
        digest = key_digest(account, key)
        self._last_claim_number += 1
        claim_id = f"{self._members.vm}.{self._process_id}.{self._last_claim_number}"
        shard = self._shard(digest)
        entry = shard.entries.get(digest)
        if entry is not None and entry.state != CLAIMED:
            self._on_verdict(claim_id, _verdict_on_repeat(entry, body))
            return claim_id
        if now < shard.unreachable_until:
            self._on_verdict(claim_id, Away(shard.unreachable_until - now))
            return claim_id
        shard.stale = shard.stale or entry is not None
        shard.pending[claim_id] = _PendingClaim(
            claim_id, account, digest, body, deadline
        )
        return claim_id

    def finish(self, now, claim_id, outcome, status=0):
        """Record the outcome of the request of a won claim; "not run" frees the key."""
        key, entry = self._won.pop(claim_id)
        if outcome is Outcome.NOT_RUN:
            self._queue_final_change(now, Change(key, claim_id, None))
            return
        state = ANSWERED if outcome is Outcome.ANSWERED else UNKNOWN
        ended = entry._replace(state=state, status=status)
        self._queue_final_change(now, Change(key, claim_id, ended))

    def take_verdicts(self):
        """Return the verdicts since the last call, keyed by claim id."""
        verdicts, self._verdicts = self._verdicts, {}
        return verdicts

    def tick(self, now, out):
        """Abandon claims past their deadline and start the calls that are due."""
        for name, shard in self._shards.items():
            self._expire_pending(now, shard, out)
            if not shard.call_id and now >= shard.next_at:
                self._start(now, name, shard, out)

    def platform_result(self, now, result, out):
        """Process the result of a platform call on a shard."""
        name = self._calls.pop(result.call_id, None)
        if name is None:
            return
        shard = self._shards[name]
        operation, shard.call_id = shard.operation, ""
        shard.next_at = now + self._policy.commit_interval_s
        if operation == "get":
            self._process_read(now, name, shard, result, out)
        else:
            self._process_write(now, name, shard, result, out)
        if now >= shard.next_at:
            self._start(now, name, shard, out)

    def _store_verdict(self, claim_id, verdict):
        self._verdicts[claim_id] = verdict

    def _shard(self, digest):
        name = shard_of(digest, self._policy.shards)
        return self._shards.setdefault(name, _Shard())

    def _new_id(self):
        return f"{self._rng.getrandbits(_ID_BITS):016x}"

    def _start(self, now, name, shard, out):
        if not shard.pending and not self._final_change_due(now, shard):
            return
        if shard.stale:
            self._call(name, shard, "get", out)
            return
        changes = self._collect_changes(now, shard, out)
        if not changes:
            return
        shard.written = apply_changes(shard.entries, changes)
        shard.possibly_written.update(shard.pending)
        value = shard_value(shard.written, self._new_id())
        operation = "update" if shard.version else "create"
        self._call(name, shard, operation, out, value)

    def _call(self, name, shard, operation, out, value=None):
        call_id = f"claims-{self._new_id()}"
        shard.call_id, shard.operation = call_id, operation
        self._calls[call_id] = name
        version = shard.version or 0
        out.call(
            PlatformCall(self._system, call_id, operation, _KIND, name, value, version)
        )

    def _collect_changes(self, now, shard, out):
        final_changes = [change for change, _ in shard.final_changes.values()]
        final_changes += self._expired(now, shard)
        kept = apply_changes(shard.entries, final_changes)
        capacity = self._policy.max_entries - len(kept)
        for claim in list(shard.pending.values())[max(capacity, 0) :]:
            self._abandon(now, shard, claim, out)
        claims = [
            Change(claim.key, claim.claim_id, self._new_entry(claim))
            for claim in shard.pending.values()
        ]
        return final_changes + claims

    def _expired(self, now, shard):
        return [
            Change(key, entry.claim_id, None)
            for (key, entry), since in shard.expiring_since.items()
            if now >= since + self._policy.keep_s
        ]

    def _new_entry(self, claim):
        return Entry(claim.claim_id, self._members.vm, self._process_id, claim.body)

    def _final_change_due(self, now, shard):
        due = (at for _, at in shard.final_changes.values())
        return any(now >= at for at in due)

    def _queue_final_change(self, now, change):
        shard = self._shard(change.key)
        due = now + self._policy.final_interval_s
        shard.final_changes.setdefault(change.claim_id, (change, due))

    def _process_read(self, now, name, shard, result, out):
        if result.outcome not in ("ok", "missing"):
            self._unreachable(now, name, shard, "get", result.outcome, out)
            return
        exists = result.outcome == "ok" and result.value is not None
        shard.version = result.version if exists else None
        shard.entries = parse_shard(result.value) if exists else {}
        shard.stale = False
        self._decide_pending(shard, out)
        self._mark_orphans(now, shard)
        self._track_expiry(now, shard)
        if shard.pending or shard.final_changes:
            shard.next_at = now + self._conflict_delay(shard)

    def _process_write(self, now, name, shard, result, out):
        if result.outcome == "ok":
            shard.version = result.version
            shard.entries = shard.written
            shard.conflicts = 0
            shard.possibly_written.clear()
            self._drop_written_final_changes(shard)
            self._decide_pending(shard, out)
            self._track_expiry(now, shard)
            return
        shard.stale = True
        shard.next_at = now
        if result.outcome in ("conflict", "missing"):
            shard.conflicts += 1
            delay_s = self._conflict_delay(shard)
            out.log(
                CLAIM_SHARD_CONFLICT,
                shard=name,
                conflicts=shard.conflicts,
                delay_s=delay_s,
            )
        elif result.outcome == "refused":
            self._unreachable(now, name, shard, "write", "refused", out)
        # An unknown outcome is resolved by a read that follows immediately.

    def _conflict_delay(self, shard):
        if not shard.conflicts:
            return 0.0
        ceiling = self._policy.commit_interval_s * 2 ** min(shard.conflicts, 4)
        return self._rng.uniform(0, ceiling)

    def _drop_written_final_changes(self, shard):
        for claim_id, (change, _) in list(shard.final_changes.items()):
            current = shard.entries.get(change.key)
            gone = current is None or current.claim_id != claim_id
            if gone or change.entry == current:
                del shard.final_changes[claim_id]

    def _decide_pending(self, shard, out):
        """Decide the pending claims whose keys the platform is known to store."""
        for claim in list(shard.pending.values()):
            entry = shard.entries.get(claim.key)
            if entry is None or self._is_being_released(shard, entry):
                continue
            if entry.claim_id == claim.claim_id:
                self._won[claim.claim_id] = (claim.key, entry)
                self._decide(shard, claim, Won(), out)
            else:
                known = self._latest_entry(shard, entry)
                self._decide(shard, claim, _verdict_on_repeat(known, claim.body), out)

    def _is_being_released(self, shard, entry):
        change, _ = shard.final_changes.get(entry.claim_id, (None, 0.0))
        return change is not None and change.entry is None

    def _latest_entry(self, shard, entry):
        change, _ = shard.final_changes.get(entry.claim_id, (None, 0.0))
        return entry if change is None else change.entry

    def _decide(self, shard, claim, verdict, out):
        del shard.pending[claim.claim_id]
        self._on_verdict(claim.claim_id, verdict)
        out.log(
            CLAIM_DECIDED,
            claim_id=claim.claim_id,
            account=claim.account,
            decision=type(verdict).__name__.lower(),
        )

    def _unreachable(self, now, name, shard, operation, outcome, out):
        out.log(
            CLAIM_SHARD_UNREACHABLE, shard=name, operation=operation, outcome=outcome
        )
        shard.stale = True
        shard.unreachable_until = now + self._policy.unreachable_retry_s
        shard.next_at = shard.unreachable_until
        for claim in list(shard.pending.values()):
            self._abandon(now, shard, claim, out)

    def _expire_pending(self, now, shard, out):
        for claim in list(shard.pending.values()):
            if now >= claim.deadline:
                self._abandon(now, shard, claim, out)

    def _abandon(self, now, shard, claim, out):
        """Refuse a claim, and release it if a write in flight may still store it."""
        self._decide(shard, claim, Away(self._policy.unreachable_retry_s), out)
        if claim.claim_id in shard.possibly_written:
            self._queue_final_change(now, Change(claim.key, claim.claim_id, None))

    def _mark_orphans(self, now, shard):
        """Mark claims left open by an earlier process of this VM as unknown."""
        for key, entry in shard.entries.items():
            orphaned = (
                entry.vm == self._members.vm and entry.process_id != self._process_id
            )
            if orphaned and entry.state == CLAIMED:
                ended = entry._replace(state=UNKNOWN)
                self._queue_final_change(now, Change(key, entry.claim_id, ended))

    def _track_expiry(self, now, shard):
        """Record since when finished claims, and claims of VMs that left, are seen.

        Expiry is counted on this VM's clock from the first time it saw the entry in
        that state, which is never before the entry was written.
        """
        live = {member.vm for member in self._members.live()}
        live.add(self._members.vm)
        shard.expiring_since = {
            (key, entry): shard.expiring_since.get((key, entry), now)
            for key, entry in shard.entries.items()
            if entry.state != CLAIMED or entry.vm not in live
        }


def _verdict_on_repeat(entry, body):
    if entry.body != body:
        return Mismatch()
    return Earlier(entry.state, entry.status)
