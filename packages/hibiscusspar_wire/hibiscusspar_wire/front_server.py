"""Server of the callers' port that passes on requests unchanged.

It uses the cheroot server without CherryPy's application layer, which decodes
paths, folds headers and answers a partly received body with an error page.
"""

import threading
from collections import deque
from math import inf
from traceback import format_exc
from typing import NamedTuple

from cheroot.errors import MaxSizeExceeded
from cheroot.server import Gateway, HTTPServer

from hibiscusspar_wire.caller_connection import CallerConnection
from hibiscusspar_wire.idle_connections import IdleConnections
from hibiscusspar_wire.request_threads import RequestThreads

__all__ = [
    "BadRequestError",
    "CallerGoneError",
    "FrontServer",
    "InboundHead",
    "InboundRequest",
]

# A request's thread needs far less than the usual 8 MB of stack.
_STACK_BYTES = 256 * 1024
_BACKLOG = 512
_GROW_STEP = 16
# Time in seconds that a caller may take between two bytes of a request or its answer.
_TRANSFER_TIMEOUT_S = 10.0
_IDLE_LIMIT_S = 10.0
_IDLE_NOTICE_S = 2.0
# Longest part of a body that is written to the socket directly, which limits the time
# for the whole part. The server limits the time for each write.
_MAX_DIRECT_BYTES = 16_384
_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class BadRequestError(Exception):
    """The request can't be read; it is answered with ``status`` and ``reason``."""

    def __init__(self, status, reason):
        super().__init__(status, reason)
        self.status = status
        self.reason = reason


class CallerGoneError(Exception):
    """The caller's connection can't be written to."""


class InboundHead(NamedTuple):
    """Head of a request, with header names as the caller sent them."""

    method: str
    uri: str
    headers: tuple[tuple[str, str], ...]


class InboundRequest:
    """Request of a caller; its methods also send the answer.

    Parameters
    ----------
    request : cheroot.server.HTTPRequest
    """

    def __init__(self, request):
        self._request = request
        self._bodiless = request.method == b"HEAD"
        self._has_length = False

    @property
    def socket(self):
        """Socket of the caller's connection."""
        return self._request.conn.socket

    @property
    def is_excess(self):
        """Whether the server holds as many requests as it may without this one.

        It has to be refused at once.
        """
        return self._request.conn.is_excess

    @property
    def head(self):
        """Method, URI and headers."""
        request = self._request
        return InboundHead(
            request.method.decode("latin-1"),
            request.uri.decode("latin-1"),
            tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in request.inheaders.items()
            ),
        )

    @property
    def answered(self):
        """Whether the head of the answer was sent."""
        return self._request.sent_headers

    def read_body(self, max_bytes=inf):
        """Return the complete body.

        A request is refused after its body was read, as the rest would be taken for the
        next request.

        Raises
        ------
        BadRequestError
            If the body is malformed, incomplete, late or longer than ``max_bytes``.
        """
        request = self._request
        names = request.inheaders
        if b"Transfer-Encoding" in names and b"Content-Length" in names:
            raise BadRequestError(400, "both a length and a transfer encoding")
        try:
            body = request.rfile.read()
            if request.chunked_read:
                # What is left unread would count as the begin of the next request.
                deque(request.rfile.read_trailer_lines(), maxlen=0)
        except TimeoutError as error:
            raise BadRequestError(408, "the rest of the body is late") from error
        except MaxSizeExceeded as error:
            raise BadRequestError(413, "the body is too long") from error
        except ValueError as error:
            raise BadRequestError(400, "the chunks are malformed") from error
        except OSError as error:
            # An error of the socket has a number, that of a long chunk has none.
            if error.errno is not None:
                raise
            raise BadRequestError(413, "the body is too long") from error
        if len(body) > max_bytes:
            raise BadRequestError(413, "the body is too long")
        length = names.get(b"Content-Length")
        if length is not None and len(body) < int(length):
            raise BadRequestError(400, "the body is shorter than announced")
        return body

    def send_head(self, status, headers, length=None):
        """Send the status and headers of the answer.

        Parameters
        ----------
        status : int
        headers : iterable of (str, str)
        length : int, optional
            Length of the body; without it the body is sent in chunks.
        """
        request = self._request
        reason = _REASON_PHRASES.get(status, "Status")
        request.status = f"{status} {reason}".encode("latin-1")
        request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        if length is not None:
            request.outheaders.append((b"Content-Length", str(length).encode()))
        self._has_length = length is not None
        try:
            request.ensure_headers_sent()
        except OSError as error:
            raise CallerGoneError(repr(error)) from error

    def write(self, data):
        """Send a part of the body."""
        if not data or self._bodiless:
            return
        try:
            if self._request.chunked_write and len(data) <= _MAX_DIRECT_BYTES:
                # The server's writer, which buffers nothing, is written in Python.
                self.socket.sendall(b"%x\r\n%b\r\n" % (len(data), data))
            else:
                self._request.write(data)
        except OSError as error:
            raise CallerGoneError(repr(error)) from error

    def answer(self, status, headers, body):
        """Send a complete answer."""
        self.send_head(status, headers, len(body))
        self.write(body)

    def close_after_answer(self):
        """Close the connection after this request's answer."""
        self._request.close_connection = True

    def abort(self):
        """Close the connection without completing the answer."""
        request = self._request
        # Only a reset tells the end of an answer without chunks or a length from that
        # of a whole one.
        request.conn.resets = request.sent_headers and not (
            request.chunked_write or self._has_length
        )
        request.close_connection = True
        request.chunked_write = False
        request.sent_headers = True


