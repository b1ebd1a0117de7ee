"""Stand-in of a replica of a plain service: whole answers and event streams."""

import json
import socket
import struct
import threading
import time

__all__ = ["Replica"]

_RESET = struct.pack("ii", 1, 0)


class Replica:
    """Replica with threads of this process.

    It answers a path that contains ``/stream`` with ``events`` numbered events, one
    each ``gap_s``, from ``Last-Event-Id`` on, and every other path with 800 bytes after
    ``work_s``. Each event names the software version and the incarnation. ``runs``
    lists the time, request id and path of each run, ``record`` notes them.
    """

    def __init__(self, address, service, zone, name, software, record):
        self.address = address
        self.service = service
        self.zone = zone
        self.name = name
        self.software = software
        self.events = 100
        self.gap_s = 0.06
        self.work_s = 0.06
        self.runs = []
        self.starts = 0
        self.sequence = 0
        self._record = record
        self._lock = threading.Lock()
        self._connections = set()
        self._listener = None

    @property
    def is_up(self):
        """Whether it accepts connections."""
        return self._listener is not None

    @property
    def text_address(self):
        """``IP:port``."""
        return "{}:{}".format(*self.address)

    def entry(self, state="ready"):
        """Return what the replica writes to the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.text_address,
            "zone": self.zone,
            "version": self.software,
            "slots": 64,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
            "models": [],
        }

    def start(self, software=None):
        """Start an incarnation under the same id."""
        self.software = software or self.software
        self.starts += 1
        self.sequence = 0
        listener = socket.create_server(self.address, backlog=256)
        self.born = int(time.time() * 1000)
        self._listener = listener
        self._record(f"replica {self.name} starts, software {self.software}")
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def crash(self):
        """End all connections and refuse new ones."""
        self._record(f"replica {self.name} crashes")
        listener, self._listener = self._listener, None
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        with self._lock:
            connections, self._connections = self._connections, set()
        for sock in connections:
            _reset(sock)

    def _accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                self._connections.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            sock.settimeout(10.0)
            reader = sock.makefile("rb")
            while self._serve_one(sock, reader):
                pass
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._connections.discard(sock)
            sock.close()

    def _serve_one(self, sock, reader):
        line = reader.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while (line := reader.readline().decode("latin-1").strip()) != "":
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        body = reader.read(length)
        if len(body) < length:
            return False
        return self.handle(sock, method, path, headers, body)

    def handle(self, sock, method, path, headers, body):
        """Answer a request; return whether the connection is kept."""
        expected = headers.get("x-hibiscusspar-expect-instance", self.name)
        request_id = headers.get("x-hibiscusspar-request-id", "")
        if expected != self.name:
            fields = {"X-Hibiscusspar-Instance-Id": self.name}
            return self.send_whole(sock, 421, b"", fields)
        if path == "/health":
            return self.send_whole(
                sock, 200, b"", {"X-Hibiscusspar-Instance-Id": self.name}
            )
        if path == "/v1/report":
            state = {
                "stage": "both",
                "models": [],
                "busy": False,
                "sequence": 0,
                "waiting": 0,
                "running": 0,
                "kvUsed": 0,
                "kvTotal": 0,
                "handles": 0,
                "born": self.born,
            }
            return self.send_whole(sock, 200, json.dumps(state).encode(), {})
        if not request_id:
            fields = {"X-Hibiscusspar-Not-Executed": "1"}
            return self.send_whole(sock, 400, b"", fields)
        self.runs.append((time.monotonic(), request_id, path))
        last = headers.get("last-event-id", "")
        self._record(
            f"run {request_id} {method} {path} at {self.name}"
            f" software {self.software} last-event {last or '-'}"
        )
        return self.run(sock, request_id, method, path, headers, body)

    def run(self, sock, request_id, method, path, headers, body):
        """Run a request; return whether the connection is kept."""
        sealed = self.seal(request_id)
        if "/stream" not in path:
            time.sleep(self.work_s)
            text = f"{request_id} by {self.name} ".encode()
            return self.send_whole(sock, 200, text.ljust(800, b"."), sealed)
        sealed["Content-Type"] = "text/event-stream"
        self.send_head(sock, 200, {**sealed, "Transfer-Encoding": "chunked"})
        software, born = self.software, self.born
        last = int(headers.get("last-event-id") or 0)
        for number in range(last + 1, self.events + 1):
            time.sleep(self.gap_s)
            event = f"id: {number}\ndata: {software} {self.name}/{born}\n\n".encode()
            sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
        sock.sendall(b"0\r\n\r\n")
        return True

    def seal(self, request_id):
        """Return the headers that name a request and seal its answer."""
        return {
            "X-Hibiscusspar-Request-Id": request_id,
            "X-Hibiscusspar-Response-Seal": f"{self.name}.{request_id}",
        }

    def send_head(self, sock, status, fields):
        """Send the head of an answer."""
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))

    def send_whole(self, sock, status, body, fields):
        """Send an answer with a length; return True."""
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        return True


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
