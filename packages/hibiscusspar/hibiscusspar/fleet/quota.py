"""Limits of client accounts, shared by all nodes.

One account may send many times its rate through a few nodes at once. From the nodes'
reports the coordinator counts the tokens that each account took in the last window,
and sends to all nodes what is left, the level. Between two views a node takes at most
a share of the level, so that all nodes together exceed it only slightly. A node that
receives no views falls back to an equal share of the rate, which the coordinator
counts as taken for every node whose reports it does not receive.
"""

from collections import deque
from random import Random
from typing import NamedTuple

from hibiscusspar.fleet.account_demand import (
    AccountDemand,
    grant_probability,
    unreported_tokens,
)
from hibiscusspar.fleet.fanout import MAX_DIRECT_NODES

__all__ = [
    "AccountLevels",
    "Deferred",
    "Granted",
    "NodeQuota",
    "OverLimit",
    "QuotaPolicy",
    "discounted_levels",
]


# Shortest retry delay in seconds: the interval of views in a small fleet.
_MIN_RETRY_S = 0.1
# Probability of a grant from which the retry delay no longer grows.
_MIN_PROBABILITY = 0.01
# Share of a stored level that is used; the rest may have been taken since.
_STORED_LEVEL_SHARE = 0.5
# Steps of a window. The tokens of a step leave the window together.
_WINDOW_STEPS = 64


class QuotaPolicy(NamedTuple):
    """Settings of shared limits; times in seconds.

    ``take_share`` times the level, divided by the number of nodes, is the most that one
    node takes between two views; if all nodes do, they take the burst once more, which
    the platform's slack allows. In a large fleet, in which nodes learn later of what
    others took, it is ``large_take_share``: with 2.0, an account at three times its
    rate got up to 1.06 of what the platform allows. A node takes up to ``calm_share``
    of the level if all requests of the account fit into it. ``stale_s`` is the age of a
    view or report beyond which its sender counts as silent, ``forget_s`` the time
    without reports after which a node is no longer counted.
    """

    take_share: float = 2.0
    large_take_share: float = 1.5
    calm_share: float = 0.25
    stale_s: float = 1.0
    forget_s: float = 30.0

    def share(self, nodes):
        """Return the multiple of a level that all nodes take between two views."""
        return self.take_share if nodes <= MAX_DIRECT_NODES else self.large_take_share


class Granted(NamedTuple):
    """The request may run; its tokens are counted."""


class Deferred(NamedTuple):
    """The account may have tokens, but this node must wait for the next view.

    ``is_first`` is whether the node has received no view since its start.
    """

    is_first: bool = False


class OverLimit(NamedTuple):
    """The account is over its limit and may retry after some seconds."""

    retry_after_s: float


