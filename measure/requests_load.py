"""Load on the request path: processes to measure and clients on raw sockets."""

import os
import random
import secrets
import select
import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import ExitStack
from typing import NamedTuple

from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from hibiscusspar.config.model import (
    AccountSpec,
    AdapterSpec,
    ModelSpec,
    RouteSpec,
    ServiceSpec,
    TargetSpec,
    empty_configuration,
)
from hibiscusspar.limits.keys import digest_key, new_key
from hibiscusspar_standins.platform import Platform
from hibiscusspar_standins.server import StandinServer
from hibiscusspar_wire.platform_client import PlatformClient
from hibiscusspar_wire.publishing import issue_key, publish

__all__ = ["Deployment", "StreamResults", "closed_loop", "cpu_s", "read_streams"]

LABEL = "larch@1"
STREAMS = 235
ENGINE_TOKENS_PER_S = 74.0  # about 13 per stream with 235 concurrent streams
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MAX_POLLS = 300
POLL_S = 0.1
IDLE_LIMIT_S = 20.0


class StreamResults(NamedTuple):
    """Results of reading several streams; times are in seconds.

    ``complete`` counts the streams that were read to their end.
    """

    first_s: list
    gaps_s: list
    complete: int
    chunks: int
    wall_s: float


class Deployment:
    """Entry process, engine and plain service, each in a process of its own."""

    def __init__(self):
        self._stack = ExitStack()
        self._http = PoolManager(retries=False, timeout=10.0)

    def __enter__(self):
        platform = StandinServer(Platform(vm_lag_s=0.0))
        platform.start()
        self._stack.callback(platform.stop)
        speed = str(ENGINE_TOKENS_PER_S)
        engine_flags = ("--concurrency", str(STREAMS + 21), "--tokens-per-s", speed)
        self.engine = self._start_standin("engine", *engine_flags)
        self.plain = self._start_standin("plain")
        client = PlatformClient(platform.address, random.Random(1))
        publish(client, self._configuration(), 0, "measure", secrets.token_hex)
        self.key = new_key(secrets.token_bytes)
        digest = digest_key(self.key)
        issue_key(client, "anwen", "anwen-1", digest, "measure", secrets.token_hex)
        self._start_entry_process(platform)
        return self

    def __exit__(self, *details):
        self._stack.close()

    @property
    def pid(self):
        """Process id of the entry process."""
        return self._entry_process.pid

    def _start_entry_process(self, platform):
        ports = [_free_port() for _ in range(3)]
        self.entry = f"127.0.0.1:{ports[0]}"
        names = ("caller-port", "peer-port", "operator-port")
        flags = [f"--{n}={p}" for n, p in zip(names, ports, strict=True)]
        flags += ["--vm-id=vm-1", "--zone=caerdydd", f"--platform={platform.address}"]
        flags += [f"--peer-secret={'x' * 16}", "--log-file=/dev/null"]
        self._entry_process = self._start_process("hibiscusspar_entry", *flags)
        address = f"127.0.0.1:{ports[1]}"
        platform.standin.set_vm("vm-1", "caerdydd", address)
        self._wait_until_ready(f"http://127.0.0.1:{ports[2]}/readyz")

    def _wait_until_ready(self, url):
        for _ in range(MAX_POLLS):
            try:
                if self._http.request("GET", url).status == 200:
                    return
            except HTTPError:
                pass
            time.sleep(POLL_S)
        raise RuntimeError("the entry process was not ready")

    def _start_process(self, module, *flags):
        process = subprocess.Popen(
            [sys.executable, "-m", module, *flags], stdout=subprocess.PIPE, text=True
        )
        self._stack.callback(_terminate, process)
        return process

    def _start_standin(self, role, *flags):
        process = self._start_process("hibiscusspar_standins", "--role", role, *flags)
        return process.stdout.readline().split()[1]

    def _configuration(self):
        concurrency = STREAMS + 21
        return empty_configuration()._replace(
            services={
                "draft": ServiceSpec("draft", "engine", "base"),
                "certs": ServiceSpec("certs", "plain"),
            },
            targets={
                "draft-1": TargetSpec(
                    "draft-1", "draft", self.engine, "caerdydd", concurrency=concurrency
                ),
                "certs-1": TargetSpec(
                    "certs-1", "certs", self.plain, "caerdydd", concurrency=concurrency
                ),
            },
            routes={
                "/v1": RouteSpec("/v1", "draft", idempotent=True),
                "/status": RouteSpec("/status", "certs", idempotent=True),
                "/certs": RouteSpec("/certs", "certs"),
            },
            models={"base": ModelSpec("base")},
            adapters={"larch": AdapterSpec("larch", "base", ("1",), "1")},
            accounts={
                "anwen": AccountSpec(
                    "anwen", 1e7, 1e8, zone_fractions=(("caerdydd", 1.0),)
                )
            },
        )


