"""Dissemination of residency rows by gossip, with anti-entropy by digests."""

from hibiscusspar.placement.messages import Digest, Rows, Versions
from hibiscusspar.placement.residency import Row

__all__ = ["Gossip"]

DIRECT_MEMBERS = 12
FANOUT = 4
ROUND_S = 0.5
REPAIR_S = 5.0


class Gossip:
    """Dissemination of the rows of a :class:`ResidencyTable` to all nodes.

    In a fleet of at most ``DIRECT_MEMBERS`` nodes the owner sends new rows to all
    others. In a larger one each node relays new rows to ``FANOUT`` random others.
    About every ``REPAIR_S`` seconds a node compares digests with a random other one
    and they exchange the rows that either lacks.

    Parameters
    ----------
    members : Members
    table : ResidencyTable
    message_sender : MessageSender
    rng : random.Random
    """

    def __init__(self, members, table, message_sender, rng):
        self._members = members
        self._table = table
        self._sender = message_sender
        self._rng = rng
        self._own = set()
        self._relayed = set()
        self._repair_at = 0.0
        self._next_round_at = 0.0

    def queue_own(self, row):
        """Queue a new row of a target that this node owns."""
        self._own.add(row.target)

    def receive_rows(self, message):
        """Adopt the rows of a :class:`Rows` and return those that were new."""
        rows = [Row(*fields) for fields in message.rows]
        new = [row for row in rows if self._table.adopt(_with_tuples(row))]
        self._relayed.update(row.target for row in new)
        return new

    def receive_digest(self, sender, message, out):
        """Answer a digest that differs from this node's with its row versions."""
        if message.digest != self._table.digest:
            self._sender.send(out, sender, Versions(self._table.versions()))

    def receive_versions(self, sender, message, out):
        """Send the rows that the sender lacks, and request those lacking here."""
        newer = self._table.newer_than(message.versions)
        if newer:
            self._sender.send(out, sender, Rows(tuple(tuple(r) for r in newer)))
        rows = self._table.rows
        lacking = [
            target
            for target, *rest in message.versions
            if target not in rows or rows[target].version < tuple(rest)
        ]
        if lacking:
            self._sender.send(out, sender, Versions(self._table.versions()))

    def tick(self, now, out):
        """Send the rows queued since the last round, and digests when due."""
        others = [m.vm for m in self._members.live() if m.vm != self._members.vm]
        if not others:
            return
        small = len(others) < DIRECT_MEMBERS
        targets = self._own if small else self._own | self._relayed
        if small or now >= self._next_round_at:
            self._next_round_at = now + ROUND_S
            if targets:
                self._send_rows(targets, others, small, out)
            self._own = set()
            self._relayed = set()
        if now >= self._repair_at:
            self._repair_at = now + REPAIR_S * self._rng.uniform(0.5, 1.5)
            peer = self._rng.choice(others)
            self._sender.send(out, peer, Digest(self._table.digest))

    def _send_rows(self, targets, others, small, out):
        rows = [self._table.rows[t] for t in sorted(targets) if t in self._table.rows]
        if not rows:
            return
        peers = others if small else self._rng.sample(others, FANOUT)
        message = Rows(tuple(tuple(row) for row in rows))
        for peer in peers:
            self._sender.send(out, peer, message)


def _with_tuples(row):
    return row._replace(resident=tuple(row.resident), saturated=tuple(row.saturated))
