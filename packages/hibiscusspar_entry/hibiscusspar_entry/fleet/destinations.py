"""Reservation of targets for streams that move."""

import threading

from hibiscusspar.fleet.run_weights import Holding
from hibiscusspar_entry.fleet.stream_run import move_job

__all__ = ["Destinations"]

# Destinations that are tried for one choice.
_MAX_CHOICES = 6
# Time in seconds that a leaving target must have left for a load of an adapter: some
# 0.15 s for the load at an idle target, and the rest for the report, order and copy.
_MIN_LOAD_S = 0.25
# Destinations whose weights can't be read, after which a choice is given up, as each
# may take as long as the time-outs of a report. A run that is stopped has less time.
_MAX_UNKNOWN, _MAX_UNKNOWN_STOPPED = 2, 1
# Time in seconds until such a destination is tried again.
_UNKNOWN_S = 0.5


class Destinations:
    """Choice of destinations by the scheduler of one node.

    Parameters
    ----------
    clock : callable
    request_scheduler : RequestScheduler
    closed_targets : callable
        Returns the ids of the targets that must not get a moved stream.
    weights : WeightsCheck
    log : MoveLog
    """

    def __init__(self, clock, request_scheduler, closed_targets, weights, log):
        self._clock = clock
        self._scheduler = request_scheduler
        self._closed_targets = closed_targets
        self._weights = weights
        self._log = log
        # Guards the waiting requests of the runs.
        self._lock = threading.Lock()

    def reserve(self, run, full_targets, claim, is_stopped=False):
        """Reserve a destination and return its placement, or None.

        Parameters
        ----------
        run : StreamRun
        full_targets : callable
            Returns the targets that get as many moves from the source as allowed.
        claim : callable
            Takes a placement unless its target is full; returns whether it did.
        is_stopped : bool, optional
            Whether the run has stopped, so that its caller waits.
        """
        service, model = run.admitted.service, run.admitted.call.model
        version, unknown = run.weights.model, 0
        max_unknown = _MAX_UNKNOWN_STOPPED if is_stopped else _MAX_UNKNOWN
        for _ in range(_MAX_CHOICES):
            excluded = self._excluded(run) | full_targets()
            excluded |= self._scheduler.targets_listing_other(service, model, version)
            ticket = self._take(run)
            if ticket is None:
                ticket = self._scheduler.submit(move_job(run, self._clock(), excluded))
            if ticket.placement is None:
                # It also releases a target that was chosen in between.
                self._scheduler.withdraw(ticket)
                return None
            placement = ticket.placement
            target_id = placement.target.target_id
            run.tried |= {target_id}
            # A target that a waiting request got may be excluded meanwhile.
            if target_id in excluded or placement.permitted or not run.suits(placement):
                self._scheduler.release(placement, first_byte=False)
                continue
            holding = self._compare(run, placement)
            if holding is Holding.SAME and claim(placement):
                return placement
            self._scheduler.release(placement, first_byte=False)
            if holding is not Holding.OTHER:
                run.tried -= {target_id}
            if holding is Holding.UNKNOWN:
                run.unread[target_id] = self._clock() + _UNKNOWN_S
                unknown += 1
            if unknown >= max_unknown:
                return None
        return None

    def request_load(self, run):
        """Let a run of a leaving target wait for its adapter as a request does, once.

        The report counts it among its wants, so that a target loads the adapter.

        Returns
        -------
        bool
            Whether it waits from now on.
        """
        now, until = self._clock(), run.leave.certain_until
        has_adapter = bool(run.admitted.call.adapter)
        if run.is_relief or run.has_waited or not has_adapter:
            return False
        if until < now + _MIN_LOAD_S:
            return False
        run.has_waited = True
        job = move_job(run, now, self._excluded(run), until)
        ticket = self._scheduler.submit(job)
        with self._lock:
            is_over = run.closed.is_set()
            if not is_over:
                run.ticket = ticket
        if is_over:
            self._scheduler.withdraw(ticket)
        return not is_over

    def withdraw(self, run):
        """Give up the waiting request of a run that has ended."""
        ticket = self._take(run)
        if ticket is not None:
            self._scheduler.withdraw(ticket)

    def _compare(self, run, placement):
        """Return the ``Holding`` of the weights of a run at a reserved destination."""
        try:
            holding = self._weights.compare(run, placement.target)
            self._log.compared(run, placement, holding)
        except Exception:
            self._scheduler.release(placement, first_byte=False)
            raise
        return holding

    def _take(self, run):
        with self._lock:
            ticket, run.ticket = run.ticket, None
        return ticket

    def _excluded(self, run):
        source = run.placement.target.target_id
        now = self._clock()
        unread = {target_id for target_id, until in run.unread.items() if now < until}
        return run.tried | run.unsuitable | unread | {source} | self._closed_targets()
