"""Fleet of real processes that are started, and killed, all at the same moment.

The store and the targets are stand-ins in this process. The targets renew their entries
as they do on the platform, so a watch of the directory returns at once.
"""

import json
import os
import subprocess
import sys
import threading
from collections import Counter
from http.client import HTTPConnection, HTTPException
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep, time
from typing import NamedTuple

from hibiscusspar_platform.settings_file import CONFIG_VARIABLE
from hibiscusspar_platform.tests.engine_stand_in import EngineStandIn
from hibiscusspar_platform.tests.store_stand_in import StoreStandIn
from hibiscusspar_platform.tests.test_fleet import CONFIG, MODEL, caller_headers

__all__ = ["STEPS", "StartedFleet"]

ZONES = ("z0", "z1", "z2")
HEARTBEAT_S = 1.2
# Time between two attempts of a node's caller, in seconds.
CALL_GAP_S = 0.05
# Longest time until all nodes have served a request and have a view, in seconds.
START_S = 30.0
STEPS = (
    ("process runs", "node.started"),
    ("configuration", "node.configuration"),
    ("lease of the coordinator known", "node.duty"),
    ("targets known", "node.target"),
    ("first view", "node.directory_differs"),
    ("all rows of the directory", "node.directory_agrees"),
    ("first answer", "answer"),
)
_NUMBERS = count(1)


class Start(NamedTuple):
    """Seconds after the start by step, a list with a row a node, and store calls."""

    steps: dict[str, list[float]]
    calls: Counter


class StartedFleet:
    """Processes of a fleet, with a store and targets that hold the model.

    Parameters
    ----------
    nodes, targets : int
    build : str, optional
        Checkout whose code the nodes run; this one by default.
    """

    def __init__(self, nodes, targets, build=""):
        self._folder = TemporaryDirectory()
        self._root = Path(build or Path(__file__).resolve().parent.parent)
        self._store = StoreStandIn()
        self._store.put("config", "main", CONFIG)
        self._engine = EngineStandIn("127.0.0.1", "t0", MODEL, 3, zone="z0")
        self._targets = targets
        self._stopping = threading.Event()
        self._beat(0)
        network = next(_NUMBERS) % 50 + 4 * (os.getpid() % 50)
        self._ips = [f"127.{network + 20}.{number + 1}.1" for number in range(nodes)]
        self._processes = []
        threading.Thread(target=self._run_beats, daemon=True).start()

    def start(self):
        """Start all nodes; return the steps of the start once all have served."""
        before = len(self._store.calls)
        started_at, wall = monotonic(), time()
        logs = [Path(self._folder.name) / f"{n}.log" for n in range(len(self._ips))]
        for number, ip in enumerate(self._ips):
            self._processes.append(self._start_node(number, ip, logs[number]))
        answers = {}
        callers = [
            threading.Thread(target=self._call_until_served, args=(ip, answers))
            for ip in self._ips
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        ends_at = monotonic() + START_S
        while monotonic() < ends_at:
            rows = [_first_times(log) for log in logs]
            if all("node.directory_agrees" in row or _leads(row) for row in rows):
                break
            sleep(0.05)
        calls = Counter(
            f"{method} {kind}" for method, kind in self._store.calls[before:]
        )
        steps = {
            label: sorted(row[name] - wall for row in rows if name in row)
            for label, name in STEPS
        }
        steps["first answer"] = sorted(at - started_at for at in answers.values())
        return Start(steps, calls)

    def kill(self):
        """End all nodes at the same moment."""
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait()
        self._processes.clear()

    def stop(self):
        """End the nodes and the stand-ins."""
        self.kill()
        self._stopping.set()
        self._engine.stop()
        self._store.stop()
        self._folder.cleanup()

    def _start_node(self, number, ip, log):
        path = Path(self._folder.name) / f"{number}.conf"
        zones = "".join(f"zones.{zone}=r\n" for zone in ZONES)
        path.write_text(
            f"node=n{number}\nip={ip}\nzone={ZONES[number % 3]}\n{zones}"
            f"listen.front={ip}:18080\nlisten.ready={ip}:18081\n"
            f"internalPorts=18200,18209\nplatform.address={self._store.address}\n"
            "bounds.strictRevoke=true\n"
        )
        roots = [*sorted((self._root / "packages").iterdir()), self._root / "platform"]
        environment = os.environ | {
            CONFIG_VARIABLE: str(path),
            "PYTHONPATH": ":".join(map(str, roots)),
        }
        command = [sys.executable, "-m", "hibiscusspar_platform"]
        with log.open("wb") as output:
            return subprocess.Popen(command, env=environment, stdout=output)

    def _call_until_served(self, ip, answers):
        ends_at = monotonic() + START_S
        while monotonic() < ends_at:
            connection = HTTPConnection(ip, 18080, timeout=10)
            try:
                headers = caller_headers(f"{ip}-{monotonic()}")
                connection.request("POST", "/draft/x", body=b"{}", headers=headers)
                response = connection.getresponse()
                response.read()
                if response.status == 200:
                    answers[ip] = monotonic()
                    return
            except (OSError, HTTPException):
                pass
            finally:
                connection.close()
            sleep(CALL_GAP_S)

    def _run_beats(self):
        for beat in count(1):
            if self._stopping.wait(HEARTBEAT_S):
                return
            self._beat(beat)

    def _beat(self, beat):
        for number in range(self._targets):
            entry = self._engine.entry() | {"zone": ZONES[number % 3], "beat": beat}
            self._store.put("servers", f"t{number}", entry)
            if beat and self._stopping.wait(HEARTBEAT_S / self._targets / 2):
                return


def _first_times(log):
    """Return the time of the first log line of each event."""
    times = {}
    for line in log.read_bytes().splitlines():
        try:
            row = json.loads(line)
        except ValueError:
            continue
        name = row.get("message_type", "")
        times.setdefault(name, row["timestamp"])
        if name == "node.duty" and row.get("own") and row["duty"] == "coordinator":
            times.setdefault("leads", row["timestamp"])
    return times


def _leads(row):
    return "leads" in row
