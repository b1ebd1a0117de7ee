"""Admission to services by priority while they can't serve all requests.

Requests of several priorities share the targets of a service. Less urgent ones have
longer objectives, so by themselves they would wait longer and take the room of more
urgent ones. Under pressure the coordinator therefore derives which share of each
priority all nodes admit, and an admitted request of a less urgent priority leaves a
part of the time to the first byte to the more urgent ones.
"""

from collections import Counter, deque
from math import exp, inf
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from hibiscusspar.fleet.messages import AdmissionLevel
from hibiscusspar.fleet.returns import (
    STEP_S,
    ReturnBook,
    add_steps,
    first_free_step,
    shift_steps,
)
from hibiscusspar.fleet.waiting import Refuse, Send, Wait, WaitPolicy, job_sort_key

__all__ = [
    "FleetAdmission",
    "NodeAdmission",
    "NodeDemand",
    "LevelInputs",
    "SharePolicy",
    "allocate_shares",
    "service_goals",
]

# Refusals that a service with more room would not have made.
_ROOM_REASONS = frozenset({"busy", "limited", "no room"})
_NO_COUNTS = (0, 0, 0)
_HASH_RANGE = float(2**64)
# Seeds of hashes that are independent of each other and of the one that splits routes.
_SHARE_SEED = 1
_JITTER_SEED = 2
_RETURN_SEED = 3
# Rounding errors of times in seconds.
_CLOCK_ERROR_S = 1e-6
# Difference in seconds between a route's time-out and a first request's deadline that
# callers cause by measuring it from before they connect.
_FIRST_SEND_S = 0.02


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

    ``asked``, ``booked`` and ``waiting`` are as in ``NodeReport``.
    """

    node: str
    start: str
    at: float
    asked: dict[str, dict[int, tuple[int, int, int]]]
    booked: dict[str, list[int]]
    waiting: dict[str, int]


class LevelInputs(NamedTuple):
    """What a level was derived from.

    ``missing`` holds the tokens that were refused in the last window or wait for room.
    """

    asked_per_s: int
    capacity_per_s: int
    missing: int
    age_s: float


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
        self.reset()

    def reset(self):
        """Forget all counts, at the start of a term."""
        self._counts = {}
        self._window = deque()
        self._capacity = {}
        self._started_at = None
        self._updated_at = None
        self.inputs = {}

    def configure(self, goals):
        """Set the services with several priorities; see ``service_goals``."""
        self._services = frozenset(goals)

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
        self._window.append((now, self._changes(rows)))
        while now - self._window[0][0] > policy.window_s - _CLOCK_ERROR_S:
            self._window.popleft()
        sums = {}
        for _, changes in self._window:
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
        """Return the tokens by service and priority since the last update.

        The counts of a node that wasn't known or was silent are only a start, as they
        may cover a long time.
        """
        changes = {}
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
                for priority, counts in priorities.items():
                    earlier = before.get(priority, _NO_COUNTS)
                    if counts != earlier:
                        sums = changes.setdefault((service, priority), [0, 0, 0])
                        _add(sums, counts, earlier)
        return changes

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
            round(sum(demand.values())), round(capacity), missing, age_s
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
        return AdmissionLevel(
            allocate_shares(capacity, demand, floor, min(room, returning)),
            round(max(room, capacity - total), 1),
            [round(tokens) for tokens in booked],
            age_s,
            floor,
            round(_total(sums, service, 2) / policy.window_s, 1),
        )


class NodeAdmission:
    """Admission of the requests of one node.

    Parameters
    ----------
    policy : SharePolicy, optional
    wait_policy : WaitPolicy, optional
    """

    def __init__(self, policy=None, wait_policy=None):
        self._policy = policy or SharePolicy()
        self._wait_policy = wait_policy or WaitPolicy()
        self._goals = {}
        self._levels = {}
        self._levels_at = None
        self._counted_at = None
        self._counts = {}
        self._books = {}
        self.refusals = 0

    @property
    def known_levels(self):
        """Levels of the last view that told of them."""
        return self._levels

    def configure(self, goals):
        """Set the objectives by service and priority; see ``service_goals``."""
        self._goals = goals

    def apply_levels(self, now, levels, counted_at):
        """Apply the levels of a view.

        Parameters
        ----------
        now : float
        levels : dict of str to AdmissionLevel or None
            None keeps the last levels, as long as they aren't stale.
        counted_at : float or None
            Time of the report of this node that the view answers.
        """
        if levels is not None:
            self._levels, self._levels_at = levels, now
            self._counted_at = counted_at

    def asked(self):
        """Return the counts for the report, by service and priority."""
        return {
            service: {priority: tuple(row) for priority, row in rows.items()}
            for service, rows in self._counts.items()
        }

    def booked(self, now):
        """Return the announced returns for the report, by service and step."""
        rows = {service: book.steps(now) for service, book in self._books.items()}
        return {service: steps for service, steps in rows.items() if steps}

    def waiting(self, busy_jobs):
        """Return the tokens that wait for room for the report, by service."""
        waiting = Counter()
        for job in busy_jobs:
            if job.service in self._goals:
                waiting[job.service] += _tokens(job)
        return dict(waiting)

    def level(self, now, service):
        """Return the level of a service, or None if none applies."""
        level = self._levels.get(service)
        if level is None or service not in self._goals:
            return None
        age_s = level.age_s + now - self._levels_at
        return level if age_s <= self._policy.stale_s else None

    def knows_levels(self, now):
        """Return whether a recent view told the levels of all services."""
        at = self._levels_at
        return at is not None and now <= at + self._policy.stale_s

    def enter(self, now, job):
        """Return a new job with the verdict whether it is admitted."""
        if job.service not in self._goals:
            return job
        if not job.attempts and job.returned_s < _FIRST_SEND_S:
            self._count(job, 0)
        level = self.level(now, job.service)
        if level is None or job.attempts or job.software is not None:
            return job
        share = level.shares.get(job.priority, 1.0)
        is_admitted = self._is_return(job) or _fraction(job, _SHARE_SEED) < share
        return job._replace(is_admitted=is_admitted)

    def sort_key(self, now, job):
        """Return the sort key of a waiting job; the smallest one is next.

        Under pressure callers who return go before others of their priority, and
        priority counts for more than the chance to be in time.
        """
        is_late, priority, arrived = job_sort_key(now, job, self._wait_policy)
        if self.level(now, job.service) is None:
            return is_late, priority, False, arrived
        is_return = self._is_return(job)
        return priority, is_late and not is_return, not is_return, arrived

    def must_yield(self, now, job, busy_jobs):
        """Return whether a new job waits behind more urgent ones of its node.

        Only without levels: they already leave room to more urgent requests.

        Parameters
        ----------
        now : float
        job : Job
        busy_jobs : iterable of Job
            Jobs that wait for room at a target.
        """
        if job.service not in self._goals or self.knows_levels(now):
            return False
        return any(
            other.service == job.service and other.priority < job.priority
            for other in busy_jobs
        )

    def review(self, now, job, decision):
        """Return the decision about a job as the level of its service allows.

        Parameters
        ----------
        now : float
        job : Job
        decision : Send, Wait or Refuse

        Returns
        -------
        Send, Wait or Refuse
        """
        level = self.level(now, job.service)
        if level is None or job.attempts or job.software is not None:
            return decision
        if isinstance(decision, Send):
            if decision.first_byte_s <= self._longest_s(job, level):
                return decision
            decision = Wait("busy")
        if isinstance(decision, Wait) and now < self._held_until(job, level, decision):
            return decision
        if isinstance(decision, Refuse) and decision.reason not in _ROOM_REASONS:
            return decision
        reason = decision.reason if isinstance(decision, Refuse) else "no room"
        return Refuse(reason, self._retry_after_s(now, job, level, decision))

    def record(self, now, job, decision):
        """Count a final decision."""
        if job.service not in self._goals or job.attempts:
            return
        if isinstance(decision, Send):
            self._count(job, 1)
        elif decision.reason in _ROOM_REASONS:
            self.refusals += decision.reason == "no room"
            # A caller who retries at once was counted and told when to return before.
            if _FIRST_SEND_S <= job.returned_s < self._wait_policy.retry_s:
                return
            self._count(job, 2)
            if self.level(now, job.service) is not None:
                book = self._books.setdefault(job.service, ReturnBook())
                book.record(now, now + decision.retry_after_s, _tokens(job))

    def _is_return(self, job):
        """Return whether the caller returns after a refusal, not at once."""
        return job.returned_s >= self._wait_policy.retry_s

    def _longest_s(self, job, level):
        """Return the longest time to the first byte with which a job is sent.

        The part of a priority that is admitted at any pressure may use its own
        objective, so that its requests don't starve behind more urgent ones.
        """
        if not job.is_admitted:
            return self._policy.idle_s
        goals = self._goals[job.service]
        more_urgent = [priority for priority in goals if priority < job.priority]
        if not more_urgent or _fraction(job, _SHARE_SEED) < level.floor:
            return inf
        usable = max(0.0, 1.0 - self._policy.rank_share * len(more_urgent))
        goal_s = min(goals[priority] for priority in more_urgent)
        return max(self._policy.idle_s, usable * goal_s * self._wait_policy.slo_share)

    def _held_until(self, job, level, wait):
        """Return until when a job may wait.

        Only a wait for room is shortened, and only if there is too little for the
        priority of the job.
        """
        if not job.is_admitted:
            return -inf
        is_most_urgent = job.priority == min(self._goals[job.service])
        has_room = level.shares.get(job.priority, 1.0) >= 1.0
        if wait.reason != "busy" or is_most_urgent or has_room:
            return job.give_up_at
        return min(job.give_up_at, job.arrived + job.returned_s + self._policy.hold_s)

    def _retry_after_s(self, now, job, level, decision):
        """Return the time to the first step with room, with jitter in the step."""
        shortest_s = self._wait_policy.retry_s
        if isinstance(decision, Refuse):
            spread_s = self._wait_policy.retry_spread_s * job.fraction
            shortest_s = max(shortest_s, decision.retry_after_s - spread_s)
        elapsed_s = level.age_s + now - self._levels_at
        booked = shift_steps(level.booked, elapsed_s)
        book = self._books.get(job.service)
        if book is not None:
            booked = add_steps(booked, book.steps(now, self._counted_at))
        counted_s = now - (self._counted_at or self._levels_at)
        step = first_free_step(
            level.room_per_s,
            booked,
            _tokens(job),
            level.refused_per_s * counted_s,
            _fraction(job, _RETURN_SEED),
            int(shortest_s / STEP_S),
        )
        starts_s = max(shortest_s, step * STEP_S)
        ends_s = max(starts_s, (step + 1) * STEP_S)
        return starts_s + (ends_s - starts_s) * _fraction(job, _JITTER_SEED)

    def _count(self, job, index):
        rows = self._counts.setdefault(job.service, {})
        row = rows.setdefault(job.priority, [0, 0, 0])
        row[index] += _tokens(job)


def _tokens(job):
    """Return the size of a job; requests to plain services have no prompt tokens."""
    return max(1, job.prompt_tokens)


def _fraction(job, seed):
    return xxh3_64_intdigest(job.request_id.encode(), seed=seed) / _HASH_RANGE


def _total(sums, service, index):
    return sum(counts[index] for (name, _), counts in sums.items() if name == service)


def _add(sums, counts, earlier=_NO_COUNTS):
    """Add the tokens asked for, sent and refused since earlier counts."""
    for index, count in enumerate(counts):
        sums[index] += count - earlier[index]
