"""Stand-ins of a model replica and of a replica of a plain service."""

import json
import select
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from time import monotonic, sleep, time

from fleet import HEARTBEAT_S

__all__ = ["MODEL", "Engine", "Plain", "Replica"]

MODEL = "daka510000"
_LOAD_S = 0.25
_PLACES = 20


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256


class Replica:
    """Server of one service that keeps its entry in the store.

    Parameters
    ----------
    store : Store
    record : Record
    target_id, service, zone, software : str
    address : tuple of (str, int)
    """

    slots = 128

    def __init__(self, store, record, target_id, service, zone, address, software="v1"):
        self.target_id = target_id
        self.service, self.zone, self.software = service, zone, software
        self.address = address
        self.record = record
        self.state = "ready"
        # Times, ids and other facts of what arrived and of what ran.
        self.arrivals = []
        self.runs = []
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self._store = store
        self._born = int(time() * 1000)
        self._server = _Server(address, self._make_handler())
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        self.write_entry()
        threading.Thread(target=self._run_heartbeats, daemon=True).start()

    def drain(self):
        """Report ``draining``; return the time at which the store accepted that."""
        self.state = "draining"
        self.write_entry()
        return monotonic()

    def leave(self):
        """Remove the entry and end."""
        with self.lock:
            self.stopped.set()
            self._store.delete("servers", self.target_id)
        self._server.shutdown()
        self._server.server_close()

    def write_entry(self):
        """Write the entry to the store."""
        with self.lock:
            if not self.stopped.is_set():
                self._store.put("servers", self.target_id, self.entry())

    def entry(self):
        """Return the content of the entry."""
        return {
            "service": self.service,
            "address": "{}:{}".format(*self.address),
            "zone": self.zone,
            "version": self.software,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "born": self._born,
            "sequence": 0,
        }

    def handle_call(self, handler, body):
        """Answer a request of a client."""
        raise NotImplementedError

    def handle_own(self, handler, body):
        """Answer a call to the replica itself; return whether it was one."""
        if handler.path != "/health":
            return False
        status = 200 if self.state == "ready" else 503
        handler.reply(status, b"", (("X-Hibiscusspar-Instance-Id", self.target_id),))
        return True

    def _run_heartbeats(self):
        while not self.stopped.wait(HEARTBEAT_S):
            self.write_entry()

    def _make_handler(self):
        replica = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_call(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                expected = self.headers.get("X-Hibiscusspar-Expect-Instance")
                if expected not in (None, replica.target_id):
                    own = ("X-Hibiscusspar-Instance-Id", replica.target_id)
                    self.reply(421, b"", (own,))
                elif not replica.handle_own(self, body):
                    replica.handle_call(self, body)

            do_GET = do_POST = do_PUT = do_DELETE = do_call  # noqa: N815

            @property
            def request_id(self):
                return self.headers.get("X-Hibiscusspar-Request-Id", "")

            def head(self, status, headers=()):
                self.send_response(status)
                if self.request_id:
                    self.send_header("X-Hibiscusspar-Request-Id", self.request_id)
                for name, value in headers:
                    self.send_header(name, value)

            def reply(self, status, data, headers=()):
                self.head(status, headers)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def refuse(self, status):
                self.reply(status, b"", (("X-Hibiscusspar-Not-Executed", "1"),))

            def has_left(self):
                """Return whether the caller has closed the connection."""
                poll = select.poll()
                poll.register(self.connection, select.POLLRDHUP)
                return bool(poll.poll(0))

            def handle(self):
                try:
                    super().handle()
                except OSError:
                    self.close_connection = True

            def log_message(self, *arguments):
                return

        return Handler


class Engine(Replica):
    """Model replica: orders, loads of adapters, reports and streams.

    Streams have as many events as ``X-Hibiscusspar-Token-Count`` allows, two tokens
    each, ``gap_s`` apart, the first one after ``first_s``.
    """

    gap_s = 0.03
    first_s = 0.0

    def __init__(self, *arguments, **options):
        self.orders = []
        self._adapters = {}
        self._sequence = 0
        super().__init__(*arguments, **options)

    def entry(self):
        """Return the content of the entry."""
        models = [{"name": MODEL, "version": 1, "adapters": self._resident()}]
        more = {"stage": "both", "models": models, "sequence": self._sequence}
        return {**super().entry(), **more}

    def handle_own(self, handler, body):
        """Answer orders, reports and health checks."""
        if handler.path == "/v1/order":
            handler.reply(self._execute(json.loads(body)), b"")
        elif handler.path == "/v1/report":
            data = json.dumps(self._report()).encode()
            handler.reply(200, data, (("Content-Type", "application/json"),))
        elif handler.path.startswith("/v1/"):
            handler.reply(404, b"")
        else:
            return super().handle_own(handler, body)
        return True

    def handle_call(self, handler, body):
        """Run a request."""
        request_id = handler.request_id
        with self.lock:
            self.arrivals.append((monotonic(), request_id))
        _, _, adapter = handler.headers["X-Hibiscusspar-Model"].partition("/")
        if adapter and self._adapters.get(adapter, float("inf")) > monotonic():
            handler.refuse(421)
            return
        tokens = int(handler.headers["X-Hibiscusspar-Token-Count"].partition(",")[2])
        begin = int(handler.headers.get("Last-Event-Id", 0)) + 1
        with self.lock:
            self.runs.append((monotonic(), request_id, begin))
        self.record(f"{self.target_id} ({self.software}) runs {request_id} at {begin}")
        sleep(self.first_s)
        seal = ("X-Hibiscusspar-Response-Seal", f"seal-{request_id}")
        handler.head(200, (seal, ("Content-Type", "text/event-stream")))
        handler.send_header("X-Hibiscusspar-Weight-Versions", "1")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(begin, tokens // 2 + 1):
            sleep(self.gap_s)
            if handler.has_left() or self.stopped.is_set():
                self.record(f"{self.target_id} ends {request_id} before {number}")
                handler.close_connection = True
                return
            data = f"id: {number}\ndata: {self.software} {request_id}\n\n".encode()
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
        handler.wfile.write(b"0\r\n\r\n")

    def _resident(self):
        now = monotonic()
        return [f"{name}@1" for name, at in self._adapters.items() if at <= now]

    def _execute(self, order):
        now = monotonic()
        with self.lock:
            if "holder" not in order or "fence" not in order:
                return 400
            self.orders.append((now, order["holder"], order["fence"]))
            text = f"{order['operation']} {order.get('adapter')}"
            self.record(
                f"{self.target_id} gets an order: {text}, "
                f"holder {order['holder']}, fence {order['fence']}"
            )
            if order.get("precondition", self._sequence) != self._sequence:
                return 409
            adapter = order.get("adapter")
            if adapter is None:
                return 200
            self._sequence += 1
            if order["operation"] == "unload":
                self._adapters.pop(adapter, None)
                return 200
            if adapter not in self._adapters and len(self._adapters) >= _PLACES:
                self.record(f"{self.target_id} is ordered to load too much")
            self._adapters[adapter] = now + _LOAD_S
            return 202

    def _report(self):
        now = monotonic()
        with self.lock:
            models = [{"name": MODEL, "version": 1, "adapters": self._resident()}]
            pending = [
                f"{MODEL}/{name}@1" for name, at in self._adapters.items() if at > now
            ]
            return {
                "stage": "both",
                "models": models,
                "pending": pending,
                "busy": False,
                "sequence": self._sequence,
                "waiting": 0,
                "running": 0,
                "kvUsed": 0,
                "kvTotal": 138486,
                "handles": 0,
                "born": self._born,
            }


class Plain(Replica):
    """Replica of a plain service, which runs a request for ``work_s``."""

    slots = 6
    work_s = 0.06

    def handle_call(self, handler, body):
        """Run a request."""
        request_id = handler.request_id
        with self.lock:
            self.arrivals.append((monotonic(), request_id))
            self.runs.append((monotonic(), request_id, 0))
        self.record(f"{self.target_id} runs {request_id}")
        sleep(self.work_s)
        seal = ("X-Hibiscusspar-Response-Seal", f"seal-{request_id}")
        handler.reply(200, f"answer to {request_id}\n".encode(), (seal,))
