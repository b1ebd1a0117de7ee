"""CherryPy application and client of the peer port, used between entry VMs."""

from hmac import compare_digest
from typing import Protocol

from cherrypy import HTTPError, expose, request, response
from urllib3 import Timeout
from urllib3.exceptions import HTTPError as TransportError

from hibiscusspar.errors import StepError
from hibiscusspar_wire.strict_http import strict_pool_manager

__all__ = ["PeerApp", "PeerClient", "PeerHandler", "SECRET_HEADER", "VM_HEADER"]

SECRET_HEADER = "X-Peer-Secret"
VM_HEADER = "X-Peer-VM"
MAX_EXCHANGE_BYTES = 4 * 1024 * 1024


class PeerHandler(Protocol):
    """Handler of peers' requests."""

    def exchange(self, data: bytes) -> bytes:
        """Process an encoded exchange and return the one for its sender."""

    def chunk(self, name: str) -> bytes | None:
        """Return a configuration chunk as JSON, or None if it isn't stored."""


class PeerApp:
    """CherryPy controller of the peer port.

    Parameters
    ----------
    handler : PeerHandler
    secret : str
        Secret shared by all entry VMs of a deployment.
    """

    def __init__(self, handler, secret):
        self._handler = handler
        self._secret = secret.encode()

    @expose
    def exchange(self):
        """Process the messages of a peer and answer with the messages for it."""
        self._check_secret()
        length = int(request.headers.get("Content-Length", 0))
        if length > MAX_EXCHANGE_BYTES:
            raise HTTPError(413, "exchange too large")
        response.headers["Content-Type"] = "application/json"
        try:
            return self._handler.exchange(request.rfile.read(length))
        except StepError as error:
            raise HTTPError(400, str(error)) from error

    @expose
    def chunks(self, name):
        """Return a configuration chunk; its name is a digest of its content."""
        self._check_secret()
        chunk = self._handler.chunk(name)
        if chunk is None:
            raise HTTPError(404, "chunk not held")
        response.headers["Content-Type"] = "application/json"
        return chunk

    def _check_secret(self):
        given = request.headers.get(SECRET_HEADER, "").encode("utf-8", "replace")
        if not compare_digest(given, self._secret):
            raise HTTPError(403, "wrong peer secret")


class PeerClient:
    """Client of the peer port of other VMs.

    Parameters
    ----------
    secret : str
    timeout_s : float
        Connect and read timeout in seconds.
    vm : str
        Id of this VM, sent to the peer.
    """

    def __init__(self, secret, timeout_s, vm=""):
        self._headers = {
            SECRET_HEADER: secret,
            VM_HEADER: vm,
            "Content-Type": "application/json",
        }
        timeout = Timeout(connect=timeout_s, read=timeout_s)
        self._pool = strict_pool_manager(num_pools=512, maxsize=2, timeout=timeout)

    def exchange(self, address, data):
        """Post an encoded exchange to a peer and return its answer.

        Raises
        ------
        StepError
            If the peer can't be reached or answers with another status than 200.
        """
        return self._request("POST", address, "/exchange", data)

    def chunk(self, address, name):
        """Fetch a configuration chunk from a peer, as JSON bytes."""
        return self._request("GET", address, f"/chunks/{name}", None)

    def _request(self, method, address, path, data):
        url = f"http://{address}{path}"
        try:
            answer = self._pool.request(
                method, url, body=data, headers=self._headers, retries=False
            )
        except TransportError as error:
            raise StepError(f"peer{path}", address, str(error)) from error
        if answer.status != 200:
            raise StepError(f"peer{path}", address, f"answered {answer.status}")
        return answer.data
