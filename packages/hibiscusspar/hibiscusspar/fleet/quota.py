"""Limits of client accounts over all nodes, by levels that the coordinator keeps.

Load pattern: one account sends many times its rate through a few nodes at once.
The coordinator keeps one bucket for each account from the nodes' reports and tells
the level to all. Between two views a node takes at most a part of the level, so
that all nodes together take little more than there is. A node that does not hear
the coordinator falls back to an equal share of the rate, which the coordinator
takes off the bucket for every node that it does not hear.
"""

from typing import NamedTuple

__all__ = ["AccountLevels", "Granted", "Later", "NodeQuota", "Over", "QuotaPolicy"]


# Shortest time to come back, in seconds: that of one view.
_MIN_RETRY_S = 0.1


class QuotaPolicy(NamedTuple):
    """Settings of shared limits; times in seconds.

    ``take_share`` times the level, over the number of nodes, is what one node takes
    between two views; with all nodes at it they take the burst once more, which
    the platform's slack allows. ``stale_s`` is the age of a view or report beyond which
    its sender counts as not heard; ``forget_s`` the silence after which a node no
    longer counts.
    """

    take_share: float = 2.0
    stale_s: float = 1.0
    forget_s: float = 30.0


class Granted(NamedTuple):
    """The request may run; its tokens are counted."""


class Later(NamedTuple):
    """The account has tokens, but this node must wait for the next view."""


class Over(NamedTuple):
    """The account is over its limit; it may come back after some seconds."""

    retry_after_s: float


class AccountLevels:
    """The coordinator's buckets, one an account.

    Parameters
    ----------
    policy : QuotaPolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or QuotaPolicy()
        self._levels = {}
        self._at = None
        self._used = {}
        self._heard = {}

    @property
    def nodes(self):
        """Number of nodes heard from lately, heard now or not."""
        return len(self._heard)

    def reset(self, now, levels):
        """Start from the levels that the last view told."""
        self._levels = dict(levels)
        self._at = now
        self._used = {}

    def advance(self, now, accounts):
        """Refill up to ``now``; return the levels.

        Parameters
        ----------
        now : float
        accounts : dict of str to AccountRule
        """
        elapsed_s = now - self._at if self._at is not None else 0.0
        self._at = now
        silent = self._silent(now)
        share = 1.0 - silent / max(1, len(self._heard))
        for name, rule in accounts.items():
            if rule.rate <= 0:
                continue
            level = self._levels.get(name, 0.0) + rule.rate * elapsed_s * share
            self._levels[name] = min(rule.burst, level)
        return self._levels

    def report(self, now, node, start, used):
        """Take in the tokens that a node has taken since its start."""
        self._heard[node] = now
        earlier_start, earlier = self._used.get(node, (None, {}))
        if earlier_start is None:
            # What it took before was counted by the coordinator of that time.
            earlier = used
        elif earlier_start != start:
            earlier = {}
        for account, amount in used.items():
            taken = amount - earlier.get(account, 0.0)
            if taken > 0 and account in self._levels:
                self._levels[account] -= taken
        self._used[node] = (start, dict(used))

    def _silent(self, now):
        policy = self._policy
        for node, heard_at in list(self._heard.items()):
            if now > heard_at + policy.forget_s:
                del self._heard[node]
        return sum(now > at + policy.stale_s for at in self._heard.values())


class NodeQuota:
    """One node's part in the limits.

    Parameters
    ----------
    nodes : int
        Number of nodes to assume before the first view.
    policy : QuotaPolicy, optional
    """

    def __init__(self, nodes, policy=None):
        self._policy = policy or QuotaPolicy()
        self._nodes = nodes
        self._levels = {}
        self._viewed_at = None
        self._used = {}
        self._acked = {}
        self._own = {}

    @property
    def used(self):
        """Tokens taken by account since the start."""
        return self._used

    @property
    def levels(self):
        """Levels of the last view."""
        return self._levels

    def view(self, now, nodes, levels, acked_used):
        """Take in a view; ``acked_used`` is what its sender knew of this node."""
        self._nodes = max(1, nodes)
        self._levels = levels
        self._acked = acked_used
        self._viewed_at = now

    def take(self, now, rule, tokens):
        """Take the tokens of a request if the account has them.

        Parameters
        ----------
        now : float
        rule : AccountRule
        tokens : float

        Returns
        -------
        Granted, Later or Over
        """
        heard = self._heard(now)
        if rule.rate <= 0:
            found = Granted()
        elif heard:
            found = self._ask_level(rule, tokens)
        else:
            found = self._ask_share(now, rule, tokens)
        if isinstance(found, Granted):
            self._used[rule.name] = self._used.get(rule.name, 0.0) + tokens
            if not heard and rule.rate > 0:
                level, at = self._own_level(now, rule)
                self._own[rule.name] = (level - tokens, at)
        return found

    def give_back(self, rule, tokens):
        """Count that a request did not run after all."""
        self._used[rule.name] = self._used.get(rule.name, 0.0) - tokens

    def _heard(self, now):
        return self._viewed_at is not None and (
            now <= self._viewed_at + self._policy.stale_s
        )

    def _ask_level(self, rule, tokens):
        level = self._levels.get(rule.name, 0.0)
        pending = self._used.get(rule.name, 0.0) - self._acked.get(rule.name, 0.0)
        if level - pending < tokens:
            return Over(max(_MIN_RETRY_S, (tokens + pending - level) / rule.rate))
        left = level * min(1.0, self._policy.take_share / self._nodes) - pending
        return Granted() if left >= tokens or pending <= 0 else Later()

    def _ask_share(self, now, rule, tokens):
        level, _ = self._own_level(now, rule)
        if level >= tokens:
            return Granted()
        return Over(max(_MIN_RETRY_S, (tokens - level) / (rule.rate / self._nodes)))

    def _own_level(self, now, rule):
        rate = rule.rate / self._nodes
        level, at = self._own.get(rule.name, (0.0, self._viewed_at or now))
        cap = max(rate, rule.burst / self._nodes)
        level = min(cap, level + rate * max(0.0, now - at))
        self._own[rule.name] = (level, now)
        return level, now
