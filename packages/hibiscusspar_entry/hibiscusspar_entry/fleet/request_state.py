"""State of one request on its way through a node."""

import threading

__all__ = ["RequestState"]


class RequestState:
    """State of one request across its attempts."""

    def __init__(self):
        self.caller_gone = threading.Event()
        # Admitted request, once it is.
        self.admitted = None
        # Whether it tries whether a quarantined request is sound.
        self.is_probe = False
        self.attempts = 0
        self.excluded = frozenset()
        self.connection = None
        # Held while the connection is cancelled, so that it isn't released meanwhile.
        self._connection_lock = threading.Lock()
        # Pace of the current attempt's stream, None if it isn't measured.
        self.pace = None
        self.ticket = None
        self.may_have_run = False
        self.tokens_taken = False
        self.splitter = None
        self.answer_begun = False
        self.first_byte_at = None
        self.last_event_at = None
        # Time of the first event of the current attempt.
        self.attempt_event_at = None
        self.longest_gap_s = 0.0
        self.target_id = ""
        # Step at which the last attempt failed.
        self.failed_step = ""
        # Origin of the stream, once the caller has an event of it.
        self.origin = None
        self.broken_at = frozenset()
        # Placement of the next attempt, and the copy of the run that it continues, if
        # the stream moves.
        self.onward = None
        self.copy = None
        # Whether it was sent to a second target as well, as its target is silent.
        self.has_second_attempt = False
        # Attempt that goes on in place of one whose target was silent.
        self.successor = None
        # Whether its stream was moved because a target was slow, which is done once.
        self.was_relieved = False

    def last_event(self, call):
        """Return the number of the last event that the caller has, or None."""
        return self.splitter.last_event if self.splitter else call.last_event

    def record_possible_run(self):
        """Record that the current target may have run the request."""
        self.may_have_run = True
        if self.origin is not None:
            self.broken_at |= {self.target_id}

    def leave_target(self):
        """Record that another target has taken over from the current one."""
        self.record_possible_run()
        self.excluded |= {self.target_id}

    def record_event(self, now):
        """Record when an event was forwarded."""
        if self.last_event_at is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_event_at)
        self.last_event_at = now
        if self.pace is not None and self.splitter is not None:
            self.pace.record(now, self.splitter.count)
        if self.attempt_event_at is None:
            self.attempt_event_at = now

    def take_onward(self):
        """Return the placement that the stream moves to, or None, once."""
        placement, self.onward = self.onward, None
        return placement

    def take_successor(self):
        """Return the attempt that goes on in place of a silent one, or None, once."""
        attempt, self.successor = self.successor, None
        return attempt

    def take_over(self, target_id, connection, pace):
        """Record that another attempt replaces the current one."""
        self.copy = None
        self.pace = pace
        self.target_id = target_id
        self.connection = connection
        self.attempt_event_at = None

    def begin_attempt(self, target_id, pace=None):
        """Record that the request is sent to a target, whose pace is measured.

        A stream that moves continues the same run.
        """
        if self.copy is None:
            self.attempts += 1
        self.pace = pace
        self.target_id = target_id
        self.attempt_event_at = None

    def release_connection(self, headers):
        """Return the connection of the attempt, whose answer was read to the end."""
        self._take_connection().release(headers)

    def close_connection(self):
        """Close the connection of the attempt unless it was returned."""
        if self.pace is not None:
            self.pace.end()
        connection = self._take_connection()
        if connection is not None:
            connection.close()

    def stop_waiting(self):
        """Wake the request if it waits for a target."""
        ticket = self.ticket
        if ticket is not None:
            ticket.decided.set()

    def cancel(self):
        """Cancel the request because the caller closed its connection."""
        self.caller_gone.set()
        with self._connection_lock:
            if self.connection is not None:
                self.connection.cancel()
        self.stop_waiting()

    def cancel_attempt(self, connection):
        """Cancel the attempt on a connection unless it has ended."""
        with self._connection_lock:
            if self.connection is connection:
                connection.cancel()

    def _take_connection(self):
        with self._connection_lock:
            connection, self.connection = self.connection, None
        return connection
