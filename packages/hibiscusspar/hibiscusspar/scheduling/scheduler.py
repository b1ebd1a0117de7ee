"""Fair scheduling of a node's requests ahead of their placement."""

from typing import NamedTuple

from hibiscusspar.limits.fair_queue import FairQueue, QueuedRequest, QueueRefusal
from hibiscusspar.placement.routing import RouteRequest, Wait

__all__ = ["Job", "Scheduler"]

OPEN_ACCOUNT = "(open)"
MIN_RETRY_AFTER_S = 1.0


class Job(NamedTuple):
    """A request that needs a target.

    ``account`` is empty on a route without authentication. ``tokens`` is the cost of
    the request in the fair queue, ``deadline`` the latest time to start it.
    """

    route: RouteRequest
    account: str
    tokens: float
    deadline: float


class Scheduler:
    """Scheduler of the waiting requests of one node.

    Requests start in the order of the fair queue as units of concurrency of targets
    become free. A request that has to wait is announced to placement, which then
    requests what it needs.

    Parameters
    ----------
    placement : PlacementSystem
    queue : FairQueue, optional
    """

    def __init__(self, placement, queue=None):
        self._placement = placement
        self._queue = queue or FairQueue()
        self._jobs = {}
        self._decided = []

    def __len__(self):
        return len(self._queue)

    @property
    def waiting_by_account(self):
        """Number of waiting requests of each account that has any."""
        return self._queue.waiting_by_account

    def configure(self, configuration):
        """Set the weights of the accounts from a configuration."""
        weights = {name: spec.weight for name, spec in configuration.accounts.items()}
        self._queue.set_weights(weights)

    def add(self, now, job, out):
        """Queue a request; its decision comes from :meth:`take_decided`.

        Parameters
        ----------
        now : float
        job : Job
        out : Outbox

        Returns
        -------
        QueueRefusal or None
            None if the request is queued or decided.
        """
        refusal = self._queue.push(now, _queued_request(job))
        if refusal is not None:
            return refusal
        request_id = job.route.request_id
        self._jobs[request_id] = job
        self._start_waiting(now, out)
        if request_id in self._jobs:
            self._announce(now, job, out)
        return None

    def start_ready(self, now, out):
        """Start the requests that can run if placement has freed units."""
        if self._placement.take_ready():
            self._start_waiting(now, out)

    def give_up(self, now, request_id, out):
        """Remove a request that still waits.

        Returns
        -------
        QueueRefusal or None
            Reason and retry delay; None if the request isn't waiting.
        """
        job = self._jobs.pop(request_id, None)
        if job is None:
            return None
        self._queue.remove(request_id)
        self._placement.finished(now, request_id, "not-run", out)
        wait_s = self._queue.expected_wait_s(job.account or OPEN_ACCOUNT)
        return QueueRefusal("deadline", max(MIN_RETRY_AFTER_S, wait_s))

    def take_decided(self):
        """Return and clear the decisions as (request id, Dispatch or Refuse)."""
        decided, self._decided = self._decided, []
        return decided

    def _start_waiting(self, now, out):
        while (item := self._queue.pop(now, self._can_route_now)) is not None:
            job = self._jobs[item.request_id]
            decision = self._placement.route(now, job.route, out)
            if isinstance(decision, Wait):
                self._queue.push(now, item)
                return
            self._decide(job, decision)

    def _can_route_now(self, item):
        return self._placement.can_route_now(self._jobs[item.request_id].route)

    def _announce(self, now, job, out):
        decision = self._placement.route(now, job.route, out)
        if not isinstance(decision, Wait):
            self._queue.remove(job.route.request_id)
            self._decide(job, decision)

    def _decide(self, job, decision):
        del self._jobs[job.route.request_id]
        self._decided.append((job.route.request_id, decision))


def _queued_request(job):
    route = job.route
    label = f"{route.adapter}@{route.version}" if route.adapter else route.service
    account = job.account or OPEN_ACCOUNT
    return QueuedRequest(route.request_id, account, label, job.tokens, job.deadline)
