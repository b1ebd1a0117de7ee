"""Spread of crashes by rumour mongering (push gossip).

A VM that first learns of a crash forwards it to a few random peers. So crashes seen by
different VMs are counted together, and a body is refused on all VMs.
"""

from typing import NamedTuple

from hibiscusspar.requests.events import (
    BODY_QUARANTINED,
    BODY_SUSPECTED,
    QUARANTINE_EXPIRED,
)
from hibiscusspar.requests.messages import BodyCrash
from hibiscusspar.requests.quarantine import Quarantine, QuarantinePolicy

__all__ = ["CrashGossip", "GossipPolicy"]


class GossipPolicy(NamedTuple):
    """Settings of the spread of crashes.

    A body that crashed ``targets`` targets is refused for ``retention_s`` seconds since
    the last crash, and a crash counts for as long. ``fanout`` is the number of peers to
    which a crash is forwarded, ``max_digests`` the maximum number of stored digests.
    """

    targets: int = 2
    retention_s: float = 300.0
    fanout: int = 4
    max_digests: int = 1000


class CrashGossip:
    """Quarantine of bodies that all VMs share.

    Parameters
    ----------
    members : hibiscusspar.ports.Members
    rng : random.Random
    policy : GossipPolicy, optional
    """

    def __init__(self, members, rng, policy=None):
        self._members = members
        self._rng = rng
        self._policy = policy = policy or GossipPolicy()
        self._quarantine = Quarantine(
            QuarantinePolicy(
                crashes=policy.targets,
                shared_crashes=policy.targets,
                refusal_s=(policy.retention_s,),
                retention_s=policy.retention_s,
                probation_s=0.0,
                answer_s=0.0,
                max_suspects=policy.max_digests,
            )
        )

    def refused_for(self, now, digest):
        """Return for how many more seconds requests with a body are refused, or 0."""
        return self._quarantine.refused_for(now, digest)

    def quarantined(self, now):
        """Return (digest, seconds left) of each quarantined body, for operators."""
        verdicts = self._quarantine.quarantined(now)
        return [(v.suspect, self.refused_for(now, v.suspect)) for v in verdicts]

    def crashed(self, now, digest, target, out):
        """Record that a target crashed while running a body, and tell some peers."""
        self._record(now, digest, target, 0.0, out)

    def receive(self, now, message, out):
        """Record a :class:`BodyCrash` from a peer, and forward it if it is new."""
        self._record(now, message.digest, message.target, message.age_s, out)

    def tick(self, now, out):
        """Remove the crashes that no longer count."""
        for digest in self._quarantine.expire(now):
            out.log(QUARANTINE_EXPIRED, digest=digest)

    def _record(self, now, digest, target, age_s, out):
        if age_s >= self._policy.retention_s:
            return
        known_at = self._quarantine.crashes_of(digest).get(target)
        if known_at is not None and now - age_s < known_at + (
            self._policy.retention_s / 2
        ):
            return
        self._quarantine.record_crash(now, target, [digest], age_s)
        out.log(BODY_SUSPECTED, digest=digest, target=target)
        left_s = self.refused_for(now, digest)
        if left_s > 0:
            targets = sorted(self._quarantine.crashes_of(digest))
            out.log(BODY_QUARANTINED, digest=digest, targets=targets, duration_s=left_s)
        self._forward(BodyCrash(digest, target, age_s), out)

    def _forward(self, message, out):
        peers = [m.vm for m in self._members.live() if m.vm != self._members.vm]
        for peer in self._rng.sample(peers, min(self._policy.fanout, len(peers))):
            out.send(peer, message)
