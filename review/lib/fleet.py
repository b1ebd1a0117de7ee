"""Nodes as processes on loopback addresses, with the settings of a small deployment.

The settings are those of the site ``pryce-certs``.
"""

import os
import random
import signal
import socket
import subprocess
import threading
from pathlib import Path
from time import monotonic, sleep

__all__ = ["RESTART_S", "ROOT", "Fleet", "Record", "free_network"]

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"caerdydd": 3, "abertawe": 4, "wrecsam": 2}
FRONT, READY, CONTROL, STORE, METRICS = 8221, 8224, 8229, 8225, 9464
HEARTBEAT_S = 1.2
# As the platform does, an ended process is started again after a short delay.
RESTART_S = 0.3
_BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": "true",
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retrySlack": 58,
    "quotaWindowS": 8,
    "quotaOvershoot": 0.1,
    "quotaSlack": 11000,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "fencingEnforced": "false",
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "ceilingWindowS": 5,
    "ceilingOvershoot": 1.1,
    "version_ms": 5000,
}


class Record:
    """File of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_at = monotonic()

    def __call__(self, text):
        """Write a line."""
        with self._lock:
            seconds = monotonic() - self._started_at
            self._file.write(f"{seconds:8.3f} {text}\n")

    def flush(self):
        """Write what is buffered."""
        with self._lock:
            self._file.flush()


def free_network():
    """Return the first three parts of loopback addresses whose ports are free."""
    rng = random.Random()
    for _ in range(50):
        network = f"127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}"
        try:
            for host, port in ((2, STORE), (10, FRONT), (10, METRICS), (50, 8080)):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{host}", port))
        except OSError:
            continue
        return network
    raise OSError("no free loopback addresses")


class Node:
    """Process of the system on one machine."""

    def __init__(self, name, zone, ip, settings, log):
        self.name, self.zone, self.ip = name, zone, ip
        self.front = (ip, FRONT)
        self.process = None
        self.starts = 0
        self._settings = settings
        self._log = log

    @property
    def machine(self):
        """Name under which the system acts on this machine."""
        return f"{self.name}@{self.ip}"

    @property
    def is_running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self):
        """Start the process as the deploy file does."""
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["HIBISCUSSPAR_CONFIG"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = subprocess.Popen(
            ["python3", "-P", "-m", "hibiscusspar_platform"],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        self.starts += 1

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.is_running:
            self.process.send_signal(number)

    def is_ready(self):
        """Return whether the node says that it is ready."""
        try:
            with socket.create_connection((self.ip, READY), 0.5) as sock:
                sock.settimeout(0.5)
                sock.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: n\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Fleet:
    """All nodes of a small deployment.

    Parameters
    ----------
    network : str
        First three parts of the loopback addresses.
    folder : Path
        Temporary folder for settings and logs.
    record : Record
    """

    def __init__(self, network, folder, record, zones=None):
        self.nodes = []
        self.held_down = set()
        self._record = record
        self._stopping = threading.Event()
        zones = zones or ZONES
        hosts = [
            (zone, number) for zone, n in zones.items() for number in range(1, n + 1)
        ]
        ips = [f"{network}.{10 + i}" for i in range(len(hosts))]
        self._logs = []
        for (zone, number), ip in zip(hosts, ips, strict=True):
            name = f"front-{zone}-{number}"
            settings = folder / f"{name}.conf"
            settings.write_text(
                _settings(name, zone, ip, network, zones, ips[:3]), encoding="utf-8"
            )
            log = (folder / f"{name}.log").open("ab")
            self._logs.append(log)
            self.nodes.append(Node(name, zone, ip, settings, log))
        self._supervisor = threading.Thread(target=self._supervise, daemon=True)

    def start(self):
        """Start all nodes and wait until all are ready; return whether they are."""
        for node in self.nodes:
            node.start()
        self._supervisor.start()
        return self.wait_ready(self.nodes, 30.0)

    def wait_ready(self, nodes, timeout_s):
        """Wait until some nodes are ready; return whether they are."""
        ends_at = monotonic() + timeout_s
        while monotonic() < ends_at:
            if all(node.is_ready() for node in nodes):
                return True
            sleep(0.1)
        return False

    def of_machine(self, machine):
        """Return the node that acts under a name, or None."""
        return next((n for n in self.nodes if n.machine == machine), None)

    def stop(self):
        """End all processes."""
        self._stopping.set()
        if self._supervisor.is_alive():
            self._supervisor.join()
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        for log in self._logs:
            log.close()

    def _supervise(self):
        ended_at = {}
        while not self._stopping.wait(0.05):
            for node in self.nodes:
                if node.is_running or node.name in self.held_down:
                    ended_at.pop(node.name, None)
                    continue
                if node.name not in ended_at:
                    self._record(
                        f"process of {node.name} ended: {node.process.returncode}"
                    )
                since = ended_at.setdefault(node.name, monotonic())
                if monotonic() >= since + RESTART_S:
                    node.start()
                    self._record(f"process of {node.name} started again")


def _settings(name, zone, ip, network, zones, seeds):
    fields = {
        "node": name,
        "role": "entry",
        "machineClass": "front",
        "serves": "front",
        "ip": ip,
        "zone": zone,
        "region": "cymru",
        **{f"zones.{z}": "cymru" for z in zones},
        "listen.front": f"{ip}:{FRONT}",
        "listen.ready": f"{ip}:{READY}",
        "listen.control": f"{ip}:{CONTROL}",
        "internalPorts": "7600,7615",
        "seeds": ",".join(f"{seed}:{CONTROL}" for seed in seeds),
        "bootstrap": "true",
        "countsAsLoss": "false",
        "limits.cpuShare": 0.537,
        "limits.cpuCores": 2,
        "limits.memoryMb": 300,
        "limits.maxFds": 4100,
        "limits.linkMbps": 1000.0,
        "limits.diskMb": 0,
        "discovery": "platform",
        "entry": "vip",
        "heartbeatMs": int(HEARTBEAT_S * 1000),
        "contracts": "base,drain,config,cost,retry,recover,fleet,stream,engine,"
        "tenants,quota,platform",
        "faultTolerance.machines": 2,
        "faultTolerance.zones": 1,
        "faultTolerance.regions": 0,
        **{f"bounds.{key}": value for key, value in _BOUNDS.items()},
        "platform.address": f"{network}.2:{STORE}",
        "platform.form": "objects",
        "platform.writesPerS": 400,
        "platform.readsPerS": 2000,
        "platform.historyS": 20,
        "platform.valueBytes": 1048576,
        "platform.ttlMinMs": 1000,
    }
    return "".join(f"{key}={value}\n" for key, value in fields.items())
