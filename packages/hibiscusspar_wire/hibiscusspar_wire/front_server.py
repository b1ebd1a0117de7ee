"""The callers' port as a cheroot server that hands over requests byte for byte.

CherryPy's application layer decodes paths, folds headers and turns errors of a
half-sent body into pages, so its server is used without it.
"""

import threading
from typing import NamedTuple

from cheroot.errors import MaxSizeExceeded
from cheroot.server import Gateway, HTTPServer

__all__ = [
    "BadRequestError",
    "CallerGoneError",
    "FrontServer",
    "InboundHead",
    "InboundRequest",
]

# Frames of a request's thread need far less than the usual 8 MB.
_STACK_BYTES = 256 * 1024
_BACKLOG = 512
_GROW_STEP = 16
_REASONS = {
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
    """The request can't be read: its status and a reason."""

    def __init__(self, status, reason):
        super().__init__(status, reason)
        self.status = status
        self.reason = reason


class CallerGoneError(Exception):
    """The caller's connection can't be written to."""


class InboundHead(NamedTuple):
    """Head of a request; header names as the caller sent them."""

    method: str
    uri: str
    headers: tuple[tuple[str, str], ...]


class InboundRequest:
    """One request of a caller and the way its answer goes back.

    Parameters
    ----------
    request : cheroot.server.HTTPRequest
    """

    def __init__(self, request):
        self._request = request
        self._bodiless = request.method == b"HEAD"

    @property
    def socket(self):
        """Socket of the caller's connection."""
        return self._request.conn.socket

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
        """Whether the head of an answer was sent."""
        return self._request.sent_headers

    def read_body(self, max_bytes):
        """Return the whole body; raise :class:`BadRequestError` if it can't be."""
        request = self._request
        names = request.inheaders
        if b"Transfer-Encoding" in names and b"Content-Length" in names:
            raise BadRequestError(400, "both a length and a transfer encoding")
        try:
            body = request.rfile.read()
        except MaxSizeExceeded as error:
            raise BadRequestError(413, "the body is too long") from error
        except ValueError as error:
            raise BadRequestError(400, "the chunks are malformed") from error
        if len(body) > max_bytes:
            raise BadRequestError(413, "the body is too long")
        length = names.get(b"Content-Length")
        if length is not None and len(body) < int(length):
            raise BadRequestError(400, "the body is shorter than announced")
        return body

    def send_head(self, status, headers, length=None):
        """Send the head of an answer.

        Parameters
        ----------
        status : int
        headers : iterable of (str, str)
        length : int, optional
            Length of the body; chunks are sent if it isn't given.
        """
        request = self._request
        reason = _REASONS.get(status, "Status")
        request.status = f"{status} {reason}".encode("latin-1")
        request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        if length is not None:
            request.outheaders.append((b"Content-Length", str(length).encode()))
        try:
            request.ensure_headers_sent()
        except OSError as error:
            raise CallerGoneError(repr(error)) from error

    def write(self, data):
        """Send a part of the body."""
        if not data or self._bodiless:
            return
        try:
            self._request.write(data)
        except OSError as error:
            raise CallerGoneError(repr(error)) from error

    def answer(self, status, headers, body):
        """Send a whole answer."""
        self.send_head(status, headers, len(body))
        self.write(body)

    def close_after_answer(self):
        """Close the connection once this request is answered."""
        self._request.close_connection = True

    def abort(self):
        """End the connection without an end of the answer."""
        request = self._request
        request.close_connection = True
        request.chunked_write = False
        request.sent_headers = True


class FrontServer:
    """Server of the callers' port.

    Its threads grow with the open requests, because each holds one while it waits
    or streams, and the heads of new ones must go on being read meanwhile.

    Parameters
    ----------
    address : str
        ``IP:port`` to bind.
    handle : callable
        Called with each :class:`InboundRequest` in a thread of its own.
    threads : int
        Threads at the start.
    max_threads : int
    """

    def __init__(self, address, handle, threads=32, max_threads=320):
        threading.stack_size(_STACK_BYTES)
        host, _, port = address.rpartition(":")
        self._max_threads = max_threads
        self._server = HTTPServer(
            (host, int(port)),
            _gateway(handle),
            minthreads=threads,
            maxthreads=max_threads,
            peercreds_enabled=False,
        )
        self._server.request_queue_size = _BACKLOG
        # The default closes all idle connections but 10, and counts them each time.
        self._server.keep_alive_conn_limit = None
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def port(self):
        """Port that is bound."""
        return self._server.bind_addr[1]

    def set_limits(self, max_header_bytes, max_body_bytes, idle_timeout_s):
        """Set what a caller may send and how long it may stay idle."""
        self._server.max_request_header_size = max_header_bytes
        self._server.max_request_body_size = max_body_bytes
        self._server.timeout = idle_timeout_s

    def start(self):
        """Bind the port and serve in threads of its own."""
        self._server.prepare()
        self._thread.start()

    def grow(self):
        """Add threads if few are idle; called regularly."""
        pool = self._server.requests
        if pool.idle < _GROW_STEP and len(pool._threads) < self._max_threads:
            pool.grow(_GROW_STEP)

    def stop(self):
        """Close the port and end the threads."""
        self._server.stop()


def _gateway(handle):
    class InboundGateway(Gateway):
        def respond(self):
            handle(InboundRequest(self.req))

    return InboundGateway
