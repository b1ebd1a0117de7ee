"""HTTP connections with one time limit for the head of an answer and for each read.

They detect bytes that were received after an answer.
"""

from contextlib import suppress
from http.client import HTTPException, HTTPResponse
from io import BufferedReader, RawIOBase
from time import monotonic

from urllib3.connection import HTTPConnection

__all__ = ["CheckedConnection"]

# Part of the time left for a read after which the socket's timeout ends, at first.
_TIMEOUT_SHARE = 0.75
# Longest head of an answer, with the interim answers before it.
_MAX_HEAD_BYTES = 262_144


class _AnswerTooLongError(HTTPException):
    """The head of an answer has no end."""


class _TimedSocket(RawIOBase):
    """Stream of received bytes with one time limit for any number of reads.

    The timeout of a socket starts again with each byte that arrives.

    Parameters
    ----------
    raw : io.RawIOBase
    sock : socket.socket
    ends_at : float
        Monotonic time after which reads fail.
    """

    def __init__(self, raw, sock, ends_at):
        self._raw = raw
        self._sock = sock
        self.ends_at = ends_at
        self._timeout_s = 0.0
        self.remaining_bytes = _MAX_HEAD_BYTES

    def readable(self):
        """Return True, as for all streams that can be read."""
        return True

    def readinto(self, buffer):
        """Read bytes before the time limit."""
        count = self._receive(buffer)
        if count and self.remaining_bytes is not None:
            self.remaining_bytes -= count
            if self.remaining_bytes < 0:
                raise _AnswerTooLongError("head of an answer")
        return count

    def _receive(self, buffer):
        while self.ends_at is not None:
            remaining_s = self.ends_at - monotonic()
            if remaining_s <= 0:
                raise TimeoutError("the time for the answer has passed")
            # To set a timeout is a system call, and the events of a stream may each
            # take about as long. So a timeout is kept while it is short enough.
            if not remaining_s / 2 <= self._timeout_s <= remaining_s:
                self._timeout_s = remaining_s * _TIMEOUT_SHARE
                self._sock.settimeout(self._timeout_s)
            try:
                return self._sock.recv_into(buffer)
            except TimeoutError:
                self._timeout_s = 0.0
        return self._sock.recv_into(buffer)

    def poll_only(self):
        """Let reads return what has been received already."""
        self.ends_at = None
        self._sock.settimeout(0.0)

    def close(self):
        """Close the stream."""
        self._raw.close()
        super().close()


class _CheckedReader(BufferedReader):
    """Reader of one answer that detects bytes received after the answer."""

    def __init__(self, raw, sock, ends_at):
        self.timed = _TimedSocket(raw, sock, ends_at)
        super().__init__(self.timed)
        self.has_extra_bytes = False

    def close(self):
        """Check for bytes after the answer, then close."""
        if not self.closed:
            with suppress(OSError, ValueError):
                self.timed.poll_only()
                self.has_extra_bytes = bool(self.peek(1))
        super().close()


class _CheckedResponse(HTTPResponse):
    """Answer whose reader detects bytes received after the answer."""

    def __init__(self, sock, ends_at, *arguments, **options):
        super().__init__(sock, *arguments, **options)
        self.fp = self.reader = _CheckedReader(self.fp.detach(), sock, ends_at)


class CheckedConnection(HTTPConnection):
    """Connection that keeps its last answer and the reader of it."""

    answer = None
    reader = None
    ends_at = None

    def response_class(self, sock, *arguments, **options):
        """Create the answer; called by ``http.client``."""
        response = _CheckedResponse(sock, self.ends_at, *arguments, **options)
        self.answer, self.reader = response, response.reader
        return response
