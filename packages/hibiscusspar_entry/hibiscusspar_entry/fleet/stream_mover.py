"""Moves of running streams away from targets that leave or are slow.

Streams register with their first event. A background thread chooses those of such
targets, and a few workers reserve destinations and have the states copied. The thread
that relays a stream takes over once the stream of the source has closed.
"""

import threading
from collections import Counter

from hibiscusspar.fleet.leaving_targets import LeavingTargets
from hibiscusspar.fleet.run_weights import Holding
from hibiscusspar.fleet.stream_moves import (
    MoveAnswer,
    MoveOutcome,
    MovePhase,
    StreamMove,
    select_streams,
)
from hibiscusspar_entry.fleet.background import BackgroundPool, log_failure
from hibiscusspar_entry.fleet.destinations import Destinations
from hibiscusspar_entry.fleet.move_log import MoveLog
from hibiscusspar_entry.fleet.periodic_task import PeriodicTask
from hibiscusspar_entry.fleet.placement import Placement
from hibiscusspar_entry.fleet.stream_run import RouteLengths, StreamRun
from hibiscusspar_entry.fleet.weights_check import WeightsCheck
from hibiscusspar_wire.dialect import CopyHandle
from hibiscusspar_wire.target_connections import CallFailedError

__all__ = ["StreamMover"]

# Moves of one node, and of one pair of targets, at a time.
_MAX_MOVES = 4
_MAX_PAIR_MOVES = 2
# Time in seconds until a stream is tried again that found no destination or went back.
_RETRY_S = 0.1
# Times between steps in seconds: while streams run at leaving targets, while their
# targets may become slow, and else.
_BUSY_PAUSE_S = 0.05
_WATCH_PAUSE_S = 0.2
_IDLE_PAUSE_S = 1.0
# Time in seconds after which the relay doesn't wait for the answer to a call any more.
# The call itself ends after 0.5 s.
_ANSWER_LIMIT_S = 1.2
# Time in seconds for which the weights that a destination reported hold: a target that
# starts again needs longer to load them.
_COMPARED_S = 0.75
# Time in seconds in which the stream of a stopped run closes. After that this node
# closes it: the run has stopped, and a broken link holds back the end.
_CLOSE_LIMIT_S = 0.3


