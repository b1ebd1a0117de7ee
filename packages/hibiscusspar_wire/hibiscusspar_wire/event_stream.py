"""Splitting of a server-sent event stream into complete events."""

__all__ = ["EventSplitter"]

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"
# Longest event; those of engines have some hundred bytes.
_MAX_EVENT_BYTES = 262_144


class EventSplitter:
    """Splitter of one stream; a partial event is buffered until it is complete.

    Parameters
    ----------
    last_event : int or None
        Number of the event before the first one; None if the first event may have
        any number.

    Attributes
    ----------
    last_event : int or None
        Number of the last event.
    count : int
        Number of numbered events received.
    """

    def __init__(self, last_event=None):
        self.last_event = last_event
        self.count = 0
        self._partial_event = b""

    @property
    def has_partial_event(self):
        """Whether a partial event is buffered."""
        return bool(self._partial_event.strip())

    def discard_partial_event(self):
        """Discard the partial event that a broken attempt left."""
        self._partial_event = b""

    def feed(self, data):
        """Process received bytes and return the events that are complete.

        Raises
        ------
        ValueError
            If an event is missing, repeated or too long.
        """
        *events, self._partial_event = (self._partial_event + data).split(_EVENT_END)
        if len(self._partial_event) > _MAX_EVENT_BYTES:
            raise ValueError(f"an event of more than {_MAX_EVENT_BYTES} bytes")
        if not events:
            return b""
        for event in events:
            self._count_event(event)
        return _EVENT_END.join(events) + _EVENT_END

    def _count_event(self, event):
        number = _event_number(event)
        if number is None:
            return
        if self.last_event is not None and number != self.last_event + 1:
            raise ValueError(f"event {number} after event {self.last_event}")
        self.last_event = number
        self.count += 1


def _event_number(event):
    if _ID_FIELD not in event:
        return None
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
