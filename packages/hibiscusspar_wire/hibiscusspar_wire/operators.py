"""CherryPy application of the operators' port: health, status, metrics, drain."""

from hmac import compare_digest
from typing import Protocol

from cherrypy import HTTPError, expose, request, response
from msgspec.json import encode as to_json

from hibiscusspar_wire.peers import SECRET_HEADER

__all__ = ["OperatorApp", "OperatorHandler"]


class OperatorHandler(Protocol):
    """Process that the operators' port reports on and controls."""

    def ready(self) -> bool:
        """Return whether the process accepts requests."""

    def status(self) -> dict:
        """Return the state of the process for operators and tools."""

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""

    def drain(self) -> None:
        """Start a graceful shutdown."""


class OperatorApp:
    """CherryPy controller of the operators' port.

    Parameters
    ----------
    handler : OperatorHandler
    secret : str
        Secret that a request to ``/drain`` must contain.
    """

    def __init__(self, handler, secret):
        self._handler = handler
        self._secret = secret.encode()

    @expose
    def healthz(self):
        """Answer as long as the process runs."""
        return b"ok\n"

    @expose
    def readyz(self):
        """Answer 200 while the process accepts requests, else 503."""
        if not self._handler.ready():
            raise HTTPError(503, "not ready")
        return b"ready\n"

    @expose
    def status(self):
        """Return the state of the process as JSON."""
        response.headers["Content-Type"] = "application/json"
        return to_json(self._handler.status())

    @expose
    def metrics(self):
        """Return the metrics in the Prometheus text format."""
        response.headers["Content-Type"] = "text/plain; version=0.0.4"
        return self._handler.metrics()

    @expose
    def drain(self):
        """Start a graceful shutdown; requires POST and the shared secret."""
        if request.method != "POST":
            raise HTTPError(405, "use POST")
        given = request.headers.get(SECRET_HEADER, "").encode("utf-8", "replace")
        if not compare_digest(given, self._secret):
            raise HTTPError(403, "wrong secret")
        self._handler.drain()
        response.status = 202
        return b"draining\n"
