"""One node of a fleet as a process, with the rest of the fleet played around it.

The played fleet has a store, one engine, a coordinator and further nodes that only
report. All of it runs in this process, so the processor time of the child is that of
the node alone.
"""

import os
import socket
import subprocess
import sys
import threading
from functools import cache
from http.client import HTTPConnection
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory
from time import CLOCK_BOOTTIME, clock_gettime, monotonic, sleep
from typing import NamedTuple

from msgspec.json import Decoder
from msgspec.json import encode as to_json

from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.messages import (
    FleetView,
    NodeReport,
    SendNotice,
    TargetLoad,
    ViewRelay,
)
from hibiscusspar.fleet.targets import Target
from hibiscusspar_entry.fleet.coordinator import Coordinator
from hibiscusspar_entry.fleet.crash_exchange import CrashExchange
from hibiscusspar_entry.fleet.limit_exchange import LimitExchange
from hibiscusspar_entry.fleet.packing import unpack
from hibiscusspar_entry.fleet.speed_exchange import SpeedExchange
from hibiscusspar_platform.configuration import decode_ruleset
from hibiscusspar_platform.settings_file import CONFIG_VARIABLE
from hibiscusspar_platform.tests.engine_stand_in import EngineStandIn
from hibiscusspar_platform.tests.store_stand_in import StoreStandIn
from hibiscusspar_platform.tests.test_fleet import CONFIG, MODEL, caller_headers

__all__ = ["NodeCost", "PlayedFleet"]

# Targets to which a node sends requests at a time.
BUSY_TARGETS = 6
ZONES = ("z0", "z1", "z2")
# Time between the events of a stream, in seconds.
EVENT_GAP_S = 0.01
# Longest time until the node serves requests, in seconds.
START_S = 20.0
_IP = "127.0.0.1"
# Number of the next node; each has an address of its own, as some ports are fixed.
_NUMBERS = count(1)
_REPORTS = Decoder(NodeReport)
_VIEWS = Decoder(FleetView | ViewRelay)
# Directory of the compiled modules of all builds.
_COMPILED = TemporaryDirectory()


class NodeCost(NamedTuple):
    """Processor time of the node in seconds: in total, and the kernel's part."""

    total_s: float
    kernel_s: float


class _Election:
    leads = True
    fence = 1

    def holds(self, now):
        return True


