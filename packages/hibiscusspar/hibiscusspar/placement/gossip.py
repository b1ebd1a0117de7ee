"""Spreads residency rows: news at once, the rest by comparing digests."""

from hibiscusspar.placement.messages import Digest, Rows, Versions
from hibiscusspar.placement.residency import Row

__all__ = ["Gossip"]

DIRECT_MEMBERS = 12
FANOUT = 4
SPREAD_S = 0.5
REPAIR_S = 5.0


class Gossip:
    """Carries rows of a :class:`ResidencyTable` to all nodes.

    A small fleet gets news straight from the owner. In a large one each node passes
    news on to a few random others. Once in a while a node compares digests with a
    random other one and fetches what it missed.

    Parameters
    ----------
    members : Members
    table : ResidencyTable
    post : Post
    rng : random.Random
    """

    def __init__(self, members, table, post, rng):
        self._members = members
        self._table = table
        self._post = post
        self._rng = rng
        self._own = set()
        self._relayed = set()
        self._repair_at = 0.0
        self._spread_at = 0.0

    def published(self, row):
        """Queue a row of a target that this node owns."""
        self._own.add(row.target)

    def rows(self, message):
        """Take in :class:`Rows` and return the rows that were new."""
        rows = [Row(*fields) for fields in message.rows]
        new = [row for row in rows if self._table.adopt(_plain(row))]
        self._relayed.update(row.target for row in new)
        return new

    def digest(self, sender, message, out):
        """Answer a digest that differs with the versions known here."""
        if message.digest != self._table.digest:
            self._post.send(out, sender, Versions(self._table.versions()))

    def versions(self, sender, message, out):
        """Send the rows that the other node lacks, and ask for what this one lacks."""
        newer = self._table.newer_than(message.versions)
        if newer:
            self._post.send(out, sender, Rows(tuple(tuple(r) for r in newer)))
        rows = self._table.rows
        lacking = [
            target
            for target, *rest in message.versions
            if target not in rows or rows[target].version < tuple(rest)
        ]
        if lacking:
            self._post.send(out, sender, Versions(self._table.versions()))

    def tick(self, now, out):
        """Send the news gathered since the last tick."""
        others = [m.vm for m in self._members.live() if m.vm != self._members.vm]
        if not others:
            return
        small = len(others) < DIRECT_MEMBERS
        news = self._own if small else self._own | self._relayed
        if small or now >= self._spread_at:
            self._spread_at = now + SPREAD_S
            if news:
                self._send_news(news, others, small, out)
            self._own = set()
            self._relayed = set()
        if now >= self._repair_at:
            self._repair_at = now + REPAIR_S * self._rng.uniform(0.5, 1.5)
            peer = self._rng.choice(others)
            self._post.send(out, peer, Digest(self._table.digest))

    def _send_news(self, news, others, small, out):
        rows = [self._table.rows[t] for t in sorted(news) if t in self._table.rows]
        if not rows:
            return
        peers = others if small else self._rng.sample(others, FANOUT)
        message = Rows(tuple(tuple(row) for row in rows))
        for peer in peers:
            self._post.send(out, peer, message)


def _plain(row):
    return row._replace(resident=tuple(row.resident), saturated=tuple(row.saturated))
