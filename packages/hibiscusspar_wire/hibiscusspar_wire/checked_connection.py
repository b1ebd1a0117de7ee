"""HTTP connections with one time limit for the head of an answer and for each read.

They detect answers that end inside their head, and bytes received after an answer.
"""

from contextlib import suppress
from http.client import HTTPException
from io import RawIOBase
from time import monotonic
from typing import Protocol

from urllib3.connection import HTTPConnection

from hibiscusspar_wire.strict_http import LineReader, StrictResponse

__all__ = ["CheckedConnection", "Silence"]

# Part of the time left for a read after which the socket's timeout ends, at first.
_TIMEOUT_SHARE = 0.75
# Longest head of an answer, with the interim answers before it.
_MAX_HEAD_BYTES = 262_144


class _AnswerTooLongError(HTTPException):
    """The head of an answer has no end."""


class Silence(Protocol):
    """What is done while a peer sends nothing in the middle of an answer.

    ``starts_at`` is the monotonic time from which a peer that sends nothing counts as
    silent; it changes with each progress of the answer.
    """

    starts_at: float

    def outlast(self, sock, ends_at) -> bool:
        """Wait until a silent peer sends bytes or the time has passed.

        Parameters
        ----------
        sock : socket.socket
        ends_at : float
            Monotonic time.

        Returns
        -------
        bool
            False if the answer isn't needed any more.
        """


class _TimedSocket(RawIOBase):
    """Stream of received bytes with one time limit for any number of reads.

    The timeout of a socket starts again with each byte that arrives.

    Parameters
    ----------
    raw : io.RawIOBase
    sock : socket.socket
    ends_at : float
        Monotonic time after which reads fail.
    silence : Silence, optional
    """

    def __init__(self, raw, sock, ends_at, silence=None):
        self._raw = raw
        self._sock = sock
        self.ends_at = ends_at
        self._silence = silence
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
            now = monotonic()
            remaining_s = self.ends_at - now
            if remaining_s <= 0:
                raise TimeoutError("the time for the answer has passed")
            silence = self._silence
            if silence is not None:
                silent_in_s = silence.starts_at - now
                if silent_in_s <= 0:
                    if not silence.outlast(self._sock, self.ends_at):
                        raise TimeoutError("another answer has taken its place")
                    silent_in_s = remaining_s = self.ends_at - monotonic()
                    if remaining_s <= 0:
                        continue
                remaining_s = min(remaining_s, silent_in_s)
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


class _CheckedReader(LineReader):
    """Reader of one answer that detects bytes received after the answer."""

    def __init__(self, raw, sock, ends_at, silence):
        self.timed = _TimedSocket(raw, sock, ends_at, silence)
        super().__init__(self.timed)
        self.has_extra_bytes = False

    def close(self):
        """Check for bytes after the answer, then close."""
        if not self.closed:
            with suppress(OSError, ValueError):
                self.timed.poll_only()
                self.has_extra_bytes = bool(self.peek(1))
        super().close()


class CheckedConnection(HTTPConnection):
    """Connection that keeps its last answer and the reader of it."""

    answer = None
    reader = None
    ends_at = None
    silence = None

    def response_class(self, sock, *arguments, **options):
        """Create the answer; called by ``http.client``."""

        def reader(raw):
            return _CheckedReader(raw, sock, self.ends_at, self.silence)

        response = StrictResponse(sock, *arguments, reader=reader, **options)
        self.answer, self.reader = response, response.reader
        return response