class PlayedFleet:
    """Process of one node, and the played fleet around it.

    Parameters
    ----------
    nodes, targets : int
        Size of the fleet.
    coordinates : bool
        Whether the node is the coordinator; otherwise this process is.
    build : str, optional
        Checkout whose code the node runs; this one by default.
    """

    def __init__(self, nodes, targets, coordinates, build=""):
        self._nodes = nodes
        self._coordinates = coordinates
        self._folder = TemporaryDirectory()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((_IP, 0))
        self._stopping = threading.Event()
        self.notices_per_s = 0.0
        self.notices_sent = 0
        # Digest in the last view of the node, which the played nodes report.
        self._directory_digest = 0
        self._engine = EngineStandIn(_IP, "t0", MODEL, 3, zone="z0")
        self._engine.event_gap_s = EVENT_GAP_S
        self._targets = {"t0": _target("t0", self._engine.address, 0)}
        for number in range(1, targets):
            row = _target(f"i-{number:010x}", self._engine.address, number)
            self._targets[row.target_id] = row
        self._store = StoreStandIn()
        self._store.put("config", "main", CONFIG)
        for row in self._targets.values():
            entry = self._engine.entry() | {"zone": row.zone, "slots": row.slots}
            self._store.put("servers", row.target_id, entry)
        self._ip = f"127.{20 + os.getpid() % 200}.{next(_NUMBERS)}.1"
        ports = [_free_port(kind, self._ip) for kind in ("STREAM", "STREAM", "DGRAM")]
        self._front = (self._ip, ports[0])
        self._peer = (self._ip, ports[2])
        self._coordinator = None
        if not coordinates:
            self._store.put("hibiscusspar-leases", "coordinator", self._lease())
            self._coordinator = self._make_coordinator()
        self._process = self._start(ports, build)
        self._threads = [
            threading.Thread(target=task, daemon=True)
            for task in (self._run_reports, self._run_receive, self._run_notices)
        ]
        for thread in self._threads:
            thread.start()
        self.start_cost = self._wait_until_ready()

    def stop(self):
        """End the node and the played fleet."""
        self._stopping.set()
        self._process.kill()
        self._process.wait()
        for thread in self._threads:
            thread.join(1.0)
        if self._coordinator is not None:
            self._coordinator.close()
        self._socket.close()
        self._engine.stop()
        self._store.stop()
        self._folder.cleanup()

    @property
    def memory_mb(self):
        """Resident memory of the node."""
        text = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(row for row in text.splitlines() if row.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    @property
    def store_calls(self):
        """Calls that the store has got."""
        return len(self._store.calls)

    def cost(self):
        """Return the processor time that the node has used."""
        pid = self._process.pid
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        ticks = os.sysconf("SC_CLK_TCK")
        # Unlike the ticks of the process, the times of its threads are exact.
        threads = Path(f"/proc/{pid}/task").glob("*/schedstat")
        total_ns = sum(int(path.read_text().split()[0]) for path in threads)
        return NodeCost(total_ns / 1e9, int(fields[12]) / ticks)

    def call(self, number, events):
        """Send a request that gets a number of events, and read the answer."""
        connection = HTTPConnection(*self._front, timeout=10)
        headers = caller_headers(f"r{os.getpid()}-{number}-{events}")
        self._engine.event_count = events
        connection.request("POST", "/draft/x", body=b"{}", headers=headers)
        response = connection.getresponse()
        body = response.read()
        connection.close()
        return response.status, body

    def _start(self, ports, build):
        root = Path(build or Path(__file__).resolve().parent.parent)
        path = Path(self._folder.name) / "node.conf"
        zones = "".join(f"zones.{zone}=r\n" for zone in ZONES)
        path.write_text(
            f"node=n0\nip={self._ip}\nzone=z0\n{zones}"
            f"listen.front={self._ip}:{ports[0]}\nlisten.ready={self._ip}:{ports[1]}\n"
            f"internalPorts={ports[2]},{ports[2] + 9}\n"
            f"platform.address={self._store.address}\nbounds.strictRevoke=true\n"
        )
        environment = _environment(root) | {CONFIG_VARIABLE: str(path)}
        arguments = os.environ.get("MEASURED_PROGRAM", "-m hibiscusspar_platform")
        command = [sys.executable, *arguments.split()]
        return subprocess.Popen(command, env=environment, stdout=subprocess.DEVNULL)

    def _wait_until_ready(self):
        ends_at = monotonic() + START_S
        while monotonic() < ends_at:
            try:
                if self.call(0, 1)[0] == 200:
                    return self.cost()
            except OSError:
                pass
            sleep(0.2)
        raise RuntimeError("the node serves no request")

    def _lease(self):
        host, port = self._socket.getsockname()
        return {
            "machine": f"n1@{host}",
            "start": "abcdef123456",
            "address": f"{host}:{port}",
            "fence": 1,
            "released": False,
            "nonce": 1,
        }

    def _make_coordinator(self):
        clock = _clock
        host, port = self._socket.getsockname()
        coordinator = Coordinator(
            "n1",
            "abcdef123456",
            f"{host}:{port}",
            clock,
            _Election(),
            None,
            None,
            ZONES,
            lambda address, body: self._socket.sendto(body, address),
            8.0,
            lambda: (0.1, 0.1),
            LimitExchange(clock),
            CrashExchange(clock, lambda address: False, None, lambda: False),
            SpeedExchange(clock),
        )
        coordinator.configure(decode_ruleset(CONFIG))
        coordinator.set_targets(self._targets)
        coordinator.take_over({})
        return coordinator

    def _run_reports(self):
        number = 0
        while not self._stopping.wait(exchange_interval_s(self._nodes)):
            number += 1
            for index in range(1, self._nodes):
                report = self._report(index, number)
                if self._coordinator is None:
                    self._socket.sendto(to_json(report), self._peer)
                elif number % 5 == 1:
                    # The views to these nodes go nowhere.
                    self._coordinator.handle_report(report, ("127.0.0.9", index))
            if self._coordinator is not None:
                self._coordinator.send_views()

    def _run_receive(self):
        while not self._stopping.is_set():
            try:
                body, address = self._socket.recvfrom(65_507)
                if self._coordinator is None:
                    self._record_view(unpack(body))
                elif b'"report"' in body[:40]:
                    self._coordinator.handle_report(_REPORTS.decode(body), address)
            except OSError:
                return

    def _record_view(self, body):
        if body.startswith((b'{"type":"view"', b'{"type":"relay"')):
            view = _VIEWS.decode(body)
            if isinstance(view, ViewRelay):
                view = _VIEWS.decode(view.view)
            self._directory_digest = view.directory_digest

    def _run_notices(self):
        names = list(self._targets)
        number = 0
        while not self._stopping.is_set():
            if not self.notices_per_s:
                sleep(0.05)
                continue
            number += 1
            body = to_json(SendNotice([(names[number % len(names)], 900)]))
            self._socket.sendto(body, self._peer)
            self.notices_sent = number
            sleep(1.0 / self.notices_per_s)

    def _report(self, index, number):
        names = list(self._targets)
        loads = {
            names[(index * 7 + offset + number) % len(names)]: TargetLoad(1, 200)
            for offset in range(BUSY_TARGETS)
        }
        zone = ZONES[index % len(ZONES)]
        report = NodeReport(
            f"n{index}", "s", zone, number, loads, {}, [], {}, _duties(index)
        )
        report.reads_packed = True
        report.link_mbps = 1.0
        if self._directory_digest:
            report.reads_directory_changes = True
            report.directory_digest = self._directory_digest
        return report


@cache
def _environment(root):
    """Return the environment of nodes of a checkout, and compile its modules.

    A deployment compiles all modules when it is built.
    """
    roots = [*sorted((root / "packages").iterdir()), root / "platform"]
    environment = os.environ | {
        "PYTHONPATH": ":".join(map(str, roots)),
        "PYTHONPYCACHEPREFIX": _COMPILED.name,
    }
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    # It writes the compiled modules.
    imports = [sys.executable, "-c", "import hibiscusspar_platform.composition"]
    subprocess.run(imports, env=environment, check=True)
    return environment


def _duties(index):
    return dict.fromkeys(ZONES, (1, True)) if index == 2 else {}


def _clock():
    return clock_gettime(CLOCK_BOOTTIME)


def _free_port(kind, ip):
    with socket.socket(socket.AF_INET, getattr(socket, f"SOCK_{kind}")) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def _target(name, address, number):
    zone = ZONES[number % len(ZONES)]
    return Target(name, "draft", address, zone, 128, False, 1, 0, {MODEL: 1}, {})