def cpu_s(pid):
    """Return the CPU time of a process in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def closed_loop(address, key, path, callers, requests, extra=None):
    """Send plain requests from several callers, one request at a time each.

    Parameters
    ----------
    address, key, path : str
    callers : int
    requests : int
        Number of requests of each caller.
    extra : callable, optional
        Returns additional header lines of a request.

    Returns
    -------
    latencies : list of float
        Sorted, in seconds.
    wall_s : float
    failed : int
        Number of answers with a status other than 200.
    """
    latencies, statuses = [], []
    head = f"GET {path} HTTP/1.1\r\nHost: x\r\nX-Request-Id: m\r\n"
    if key:
        head += f"Authorization: Bearer {key}\r\n"

    def call():
        caller = _Caller(address)
        for _ in range(requests):
            lines = extra() if extra else ""
            started_at = time.perf_counter()
            statuses.append(caller.send_request(f"{head}{lines}\r\n".encode()))
            latencies.append(time.perf_counter() - started_at)
        caller.close()

    started_at = time.perf_counter()
    _in_threads(call, callers)
    wall_s = time.perf_counter() - started_at
    return sorted(latencies), wall_s, sum(status != 200 for status in statuses)


def read_streams(address, key, number, max_tokens, spread_s=1.0):
    """Open several streams and read them in one thread.

    Parameters
    ----------
    address, key : str
    number, max_tokens : int
    spread_s : float
        Time over which the starts of the streams are spread.

    Returns
    -------
    Streams
    """
    started_at = time.perf_counter()
    readers = {}
    poller = select.epoll()
    rows = []
    for n in range(number):
        pause = started_at + spread_s * n / number - time.perf_counter()
        _read_ready(poller, readers, max(0.0, pause))
        row = _StreamReader(address, key, max_tokens, n)
        rows.append(row)
        readers[row.sock.fileno()] = row
        poller.register(row.sock.fileno(), select.EPOLLIN)
    idle_since = time.perf_counter()
    while readers and time.perf_counter() - idle_since < IDLE_LIMIT_S:
        if _read_ready(poller, readers, 0.5):
            idle_since = time.perf_counter()
    poller.close()
    for row in rows:
        row.sock.close()
    return StreamResults(
        [row.first_s for row in rows if row.first_s is not None],
        [gap for row in rows for gap in row.gaps_s],
        sum(row.complete for row in rows),
        sum(row.chunks for row in rows),
        time.perf_counter() - started_at,
    )


class _StreamReader:
    def __init__(self, address, key, max_tokens, number):
        body = (
            f'{{"model":"{LABEL}","prompt":"yard {number}",'
            f'"max_tokens":{max_tokens},"stream":true}}'
        )
        head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: m{number}"
        if key:
            head += f"\r\nAuthorization: Bearer {key}"
        host, _, port = address.partition(":")
        self.started_at = time.perf_counter()
        self.sock = socket.create_connection((host, int(port)), 10.0)
        self.sock.sendall(
            f"{head}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        self.first_s = None
        self.last_chunk_at = None
        self.gaps_s = []
        self.chunks = 0
        self.complete = False

    def read(self):
        """Read available data; return whether the stream is still open."""
        data = self.sock.recv(65536)
        now = time.perf_counter()
        frames = data.count(b"data: {")
        if frames and self.first_s is None:
            self.first_s = now - self.started_at
        elif frames:
            self.gaps_s.append(now - self.last_chunk_at)
        if frames:
            self.last_chunk_at = now
            self.chunks += frames
        self.complete = self.complete or b"[DONE]" in data
        return bool(data) and not self.complete


def _read_ready(poller, readers, timeout_s):
    ready = poller.poll(timeout_s)
    for number, _ in ready:
        if not readers[number].read():
            poller.unregister(number)
            del readers[number]
    return bool(ready)


class _Caller:
    """Client connection that reconnects after the server has closed it."""

    def __init__(self, address):
        host, _, port = address.partition(":")
        self._address = host, int(port)
        self._sock = None

    def send_request(self, request):
        """Send a request, read the answer and return its status."""
        if self._sock is None:
            self._sock = socket.create_connection(self._address, 10.0)
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._file = self._sock.makefile("rb")
        self._sock.sendall(request)
        status = int(self._file.readline().split()[1])
        length, keep = 0, True
        while (line := self._file.readline().strip().lower()) != b"":
            name, _, value = line.partition(b":")
            if name == b"content-length":
                length = int(value)
            keep = keep and (name, value.strip()) != (b"connection", b"close")
        self._file.read(length)
        if not keep:
            self.close()
        return status

    def close(self):
        """Close the connection if it is open."""
        if self._sock is not None:
            self._file.close()
            self._sock.close()
            self._sock = None


def _in_threads(call, number):
    threads = [threading.Thread(target=call) for _ in range(number)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _free_port():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


def _terminate(process):
    process.send_signal(signal.SIGTERM)
    try:
        process.wait(20.0)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
    process.stdout.close()
