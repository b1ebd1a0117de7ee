"""HTTP connections that reject truncated answers and malformed lines.

``http.client`` takes the end of a connection for the end of a line, of a head and of
the trailers after the last chunk, so a truncated answer may look complete. It reads a
status as Python reads a number, and takes any from 100 to 999. It parses a head as that
of a mail, which ends at the first line that isn't a field; the fields after it are
lost, and the length of the body with them. It skips interim answers and trailers
unparsed, and reads the size of a chunk as Python reads a number.
"""

import re
from http.client import BadStatusLine, HTTPException, HTTPResponse
from io import BufferedReader

from urllib3 import HTTPConnectionPool, PoolManager
from urllib3.connection import HTTPConnection

__all__ = [
    "IncompleteLineError",
    "LineReader",
    "MalformedLineError",
    "StrictConnectionPool",
    "StrictResponse",
    "check_framing",
    "check_head",
    "strict_pool_manager",
]

_STATUS_LINE = re.compile(r"HTTP/1\.[01] \d{3}")
# Status line of an answer or an interim one (RFC 9112, section 4). 101 answers a
# request to switch protocols, which is never sent.
_VALID_STATUS_LINE = re.compile(rb"HTTP/1\.\d (?!101)[1-5]\d\d[ \r\n]")
# Name of a field, a token (RFC 9110, section 5.6.2), and its value, without NUL and CR
# (section 5.5), as another reader may take a CR for the end of a line.
_NAME = r"[-!#$%&'*+.^_`|~0-9A-Za-z]+"
_VALUE = r"[^\0\r\n]*"
# Field line, or the empty line behind the last one (RFC 9112, section 5), without a
# blank before the colon.
_FIRST_FIELD_LINE = re.compile(rf"(?:{_NAME}:{_VALUE})?\r?\n".encode())
# The value of a field may be continued on a line that begins with a blank.
_FIELD_LINE = re.compile(rf"[ \t]{_VALUE}\r?\n|".encode() + _FIRST_FIELD_LINE.pattern)
_VALID_NAME, _VALID_VALUE = re.compile(_NAME), re.compile(_VALUE)
# Size of a chunk and its extensions (RFC 9112, section 7.1); a size of zero, which ends
# the chunks, has no digits in the group. 15 digits fit into an index of Python.
_CHUNK_LINE = re.compile(
    rb"(?=[0-9A-Fa-f])0*([0-9A-Fa-f]{0,15})(?:[ \t]*;[\t -~\x80-\xff]*)?\r\n"
)


class IncompleteLineError(HTTPException):
    """A connection ended inside a line of an answer or between two of its lines."""


class MalformedLineError(HTTPException):
    """A line of an answer isn't what the protocol has in its place."""


class LineReader(BufferedReader):
    """Reader of one answer whose lines must be complete and well-formed.

    All lines of an answer are read here, by ``http.client`` and by ``urllib3``.
    """

    # Pattern of the next line; None where any line may follow.
    expected = None

    def __init__(self, raw):
        super().__init__(raw)
        self._has_line = False
        # Last line that was read.
        self.line = b""

    def readline(self, size=-1):
        """Return the next line, or its first ``size`` bytes.

        Field lines are returned with CR and LF at their end.

        Raises
        ------
        IncompleteLineError
            If the connection ends before the line does. At the start of an answer the
            line is empty then, which tells that there is no answer.
        MalformedLineError
            If a head or the trailers have a line that is no field, or a value with an
            invalid byte, or if the size of a chunk is malformed.
        """
        line = super().readline(size)
        is_whole = line.endswith(b"\n") or len(line) == size
        if not is_whole and (line or self._has_line):
            raise IncompleteLineError(f"connection ended after {line[:80]!r}")
        self._has_line = True
        self.line = line
        if self.expected is not None:
            match = self.expected.match(line)
            if match is None:
                raise MalformedLineError(f"malformed line {line[:80]!r}")
            if self.expected is _CHUNK_LINE:
                if not match[1]:
                    self.expected = _FIRST_FIELD_LINE
                return line
            self.expected = _FIELD_LINE
            if not line.endswith(b"\r\n"):
                # ``urllib3`` joins the lines of a value only at CR and LF.
                line = line[:-1] + b"\r\n"
        return line


class StrictResponse(HTTPResponse):
    """Answer whose head must be complete and valid.

    Parameters
    ----------
    sock : socket.socket
    reader : callable, optional
        Returns the ``LineReader`` of the answer, given the raw stream of the socket.
    """

    def __init__(self, sock, *arguments, reader=LineReader, **options):
        super().__init__(sock, *arguments, **options)
        self.fp = self.reader = reader(self.fp.detach())

    def begin(self):
        """Read the head of the answer; skip interim answers before it.

        Raises
        ------
        HTTPException
            If a head ends early or is malformed.
        """
        super().begin()
        while 100 <= self.status < 200:
            # ``http.client`` skips those with status 100 only.
            self.headers = self.msg = None
            super().begin()
        self.reader.expected = _CHUNK_LINE if self.chunked else None
        check_framing(self)

    def _read_status(self):
        # Called by ``http.client`` for each head.
        self.reader.expected = None
        fields = super()._read_status()
        if not _VALID_STATUS_LINE.match(self.reader.line):
            raise BadStatusLine(repr(self.reader.line[:80]))
        self.reader.expected = _FIRST_FIELD_LINE
        return fields

    def _get_chunk_left(self):
        # Called by ``http.client``, which skips two bytes after a chunk unseen, before
        # each read of a body in chunks.
        if self.chunk_left == 0:
            end = self._safe_read(2)
            if end != b"\r\n":
                raise MalformedLineError(f"{end!r} after a chunk")
            self.chunk_left = None
        return super()._get_chunk_left()


class _StrictConnection(HTTPConnection):
    response_class = StrictResponse


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


def check_head(status, fields):
    """Check a head that another node has read, with the rules for one read here.

    Parameters
    ----------
    status : int
    fields : iterable of (str, str)

    Raises
    ------
    HTTPException
        If the status isn't that of a final answer, or a name or a value is invalid.
    UnicodeEncodeError
        If a value has characters beyond Latin-1.
    """
    if not 200 <= status <= 599:
        raise BadStatusLine(str(status))
    for name, value in fields:
        # Heads are Latin-1; other characters couldn't be passed on.
        value.encode("latin-1")
        if not (_VALID_NAME.fullmatch(name) and _VALID_VALUE.fullmatch(value)):
            raise MalformedLineError(f"malformed field {name[:80]!r}: {value[:80]!r}")