class StreamMover:
    """Driver of the moves of one node.

    Parameters
    ----------
    clock : callable
    request_scheduler : RequestScheduler
    calls : RunMoves
    closed_targets : callable
        Returns the ids of the targets that must not get a moved stream.
    ordinary_s : float
        Time in seconds that a draining target has if its entry doesn't tell.
    read_state : callable
        Returns the ``TargetState`` that a target reports, or None.
    relief : ReliefWatch, optional
        By default no stream moves because its target is slow.
    submit : callable, optional
        Runs a function with its arguments in the background.
    """

    def __init__(
        self,
        clock,
        request_scheduler,
        calls,
        closed_targets,
        ordinary_s,
        read_state,
        relief=None,
        submit=None,
    ):
        self._clock = clock
        self._scheduler = request_scheduler
        self._calls = calls
        self._log = MoveLog(clock)
        self._weights = WeightsCheck(clock, read_state)
        self._destinations = Destinations(
            clock, request_scheduler, closed_targets, self._weights, self._log
        )
        self._submit = submit or BackgroundPool("stream moves", _MAX_MOVES).submit
        self._lock = threading.Lock()
        self._services = frozenset()
        # Last directory and evacuated zones, None before the first.
        self._directory = None
        self._leaving = LeavingTargets(ordinary_s)
        self._runs = {}
        # Runs whose moves are under way; they may have ended meanwhile.
        self._moving = set()
        self._lengths = RouteLengths()
        self._relief = relief
        self._is_started = False
        self._task = PeriodicTask("stream moves", self.step, self._pause_s)

    def gauges(self):
        """Return the values of the metrics by name."""
        with self._lock:
            under_way = len(self._moving)
        return {**self._log.gauges(), "stream_moves_under_way": under_way}

    def configure(self, ruleset):
        """Record the services whose streams move; start the thread if there are any."""
        self._services = frozenset(
            service.name
            for service in ruleset.services.values()
            if service.engine is not None and service.engine.moves
        )
        if self._services and self._directory is not None:
            self.set_targets(*self._directory)
        if self._services and not self._is_started:
            self._is_started = True
            self._task.start()

    def close(self):
        """Begin no further moves."""
        self._task.close()

    def set_targets(self, targets, evacuated):
        """Record the directory of targets and the evacuated zones."""
        self._directory = targets, evacuated
        if not self._services:
            return
        with self._lock:
            is_new = self._leaving.record_directory(self._clock(), targets, evacuated)
        if is_new:
            self._task.wake()

    def complete_view(self, view):
        """Add to a view how long leaving targets run, as their entries tell."""
        if self._services:
            with self._lock:
                view.leaving_in = self._leaving.remaining(self._clock())

    def record_leaving(self, target):
        """Record that a target said that it leaves."""
        with self._lock:
            is_new = self._leaving.record_statement(self._clock(), target)
        if is_new:
            self._task.wake()

    def begin(
        self, admitted, state, placement, connection, response, model_version=None
    ):
        """Record the first event of an attempt, of which the stream may move later.

        ``model_version`` is that which the head of its answer states, if it does.
        """
        if not self._services and state not in self._runs:
            return
        now = self._clock()
        run = None
        if admitted.service in self._services:
            run = StreamRun(admitted, state, placement, connection, now, model_version)
            if state.copy is not None:
                # Its target was told to expect them.
                run.weights = state.copy.weights
            if not run.may_move(response, self._scheduler):
                run = None
        with self._lock:
            before = self._runs.pop(state, None)
            if run is not None:
                self._runs[state] = run
                if before is not None and _is_return(before):
                    run.has_returned = True
                    run.retry_at = now + _RETRY_S
            is_leaving = placement.target.target_id in self._leaving
        if before is not None and before.move is not None:
            self._record_success(before, placement, model_version)
        if is_leaving and run is not None:
            self._task.wake()

    def record_version(self, state, model_version):
        """Record the version of the model that an event of a stream states."""
        run = self._runs.get(state)
        if run is not None:
            run.record_version(model_version)

    def follow(self, state, failure):
        """Continue a stream whose attempt has failed, if it is being moved.

        Returns
        -------
        bool
            Whether ``state.onward`` and ``state.copy`` hold the next attempt.
        """
        state.copy = None
        run = self._runs.get(state)
        if run is None:
            return False
        run.closed.set()
        with self._lock:
            move, now = run.move, self._clock()
            if move is None:
                cleanup = None
            elif not move.is_attempting:
                cleanup = move.closed(now)
            elif failure.not_run:
                cleanup = move.refused(now, failure.step not in ("connect", "closed"))
            else:
                cleanup = move.started()
        self._clean(run, cleanup)
        if move is not None and self._resolve(run, move):
            return True
        self.end(state)
        if move is not None and move.was_stopped:
            self._log.failed(run, failure.reason)
        return False

    def is_moving(self, state):
        """Return whether a stream is being moved and not yet sent elsewhere."""
        run = self._runs.get(state)
        # The thread of the move may set it to None meanwhile.
        move = None if run is None else run.move
        return move is not None and move.is_copying

    def complete(self, state):
        """Record that a stream has ended as a whole."""
        run = self._runs.get(state)
        if run is not None:
            self._lengths.record(run.admitted.route.name, state.splitter.count)
            self.end(state)

    def end(self, state):
        """Give up what is reserved for a request that has ended."""
        onward, state.onward = state.onward, None
        if onward is not None and onward.is_reserved:
            self._scheduler.release(onward, first_byte=False)
        run = self._runs.get(state)
        if run is None:
            return
        run.closed.set()
        with self._lock:
            self._runs.pop(state, None)
            cleanup = run.move.finished() if run.move is not None else None
            self._moving.discard(run)
        self._clean(run, cleanup)
        self._destinations.withdraw(run)

    def step(self):
        """Begin the moves that are due."""
        now = self._clock()
        with self._lock:
            due = [
                run
                for run in self._runs.values()
                if run.move is None
                and not run.state.has_second_attempt
                and run.admitted.service in self._services
                and run.is_due(now)
            ]
            room = max(0, _MAX_MOVES - len(self._moving))
            leaving = self._select_leaving(now, due)
            # Their targets don't leave any more, or they end before.
            waited = [run for run in due if run.ticket and run not in leaving]
            runs = leaving[:room]
            runs += self._select_slow(now, due)[: room - len(runs)]
            for run in runs:
                since = float("inf") if run.is_relief else run.leave.since
                run.move = StreamMove(since)
                self._moving.add(run)
                # What follows may fail, and a run that counts as moving must move.
                self._submit(self._move, run)
                if run.is_relief:
                    self._relief.record_move(now, run)
        for run in waited:
            self._destinations.withdraw(run)

    def _select_leaving(self, now, runs):
        rows = [
            run.row(self._lengths.usual(run.admitted.route.name))
            for run in runs
            if run.placement.target.target_id in self._leaving
        ]
        chosen = [row.key for row in select_streams(now, rows, self._leaving)]
        for run in chosen:
            run.leave = self._leaving.find(run.placement.target.target_id)
            run.unsuitable = frozenset()
        return chosen

    def _select_slow(self, now, runs):
        if self._relief is None or self._directory is None:
            return []
        staying = [r for r in runs if r.placement.target.target_id not in self._leaving]
        targets, usual = self._directory[0], self._lengths.usual
        chosen = self._relief.select(now, targets, staying, usual)
        self._relief.expire(now)
        return chosen

    def _pause_s(self):
        with self._lock:
            is_busy = any(
                run.placement.target.target_id in self._leaving
                for run in self._runs.values()
            )
            is_watching = self._relief is not None and self._runs
        if is_busy:
            return _BUSY_PAUSE_S
        return _WATCH_PAUSE_S if is_watching else _IDLE_PAUSE_S

    def _move(self, run):
        """Reserve a destination and have the state of a run copied there."""
        move = run.move
        try:
            is_known = self._weights.learn(run)
            placement = self._reserve(run, move) if is_known else None
            if placement is None:
                with self._lock:
                    cleanup = move.not_chosen(self._clock())
                    # Nothing was called, so the stream may be tried again.
                    run.move, run.retry_at = None, self._clock() + _RETRY_S
                self._clean(run, cleanup)
                self._log.found_no_target(run)
                if is_known and self._destinations.request_load(run):
                    self._log.count_request()
                return
            self._log.begun(run, placement)
            run.state.was_relieved |= run.is_relief
            answer = self._call(run, move, placement)
            if answer.outcome in (MoveOutcome.RUNS_ON, MoveOutcome.UNKNOWN):
                self._log.failed(run, answer.reason)
            if answer.outcome is MoveOutcome.RUNS_ON and run.is_relief:
                with self._lock:
                    # It moves later if its target leaves.
                    run.move = None
            if move.phase is MovePhase.STOPPED and not run.closed.wait(_CLOSE_LIMIT_S):
                self._close_source(run)
        except Exception as error:  # noqa: BLE001
            log_failure("stream moves", error)
            with self._lock:
                cleanup = move.finished()
            run.answered.set()
            self._clean(run, cleanup)
        finally:
            with self._lock:
                if not move.is_copying:
                    self._moving.discard(run)
            self._task.wake()

    def _resolve(self, run, move):
        """Bring a move to an attempt at a target; return whether there is one."""
        state = run.state
        if move.phase is MovePhase.CALLING and not run.answered.wait(_ANSWER_LIMIT_S):
            return False
        if move.phase is MovePhase.CHOOSING and not state.caller_gone.is_set():
            placement = self._reserve(run, move)
            if placement is not None:
                self._call(run, move, placement)
            else:
                with self._lock:
                    cleanup = move.not_chosen(self._clock())
                self._clean(run, cleanup)
        with self._lock:
            if not move.is_attempting:
                return False
            self._moving.discard(run)
            source = run.placement.target
            if move.phase is MovePhase.SENDING:
                state.onward = move.destination
            else:
                state.onward = _return_placement(run.placement)
            state.copy = CopyHandle(source.address, move.handle, run.weights)
        # The caller has events of the run.
        state.may_have_run = True
        return True

    def _call(self, run, move, placement):
        """Have the state of a run copied to the reserved destination."""
        source, destination = run.placement.target, placement.target
        request_id = run.admitted.call.request_id
        try:
            answer = self._calls.move(source, request_id, destination, last=True)
        except CallFailedError as error:
            is_unsent = error.step in ("connect", "closed")
            outcome = MoveOutcome.RUNS_ON if is_unsent else MoveOutcome.UNKNOWN
            answer = MoveAnswer(outcome, reason=f"{error.step}: {error.reason}")
        if answer.outcome is MoveOutcome.COPIED:
            answer = self._checked(run, destination, answer)
        with self._lock:
            cleanup = move.answered(self._clock(), answer)
        run.answered.set()
        self._clean(run, cleanup)
        return answer

    def _checked(self, run, destination, answer):
        """Return the answer about a copy, which counts only at the right weights.

        The destination may have started again before the copy arrived, if much time
        has passed since it reported them.
        """
        if self._clock() < run.compared_at + _COMPARED_S:
            return answer
        if self._weights.compare(run, destination) is Holding.SAME:
            return answer
        return answer._replace(outcome=MoveOutcome.KEPT, reason="late copy")

    def _reserve(self, run, move):
        """Reserve a destination and return its placement, or None.

        It is None as well if the stream has ended meanwhile.
        """
        source = run.placement.target.target_id
        cleanup, is_chosen = None, False

        def full_targets():
            with self._lock:
                return self._full_pairs(source)

        def claim(placement):
            nonlocal cleanup, is_chosen
            with self._lock:
                if placement.target.target_id in self._full_pairs(source):
                    return False
                cleanup = move.chosen(placement)
                is_chosen = move.is_copying
                # A run that goes on to another destination counts again.
                if is_chosen:
                    self._moving.add(run)
            return True

        placement = self._destinations.reserve(
            run, full_targets, claim, move.was_stopped
        )
        self._clean(run, cleanup)
        return placement if is_chosen else None

    def _full_pairs(self, source):
        """Return the targets that get as many moves from a source as allowed."""
        counts = Counter(
            run.move.destination.target.target_id
            for run in self._moving
            if run.move is not None
            and run.move.destination is not None
            and run.placement.target.target_id == source
        )
        return {target_id for target_id, n in counts.items() if n >= _MAX_PAIR_MOVES}

    def _close_source(self, run):
        """Close the stream of a stopped run, of which a link holds back the end."""
        if not run.closed.is_set():
            run.state.cancel_attempt(run.connection)

    def _clean(self, run, cleanup):
        if cleanup is None:
            return
        if cleanup.placement is not None:
            self._scheduler.release(cleanup.placement, first_byte=False)
        if cleanup.handle:
            self._log.count_freed()
            self._submit(self._free, run.placement.target, cleanup.handle)

    def _free(self, source, handle):
        try:
            self._calls.free(source, handle)
        except CallFailedError as error:
            # The copy expires by itself.
            log_failure("freeing a copy", error)

    def _record_success(self, run, placement, model_version):
        with self._lock:
            is_return = _is_return(run)
            run.move.started()
            self._moving.discard(run)
        self._log.succeeded(run, placement, is_return, model_version)


def _is_return(run):
    return run.move is not None and run.move.phase is MovePhase.RETURNING


def _return_placement(placement):
    """Return the placement for going back to a source, which reserves nothing."""
    return Placement(
        placement.target,
        placement.key,
        placement.version,
        0,
        0.0,
        is_reserved=False,
    )
