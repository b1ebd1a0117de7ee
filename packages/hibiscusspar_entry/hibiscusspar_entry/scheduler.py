"""Waits for a target: the fair queue in front of placement."""

import threading
from typing import NamedTuple

from hibiscusspar.limits.fair_queue import FairQueue, Waiting
from hibiscusspar.placement.routing import Dispatch, Refuse, RouteRequest, Wait
from hibiscusspar_entry.refusal import RefusedError

__all__ = ["Job", "Scheduler"]

OPEN_ACCOUNT = "(open)"
MIN_RETRY_AFTER_S = 1.0
_BUSY_STATUS = 503


class Job(NamedTuple):
    """A request that wants a target.

    ``tokens`` is its share in the queue; ``deadline`` is in seconds of the
    process's monotonic clock.
    """

    route: RouteRequest
    account: str
    tokens: float
    deadline: float


class _Ticket:
    """A job and the decision about it, once there is one."""

    def __init__(self, job):
        self.job = job
        self.decision = None
        self.decided = threading.Event()

    def decide(self, decision):
        self.decision = decision
        self.decided.set()


class Scheduler:
    """Gives waiting requests their turn and a target.

    Parameters
    ----------
    driver : Driver
    placement : PlacementSystem
    clock : Clock
    """

    def __init__(self, driver, placement, clock):
        self._driver = driver
        self._placement = placement
        self._clock = clock
        self._queue = FairQueue()
        self._tickets = {}

    @property
    def waiting(self):
        """Number of requests that wait."""
        return len(self._queue)

    def configure(self, configuration):
        """Take in the weights of the accounts; call it under the driver's lock."""
        weights = {name: spec.weight for name, spec in configuration.accounts.items()}
        self._queue.set_weights(weights)

    def acquire(self, job):
        """Wait for a target until the deadline of a job.

        Parameters
        ----------
        job : Job

        Returns
        -------
        Dispatch

        Raises
        ------
        RefusedError
            If the queue is full, no target can be had, or the deadline passed.
        """
        ticket = _Ticket(job)
        with self._driver.decide() as (now, out):
            self._add(now, ticket, out)
        ticket.decided.wait(max(0.0, job.deadline - self._clock()))
        with self._driver.decide() as (now, out):
            if ticket.decision is None:
                self._give_up(now, ticket, out)
        if isinstance(ticket.decision, Dispatch):
            return ticket.decision
        raise _busy(job, ticket.decision.reason, ticket.decision.retry_after_s)

    def release(self, request_id, outcome):
        """Give back the unit of concurrency that a request took."""
        with self._driver.decide() as (now, out):
            self._placement.finished(now, request_id, outcome, out)

    def after_decision(self, now, out):
        """Start what can run now; the driver calls it under its lock."""
        if self._placement.take_ready():
            self._pump(now, out)

    def _add(self, now, ticket, out):
        job = ticket.job
        refusal = self._queue.push(now, _waiting(job))
        if refusal is not None:
            raise _busy(job, refusal.reason, refusal.retry_after_s)
        self._tickets[job.route.request_id] = ticket
        self._pump(now, out)
        if ticket.decision is None:
            self._announce(now, ticket, out)

    def _pump(self, now, out):
        while (item := self._queue.pop(now, self._has_room)) is not None:
            ticket = self._tickets[item.request_id]
            decision = self._placement.route(now, ticket.job.route, out)
            if isinstance(decision, Wait):
                self._queue.push(now, item)
                return
            self._decide(ticket, decision)

    def _has_room(self, item):
        return self._placement.room(self._tickets[item.request_id].job.route)

    def _announce(self, now, ticket, out):
        """Tell placement of a request that has to wait, so that it asks for it."""
        decision = self._placement.route(now, ticket.job.route, out)
        if not isinstance(decision, Wait):
            self._queue.remove(ticket.job.route.request_id)
            self._decide(ticket, decision)

    def _decide(self, ticket, decision):
        del self._tickets[ticket.job.route.request_id]
        ticket.decide(decision)

    def _give_up(self, now, ticket, out):
        request_id = ticket.job.route.request_id
        self._queue.remove(request_id)
        self._placement.finished(now, request_id, "not-run", out)
        wait_s = self._queue.expected_wait_s(ticket.job.account)
        self._decide(ticket, Refuse("deadline", max(MIN_RETRY_AFTER_S, wait_s)))


def _waiting(job):
    route = job.route
    label = f"{route.adapter}@{route.version}" if route.adapter else route.service
    account = job.account or OPEN_ACCOUNT
    return Waiting(route.request_id, account, label, job.tokens, job.deadline)


def _busy(job, reason, retry_after_s):
    return RefusedError(
        _BUSY_STATUS,
        "busy",
        f"no target in time: {reason}",
        "schedule",
        job.account,
        retry_after_s=retry_after_s,
    )
