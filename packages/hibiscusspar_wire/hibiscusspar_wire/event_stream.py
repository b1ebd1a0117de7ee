"""Cuts a server-sent event stream into whole events."""

__all__ = ["EventSplitter"]

_END = b"\n\n"
_ID = b"id:"


class EventSplitter:
    """State of one stream; a part of an event is held back until it is whole.

    Parameters
    ----------
    last_event : int or None
        Number of the event before the first one; None if any may come first.
    """

    def __init__(self, last_event=None):
        self.last_event = last_event
        self.count = 0
        self._rest = b""

    @property
    def has_partial_event(self):
        """Whether a part of an event was received."""
        return bool(self._rest.strip())

    def discard_partial_event(self):
        """Drop the part of an event that a broken run left."""
        self._rest = b""

    def feed(self, data):
        """Take in bytes and return the whole events among them.

        Raises
        ------
        ValueError
            If an event is missing or comes twice.
        """
        *events, self._rest = (self._rest + data).split(_END)
        for event in events:
            self._count(event)
        return b"".join(event + _END for event in events)

    def _count(self, event):
        number = _event_number(event)
        if number is None:
            return
        if self.last_event is not None and number != self.last_event + 1:
            raise ValueError(f"event {number} after event {self.last_event}")
        self.last_event = number
        self.count += 1


def _event_number(event):
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() else None
    return None
