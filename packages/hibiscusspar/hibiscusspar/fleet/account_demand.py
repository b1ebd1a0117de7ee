"""Demand of client accounts in tokens a second, and its ratio to what is left.

The coordinator learns what an account takes and asks for up to an interval of reports
later, and nodes learn the account's level up to an interval of views after that. In
between, each of hundreds of nodes may grant a request larger than the node's share.
"""

from math import exp

from hibiscusspar.fleet.fanout import exchange_interval_s

__all__ = ["AccountDemand", "grant_probability", "unreported_tokens"]

# Time constant of the decay in seconds: a surge shows within two views, while single
# requests of small accounts are averaged.
_DECAY_S = 1.0
# Rates below this, in tokens a second, are dropped.
_MIN_RATE = 1.0
# Intervals until a grant of a node is in the levels of all nodes: on average half of
# one until its report, and half of one until the next view.
_EXPOSED_INTERVALS = 1.0
# Part of the grants of an interval that reports don't contain when the next view is
# sent, as the nodes report at different times.
_UNREPORTED_SHARE = 0.5


class AccountDemand:
    """Exponentially decaying rate of the tokens that all nodes are asked for."""

    def __init__(self):
        self._rows = {}

    def record(self, now, account, tokens):
        """Add tokens that callers of an account asked for; refunds are negative."""
        self._rows[account] = (self._rate(now, account) + tokens / _DECAY_S, now)

    def rates(self, now):
        """Return the tokens a second of the accounts in demand."""
        rates = {account: self._rate(now, account) for account in self._rows}
        found = {account: rate for account, rate in rates.items() if rate >= _MIN_RATE}
        self._rows = {account: self._rows[account] for account in found}
        return found

    def _rate(self, now, account):
        rate, at = self._rows.get(account, (0.0, now))
        return rate * exp(-max(0.0, now - at) / _DECAY_S)


def grant_probability(level, asked_per_s, nodes):
    """Return the share of an account's requests that its level allows.

    If each node grants requests with this probability, all nodes together take no more
    than the level, on average, before they learn what the others have taken.

    Parameters
    ----------
    level : float
        Tokens that the account has left.
    asked_per_s : float
        Tokens a second that all nodes are asked for.
    nodes : int

    Returns
    -------
    float
        Between 0 and 1.
    """
    expected = asked_per_s * _EXPOSED_INTERVALS * exchange_interval_s(nodes)
    if expected <= 0.0:
        return 1.0
    return min(1.0, max(0.0, level) / expected)


def unreported_tokens(available, asked_per_s, nodes):
    """Return the tokens that nodes have probably granted and not yet reported.

    Without them, two views in a row would give out the same tokens.

    Parameters
    ----------
    available : float
        Tokens that all nodes together were allowed to grant by the last view.
    asked_per_s : float
        Tokens a second that all nodes are asked for.
    nodes : int

    Returns
    -------
    float
        0 if the account asks for less than was available.
    """
    expected = asked_per_s * exchange_interval_s(nodes)
    if expected <= available:
        return 0.0
    return max(0.0, available) * _UNREPORTED_SHARE
