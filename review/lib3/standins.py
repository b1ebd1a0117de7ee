"""Stand-ins of the platform's store, plain replicas and callers for the cases."""

import http.client
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import traceback
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from itertools import count
from pathlib import Path
from time import monotonic, sleep, time

from hibiscusspar_platform.tests.store_stand_in import StoreStandIn

__all__ = [
    "HEARTBEAT_S",
    "ROOT",
    "Node",
    "PlainReplica",
    "Platform",
    "Record",
    "call",
    "free_network",
    "run_case",
]

HEARTBEAT_S = 1.2
# An entry is removed after three heartbeat intervals of silence.
EXPIRY_S = 3 * HEARTBEAT_S
ROOT = Path(__file__).resolve().parents[2]
_PORTS = (8221, 8224, 7600, 9464)
_numbers = count(1)


class Record:
    """Lines of ``record.txt`` with the seconds since the start of the script."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()
        self._began_at = monotonic()

    def write(self, text, at=None):
        """Write one line; ``at`` is its monotonic time, by default now."""
        seconds = (monotonic() if at is None else at) - self._began_at
        with self._lock:
            self._file.write(f"{seconds:8.3f} {text}\n")
            self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


class _Store(StoreStandIn):
    """Store that ends waiting watches when it goes away or returns from a copy."""

    def go_away(self):
        """Answer all calls with 503, also those that wait."""
        with self._changed:
            self.fail_with = 503
            self._changed.notify_all()

    def _watch(self, kind, query):
        since = int(query["watch"])
        until = monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if self.fail_with is not None:
                return self.fail_with, {}
            if not self._oldest <= since <= self._revision:
                return 410, {}
            events = [
                {"object": found, "deleted": deleted}
                for revision, changed, found, deleted in self._history
                if changed == kind and revision > since
            ]
            left_s = until - monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "storeRevision": self._revision}
            self._changed.wait(left_s)


class Platform:
    """The platform's store, with replicas' heartbeats and drills.

    In a drill the store is away for a moment and returns from an older copy. Entries
    of silent replicas expire, counted from the return at the earliest.
    """

    def __init__(self):
        self.store = _Store()
        self.is_away = False
        self._beats = {}
        self._lock = threading.Lock()
        threading.Thread(target=self._expire, daemon=True).start()

    def heartbeat(self, name, entry):
        """Write a replica's entry unless the store is away."""
        with self._lock:
            if not self.is_away:
                self._beats[name] = monotonic()
                self.store.put("servers", name, entry)

    def remove(self, name):
        """Remove the entry of a replica that leaves; return when that was accepted."""
        with self._lock:
            self._beats.pop(name, None)
            self.store.delete("servers", name)
            return monotonic()

    def drill(self, away_s, saved):
        """Be away for some seconds and return from a copy."""
        with self._lock:
            self.is_away = True
            self.store.go_away()
        sleep(away_s)
        with self._lock:
            self.store.return_from(saved)
            self.store.fail_with = None
            self.is_away = False
            now = monotonic()
            self._beats = dict.fromkeys(saved[0].get("servers", {}), now)

    def _expire(self):
        while True:
            sleep(0.05)
            with self._lock:
                if self.is_away:
                    continue
                oldest = monotonic() - EXPIRY_S
                for name in [n for n, at in self._beats.items() if at < oldest]:
                    del self._beats[name]
                    self.store.delete("servers", name)


