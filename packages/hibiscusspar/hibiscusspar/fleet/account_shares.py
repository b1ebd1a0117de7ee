"""Shares of accounts in what a priority may use, by max-min fairness.

Where a priority can't be served completely, a share of the priority alone would refuse
the same part of all accounts, so an account that suddenly sends several times as much
would take what is due to the others.
"""

from math import inf

__all__ = [
    "LIMITED_SHARE",
    "MAX_ACCOUNTS",
    "account_weights",
    "divide",
    "limit_accounts",
]

# Accounts that a report names by service and priority, and a level at most.
MAX_ACCOUNTS = 8
# Highest share of a priority with limited accounts; its other accounts get all. A share
# of 1 tells nodes that none of its accounts is limited.
LIMITED_SHARE = 0.9999
# Difference of shares that rounding causes.
_ROUNDING = 1e-4


def account_weights(ruleset):
    """Return the weights of accounts, which are their configured rates.

    Parameters
    ----------
    ruleset : Ruleset

    Returns
    -------
    dict of str to float or None
        None, for equal weights, if an account with a key has no rate, or if rates have
        different units.
    """
    rules = [ruleset.accounts.get(name) for name in sorted(set(ruleset.keys.values()))]
    if not all(rule is not None and rule.rate > 0 for rule in rules):
        return None
    if len({rule.counts_tokens for rule in rules}) > 1:
        return None
    return {rule.name: rule.rate for rule in rules}


def divide(capacity, demand, floor=0.0, weights=None):
    """Return what each account gets of a capacity.

    An account that asks for less than its fair part gets all that it asks for. The rest
    is divided among the others by their weights.

    Parameters
    ----------
    capacity : float
    demand : dict of str to float
        In the same unit as the capacity, by account.
    floor : float, optional
        Share of its demand that each account gets at least.
    weights : dict of str to float, optional
        Equal if not given or if an account isn't in it.

    Returns
    -------
    dict of str to float
    """
    if weights is None or not demand.keys() <= weights.keys():
        weights = dict.fromkeys(demand, 1.0)
    rest, granted = dict(demand), {}
    while True:
        level = _fair_level(capacity - sum(granted.values()), rest, weights)
        # What these get beyond their parts lowers the level for the others.
        raised = [a for a in rest if floor * rest[a] > level * weights[a]]
        if not raised:
            break
        granted |= {account: floor * rest.pop(account) for account in raised}
    return granted | {a: min(rest[a], level * weights[a]) for a in rest}


def limit_accounts(shares, demand, by_account, small, floor, weights=None):
    """Limit the accounts that ask for more than their part of what a priority may use.

    Parameters
    ----------
    shares : dict of int to float
        Admitted share by priority, as ``allocate_shares`` returns it.
    demand : dict of int to float
        By priority.
    by_account : dict of int to dict of str to float
        The part of the demand of which the account is known, by priority.
    small : dict of int to float
        The part that is known to be of accounts with little demand, by priority. The
        rest of the demand, as of nodes that report no accounts, is limited by the share
        of its priority alone.
    floor : float
        Share that each priority and each account gets at least.
    weights : dict of str to float, optional
        See ``account_weights``.

    Returns
    -------
    shares : dict of int to float
        Share by priority of the accounts that aren't limited.
    account_shares : dict of str to float
        At most ``MAX_ACCOUNTS`` accounts, those furthest above their part. They hold
        for priorities with a share below 1.
    """
    shares, account_shares = dict(shares), {}
    for priority, share in shares.items():
        known = {a: d for a, d in by_account.get(priority, {}).items() if d > 0}
        # At the floor, all accounts get the floor.
        if not known or share >= 1.0 or share <= floor + _ROUNDING:
            continue
        capacity = share * demand[priority]
        unlisted = max(0.0, demand[priority] - sum(known.values()))
        little = min(small.get(priority, 0.0), unlisted)
        available = capacity - little - share * (unlisted - little)
        granted = divide(available, known, floor, weights)
        limited = [a for a in known if granted[a] < known[a] * (1.0 - _ROUNDING)]
        limited.sort(key=lambda account: granted[account] - known[account])
        listed = limited[:MAX_ACCOUNTS]
        others = demand[priority] - sum(known[account] for account in listed)
        left = capacity - sum(granted[account] for account in listed)
        share = left / others if others > _ROUNDING * demand[priority] else 1.0
        shares[priority] = round(min(LIMITED_SHARE, max(floor, share)), 4)
        for account in listed:
            share = round(granted[account] / known[account], 4)
            if share < shares[priority]:
                share = max(floor, share)
                account_shares[account] = min(account_shares.get(account, 1.0), share)
    return shares, account_shares


def _fair_level(capacity, demand, weights):
    """Return the part by unit of weight of the accounts that don't get all."""
    left, weight = capacity, sum(weights[account] for account in demand)
    for account in sorted(demand, key=lambda a: demand[a] / weights[a]):
        level = max(0.0, left) / weight
        if demand[account] >= level * weights[account]:
            return level
        left -= demand[account]
        weight -= weights[account]
    return inf
