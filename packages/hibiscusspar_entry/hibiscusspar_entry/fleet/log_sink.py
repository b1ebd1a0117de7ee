"""Log output through a bounded buffer, so that writing a line never blocks."""

import sys
import threading
from collections import deque
from contextlib import suppress

from eliot import add_destinations
from msgspec.json import encode as to_json

from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import LINES_DROPPED

__all__ = ["LogSink"]

# Size of the buffer: some seconds of the heaviest traffic.
_MAX_LINES = 4000
_FLUSH_S = 0.2
# Longest wait in seconds for an output that accepts no more lines, at the end.
_CLOSE_S = 1.0
# Fields that eliot adds for nested actions, which these logs don't use.
_UNUSED_FIELDS = ("task_uuid", "task_level")


class LogSink:
    """Buffer of log lines, and the thread that writes them.

    Parameters
    ----------
    common : dict
        Fields that each line carries.
    output : file, optional
        Binary file; standard output if not given. Lines are dropped if the process was
        started without one.
    """

    def __init__(self, common, output=None):
        self._common = common
        self._output = output or (sys.stdout and sys.stdout.buffer)
        self._lines = deque()
        self._dropped = 0
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def open(self):
        """Receive the log lines of the process and start the thread."""
        add_destinations(self.add)
        self._thread.start()

    def add(self, message):
        """Buffer one line, or count it as dropped if the buffer is full."""
        if self._output is None:
            return
        if len(self._lines) >= _MAX_LINES:
            self._dropped += 1
            return
        line = {k: v for k, v in message.items() if k not in _UNUSED_FIELDS}
        self._lines.append({**self._common, **line})

    def close(self):
        """Write the buffered lines, unless the output blocks, and end the thread."""
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(_CLOSE_S)

    def flush(self):
        """Write the buffered lines; those that can't be written count as dropped."""
        lines = []
        # Two threads call this, so the buffer may become empty at any moment.
        with suppress(IndexError):
            while True:
                lines += self._encode(self._lines.popleft())
        if not lines:
            return
        try:
            self._output.write(b"\n".join(lines) + b"\n")
            self._output.flush()
        except (OSError, ValueError):
            # Nobody reads the output, or it is full or closed.
            self._dropped += len(lines)

    def _encode(self, line):
        """Return a list of the encoded line, empty if it can't be encoded."""
        try:
            return [to_json(line, enc_hook=str)]
        except Exception:  # noqa: BLE001
            self._dropped += 1
            return []

    def _run(self):
        while not self._wake.wait(_FLUSH_S):
            self.flush()
            if self._dropped:
                count, self._dropped = self._dropped, 0
                write_records([(LINES_DROPPED, {"count": count})])
        self.flush()
