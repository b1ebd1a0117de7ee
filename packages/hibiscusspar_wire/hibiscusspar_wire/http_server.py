"""CherryPy applications on cheroot servers, one server for each port."""

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
    """Bounds of a server: bytes, threads and seconds."""

    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    threads: int = 16
    idle_timeout_s: float = 30.0
    shutdown_timeout_s: float = 5.0


class Tls(NamedTuple):
    """Files of a server's certificate and private key, in PEM."""

    certificate: str
    private_key: str


def json_error_page(status, message, traceback, version):
    """Return the body of an error that CherryPy itself raised.

    After an error inside the process nothing is known of the request.
    """
    current_response.headers["Content-Type"] = _JSON
    code = int(status.split()[0])
    ran = "unknown" if code >= _FIRST_SERVER_ERROR else "not-run"
    current_response.headers["Hibiscusspar-Run"] = ran
    error = {"code": f"http_{code}", "message": message, "step": "http"}
    return to_json({"error": {**error, "ran": ran}}).decode()


class HttpServer:
    """One listening port that serves one application.

    Parameters
    ----------
    host : str
        IP number to bind.
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
        # The default closes all idle connections but 10, and counts them each time.
        self._server.keep_alive_conn_limit = None
        self._server.max_request_header_size = limits.max_header_bytes
        self._server.max_request_body_size = limits.max_body_bytes
        if tls is not None:
            adapter = BuiltinSSLAdapter(tls.certificate, tls.private_key)
            self._server.ssl_adapter = adapter
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def port(self):
        """Port that is bound."""
        return self._server.bind_addr[1]

    def bind(self):
        """Bind the port; connections wait until :meth:`start`."""
        self._server.prepare()

    def start(self, root):
        """Serve in threads of its own.

        Parameters
        ----------
        root : object
            CherryPy controller; its ``default`` method gets every path that no
            other method has.
        """
        self._server.wsgi_app = _application(root)
        self._thread.start()

    def stop(self):
        """Close the port and end the threads."""
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
