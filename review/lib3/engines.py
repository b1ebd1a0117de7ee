"""Stand-in of model replicas that stream, and callers of streams."""

import http.client
import json
import os
import socket
import threading
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from time import monotonic, sleep, time

from standins import HEARTBEAT_S

__all__ = ["EngineReplica", "Stream"]

MODEL, LOAD_S = "daka510000", 0.95
READ_S, EVENT_S, EVENTS = 0.08, 0.075, 40


class _Server(ThreadingHTTPServer):
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignore a connection that its caller has closed."""


class EngineReplica:
    """Replica of an engine that may start again under its id, with other software.

    It begins with its model and starts again without one. ``runs`` holds time, id,
    last event and software version of each request that it began to run.
    """

    def __init__(self, platform, service, zone, version):
        self.target_id = f"i-{os.urandom(5).hex()}"
        self.version = version
        self.runs = []
        # Time of the last heartbeat, whether or not the store accepted it.
        self.beat_at = 0.0
        self._platform, self._service, self._zone = platform, service, zone
        self._lock = threading.Lock()
        self._models = {MODEL: 0.0}
        self._sequence = 0
        self._born = int(time() * 1000)
        self._stopped = threading.Event()
        self._connections = set()
        self._server = None
        self._address = ("127.0.0.1", 0)
        self._open()
        threading.Thread(target=self._beat, daemon=True).start()

    @property
    def address(self):
        """``IP:port`` of the replica."""
        return "{}:{}".format(*self._address)

    def restart(self, version, down_s):
        """End, and start again after some seconds without a model."""
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()
        with self._lock:
            connections, self._connections = self._connections, set()
        for connection in connections:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        sleep(down_s)
        with self._lock:
            self.version, self._models, self._sequence = version, {}, 0
            self._born = int(time() * 1000)
            self._stopped = threading.Event()
        self._open()
        self.write_entry()

    def holds_model(self):
        """Return whether the model is ready."""
        with self._lock:
            return self._models.get(MODEL, float("inf")) <= monotonic()

    def write_entry(self):
        """Write the entry unless the replica is down or the store is away."""
        if not self._stopped.is_set():
            self._platform.heartbeat(self.target_id, self._entry())

    def _open(self):
        self._server = _Server(self._address, self._handler())
        self._server.daemon_threads = True
        self._address = self._server.server_address[:2]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def _beat(self):
        while True:
            self.beat_at = monotonic()
            self.write_entry()
            sleep(HEARTBEAT_S)

    def _rows(self):
        now = monotonic()
        held = [name for name, at in self._models.items() if at <= now]
        return [{"name": name, "version": 1, "adapters": []} for name in held]

    def _entry(self):
        with self._lock:
            return {
                "service": self._service,
                "address": self.address,
                "zone": self._zone,
                "version": self.version,
                "slots": 128,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": self._sequence,
                "stage": "both",
                "models": self._rows(),
                "born": self._born,
            }

    def _report(self):
        with self._lock:
            return {
                "stage": "both",
                "models": self._rows(),
                "busy": any(at > monotonic() for at in self._models.values()),
                "sequence": self._sequence,
                "waiting": 0,
                "running": 0,
                "kvUsed": 0,
                "kvTotal": 138_486,
                "handles": 0,
                "pending": [],
                "born": self._born,
            }

    def _order(self, body):
        with self._lock:
            if body.get("adapter") or body["operation"] != "load":
                return 400
            if body["model"] in self._models:
                return 200
            if body.get("precondition", self._sequence) != self._sequence:
                return 409
            self._sequence += 1
            self._models[body["model"]] = monotonic() + LOAD_S
        threading.Timer(LOAD_S + 0.01, self.write_entry).start()
        return 202

    def _handler(self):
        replica, stopped = self, self._stopped

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self):
                super().setup()
                with replica._lock:
                    replica._connections.add(self.connection)

            def finish(self):
                with replica._lock:
                    replica._connections.discard(self.connection)
                with suppress(OSError):
                    super().finish()

            def do_GET(self):
                report = replica._report() if self.path == "/v1/report" else {}
                self._answer(200, json.dumps(report).encode())

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                expected = self.headers.get("X-Hibiscusspar-Expect-Instance")
                if expected not in (None, replica.target_id):
                    self._answer(421, b"")
                elif self.path == "/v1/order":
                    self._answer(replica._order(json.loads(body)), b"{}")
                elif not replica.holds_model():
                    self._answer(421, b"")
                else:
                    self._stream()

            def _stream(self):
                version, last = replica.version, self.headers.get("Last-Event-Id", "0")
                request_id = self.headers["X-Hibiscusspar-Request-Id"]
                replica.runs.append((monotonic(), request_id, int(last), version))
                if stopped.wait(READ_S):
                    self.close_connection = True
                    return
                try:
                    self._head(200, "text/event-stream")
                    self.send_header("X-Hibiscusspar-Weight-Versions", "1")
                    self.send_header("Transfer-Encoding", "chunked")
                    self.end_headers()
                    for number in range(int(last) + 1, EVENTS + 1):
                        data = f"id: {number}\ndata: {version}\n\n".encode()
                        self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
                        if stopped.wait(EVENT_S):
                            self.close_connection = True
                            return
                    self.wfile.write(b"0\r\n\r\n")
                except OSError:
                    self.close_connection = True

            def _head(self, status, content_type):
                self.send_response(status)
                request_id = self.headers.get("X-Hibiscusspar-Request-Id")
                if request_id:
                    self.send_header("X-Hibiscusspar-Request-Id", request_id)
                self.send_header("X-Hibiscusspar-Response-Seal", "seal")
                self.send_header("X-Hibiscusspar-Instance-Id", replica.target_id)
                self.send_header("Content-Type", content_type)

            def _answer(self, status, body):
                with suppress(OSError):
                    self._head(status, "application/json")
                    self.send_header("Content-Length", str(len(body)))
                    self.end_headers()
                    self.wfile.write(body)

            def log_message(self, *arguments):
                return

        return Handler


class Stream:
    """Stream of one caller, who takes it up once at another node if it breaks off.

    ``events`` holds number and software version of each event, ``tries`` the node,
    status and id of each try, ``taken_up_after`` the last event before the second one.
    """

    def __init__(self, host, path, key, deadline_s=15.0, prompt=(350, 1110)):
        self.events = []
        self.tries = []
        self.taken_up_after = None
        self.is_complete = False
        self.began_at = monotonic()
        self._host, self._path, self._key = host, path, key
        self._deadline_s = deadline_s
        # Tokens of the part that prompts share, and of the other one.
        self._prompt = prompt

    @property
    def versions(self):
        """Software versions of the events, in their order of appearance."""
        return list(dict.fromkeys(version for _, version in self.events))

    def run(self, ips):
        """Send the request to the nodes one after the other until it is complete."""
        for ip in ips:
            self._send(ip)
            if self.is_complete:
                return

    def _send(self, ip):
        request_id = os.urandom(8).hex()
        shared, own = self._prompt
        headers = {
            "Host": self._host,
            "X-Hibiscusspar-Request-Id": request_id,
            "X-Hibiscusspar-Deadline-Ms": str(int(self._deadline_s * 1000)),
            "X-Hibiscusspar-Model": MODEL,
            "X-Hibiscusspar-Token-Count": f"{shared + own},80",
            "X-Hibiscusspar-Prompt-Prefix": f"5c1e07a2:{shared},{request_id}:{own}",
            "Authorization": f"Bearer {self._key}",
        }
        if self.events:
            self.taken_up_after = self.events[-1][0]
            headers["Last-Event-Id"] = str(self.taken_up_after)
            headers["Resumes"] = self._first_id
        connection = http.client.HTTPConnection(ip, 8221, timeout=4.0)
        status = 0
        try:
            connection.request("POST", self._path, body=b"{}", headers=headers)
            response = connection.getresponse()
            status = response.status
            if status == 200:
                self._read(response, request_id)
        except (OSError, http.client.HTTPException):
            self.is_complete = False
        finally:
            connection.close()
        self.tries.append((ip, status, request_id))

    def _read(self, response, request_id):
        buffer = b""
        while data := response.read1(65_536):
            *events, buffer = (buffer + data).split(b"\n\n")
            for event in events:
                number, version = event.decode().split("\n")
                if not self.events:
                    self._first_id = request_id
                row = int(number.partition(": ")[2]), version.partition(": ")[2]
                self.events.append(row)
        self.is_complete = bool(self.events) and self.events[-1][0] == EVENTS
