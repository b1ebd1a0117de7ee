"""State of one request on its way through a node."""

import threading

__all__ = ["RequestState"]


class RequestState:
    """State of one request across its attempts."""

    def __init__(self):
        self.caller_gone = threading.Event()
        self.attempts = 0
        self.excluded = frozenset()
        self.connection = None
        self.ticket = None
        self.may_have_run = False
        self.tokens_taken = False
        self.splitter = None
        self.answer_begun = False
        self.first_byte_at = None
        self.last_event_at = None
        # Time of the head of the current attempt, or of its last event.
        self.progress_at = None
        self.longest_gap_s = 0.0
        self.target_id = ""
        # Origin of the stream, once the caller has an event of it.
        self.origin = None
        self.broken_at = frozenset()

    def last_event(self, call):
        """Return the number of the last event that the caller has, or None."""
        return self.splitter.last_event if self.splitter else call.last_event

    def record_event(self, now):
        """Record when an event was forwarded."""
        if self.last_event_at is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_event_at)
        self.last_event_at = self.progress_at = now

    def cancel(self):
        """Cancel the request because the caller closed its connection."""
        self.caller_gone.set()
        connection, ticket = self.connection, self.ticket
        if connection is not None:
            connection.cancel()
        if ticket is not None:
            ticket.decided.set()