class AccountLevels:
    """The coordinator's count of each account's tokens in the last window.

    The platform limits the tokens of an account in any window to its rate times the
    window plus its burst. The level is what is left of that, capped by a token bucket
    that holds the burst and refills as fast as the window allows, so that an account
    over its limit is served evenly.

    Parameters
    ----------
    window_s : float
    policy : QuotaPolicy, optional
    """

    def __init__(self, window_s, policy=None):
        self._policy = policy or QuotaPolicy()
        self._window_s = window_s
        self._initial_levels = {}
        self._windows = {}
        self._buckets = {}
        self._advanced_at = None
        self._used = {}
        self._denied = {}
        self._demand = AccountDemand()
        self._heard_at = {}
        self._sent = {}

    @property
    def nodes(self):
        """Number of known nodes, including those that are silent now."""
        return len(self._heard_at)

    def asked_rates(self, now):
        """Return the tokens a second that all nodes are asked for, by account."""
        return self._demand.rates(now)

    def available_share(self, now):
        """Return the share of the nodes that reported lately."""
        return 1.0 - self._count_silent(now) / max(1, len(self._heard_at))

    def reset(self, now, levels):
        """Start from the levels of the last view.

        Accounts without a level get one step of the window: what they took before is
        unknown, and one step more is within the platform's slack.
        """
        self._initial_levels = dict(levels)
        self._windows = {}
        self._buckets = {}
        self._advanced_at = now
        self._used = {}
        self._denied = {}
        self._sent = {}

    def advance(self, now, accounts):
        """Move the windows up to ``now``; return the levels.

        Parameters
        ----------
        now : float
        accounts : dict of str to AccountRule
        """
        elapsed_s = now - self._advanced_at if self._advanced_at is not None else 0.0
        self._advanced_at = now
        silent_share = self._count_silent(now) / max(1, len(self._heard_at))
        levels = {}
        for name, rule in accounts.items():
            if rule.rate <= 0:
                continue
            allowed = rule.rate * self._window_s + rule.burst
            taken = allowed - self._initial_levels.get(name, allowed / _WINDOW_STEPS)
            window = self._windows.get(name)
            if window is None:
                window = self._windows[name] = _SlidingWindow(
                    self._window_s, now, taken
                )
            reserved = rule.rate * elapsed_s * silent_share
            window.add(now, reserved)
            refill = allowed / self._window_s * elapsed_s - reserved
            earlier = self._buckets.get(name, min(rule.burst, allowed - taken))
            self._buckets[name] = min(rule.burst, earlier + refill)
            levels[name] = min(allowed - window.total(now), self._buckets[name])
        self._sent = self._without_unreported(now, levels)
        return self._sent

    def _without_unreported(self, now, levels):
        """Return the levels without what nodes have granted and not yet reported."""
        if self.nodes <= MAX_DIRECT_NODES:
            return levels
        share, asked = self._policy.share(self.nodes), self._demand.rates(now)
        return {
            name: level
            - unreported_tokens(
                share * self._sent.get(name, 0.0), asked.get(name, 0.0), self.nodes
            )
            for name, level in levels.items()
        }

    def report(self, now, node, start, used, denied=None):
        """Record the tokens that a node has taken and denied since its start."""
        self._heard_at[node] = now
        self._record_denied(now, node, start, denied or {})
        earlier_start, earlier = self._used.get(node, (None, {}))
        if earlier_start is None:
            # Earlier tokens were counted by the previous coordinator.
            earlier = used
        elif earlier_start != start:
            earlier = {}
        for account, amount in used.items():
            taken = amount - earlier.get(account, 0.0)
            if account in self._windows:
                self._windows[account].add(now, taken)
                self._buckets[account] -= taken
                self._demand.record(now, account, taken)
        self._used[node] = (start, dict(used))

    def _record_denied(self, now, node, start, denied):
        earlier_start, earlier = self._denied.get(node, (start, denied))
        if earlier_start != start:
            earlier = {}
        for account, amount in denied.items():
            self._demand.record(now, account, amount - earlier.get(account, 0.0))
        self._denied[node] = (start, dict(denied))

    def _count_silent(self, now):
        policy = self._policy
        for node, heard_at in list(self._heard_at.items()):
            if now > heard_at + policy.forget_s:
                del self._heard_at[node]
        return sum(now > at + policy.stale_s for at in self._heard_at.values())


class _SlidingWindow:
    """Tokens taken in a sliding window, counted in ``_WINDOW_STEPS`` steps.

    Parameters
    ----------
    length_s : float
    now : float
    taken : float
        Tokens taken before, assumed to be spread evenly over the window.
    """

    def __init__(self, length_s, now, taken):
        self._step_s = length_s / _WINDOW_STEPS
        self._steps = deque()
        step = int(now / self._step_s)
        for age in range(_WINDOW_STEPS, 0, -1):
            self._steps.append([step - age, taken / _WINDOW_STEPS])

    def add(self, now, tokens):
        """Add tokens; refunds are negative."""
        step = int(now / self._step_s)
        if not self._steps or self._steps[-1][0] != step:
            self._steps.append([step, 0.0])
        self._steps[-1][1] += tokens

    def total(self, now):
        """Return the tokens of the window that ends now."""
        oldest = int(now / self._step_s) - _WINDOW_STEPS
        while self._steps and self._steps[0][0] < oldest:
            self._steps.popleft()
        return sum(tokens for _, tokens in self._steps)


def discounted_levels(stored):
    """Return the levels to start from when only the stored ones are known.

    If all processes are killed at once while callers go on, the levels stored in the
    lease are some tenths of a second old, and the tokens taken since are unknown.

    Parameters
    ----------
    stored : dict of str to float
        Levels by account.
    """
    return {
        name: level * _STORED_LEVEL_SHARE for name, level in stored.items() if level > 0
    }