class FrontServer:
    """Server of the callers' port.

    Each open request occupies a thread while it waits or streams. The number of
    threads grows with the open requests, so that new requests are still read.

    Parameters
    ----------
    address : str
        ``IP:port`` to bind.
    handle : callable
        Called with each :class:`InboundRequest` in a thread of its own.
    threads : int
        Initial number of threads.
    max_threads : int
        Largest number of threads, and of requests that are held open.
    reserve_threads : int, optional
        Threads beyond these for requests that ``handle`` has to refuse at once; see
        :attr:`InboundRequest.is_excess`. Without any, further requests wait unread.
    idle_notice_s : float, optional
        Time in seconds in which callers learn of another limit of the idle time.
    on_error : callable, optional
        Called with a text about each error of a connection, in the thread that served
        it, so it must neither block nor fail. By default errors are written to standard
        error.
    """

    def __init__(
        self,
        address,
        handle,
        threads=32,
        max_threads=320,
        reserve_threads=0,
        idle_notice_s=_IDLE_NOTICE_S,
        on_error=None,
    ):
        threading.stack_size(_STACK_BYTES)
        host, _, port = address.rpartition(":")
        self._max_threads = max_threads
        self._server = _Server(
            (host, int(port)),
            _gateway_class(handle),
            peercreds_enabled=False,
        )
        self._server.idle_notice_s = idle_notice_s
        self._server.on_error = on_error
        self._server.requests = RequestThreads(
            self._server, threads, max_threads + reserve_threads
        )
        self._server.open_slots = threading.Semaphore(max_threads)
        self._server.transfer_timeout_s = _TRANSFER_TIMEOUT_S
        self._server.ConnectionClass = CallerConnection
        self._server.request_queue_size = _BACKLOG
        # The default limit closes all but 10 idle connections, and cheroot counts
        # the connections each time.
        self._server.keep_alive_conn_limit = None
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def port(self):
        """Bound port."""
        return self._server.bind_addr[1]

    @property
    def closed_idle_count(self):
        """Number of connections that were closed as idle."""
        return self._server.closed_idle_count

    @property
    def unanswered(self):
        """Number of requests that have arrived and are not answered yet."""
        return self._server.requests.unanswered

    def set_limits(self, max_header_bytes, max_body_bytes, idle_timeout_s):
        """Set the limits of a request's size and of a connection's idle time."""
        self._server.max_request_header_size = max_header_bytes
        self._server.max_request_body_size = max_body_bytes
        self._server.idle_limit_s = idle_timeout_s

    def start(self):
        """Bind the port and start to serve in background threads."""
        self._server.prepare()
        self._thread.start()

    def grow(self):
        """Add threads before they are needed, if few are idle.

        It must be called periodically, and may be called before the server has started.
        """
        pool = self._server.requests
        if not self._thread.is_alive():
            return
        if pool.free < _GROW_STEP and pool.count < self._max_threads:
            pool.grow(min(_GROW_STEP, self._max_threads - pool.count))

    def stop(self):
        """Close the port and stop the threads."""
        self._server.stop()


class _Server(HTTPServer):
    """Server whose idle connections have a limit of their own."""

    _idle_limit_s = _IDLE_LIMIT_S
    _connections = None
    idle_notice_s = _IDLE_NOTICE_S
    on_error = None

    @property
    def idle_limit_s(self):
        """Time in seconds for which a connection may wait for a request."""
        return self._idle_limit_s

    @idle_limit_s.setter
    def idle_limit_s(self, limit_s):
        # Told to callers that ask for their connections to be kept.
        self._idle_limit_s = self.timeout = limit_s
        if self._connections is not None:
            self._connections.idle_limit_s = limit_s

    @property
    def closed_idle_count(self):
        """Number of connections that were closed as idle."""
        return 0 if self._connections is None else self._connections.closed_count

    def error_log(self, msg="", level=20, traceback=False):
        """Report an error; called by cheroot, which writes it to standard error."""
        if self.on_error is None:
            super().error_log(msg, level, traceback)
            return
        self.on_error(f"{msg}\n{format_exc()}" if traceback else str(msg))

    def prepare(self):
        """Bind the port and start the threads."""
        super().prepare()
        self._connections.close()
        self._connections = IdleConnections(
            self, self._idle_limit_s, self.idle_notice_s
        )


def _gateway_class(handle):
    class InboundGateway(Gateway):
        def respond(self):
            handle(InboundRequest(self.req))

    return InboundGateway
