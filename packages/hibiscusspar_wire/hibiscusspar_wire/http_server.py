"""CherryPy applications on cheroot servers, one server per port."""

import threading
from typing import NamedTuple

from cheroot.ssl.builtin import BuiltinSSLAdapter
from cheroot.wsgi import Server
from cherrypy import Application
from cherrypy import response as current_response
from msgspec.json import encode as to_json

__all__ = ["HttpServer", "ServerLimits", "Tls", "json_error_page"]

_JSON = "application/json"
_FIRST_SERVER_ERROR = 500


class ServerLimits(NamedTuple):
    """Limits of a server in bytes, threads and seconds."""

    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    threads: int = 16
    idle_timeout_s: float = 30.0
    shutdown_timeout_s: float = 5.0


class Tls(NamedTuple):
    """Paths of a server's certificate and private key in PEM format."""

    certificate: str
    private_key: str


def json_error_page(status, message, traceback, version):
    """Return the body of an error that CherryPy itself raised.

    A status of 500 or above is an error inside the process; whether the request
    ran is then unknown.
    """
    current_response.headers["Content-Type"] = _JSON
    code = int(status.split()[0])
    ran = "unknown" if code >= _FIRST_SERVER_ERROR else "not-run"
    current_response.headers["Hibiscusspar-Run"] = ran
    error = {"code": f"http_{code}", "message": message, "step": "http"}
    return to_json({"error": {**error, "ran": ran}}).decode()


class HttpServer:
    """Server of one application on one port.

    Parameters
    ----------
    host : str
        IP address to bind.
    port : int
        Port to bind; 0 lets the kernel choose.
    limits : ServerLimits, optional
    tls : Tls, optional
    """

    def __init__(self, host, port, limits=None, tls=None):
        limits = limits or ServerLimits()
        self._server = Server(
            (host, port),
            None,
            numthreads=limits.threads,
            timeout=limits.idle_timeout_s,
            shutdown_timeout=limits.shutdown_timeout_s,
            request_queue_size=512,
        )
        # The default limit closes all but 10 idle connections, and cheroot counts
        # the connections each time.
        self._server.keep_alive_conn_limit = None
        self._server.max_request_header_size = limits.max_header_bytes
        self._server.max_request_body_size = limits.max_body_bytes
        if tls is not None:
            adapter = BuiltinSSLAdapter(tls.certificate, tls.private_key)
            self._server.ssl_adapter = adapter
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def port(self):
        """Bound port."""
        return self._server.bind_addr[1]

    def bind(self):
        """Bind the port; connections are queued until :meth:`start`."""
        self._server.prepare()

    def start(self, root):
        """Start to serve in background threads.

        Parameters
        ----------
        root : object
            CherryPy controller; its ``default`` method handles every path that no
            other method handles.
        """
        self._server.wsgi_app = _application(root)
        self._thread.start()

    def stop(self):
        """Close the port and stop the threads."""
        self._server.stop()
        self._thread.join()


def _application(root):
    config = {
        "/": {
            "error_page.default": json_error_page,
            "request.process_request_body": False,
            "request.show_tracebacks": False,
            "tools.encode.on": False,
        }
    }
    application = Application(root, "", config)
    application.log.screen = False
    application.log.access = lambda: None
    application.log.error_log.disabled = True
    return application
