"""Running streams that may move, and their usual lengths."""

import threading
from math import ceil

from hibiscusspar.fleet.stream_moves import StreamRow
from hibiscusspar.fleet.stream_relief import RecentPace, ReliefRow
from hibiscusspar.fleet.waiting import Job
from hibiscusspar_entry.fleet.answer_checks import ends_with_connection

__all__ = ["RouteLengths", "StreamRun", "move_job"]

# Prompt tokens of the job that chooses a destination, which reads nearly no prompt.
_MOVE_PROMPT_TOKENS = 1
# Weight of a new stream in the usual length of its route.
_LENGTH_WEIGHT = 0.05
# Streams after which the usual length of a route is used.
_MIN_STREAMS = 20


class StreamRun:
    """Stream of one attempt at a target, from its first event.

    Parameters
    ----------
    admitted : Admitted
    state : RequestState
    placement : Placement
    connection : TargetPath
    began_at : float
    model_version : int, optional
        Version of the model that the head of its answer states.
    """

    def __init__(
        self, admitted, state, placement, connection, began_at, model_version=None
    ):
        self.admitted = admitted
        self.state = state
        self.placement = placement
        self.connection = connection
        self.model_version = model_version
        self.is_of_one_version = True
        # RunWeights of its state, once known.
        self.weights = None
        self.began_at = began_at
        self.move = None
        # Leave of the target, or why it is relieved, once the stream moves.
        self.leave = None
        # Targets that are too slow for a stream that moves for relief.
        self.unsuitable = frozenset()
        # Request for the adapter that waits in the scheduler; whether there was one.
        self.ticket = None
        self.has_waited = False
        self.retry_at = began_at
        # Whether an earlier move went back to the target.
        self.has_returned = False
        # Targets that were chosen as destinations before.
        self.tried = frozenset()
        # Times until which those aren't tried whose weights couldn't be read.
        self.unread = {}
        # Time at which the last destination was asked for its weights.
        self.compared_at = began_at
        self.answered = threading.Event()
        self.closed = threading.Event()
        self.is_logged = False
        self._first_count = state.splitter.count
        self._pace = RecentPace(began_at, self._first_count)

    def may_move(self, response, request_scheduler):
        """Return whether the stream can be moved at all.

        The end of its answer must differ from a broken connection, its events must be
        numbered, and the software of its target must be known.
        """
        target = self.placement.target
        return (
            self.connection.is_own
            and not ends_with_connection(response)
            and "Content-Length" not in response.headers
            and self.admitted.route.kind == "stream"
            and self.state.splitter.last_event is not None
            and bool(self._software)
            and self._software == target.software
            and request_scheduler.is_current(target)
        )

    def suits(self, placement):
        """Return whether a destination can continue the run, as far as is listed.

        The state of a run also belongs to the weights that made it, of which only the
        targets themselves tell.
        """
        return (
            placement.version in (0, self.weights.expected)
            and placement.target.software == self._software
        )

    def record_version(self, model_version):
        """Record the version of the model that an event states.

        Two versions have made the state of a run whose version changes.
        """
        if model_version != self.model_version:
            self.is_of_one_version = False

    def row(self, usual_events):
        """Return what the choice of streams needs.

        Parameters
        ----------
        usual_events : int or None
            Usual number of events of the route.
        """
        admitted, state = self.admitted, self.state
        events = state.splitter.count
        output = admitted.call.tokens[1] if admitted.call.tokens else 0
        expected = ceil(output / admitted.event_steps) if output else usual_events
        in_attempt = events - self._first_count
        gap_s = None
        if in_attempt > 0 and state.last_event_at is not None:
            gap_s = max(0.0, state.last_event_at - self.began_at) / in_attempt
        return StreamRow(
            self,
            self.placement.target.target_id,
            admitted.priority,
            admitted.prompt_tokens + events * admitted.event_steps,
            events,
            expected,
            gap_s,
            self.has_returned,
        )

    def relief_row(self, now, usual_events):
        """Return what the choice of streams of slow targets needs."""
        row, admitted = self.row(usual_events), self.admitted
        return ReliefRow(
            self,
            admitted.call.request_id,
            row.target_id,
            row.priority,
            row.events,
            row.expected_events,
            row.gap_s,
            self._pace.gap_s(now, row.events),
            now - self.began_at,
            admitted.arrived,
            admitted.ends_at,
        )

    @property
    def key(self):
        """Model and adapter of the request."""
        return self.admitted.call.model, self.admitted.call.adapter

    @property
    def expects_any_version(self):
        """Whether its target wasn't told which version of the adapter to run."""
        return bool(self.admitted.call.adapter) and not self.placement.version

    @property
    def is_relief(self):
        """Whether it moves because its target is slow, not because it leaves."""
        return self.leave is not None and self.leave.reason in ("slow", "late")

    def is_due(self, now):
        """Return whether a destination should be chosen, if it must move."""
        ticket = self.ticket
        return now >= self.retry_at if ticket is None else ticket.decided.is_set()

    def fields(self):
        """Return the fields of a log line about the run."""
        return {
            "request": self.admitted.call.request_id,
            "source": self.placement.target.target_id,
            "events": self.state.splitter.count,
        }

    @property
    def _software(self):
        origin = self.state.origin
        return self.placement.target.software if origin is None else origin.software


class RouteLengths:
    """Usual number of events of the streams of each route."""

    def __init__(self):
        self._rows = {}

    def record(self, route, events):
        """Record a stream that ended as a whole."""
        count, mean = self._rows.get(route, (0, 0.0))
        weight = max(_LENGTH_WEIGHT, 1.0 / (count + 1))
        self._rows[route] = (count + 1, mean + weight * (events - mean))

    def usual(self, route):
        """Return the usual number of events, or None while too few streams ended."""
        count, mean = self._rows.get(route, (0, 0.0))
        return ceil(mean) if count >= _MIN_STREAMS else None


def move_job(run, now, excluded, give_up_at=None):
    """Return the job that chooses a destination.

    Parameters
    ----------
    run : StreamRun
    now : float
    excluded : set of str
        Targets that must not get the stream.
    give_up_at : float, optional
        Time until which it waits for a target; by default it is decided at once.
    """
    admitted, route = run.admitted, run.admitted.route
    return Job(
        request_id=admitted.call.request_id,
        service=admitted.service,
        key=(admitted.call.model, admitted.call.adapter),
        priority=admitted.priority,
        prompt_tokens=_MOVE_PROMPT_TOKENS,
        arrived=now,
        first_byte_slo_s=route.first_byte_slo_s,
        give_up_at=now if give_up_at is None else give_up_at,
        fraction=admitted.fraction,
        max_gap_s=route.max_gap_s,
        event_steps=admitted.event_steps,
        software=run.placement.target.software,
        broken_at=frozenset(excluded),
        # Admission counts new requests only.
        attempts=max(1, run.state.attempts),
    )
