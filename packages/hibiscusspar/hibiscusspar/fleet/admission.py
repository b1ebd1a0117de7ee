"""Admission to services by priority while they can't serve all requests.

Requests of several priorities share the targets of a service. Less urgent ones have
longer objectives, so by themselves they would wait longer and take the room of more
urgent ones. Under pressure the coordinator therefore derives which share of each
priority all nodes admit, and an admitted request of a less urgent priority leaves a
part of the time to the first byte to the more urgent ones.
"""

from collections import deque
from math import exp
from typing import NamedTuple

from hibiscusspar.fleet.account_counts import SMALL_ACCOUNTS, split_change
from hibiscusspar.fleet.account_shares import limit_accounts
from hibiscusspar.fleet.messages import AdmissionLevel
from hibiscusspar.fleet.returns import STEP_S, add_steps, shift_steps

__all__ = [
    "FleetAdmission",
    "NodeDemand",
    "LevelInputs",
    "SharePolicy",
    "allocate_shares",
    "service_goals",
]

_NO_COUNTS = (0, 0, 0)
# Rounding errors of times in seconds.
_CLOCK_ERROR_S = 1e-6


class SharePolicy(NamedTuple):
    """Settings of admission; times in seconds.

    There is pressure if more than ``pressure_share`` of the tokens asked for in the
    last ``window_s`` were refused or wait for room. ``floor`` is the part of the share
    of all requests that each priority gets at least; the requirement is a quarter.
    The capacity is the highest rate of sent tokens, which decays with time
    constant ``decay_s``, so that it follows a loss of targets. ``return_share`` of it
    is left to callers who return.

    A level is used up to an age of ``stale_s``. ``rank_share`` is the part of the time
    of the most urgent priority that each further priority leaves free. A request that
    isn't admitted is still sent if its first byte is expected within ``idle_s``, that
    is, by a target without a queue. Requests of less urgent priorities wait for room
    for at most ``hold_s`` under pressure, as a late refusal costs callers most.
    """

    pressure_share: float = 0.02
    window_s: float = 1.0
    floor: float = 0.3
    decay_s: float = 5.0
    return_share: float = 0.1
    stale_s: float = 1.5
    rank_share: float = 0.25
    idle_s: float = 0.16
    hold_s: float = 0.5


class NodeDemand(NamedTuple):
    """What the report of a node tells of demand, received at ``at``.

    ``asked``, ``booked``, ``waiting`` and ``asked_by_account`` are as in
    ``NodeReport``.
    """

    node: str
    start: str
    at: float
    asked: dict[str, dict[int, tuple[int, int, int]]]
    booked: dict[str, list[int]]
    waiting: dict[str, int]
    asked_by_account: dict[str, dict[int, dict[str, tuple[int, int]]]] = {}


class LevelInputs(NamedTuple):
    """What a level was derived from.

    ``missing`` holds the tokens that were refused in the last window or wait for room,
    ``by_account`` the tokens asked for and refused in it by limited accounts.
    """

    asked_per_s: int
    capacity_per_s: int
    missing: int
    age_s: float
    by_account: dict[str, list[int]]


def service_goals(ruleset):
    """Return the shortest first-byte objective by service and priority.

    Parameters
    ----------
    ruleset : Ruleset

    Returns
    -------
    dict of str to dict of int to float
        Only services whose requests have more than one priority.
    """
    own = {ruleset.accounts.get(name) for name in ruleset.keys.values()}
    goals = {}
    for route in (route for rows in ruleset.routes.values() for route in rows):
        priorities = {
            route.priority
            if route.public or rule is None or rule.priority is None
            else rule.priority
            for rule in (own or {None})
        }
        for service, weight in route.split:
            row = goals.setdefault(service, {}) if weight > 0 else {}
            for priority in priorities:
                goal_s = row.get(priority, route.first_byte_slo_s)
                row[priority] = min(goal_s, route.first_byte_slo_s)
    return {service: row for service, row in goals.items() if len(row) > 1}


def allocate_shares(capacity, demand, floor, reserved=0.0):
    """Return the share of each priority that a capacity admits.

    Each priority gets what the more urgent ones leave, but at least the floor.

    Parameters
    ----------
    capacity : float
    demand : dict of int to float
        In the same unit as the capacity, by priority.
    floor : float
    reserved : float, optional
        Part of the capacity that only the most urgent priority may use.

    Returns
    -------
    dict of int to float
    """
    shares = {}
    left = capacity
    share = 1.0
    for priority in sorted(demand):
        if demand[priority] > 0:
            # What rounding leaves over may be much for a tiny demand.
            share = min(share, max(floor, left / demand[priority]))
        left -= share * demand[priority]
        if not shares:
            left -= reserved
        shares[priority] = round(share, 4)
    return shares