class PlainReplica:
    """Replica of a plain service.

    ``arrivals`` holds time and id of each request that it runs, ``cut`` the ids of
    those that its exit has cut off. While ``is_leaving`` is set, all its answers say
    so. ``heartbeats`` is unset once it writes no entry any more.
    """

    def __init__(self, platform, service, zone, work_s, slots=6, version="v1"):
        self.target_id = f"i-{os.urandom(5).hex()}"
        self.arrivals = []
        self.cut = []
        self.is_leaving = False
        self.heartbeats = True
        self._exited = threading.Event()
        self._connections = set()
        self._lock = threading.Lock()
        self._work_s = work_s
        self._platform = platform
        self._slots = threading.Semaphore(slots)
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), self._handler())
        self._server.daemon_threads = True
        self.address = "{}:{}".format(*self._server.server_address[:2])
        self._entry = {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": version,
            "slots": slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 0,
            "born": int(time() * 1000),
        }
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def exit(self):
        """End at once, whatever it runs."""
        self._exited.set()
        self._server.shutdown()
        self._server.server_close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _beat(self):
        while self.heartbeats and not self._exited.is_set():
            self._platform.heartbeat(self.target_id, self._entry)
            sleep(HEARTBEAT_S)

    def _handler(self):
        replica = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self):
                super().setup()
                with replica._lock:
                    replica._connections.add(self.connection)

            def finish(self):
                with replica._lock:
                    replica._connections.discard(self.connection)
                super().finish()

            def do_call(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                expected = self.headers.get("X-Hibiscusspar-Expect-Instance")
                if self.path == "/health" or expected not in (None, replica.target_id):
                    status = 421 if expected else 503 if replica.is_leaving else 200
                    self._answer(status, b"")
                    return
                request_id = self.headers["X-Hibiscusspar-Request-Id"]
                if not replica._slots.acquire(timeout=0.5):
                    self._answer(503, b"", ("X-Hibiscusspar-Not-Executed", "1"))
                    return
                try:
                    replica.arrivals.append((monotonic(), request_id))
                    if replica._exited.wait(replica._work_s):
                        replica.cut.append(request_id)
                        self.close_connection = True
                        return
                finally:
                    replica._slots.release()
                self._answer(200, f"done {request_id}".encode())

            def _answer(self, status, body, *headers):
                with suppress(OSError):
                    self.send_response(status)
                    request_id = self.headers.get("X-Hibiscusspar-Request-Id")
                    if request_id:
                        self.send_header("X-Hibiscusspar-Request-Id", request_id)
                    self.send_header("X-Hibiscusspar-Response-Seal", "seal")
                    self.send_header("X-Hibiscusspar-Instance-Id", replica.target_id)
                    if replica.is_leaving:
                        self.send_header("Server-Leaving", "1")
                    for name, value in headers:
                        self.send_header(name, value)
                    self.send_header("Content-Length", str(len(body)))
                    self.end_headers()
                    self.wfile.write(body)

            do_GET = do_POST = do_call  # noqa: N815

            def log_message(self, *arguments):
                return

        return Handler


class Node:
    """Process of the deploy file's role ``entry``, on a loopback address of its own."""

    def __init__(self, number, zone, zones, ip, store_address, folder, fields=None):
        self.name = f"front-{zone}-{number}"
        self.ip = ip
        self._log = (Path(folder) / f"{self.name}.log").open("ab")
        self._settings = Path(folder) / f"{self.name}.conf"
        self._process = None
        rows = {
            "node": self.name,
            "role": "entry",
            "machineClass": "front",
            "serves": "front",
            "ip": ip,
            "zone": zone,
            "region": "nord-ovest",
            **{f"zones.{z}": "nord-ovest" for z in zones},
            "listen.front": f"{ip}:8221",
            "listen.ready": f"{ip}:8224",
            "internalPorts": "7600,7615",
            "bootstrap": "true",
            "limits.cpuShare": "0.537",
            "limits.cpuCores": "2",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0",
            "heartbeatMs": "1200",
            "contracts": "base,drain,config,cost,retry,recover,fleet,stream,engine,"
            "tenants,quota,platform",
            "bounds.drainMs": "2000",
            "bounds.graceS": "8",
            "bounds.configApplyMs": "2000",
            "bounds.strictRevoke": "true",
            "bounds.revokeMs": "5000",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10",
            "bounds.retrySlack": "58",
            "bounds.quotaWindowS": "8",
            "bounds.leaseMs": "3000",
            "bounds.version_ms": "5000",
            "platform.address": store_address,
            "platform.form": "objects",
            **(fields or {}),
        }
        lines = [f"{name}={value}\n" for name, value in rows.items()]
        self._settings.write_text("".join(lines), encoding="utf-8")

    @property
    def pid(self):
        """Id of the running process."""
        return self._process.pid

    def start(self):
        """Start the process with the command of the deploy file."""
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "HIBISCUSSPAR_CONFIG": str(self._settings),
        }
        self._process = subprocess.Popen(
            ["python3", "-P", "-m", "hibiscusspar_platform"],
            cwd=ROOT,
            env=env,
            stdout=self._log,
            stderr=self._log,
        )

    def signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    def wait(self, timeout_s):
        """Wait for the end of the process."""
        self._process.wait(timeout_s)

    def is_ready(self):
        """Return whether the node answers the readiness check with 200."""
        try:
            connection = http.client.HTTPConnection(self.ip, 8224, timeout=1.0)
            connection.request("GET", "/v1/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def wait_ready(self, timeout_s=15.0):
        """Wait until the node is ready; return whether it is."""
        ends_at = monotonic() + timeout_s
        while monotonic() < ends_at:
            if self.is_ready():
                return True
            sleep(0.05)
        return False

    def stop(self):
        """End the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
        self._log.close()


class Answer:
    """Answer to one request; ``status`` is 0 if the connection ended without one."""

    def __init__(self, request_id, sent_at):
        self.request_id = request_id
        self.sent_at = sent_at
        self.ended_at = sent_at
        self.status = 0
        self.headers = {}
        self.body = b""


def call(ip, host, path, key, method="POST", body=b"x", deadline_s=1.5, headers=()):
    """Send one request on a new connection; return its ``Answer``."""
    request_id = f"{next(_numbers):06x}{os.urandom(5).hex()}"
    answer = Answer(request_id, monotonic())
    connection = http.client.HTTPConnection(ip, 8221, timeout=deadline_s)
    try:
        connection.request(
            method,
            path,
            body=body,
            headers={
                "Host": host,
                "X-Hibiscusspar-Request-Id": request_id,
                "X-Hibiscusspar-Deadline-Ms": str(int(deadline_s * 1000)),
                "Authorization": f"Bearer {key}",
                **dict(headers),
            },
        )
        response = connection.getresponse()
        answer.body = response.read()
        answer.status = response.status
        answer.headers = {n.lower(): v for n, v in response.getheaders()}
    except (OSError, http.client.HTTPException):
        answer.status = 0
    finally:
        connection.close()
    answer.ended_at = monotonic()
    return answer


def free_network(hosts):
    """Return the first three parts of loopback addresses whose ports are free."""
    for _ in range(100):
        network = f"127.{random.randint(10, 200)}.{random.randint(1, 250)}"
        try:
            for host in range(1, hosts + 1):
                for port in _PORTS:
                    with socket.socket() as sock:
                        sock.bind((f"{network}.{host}", port))
        except OSError:
            continue
        return network
    raise OSError("no free loopback addresses")


def run_case(main):
    """Run a case and end the process with its code, or 2 if it fails or is stopped."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = main()
    except SystemExit:
        code = 2
    except Exception:  # noqa: BLE001
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    os._exit(code)
