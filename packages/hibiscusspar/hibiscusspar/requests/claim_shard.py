"""Claims of Idempotency-Keys as kept in one shard, a platform object.

The shard of a key follows from the key alone, so two VMs that claim the same key
update the same object, and the platform lets only one of them through.
"""

from hashlib import sha256
from typing import NamedTuple

__all__ = [
    "ANSWERED",
    "CLAIMED",
    "Change",
    "Entry",
    "UNKNOWN",
    "apply_changes",
    "key_digest",
    "parse_shard",
    "shard_of",
    "shard_value",
]

CLAIMED = "claimed"
ANSWERED = "answered"
UNKNOWN = "unknown"

_DIGEST_CHARACTERS = 32


class Entry(NamedTuple):
    """One claim: who made it, of which body, and how its request ended.

    ``life`` tells processes of the same VM apart. ``status`` is the HTTP status
    of the answer, 0 if there was none.
    """

    claim_id: str
    vm: str
    life: str
    body: str
    state: str = CLAIMED
    status: int = 0


class Change(NamedTuple):
    """A change of one key: a new claim, an end of a claim, or a release.

    ``entry`` is None to remove the claim ``claim_id``.
    """

    key: str
    claim_id: str
    entry: Entry | None


def key_digest(account, key):
    """Return the digest under which an account's Idempotency-Key is kept."""
    text = f"{len(account)}:{account}:{key}"
    return sha256(text.encode()).hexdigest()[:_DIGEST_CHARACTERS]


def shard_of(digest, shards):
    """Return the name of the shard that holds a key."""
    return f"{int(digest[:8], 16) % shards:03d}"


def parse_shard(value):
    """Return the entries of a shard's value, keyed by digest of the key."""
    return {key: Entry(*fields) for key, fields in value["claims"].items()}


def shard_value(entries, write_id):
    """Return the value of a shard; ``write_id`` names the write."""
    claims = {key: list(entry) for key, entry in entries.items()}
    return {"write_id": write_id, "claims": claims}


def apply_changes(entries, changes):
    """Return the entries after some changes.

    A claim is only added where there is none, and only the claim's own maker
    changes or removes it; other changes have no effect.
    """
    entries = dict(entries)
    for change in changes:
        _apply(entries, change)
    return entries


def _apply(entries, change):
    present = entries.get(change.key)
    if present is None:
        if change.entry is not None and change.entry.state == CLAIMED:
            entries[change.key] = change.entry
        return
    if present.claim_id != change.claim_id:
        return
    if change.entry is None:
        del entries[change.key]
    elif change.entry.state != CLAIMED:
        entries[change.key] = change.entry