class FleetAdmission:
    """Levels of all services, derived by the coordinator from the nodes' counts.

    Parameters
    ----------
    policy : SharePolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or SharePolicy()
        self._services = frozenset()
        self._weights = None
        self.reset()

    def reset(self):
        """Forget all counts, at the start of a term."""
        self._counts = {}
        self._window = deque()
        self._capacity = {}
        self._started_at = None
        self._updated_at = None
        self.inputs = {}

    def configure(self, goals, weights=None):
        """Set the services with several priorities and the weights of accounts.

        See ``service_goals`` and ``account_weights``.
        """
        self._services = frozenset(goals)
        self._weights = weights

    def update(self, now, rows):
        """Record the newest counts and return the levels.

        Parameters
        ----------
        now : float
        rows : list of NodeDemand
            Counts of the nodes whose reports are not stale.

        Returns
        -------
        dict of str to AdmissionLevel or None
            Levels of the services under pressure. It is None if no service has several
            priorities, and until the counts span a window.
        """
        policy = self._policy
        # Another thread may configure others meanwhile.
        services = self._services
        if not services:
            return None
        if self._updated_at is None or now > self._updated_at + policy.stale_s:
            self.reset()
            self._started_at = now
        elapsed_s = now - (self._updated_at or now)
        self._updated_at = now
        self._window.append((now, *self._changes(rows)))
        while now - self._window[0][0] > policy.window_s - _CLOCK_ERROR_S:
            self._window.popleft()
        sums = {}
        for _, changes, _ in self._window:
            for key, counts in changes.items():
                _add(sums.setdefault(key, [0, 0, 0]), counts)
        self._update_capacity(now, elapsed_s, services, sums)
        if now < self._started_at + policy.window_s:
            return None
        age_s = round(now - max((row.at for row in rows), default=now), 3)
        levels = {}
        for service in sorted(services):
            level = self._level(now, service, sums, rows, age_s)
            if level is not None:
                levels[service] = level
        return levels

    def _changes(self, rows):
        """Return the tokens since the last update, by priority and by account.

        The counts of a node that wasn't known or was silent are only a start, as they
        may cover a long time.
        """
        changes, by_account = {}, {}
        for row in rows:
            known = self._counts.get(row.node)
            if row.asked:
                self._counts[row.node] = row
            if known is None or known.start != row.start:
                continue
            if row.at > known.at + self._policy.stale_s:
                continue
            for service, priorities in row.asked.items():
                before = known.asked.get(service, {})
                named = row.asked_by_account.get(service, {})
                named_before = known.asked_by_account.get(service, {})
                for priority, counts in priorities.items():
                    earlier = before.get(priority, _NO_COUNTS)
                    if counts == earlier:
                        continue
                    sums = changes.setdefault((service, priority), [0, 0, 0])
                    _add(sums, counts, earlier)
                    change = (counts[0] - earlier[0], counts[2] - earlier[2])
                    if priority not in named or not any(change):
                        continue
                    parts = split_change(
                        change, named[priority], named_before.get(priority, {})
                    )
                    for account, part in parts.items():
                        key = (service, priority, account)
                        _add(by_account.setdefault(key, [0, 0]), part)
        return changes, by_account

    def _update_capacity(self, now, elapsed_s, services, sums):
        policy = self._policy
        span_s = min(policy.window_s, max(now - self._started_at, STEP_S))
        decay = exp(-elapsed_s / policy.decay_s)
        for service in services:
            sent_per_s = _total(sums, service, 1) / span_s
            self._capacity[service] = max(
                sent_per_s, self._capacity.get(service, 0.0) * decay
            )

    def _level(self, now, service, sums, rows, age_s):
        policy = self._policy
        demand = {
            priority: counts[0] / policy.window_s
            for (name, priority), counts in sums.items()
            if name == service
        }
        waiting = sum(row.waiting.get(service, 0) for row in rows)
        missing = _total(sums, service, 2) + waiting
        capacity = self._capacity[service]
        self.inputs[service] = LevelInputs(
            round(sum(demand.values())), round(capacity), missing, age_s, {}
        )
        if missing <= policy.pressure_share * sum(demand.values()) * policy.window_s:
            return None
        room = policy.return_share * capacity
        booking = [row for row in rows if service in row.booked]
        elapsed_s = sum(now - row.at for row in booking) / max(1, len(booking))
        booked = shift_steps(
            add_steps(*(row.booked[service] for row in booking)), elapsed_s
        )
        total = sum(demand.values())
        floor = round(policy.floor * min(1.0, capacity / max(1.0, total)), 4)
        returning = sum(booked[: round(policy.window_s / STEP_S)]) / policy.window_s
        shares = allocate_shares(capacity, demand, floor, min(room, returning))
        shares, account_shares = self._limit_accounts(service, shares, demand, floor)
        return AdmissionLevel(
            shares,
            round(max(room, capacity - total), 1),
            [round(tokens) for tokens in booked],
            age_s,
            floor,
            round(_total(sums, service, 2) / policy.window_s, 1),
            account_shares,
        )

    def _limit_accounts(self, service, shares, demand, floor):
        """Return the shares by priority and of limited accounts."""
        sums = {}
        for _, _, changes in self._window:
            for (name, *key), counts in changes.items():
                if name == service:
                    _add(sums.setdefault(tuple(key), [0, 0]), counts)
        by_account, small = {}, {}
        for (priority, account), (asked, _) in sums.items():
            rows = by_account.setdefault(priority, {})
            if account is SMALL_ACCOUNTS:
                small[priority] = asked / self._policy.window_s
            else:
                rows[account] = asked / self._policy.window_s
        shares, account_shares = limit_accounts(
            shares, demand, by_account, small, floor, self._weights
        )
        for (_, account), counts in sums.items():
            if account in account_shares:
                limited = self.inputs[service].by_account
                _add(limited.setdefault(account, [0, 0]), counts)
        return shares, account_shares


def _total(sums, service, index):
    return sum(counts[index] for (name, _), counts in sums.items() if name == service)


def _add(sums, counts, earlier=_NO_COUNTS):
    """Add the tokens asked for, sent and refused since earlier counts."""
    for index, count in enumerate(counts):
        sums[index] += count - earlier[index]