class NodeQuota:
    """Enforcement of the account limits on one node.

    Parameters
    ----------
    nodes : int
        Number of nodes to assume before the first view.
    now : float
        Start time of the node, from which its own share accrues.
    policy : QuotaPolicy, optional
    rng : random.Random, optional
        Nodes must not use the same seed.
    """

    def __init__(self, nodes, now, policy=None, rng=None):
        self._policy = policy or QuotaPolicy()
        self._rng = rng or Random(0)
        self._nodes = nodes
        self._levels = {}
        self._asked = None
        self._denied = {}
        self._levels_at = {}
        self._started_at = now
        self._used = {}
        self._acked = {}
        self._share_levels = {}

    @property
    def used(self):
        """Tokens taken by each account since the start."""
        return self._used

    @property
    def denied(self):
        """Tokens denied to each account since the start."""
        return self._denied

    @property
    def levels(self):
        """Levels of the last view."""
        return self._levels

    def apply_view(self, now, nodes, levels, acked_used, asked=None):
        """Apply a view.

        Parameters
        ----------
        now : float
        nodes : int
        levels : dict of str to float
        acked_used : dict of str to float
            Tokens of this node that the sender had counted.
        asked : dict of str to float, optional
            Tokens a second that all nodes are asked for, None if the sender is an older
            build that doesn't know them.
        """
        self._nodes = max(1, nodes)
        self._levels = levels
        self._asked = asked
        self._acked = acked_used
        self._levels_at.update(dict.fromkeys(levels, now))

    def take(self, now, rule, tokens):
        """Take the tokens of a request if the account has them.

        Parameters
        ----------
        now : float
        rule : AccountRule
        tokens : float

        Returns
        -------
        Granted, Deferred or OverLimit
        """
        is_fresh = self._has_fresh_level(now, rule.name)
        if rule.rate <= 0:
            found = Granted()
        elif is_fresh:
            found = self._check_level(rule, tokens)
        else:
            found = self._check_share(now, rule, tokens)
        if isinstance(found, Granted):
            self._used[rule.name] = self._used.get(rule.name, 0.0) + tokens
            if not is_fresh and rule.rate > 0:
                level, at = self._share_level(now, rule)
                self._share_levels[rule.name] = (level - tokens, at)
        return found

    def deny(self, rule, tokens):
        """Record the tokens of a request that was refused for lack of tokens."""
        self._denied[rule.name] = self._denied.get(rule.name, 0.0) + tokens

    def give_back(self, rule, tokens):
        """Refund the tokens of a request that did not run."""
        self._used[rule.name] = self._used.get(rule.name, 0.0) - tokens

    def _has_fresh_level(self, now, account):
        received_at = self._levels_at.get(account)
        return received_at is not None and now <= received_at + self._policy.stale_s

    def _check_level(self, rule, tokens):
        level = self._levels.get(rule.name, 0.0)
        pending = self._used.get(rule.name, 0.0) - self._acked.get(rule.name, 0.0)
        if level - pending < tokens:
            return OverLimit(max(_MIN_RETRY_S, (tokens + pending - level) / rule.rate))
        take_share = self._policy.share(self._nodes)
        share = level * min(1.0, take_share / self._nodes)
        if pending + tokens <= share:
            return Granted()
        if self._asked is None or self._nodes <= MAX_DIRECT_NODES:
            # In a small fleet, one request of each node is within the platform's slack.
            return Granted() if pending <= 0 else Deferred()
        asked_per_s = self._asked.get(rule.name, 0.0)
        available = level * take_share
        probability = grant_probability(available, asked_per_s, self._nodes)
        if probability >= 1.0 and pending + tokens <= level * self._policy.calm_share:
            return Granted()
        if pending > 0:
            return Deferred()
        if self._rng.random() < probability:
            return Granted()
        # The rate refills what all nodes are asked for beyond the level.
        missing = available / max(probability, _MIN_PROBABILITY) - level
        return OverLimit(max(_MIN_RETRY_S, missing / rule.rate))

    def _check_share(self, now, rule, tokens):
        level, _ = self._share_level(now, rule)
        if level >= tokens:
            return Granted()
        if not self._levels_at and now <= self._started_at + self._policy.stale_s:
            # The first view arrives some tenths of a second after the start.
            return Deferred(is_first=True)
        return OverLimit(
            max(_MIN_RETRY_S, (tokens - level) / (rule.rate / self._nodes))
        )

    def _share_level(self, now, rule):
        rate = rule.rate / self._nodes
        since = self._levels_at.get(rule.name, self._started_at)
        level, at = self._share_levels.get(rule.name, (0.0, since))
        cap = max(rate, rule.burst / self._nodes)
        level = min(cap, level + rate * max(0.0, now - at))
        self._share_levels[rule.name] = (level, now)
        return level, now
