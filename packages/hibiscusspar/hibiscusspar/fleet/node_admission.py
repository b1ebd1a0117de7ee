"""Admission of the requests of one node, by the levels of the coordinator."""

from collections import Counter
from math import inf

from xxhash import xxh3_64_intdigest

from hibiscusspar.fleet.account_counts import AccountCounts
from hibiscusspar.fleet.account_shares import LIMITED_SHARE
from hibiscusspar.fleet.admission import SharePolicy
from hibiscusspar.fleet.refused_calls import RefusedCalls
from hibiscusspar.fleet.returns import (
    STEP_S,
    ReturnBook,
    add_steps,
    first_free_step,
    shift_steps,
)
from hibiscusspar.fleet.waiting import Refuse, Send, Wait, WaitPolicy, job_sort_key

__all__ = ["NodeAdmission"]

# Refusals that a service with more room would not have made.
_ROOM_REASONS = frozenset({"busy", "limited", "no room"})
_HASH_RANGE = float(2**64)
# Seeds of hashes that are independent of each other and of the one that splits routes.
_SHARE_SEED = 1
_JITTER_SEED = 2
_RETURN_SEED = 3
# Difference in seconds between a route's time-out and a first request's deadline that
# callers cause by measuring it from before they connect.
_FIRST_SEND_S = 0.02


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
        self._account_counts = AccountCounts()
        self._books = {}
        self._refused_calls = RefusedCalls()
        self.refusals = 0
        self.recognized_returns = 0

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

    def asked_by_account(self, now):
        """Return the counts by account for the report."""
        return self._account_counts.latest(now)

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
        if job.digest and not job.attempts:
            job = self._recognize(now, job)
        if not job.attempts and job.returned_s < _FIRST_SEND_S:
            self._count(now, job, 0)
        level = self.level(now, job.service)
        if level is None or job.attempts or job.software is not None:
            return job
        share = min(level.shares.get(job.priority, 1.0), _account_share(level, job))
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
            self._count(now, job, 1)
        elif decision.reason in _ROOM_REASONS:
            self.refusals += decision.reason == "no room"
            # A caller who retries at once was counted and told when to return before.
            if _FIRST_SEND_S <= job.returned_s < self._wait_policy.retry_s:
                return
            self._count(now, job, 2)
            if self.level(now, job.service) is not None:
                book = self._books.setdefault(job.service, ReturnBook())
                return_at = now + decision.retry_after_s
                book.record(now, return_at, _tokens(job))
                if job.digest:
                    self._refused_calls.record(now, job.digest, return_at)

    def _recognize(self, now, job):
        """Return a plain call, with the time since its refusal if it returns."""
        refused_s = self._refused_calls.take(now, job.digest)
        if refused_s is None:
            return job
        self.recognized_returns += 1
        return job._replace(returned_s=max(refused_s, self._wait_policy.retry_s))

    def _is_return(self, job):
        """Return whether the caller returns after a refusal, not at once."""
        return job.returned_s >= self._wait_policy.retry_s

    def _longest_s(self, job, level):
        """Return the longest time to the first byte with which a job is sent.

        The part of a priority that is admitted at any pressure may use its own
        objective, so that its requests don't starve behind more urgent ones. Where an
        account is limited because it asks for more than its part, this holds for a
        smaller part of its requests, and for all requests of accounts within theirs:
        when a flood begins, it has filled the queues before there is a level.
        """
        if not job.is_admitted:
            return self._policy.idle_s
        goals = self._goals[job.service]
        more_urgent = [priority for priority in goals if priority < job.priority]
        floor = level.floor * _account_share(level, job)
        if not more_urgent or _fraction(job, _SHARE_SEED) < floor:
            return inf
        if _is_within_part(level, job):
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
        # Streams count as arrived when they were first sent, plain calls each time.
        sent_at = job.arrived + (0.0 if job.digest else job.returned_s)
        return min(job.give_up_at, sent_at + self._policy.hold_s)

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

    def _count(self, now, job, index):
        if job.account and index != 1:
            self._account_counts.record(now, job, _tokens(job), index == 2)
        rows = self._counts.setdefault(job.service, {})
        row = rows.setdefault(job.priority, [0, 0, 0])
        row[index] += _tokens(job)


def _account_share(level, job):
    """Return the share of an account, 1 if it isn't limited for the job's priority."""
    if level.shares.get(job.priority, 1.0) >= 1.0:
        return 1.0
    return level.account_shares.get(job.account, 1.0)


def _is_within_part(level, job):
    """Return whether an account gets all it asks for because others are limited."""
    share = level.shares.get(job.priority, 1.0)
    is_limited = not job.account or job.account in level.account_shares
    return LIMITED_SHARE <= share < 1.0 and not is_limited


def _tokens(job):
    """Return the size of a job; requests to plain services have no prompt tokens."""
    return max(1, job.prompt_tokens)


def _fraction(job, seed):
    return xxh3_64_intdigest(job.request_id.encode(), seed=seed) / _HASH_RANGE
