"""Splitting of a server-sent event stream into complete events."""

__all__ = ["EventSplitter"]

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"
# Begin of the head of an answer. No field has such a name.
_ANSWER = b"HTTP/1."
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

        If it fails, none of these events counts, as the caller gets none of them.

        Raises
        ------
        ValueError
            If an event is missing, repeated or too long, or an answer begins in its
            place, as a late copy does in a stream without a length.
        """
        if self._is_one_event(data):
            self._count_event(data)
            return data
        *events, self._partial_event = (self._partial_event + data).split(_EVENT_END)
        if len(self._partial_event) > _MAX_EVENT_BYTES:
            raise ValueError(f"an event of more than {_MAX_EVENT_BYTES} bytes")
        if not events:
            return b""
        before = self.last_event, self.count
        try:
            for event in events:
                self._count_event(event)
        except ValueError:
            self.last_event, self.count = before
            raise
        return _EVENT_END.join(events) + _EVENT_END

    def _is_one_event(self, data):
        """Return whether received bytes are one whole event, as they usually are."""
        return (
            not self._partial_event
            and data.find(_EVENT_END) == len(data) - len(_EVENT_END) >= 0
        )

    def _count_event(self, event):
        if event.startswith(_ANSWER):
            raise ValueError("another answer in the stream")
        number = _event_number(event)
        if number is None:
            return
        if self.last_event is not None and number != self.last_event + 1:
            raise ValueError(f"event {number} after event {self.last_event}")
        self.last_event = number
        self.count += 1


def _event_number(event):
    if event.startswith(_ID_FIELD):
        start = 0
    else:
        start = event.find(b"\n" + _ID_FIELD) + 1
        if not start:
            return None
    text = event[start + len(_ID_FIELD) :].partition(b"\n")[0].strip()
    return int(text) if text.isdigit() else None
