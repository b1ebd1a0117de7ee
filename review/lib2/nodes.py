"""Nodes as the deploy file starts them, on loopback addresses."""

import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

__all__ = ["ROOT", "Node", "Record", "free_network", "wait_ready"]

ROOT = Path(__file__).resolve().parents[2]
# Bounds of the small deployments.
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


def free_network():
    """Return the first three parts of loopback addresses that nobody uses."""
    while True:
        prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for last in (11, 12, 13):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.{last}", 9464))
        except OSError:
            continue
        return prefix


class Record:
    """Text file of what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._began = time.monotonic()

    def __call__(self, text):
        """Write a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


class Node:
    """Process of a node.

    Parameters
    ----------
    folder : Path
        Temporary folder for settings and logs.
    prefix : str
        First three parts of its address.
    number : int
    store_address : str
    zones : sequence of str
    """

    def __init__(self, folder, prefix, number, store_address, zones=("z1", "z2", "z3")):
        self.name = f"front-{zones[(number - 1) % len(zones)]}-{number}"
        self.ip = f"{prefix}.{10 + number}"
        self.front = (self.ip, 8221)
        self.ready = (self.ip, 8224)
        self._log_path = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.conf"
        self.process = None
        fields = {
            "node": self.name,
            "role": "entry",
            "machineClass": "front",
            "serves": "front",
            "ip": self.ip,
            "zone": zones[(number - 1) % len(zones)],
            "region": "r",
            **{f"zones.{zone}": "r" for zone in zones},
            "listen.front": f"{self.ip}:8221",
            "listen.ready": f"{self.ip}:8224",
            "internalPorts": "7600,7615",
            "seeds": f"{prefix}.11:8229",
            "bootstrap": "true",
            "countsAsLoss": "true",
            "limits.cpuShare": 0.537,
            "limits.cpuCores": 2,
            "limits.memoryMb": 300,
            "limits.maxFds": 4100,
            "limits.linkMbps": 1000.0,
            "limits.diskMb": 0,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": "base,drain,config,cost,retry,recover,fleet,stream,engine,"
            "tenants,quota,platform",
            **{f"bounds.{name}": value for name, value in _BOUNDS.items()},
            "platform.address": store_address,
            "platform.form": "objects",
            "platform.writesPerS": 400,
            "platform.readsPerS": 2000,
            "platform.historyS": 20,
            "platform.valueBytes": 1048576,
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        self._settings.write_text(text, encoding="utf-8")

    def start(self):
        """Start the process with the command of the deploy file."""
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["HIBISCUSSPAR_CONFIG"] = str(self._settings)
        with open(self._log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-P", "-m", "hibiscusspar_platform"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def log_lines(self):
        """Return the lines that the process has logged."""
        return self._log_path.read_text(errors="replace").splitlines()

    def is_ready(self):
        """Return whether the node answers a readiness check with 200."""
        try:
            with socket.create_connection(self.ready, timeout=1.0) as sock:
                sock.settimeout(1.0)
                sock.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        """End the process."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def wait_ready(nodes, seconds=30.0):
    """Wait until all nodes are ready; exit with 2 if they don't become that."""
    ends_at = time.monotonic() + seconds
    while not all(node.is_ready() for node in nodes):
        if time.monotonic() > ends_at or any(
            node.process.poll() is not None for node in nodes
        ):
            print("the nodes do not become ready", file=sys.stderr)
            for node in nodes:
                node.stop()
            sys.exit(2)
        time.sleep(0.1)
