"""CherryPy application of the callers' port."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from cheroot.errors import MaxSizeExceeded
from cherrypy import expose, request, response
from msgspec.json import encode as to_json

__all__ = [
    "Answer",
    "CallerApp",
    "CallerRequest",
    "Gateway",
    "error_answer",
]

RUN_HEADER = "Hibiscusspar-Run"
_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class CallerRequest(NamedTuple):
    """Request of a caller with its complete body.

    ``headers`` holds pairs with lower-case names, without hop-by-hop headers.
    """

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name):
        """Return the first value of a header, or an empty string."""
        return next((value for key, value in self.headers if key == name), "")


class Answer(NamedTuple):
    """Answer to a caller; the body is bytes, or an iterable of bytes for a stream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | Iterable[bytes]


class Gateway(Protocol):
    """Handler of callers' requests."""

    def handle(self, call: CallerRequest) -> Answer:
        """Return the answer, complete or streamed."""


def error_answer(status, code, message, step, ran="not-run", retry_after_s=None):
    """Return a JSON error answer that states whether the request ran.

    Parameters
    ----------
    status : int
    code : str
        Stable identifier of the error.
    message : str
        Human-readable reason.
    step : str
        Processing step at which the request failed.
    ran : {"not-run", "unknown"}
    retry_after_s : float, optional
        Seconds after which the caller may retry.

    Returns
    -------
    Answer
    """
    error = {"code": code, "message": message, "step": step, "ran": ran}
    headers = [("Content-Type", "application/json"), (RUN_HEADER, ran)]
    if retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(retry_after_s + 0.5)))))
    return Answer(status, tuple(headers), to_json({"error": error}))


class CallerApp:
    """CherryPy controller of the callers' port.

    Parameters
    ----------
    gateway : Gateway
    max_body_bytes : int
        Maximum length of a request body.
    """

    def __init__(self, gateway, max_body_bytes):
        self._gateway = gateway
        self._max_body_bytes = max_body_bytes

    @expose
    def default(self, *_path, **_query):
        """Answer a request of any method on any path."""
        try:
            body = _read_body(self._max_body_bytes)
        except _BodyError as error:
            response.headers["Connection"] = "close"
            return _respond(error_answer(*error.args, "http.read"))
        return _respond(self._gateway.handle(_caller_request(body)))


class _BodyError(Exception):
    """A request body was rejected; the arguments are status, code and message."""


def _read_body(max_bytes):
    length = request.headers.get("Content-Length")
    if length is None and "Transfer-Encoding" not in request.headers:
        return b""
    size = max_bytes + 1 if length is None else min(int(length), max_bytes + 1)
    body = _read_whole(size)
    if len(body) > max_bytes:
        reason = f"the body is longer than {max_bytes} bytes"
        raise _BodyError(413, "body_too_large", reason)
    if length is not None and len(body) < int(length):
        raise _BodyError(400, "short_body", "the body is shorter than announced")
    return body


def _read_whole(size):
    try:
        return request.rfile.read(size)
    except MaxSizeExceeded as error:
        reason = "the body is too long"
        raise _BodyError(413, "body_too_large", reason) from error
    except ValueError as error:
        reason = "the chunks of the body are malformed"
        raise _BodyError(400, "bad_chunks", reason) from error


def _caller_request(body):
    headers = tuple(
        (name.lower(), value)
        for name, value in request.header_list
        if name.lower() not in _HOP_HEADERS
    )
    uri = request.wsgi_environ.get("REQUEST_URI", request.path_info)
    path = uri.partition("?")[0]
    return CallerRequest(request.method, path, request.query_string, headers, body)


def _respond(answer):
    response.status = answer.status
    for name, value in answer.headers:
        response.headers[name] = value
    if isinstance(answer.body, bytes):
        return answer.body
    response.stream = True
    return answer.body
