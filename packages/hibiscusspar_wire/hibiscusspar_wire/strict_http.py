"""HTTP connections that reject answers which end inside a line or a head.

``http.client`` takes the end of a connection for the end of a line, of a head and of
the trailers after the last chunk, so a truncated answer may look complete.
"""

import re
from http.client import HTTPException, HTTPResponse
from io import BufferedReader

from urllib3 import HTTPConnectionPool, PoolManager
from urllib3.connection import HTTPConnection

__all__ = [
    "IncompleteLineError",
    "LineReader",
    "StrictConnectionPool",
    "check_framing",
    "strict_pool_manager",
]

_STATUS_LINE = re.compile(r"HTTP/1\.[01] \d{3}")


class IncompleteLineError(HTTPException):
    """A connection ended inside a line of an answer or between two of its lines."""


class LineReader(BufferedReader):
    """Reader of one answer whose lines must be complete."""

    def __init__(self, raw):
        super().__init__(raw)
        self._has_line = False

    def readline(self, size=-1):
        """Return the next line, or its first ``size`` bytes.

        Raises
        ------
        IncompleteLineError
            If the connection ends before the line does. At the start of an answer the
            line is empty then, which tells that there is no answer.
        """
        line = super().readline(size)
        is_whole = line.endswith(b"\n") or len(line) == size
        if not is_whole and (line or self._has_line):
            raise IncompleteLineError(f"connection ended after {line[:80]!r}")
        self._has_line = True
        return line


class _StrictResponse(HTTPResponse):
    def __init__(self, sock, *arguments, **options):
        super().__init__(sock, *arguments, **options)
        self.fp = LineReader(self.fp.detach())

    def begin(self):
        """Read the head of the answer."""
        super().begin()
        check_framing(self)


class _StrictConnection(HTTPConnection):
    response_class = _StrictResponse


class StrictConnectionPool(HTTPConnectionPool):
    """Pool of connections that reject truncated answers."""

    ConnectionCls = _StrictConnection


def strict_pool_manager(**options):
    """Return a ``PoolManager`` whose connections reject truncated answers."""
    manager = PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": StrictConnectionPool}
    return manager


def check_framing(response):
    """Check that a head is that of one answer and tells the length of its body.

    A head that was cut off may run into the next one, in its first line or in a header.
    An answer with neither a length nor a transfer coding ends with its connection.

    Parameters
    ----------
    response : http.client.HTTPResponse

    Raises
    ------
    HTTPException
        If another head begins inside this one, the length is no number, there are
        several, or the transfer coding is unknown. ``http.client`` reads such a body to
        the end of the connection.
    """
    for text in (response.reason, *response.headers.values()):
        if _STATUS_LINE.search(text):
            raise HTTPException(f"another answer in the head: {text[:80]!r}")
    codings = response.headers.get_all("Transfer-Encoding", [])
    if codings and not response.chunked:
        raise HTTPException(f"unknown transfer coding {codings!r}")
    lengths = set(response.headers.get_all("Content-Length", []))
    is_valid = len(lengths) <= 1 and all(
        text.isascii() and text.isdigit() for text in lengths
    )
    if not codings and not is_valid:
        raise HTTPException(f"invalid length {sorted(lengths)!r}")
