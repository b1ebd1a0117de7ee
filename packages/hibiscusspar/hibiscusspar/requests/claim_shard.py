"""Claims of Idempotency-Keys in one shard, which is a platform object.

The shard of a key depends on the key alone, so two VMs that claim the same key
update the same object, and the platform accepts only one of the updates.
"""

from hashlib import sha256
from typing import NamedTuple

__all__ = [
    "ANSWERED",
    "CLAIMED",
    "UNKNOWN",
    "Change",
    "Entry",
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
    """One claim: the VM that made it, the request body and the outcome.

    ``process_id`` distinguishes processes of the same VM. ``status`` is the HTTP
    status of the answer, 0 if there was none.
    """

    claim_id: str
    vm: str
    process_id: str
    body: str
    state: str = CLAIMED
    status: int = 0


class Change(NamedTuple):
    """A change of one key: a new claim, the outcome of a claim, or its release.

    ``entry`` is None to remove the claim ``claim_id``.
    """

    key: str
    claim_id: str
    entry: Entry | None


def key_digest(account, key):
    """Return the digest under which an account's Idempotency-Key is stored."""
    text = f"{len(account)}:{account}:{key}"
    return sha256(text.encode()).hexdigest()[:_DIGEST_CHARACTERS]


def shard_of(digest, shards):
    """Return the name of the shard for the digest of a key."""
    return f"{int(digest[:8], 16) % shards:03d}"


def parse_shard(value):
    """Return the entries in the value of a shard, keyed by digest of the key."""
    return {key: Entry(*fields) for key, fields in value["claims"].items()}


def shard_value(entries, write_id):
    """Return the value of a shard; ``write_id`` identifies the write."""
    claims = {key: list(entry) for key, entry in entries.items()}
    return {"write_id": write_id, "claims": claims}


def apply_changes(entries, changes):
    """Return the entries with some changes applied.

    A claim is added only if its key has none, and an entry is changed or removed
    only under its own claim id; other changes have no effect.
    """
    entries = dict(entries)
    for change in changes:
        _apply_change(entries, change)
    return entries


def _apply_change(entries, change):
    current = entries.get(change.key)
    if current is None:
        if change.entry is not None and change.entry.state == CLAIMED:
            entries[change.key] = change.entry
        return
    if current.claim_id != change.claim_id:
        return
    if change.entry is None:
        del entries[change.key]
    elif change.entry.state != CLAIMED:
        entries[change.key] = change.entry
