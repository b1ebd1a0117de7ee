"""Grants made by the owner of a target: units of each node for each label."""

from hibiscusspar.placement.divide import divide
from hibiscusspar.placement.messages import Grant

__all__ = ["Ledger", "Share"]

RESEND_S = 1.0
RESEND_MAX_S = 8.0
WANT_TTL_S = 3.0
TIME_SLICE_S = 1.0


class Share:
    """Units of one label granted to one node.

    ``bound`` is an upper bound of the units that the node uses: it rises when a
    grant is sent and falls only by an acknowledgement.
    """

    __slots__ = (
        "bound",
        "expires",
        "level",
        "resend_at",
        "resend_s",
        "serial",
        "served_at",
        "used",
        "want",
        "want_at",
    )

    def __init__(self):
        self.level = 0
        self.bound = 0
        self.serial = 0
        self.want = 0
        self.used = 0.0
        self.want_at = 0.0
        self.resend_at = 0.0
        self.resend_s = RESEND_S
        self.served_at = 0.0
        self.expires = None


class Ledger:
    """Division of one target's concurrency over labels and nodes.

    Parameters
    ----------
    target : str
    term : (int, int)
        Number and life of the owner.
    capacity : int
        Units of concurrency of the target.
    spare : int
        Units granted beyond what a node wants while no other node wants them.
    """

    def __init__(self, target, term, capacity, spare=1):
        self.target = target
        self.term = term
        self.capacity = capacity
        self._spare = spare
        self.shares = {}
        self.nodes = {}
        self.asked_at = {}
        self._dirty = True
        self._unacked = set()
        self._wanting = set()
        self._expiring = set()
        self._serial = 0

    def pinned(self, label):
        """Return whether any node may still run requests for the label."""
        return any(s.bound for (name, _), s in self.shares.items() if name == label)

    def used_units(self):
        """Return the maximum number of units that all nodes may have in use."""
        return sum(share.bound for share in self.shares.values())

    def wanted_units(self):
        """Return the units wanted of each label by all nodes together."""
        totals = {}
        for label, node in sorted(self._wanting):
            share = self.shares[label, node]
            totals[label] = totals.get(label, 0) + share.want
        return totals

    def estimated_use(self, label):
        """Return an estimate of the use of a label by all nodes.

        Requests arrive at any node, so the mean use by the nodes that want the label
        is taken as that of all nodes.
        """
        samples = [self.shares[key].used for key in self._wanting if key[0] == label]
        if not samples:
            return 0.0
        return len(self.nodes) * sum(samples) / len(samples)

    def record_want(self, now, node, label, want, used=0.0):
        """Record the units of a label that a node wants, and its use of the label."""
        share = self._ensure(node, label)
        share.used = used
        share.want_at = now
        if share.want != want:
            share.want = want
            self._dirty = True
        self._update_wanting((label, node), share)

    def record_holdings(self, now, holdings, node, hold_s):
        """Record the grants held by a node.

        Returns
        -------
        bool
            Whether an earlier run of the node's process had units bound.
        """
        before = self.nodes.get(node)
        if before is not None and holdings.node_life < before:
            return False
        if before == holdings.node_life:
            return False
        self.nodes[node] = holdings.node_life
        self._dirty = True
        orphaned = before is not None and self.orphan(now, node, hold_s)
        for label, bound in holdings.held:
            share = self._ensure(node, label)
            share.level = share.bound = bound
        return orphaned

    def orphan(self, now, node, hold_s):
        """Reserve the bound units of a lost node for ``hold_s`` seconds.

        Returns
        -------
        bool
            Whether it had any.
        """
        lost = [key for key in self.shares if key[1] == node]
        found = False
        for key in lost:
            share = self._drop(key)
            if not share.bound:
                continue
            found = True
            self._serial += 1
            share.expires = now + hold_s
            share.level = share.want = 0
            reserved = (key[0], f"{node}#{self._serial}")
            self.shares[reserved] = share
            self._expiring.add(reserved)
        return found

    def acknowledge(self, node, message):
        """Apply a :class:`Held`; return whether it was for the latest grant.

        A grant is resent until the node has no more units bound than it allows.
        """
        key = (message.label, node)
        share = self.shares.get(key)
        if share is None or message.serial != share.serial:
            return False
        share.bound = min(share.bound, message.bound)
        share.want = message.want
        if share.bound <= share.level:
            self._unacked.discard(key)
        self._update_wanting(key, share)
        self._dirty = True
        return True

    def rebalance(self, now, grantable, incarnation):
        """Divide the units if anything changed, and return the grants to send.

        Parameters
        ----------
        now : float
        grantable : callable
            Takes (label, node) and returns whether it may have units now.
        incarnation : str

        Returns
        -------
        list of (str, Grant)
            Pairs of a node and a grant.
        """
        self._expire(now)
        sends = []
        if self._dirty:
            self._dirty = False
            sends = self._redivide(now, grantable, incarnation)
        return sends + self._resend(now, incarnation)

    def mark_dirty(self):
        """Make the next call of :meth:`rebalance` divide the units."""
        self._dirty = True

    def _redivide(self, now, grantable, incarnation):
        levels = self._compute_levels(now, grantable)
        sends = []
        used = self.used_units()
        for key, share in list(self.shares.items()):
            if share.expires is not None:
                continue
            level = levels.get(key, 0)
            if level > share.level:
                room = self.capacity - used + share.bound
                level = max(share.level, min(level, room))
            if level != share.level:
                used += max(level, share.bound) - share.bound
                sends.append((key[1], self._set_level(now, key, level, incarnation)))
        return sends

    def _compute_levels(self, now, grantable):
        reserved = sum(s.bound for s in self.shares.values() if s.expires is not None)
        eligible = {
            key: share
            for key, share in self.shares.items()
            if share.expires is None and grantable(*key)
        }

        def priority(key):
            share = eligible[key]
            in_time_slice = share.level > 0 and now - share.served_at < TIME_SLICE_S
            return (not in_time_slice, share.served_at, key)

        capacity = self.capacity - reserved
        wanted = {key: share.want for key, share in eligible.items()}
        levels = divide(capacity, wanted, priority)
        left = capacity - sum(levels.values())
        order = sorted(eligible, key=priority)
        left = _top_up(levels, order, left, lambda key: eligible[key].level)
        _top_up(levels, order, left, lambda key: self._level_with_spare(eligible[key]))
        return levels

    def _level_with_spare(self, share):
        return max(share.level, share.want + self._spare if share.want else 0)

    def _set_level(self, now, key, level, incarnation):
        share = self.shares[key]
        if level > share.level:
            share.served_at = now
        share.level = level
        share.bound = max(share.bound, level)
        share.resend_s = RESEND_S
        self._unacked.add(key)
        return self._grant_message(now, key, incarnation)

    def _grant_message(self, now, key, incarnation):
        label, node = key
        share = self.shares[key]
        share.resend_at = now + share.resend_s
        share.resend_s = min(2 * share.resend_s, RESEND_MAX_S)
        self._serial += 1
        share.serial = self._serial
        life = self.nodes[node]
        return Grant(
            self.target, label, *self.term, life, share.serial, share.level, incarnation
        )

    def _resend(self, now, incarnation):
        sends = []
        for key in sorted(self._unacked):
            if now >= self.shares[key].resend_at:
                sends.append((key[1], self._grant_message(now, key, incarnation)))
        return sends

    def _expire(self, now):
        for key in sorted(self._expiring):
            if now >= self.shares[key].expires:
                self._drop(key)
                self._dirty = True
        for key in sorted(self._wanting):
            share = self.shares[key]
            if now - share.want_at > WANT_TTL_S and share.want > share.bound:
                share.want = share.bound
                self._update_wanting(key, share)
                self._dirty = True

    def _update_wanting(self, key, share):
        if share.want:
            self._wanting.add(key)
        else:
            self._wanting.discard(key)
            if not (share.level or share.bound or key in self._unacked):
                self._drop(key)

    def _ensure(self, node, label):
        share = self.shares.get((label, node))
        if share is None:
            share = self.shares[label, node] = Share()
        return share

    def _drop(self, key):
        self._unacked.discard(key)
        self._wanting.discard(key)
        self._expiring.discard(key)
        return self.shares.pop(key)


def _top_up(levels, order, left, limit):
    for key in order:
        extra = min(left, max(0, limit(key) - levels.get(key, 0)))
        if extra:
            levels[key] = levels.get(key, 0) + extra
            left -= extra
    return left
