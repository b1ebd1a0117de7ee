"""Quarantine of request bodies that crashed two targets.

Crashes are spread by rumour mongering (push gossip): a VM that first learns of a
crash forwards it to a few random peers. So crashes seen by different VMs are
counted together, and a body is refused on all VMs.
"""

from hashlib import sha256
from typing import NamedTuple

from xxhash import xxh3_64_hexdigest, xxh3_128_hexdigest

from hibiscusspar.requests.events import (
    BODY_QUARANTINED,
    BODY_SUSPECTED,
    QUARANTINE_EXPIRED,
)
from hibiscusspar.requests.messages import BodyCrash

__all__ = ["Quarantine", "QuarantinePolicy", "body_digest", "request_digest"]

_DIGEST_CHARACTERS = 32
_ACCOUNT_CHARACTERS = 8


def body_digest(body):
    """Return the digest of a request body, 128 bits as hexadecimal digits."""
    return sha256(body).hexdigest()[:_DIGEST_CHARACTERS]


def request_digest(account, method, uri, body):
    """Return a digest of a request that doesn't depend on its id.

    It begins with a digest of the account, so that no account can choose a request
    with the digest of another account's request.

    Parameters
    ----------
    account, method, uri : str
    body : bytes
    """
    fields = "\0".join((account, method, uri)).encode() + b"\0" + body
    account_digest = xxh3_64_hexdigest(account.encode())[:_ACCOUNT_CHARACTERS]
    return f"{account_digest}-{xxh3_128_hexdigest(fields)}"


class QuarantinePolicy(NamedTuple):
    """Settings of the quarantine; times are in seconds.

    A crash counts for ``retention_s``. A body is refused while at least ``targets``
    targets have a crash that counts. ``fanout`` is the number of peers to which a
    crash is forwarded, ``max_digests`` the maximum number of stored digests.
    """

    targets: int = 2
    retention_s: float = 300.0
    fanout: int = 4
    max_digests: int = 1000


class Quarantine:
    """Digests of bodies, with the targets that crashed while running them."""

    def __init__(self, members, rng, policy=None):
        self._members = members
        self._rng = rng
        self._policy = policy or QuarantinePolicy()
        self._crashes = {}

    def refused_for(self, now, digest):
        """Return for how many more seconds requests with a body are refused, or 0."""
        crashes = self._crashes.get(digest)
        if crashes is None:
            return 0.0
        recent = [at for at in crashes.values() if now < at + self._policy.retention_s]
        if len(recent) < self._policy.targets:
            return 0.0
        # The quarantine ends when this crash expires: fewer than `targets` remain.
        oldest_needed = sorted(recent)[-self._policy.targets]
        return oldest_needed + self._policy.retention_s - now

    def quarantined(self, now):
        """Return (digest, seconds left) of each quarantined body, for operators."""
        left = ((digest, self.refused_for(now, digest)) for digest in self._crashes)
        return [(digest, left_s) for digest, left_s in left if left_s > 0]

    def crashed(self, now, digest, target, out):
        """Record that a target crashed while running a body, and tell some peers."""
        self._record(now, digest, target, 0.0, out)

    def receive(self, now, message, out):
        """Record a :class:`BodyCrash` from a peer, and forward it if it is new."""
        self._record(now, message.digest, message.target, message.age_s, out)

    def tick(self, now, out):
        """Remove the crashes that no longer count."""
        for digest, crashes in list(self._crashes.items()):
            self._expire(now, digest, crashes, out)

    def _record(self, now, digest, target, age_s, out):
        if age_s >= self._policy.retention_s:
            return
        at = now - age_s
        crashes = self._crashes.setdefault(digest, {})
        known_at = crashes.get(target)
        if known_at is not None and at < known_at + self._policy.retention_s / 2:
            return
        crashes[target] = at
        out.log(BODY_SUSPECTED, digest=digest, target=target)
        self._log_if_quarantined(now, digest, out)
        self._forward(BodyCrash(digest, target, age_s), out)
        self._evict_oldest()

    def _log_if_quarantined(self, now, digest, out):
        left_s = self.refused_for(now, digest)
        if left_s > 0:
            targets = sorted(self._crashes[digest])
            out.log(BODY_QUARANTINED, digest=digest, targets=targets, duration_s=left_s)

    def _forward(self, message, out):
        peers = [m.vm for m in self._members.live() if m.vm != self._members.vm]
        for peer in self._rng.sample(peers, min(self._policy.fanout, len(peers))):
            out.send(peer, message)

    def _evict_oldest(self):
        while len(self._crashes) > self._policy.max_digests:
            self._crashes.pop(next(iter(self._crashes)))

    def _expire(self, now, digest, crashes, out):
        recent = {
            t: at for t, at in crashes.items() if now < at + self._policy.retention_s
        }
        if len(crashes) >= self._policy.targets > len(recent):
            out.log(QUARANTINE_EXPIRED, digest=digest)
        if recent:
            self._crashes[digest] = recent
        else:
            del self._crashes[digest]
