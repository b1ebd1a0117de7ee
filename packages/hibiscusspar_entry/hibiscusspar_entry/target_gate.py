"""Blocking wait of request threads for the decisions of the scheduler."""

import threading

from hibiscusspar.limits.fair_queue import QueueRefusal
from hibiscusspar.placement.routing import Dispatch
from hibiscusspar_entry.refusal import RefusedError

__all__ = ["TargetGate"]

_BUSY_STATUS = 503


class _Ticket:
    """Decision about one request and the event that it was made."""

    def __init__(self):
        self.decision = None
        self.decided = threading.Event()

    def set_decision(self, decision):
        self.decision = decision
        self.decided.set()


class TargetGate:
    """Bridge from the decisions of a scheduler to the threads that wait for them.

    Parameters
    ----------
    driver : Driver
    scheduler : Scheduler
    placement : PlacementSystem
    clock : Clock
    """

    def __init__(self, driver, scheduler, placement, clock):
        self._driver = driver
        self._scheduler = scheduler
        self._placement = placement
        self._clock = clock
        self._tickets = {}

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
            If the queue is full, no target is available or the deadline passed.
        """
        request_id = job.route.request_id
        ticket = self._tickets[request_id] = _Ticket()
        try:
            with self._driver.locked_systems() as (now, out):
                refusal = self._scheduler.add(now, job, out)
            if refusal is not None:
                raise _busy_error(job, refusal)
            ticket.decided.wait(max(0.0, job.deadline - self._clock()))
            with self._driver.locked_systems() as (now, out):
                refusal = self._scheduler.give_up(now, request_id, out)
        finally:
            del self._tickets[request_id]
        decision = refusal or ticket.decision
        if isinstance(decision, Dispatch):
            return decision
        raise _busy_error(job, decision)

    def release(self, request_id, outcome):
        """Release the concurrency unit of a request."""
        with self._driver.locked_systems() as (now, out):
            self._placement.finished(now, request_id, outcome, out)

    def before_unlock(self, now, out):
        """Wake the threads of decided requests; the caller holds the lock."""
        self._scheduler.start_ready(now, out)
        for request_id, decision in self._scheduler.take_decided():
            self._tickets[request_id].set_decision(decision)


def _busy_error(job, refusal: QueueRefusal):
    return RefusedError(
        _BUSY_STATUS,
        "busy",
        f"no target in time: {refusal.reason}",
        "schedule",
        job.account,
        retry_after_s=refusal.retry_after_s,
    )
