"""HTTP server of the stand-ins: CherryPy with fault injection on the sockets."""

import json
import os
import socket
import struct
from contextlib import suppress
from threading import Event, Thread, Timer
from typing import Any, NamedTuple

import cherrypy
from cheroot.server import HTTPConnection
from cheroot.wsgi import Gateway_10, Server

__all__ = ["Answer", "ConnectionGoneError", "Exchange", "StandinServer"]

MAX_BODY_BYTES = 4 << 20
BACKLOG = 512
FAULT_DELAY_S = 0.02


class ConnectionGoneError(Exception):
    """Exception raised when an injected fault has closed the connection."""


class Answer(NamedTuple):
    """HTTP answer; a ``body`` that is an iterator of bytes is streamed."""

    status: int
    body: Any = None
    headers: dict | None = None


class Exchange:
    """HTTP request whose connection faults can break."""

    def __init__(self, request, connection, faults, stopping):
        self.method = request.method
        self.path = request.path_info
        self.query = dict(request.params)
        self.headers = request.headers
        self._rfile = request.rfile
        self._connection = connection
        self._faults = faults
        self._stopping = stopping

    def read(self):
        """Return the body, or break the connection if a fault is pending."""
        size = min(int(self.headers.get("Content-Length") or 0), MAX_BODY_BYTES)
        self.apply_pending_fault("reset_before_body", "silent_before_body")
        head = self._rfile.read(size // 2) if size else b""
        self.apply_pending_fault("reset_during_body")
        body = head + (self._rfile.read(size - len(head)) if size else b"")
        text = body.decode(errors="replace")
        self.apply_pending_fault("reset_after_body", "silent_before_head", text=text)
        return body

    def apply_pending_fault(self, *kinds, text=""):
        """Break the connection if a fault of one of the kinds is pending."""
        for kind in kinds:
            fault = self._faults.take(kind, self.path, text)
            if fault is not None:
                self.apply_fault(fault)

    def apply_fault(self, fault):
        """Reset the connection, after a pause if the fault is a silence."""
        if fault.kind.startswith("silent"):
            self.wait(fault.seconds or None)
        self.reset()

    def wait(self, seconds):
        """Wait until the time has passed (None: no limit) or the server stops."""
        self._stopping.wait(seconds)

    def reset(self):
        """Close the connection with a TCP reset."""
        reset_socket(self._connection.socket)
        raise ConnectionGoneError


class StandinServer:
    """HTTP server of a stand-in; its address stays the same across restarts.

    Parameters
    ----------
    standin : object
        Has ``faults``, ``ledger`` and ``handle(exchange)``, and may have
        ``start()``, ``stop()`` and ``restart()``.
    port : int
        Port to bind; 0 for any free port.
    threads : int
        Number of requests that are served at a time.
    """

    def __init__(self, standin, port=0, threads=32):
        self.standin = standin
        self._bind = ("127.0.0.1", port)
        self._threads = threads
        self._server = None
        self._stopping = Event()
        self._timer = None

    @property
    def address(self):
        """Bound address as ``"IP:port"``."""
        return f"{self._bind[0]}:{self._bind[1]}"

    def start(self):
        """Start serving and return the bound address."""
        self._listen()
        getattr(self.standin, "start", _do_nothing)()
        return self.address

    def stop(self):
        """Stop the stand-in, close all connections and end all threads."""
        if self._timer is not None:
            self._timer.cancel()
        getattr(self.standin, "stop", _do_nothing)()
        self._close()

    def crash(self, seconds=0.0):
        """Drop all state and connections and refuse connections for some seconds."""
        getattr(self.standin, "restart", _do_nothing)()
        self._close()
        if seconds:
            self._timer = Timer(seconds, self._listen)
            self._timer.daemon = True
            self._timer.start()
        else:
            self._listen()

    def _listen(self):
        self._stopping = Event()
        server = Server(
            self._bind,
            _build_application(self),
            numthreads=self._threads,
            request_queue_size=BACKLOG,
            timeout=60,
        )
        server.gateway = _Gateway
        server.ConnectionClass = _Connection
        server.shutdown_timeout = 1
        server.expiration_interval = 0.1
        server.error_log = _do_nothing
        server.prepare()
        self._bind = server.bind_addr[:2]
        self._server = server
        Thread(target=server.serve, daemon=True).start()

    def _close(self):
        self._stopping.set()
        if self._server is not None:
            self._server.stop()
            self._server = None

    def answer(self, request, connection):
        """Return the answer of the stand-in, or of its control paths."""
        standin = self.standin
        exchange = Exchange(request, connection, standin.faults, self._stopping)
        if exchange.path == "/faults":
            return self._handle_faults(exchange, request.rfile)
        if exchange.path == "/ledger":
            return Answer(200, standin.ledger.report())
        return standin.handle(exchange)

    def _handle_faults(self, exchange, rfile):
        faults = self.standin.faults
        if exchange.method == "DELETE":
            faults.clear()
        if exchange.method == "POST":
            size = int(exchange.headers.get("Content-Length") or 0)
            for row in json.loads(rfile.read(size) or b"{}").get("faults", []):
                self._add_fault(row)
        return Answer(200, {"faults": faults.pending()})

    def _add_fault(self, row):
        if row["kind"] in ("refuse", "restart_cold"):
            delay_s = FAULT_DELAY_S  # the answer is sent before the server stops
            Timer(delay_s, self.crash, (row.get("seconds", 0.0),)).start()
        else:
            self.standin.faults.add(**row)


class _Connection(HTTPConnection):
    def close(self):
        with suppress(OSError):  # a fault may have closed the socket
            super().close()


class _Gateway(Gateway_10):
    def get_environ(self):
        return super().get_environ() | {"standin.connection": self.req.conn}


class _Root:
    def __init__(self, server):
        self._server = server

    @cherrypy.expose
    def default(self, *_path, **_params):
        request = cherrypy.serving.request
        connection = request.wsgi_environ["standin.connection"]
        try:
            answer = self._server.answer(request, connection)
        except ConnectionGoneError:
            return b""
        return _write_answer(answer)


def _write_answer(answer):
    response = cherrypy.serving.response
    response.status = answer.status
    response.headers["Content-Type"] = "application/json"
    response.headers.update(answer.headers or {})
    if isinstance(answer.body, bytes):
        return answer.body
    if answer.body is None or isinstance(answer.body, dict):
        return json.dumps(answer.body or {}).encode()
    response.stream = True
    return answer.body


def _build_application(server):
    app = cherrypy.Application(_Root(server), "")
    app.merge({"/": {"request.process_request_body": False}})
    app.log.screen = False
    app.log.access_log.disabled = True
    app.log.error_log.disabled = True
    return app


def reset_socket(sock):
    """Close a socket with a TCP reset."""
    linger = struct.pack("ii", 1, 0)
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        os.close(sock.detach())


def _do_nothing(*_args, **_kwargs):
    return None
