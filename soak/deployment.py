"""Node processes with stand-ins for store and engines, all behind faulty proxies."""

import os
import signal
import subprocess
import sys
import threading
from pathlib import Path
from tempfile import TemporaryDirectory

from hibiscusspar_platform.tests.engine_stand_in import EngineStandIn
from hibiscusspar_platform.tests.store_stand_in import StoreStandIn
from hibiscusspar_standins.builds import python_path
from soak.evacuations import BOUND_S
from soak.node_process import LINKS_VARIABLE
from soak.proxy import FaultyProxy

__all__ = ["IDLE_LIMIT_S", "LEASE_S", "MODEL", "Deployment", "config"]

MODEL = "base"
LEASE_S = 1.0
ADAPTER_SLOTS = 3
# Software version of each engine.
ENGINE_SOFTWARE = ("v1", "v2", "v1")
# The same beside nodes of an older build.
OLD_SOFTWARE = ("v1", "v1", "v1")
# Engines are cold for so long after each start, and take so many requests a second.
COLD_START_S = 2.0
COLD_PER_S = 2.0
# Time between the events of a stream, in which faults can break it.
EVENT_GAP_S = 0.15
# Idle limit of callers' connections at the start.
IDLE_LIMIT_S = 4.0
_STOP_TIMEOUT_S = 12.0
_RESTART_INTERVAL_S = 0.2
_FIRST_HOST = 10  # last part of the IP address of node 0


def config(version, keys, cold_start_s=COLD_START_S, idle_limit_s=IDLE_LIMIT_S):
    """Return a configuration with one account that has the keys."""
    route = {
        "host": "h.example",
        "timeoutMs": 6000,
        "targetLatencyMs": 2000,
        "priority": 1,
        "service": "draft",
    }
    engine = {
        "slots": 16,
        "kvCapacityTokens": 100_000,
        "adapterSlots": ADAPTER_SLOTS,
        "weightsMb": 17_000,
        "loadsPerS": 3,
        "models": [{"name": MODEL, "weightsMb": 16_000, "loadS": 0.2}],
    }
    draft = {"name": "draft", "pathPrefix": "/draft/", "kind": "streaming"}
    once = {"name": "once", "pathPrefix": "/once/", "kind": "streaming"}
    account = {"unit": "tokens", "ratePerS": 1_000_000, "burst": 1_000_000}
    return {
        "version": version,
        "routes": [
            {**route, **draft, "maxAttempts": 2, "resumable": True},
            {**route, **once, "maxAttempts": 1},
        ],
        "services": [
            {
                "name": "draft",
                "engine": engine,
                "coldStartS": cold_start_s,
                "coldPerS": COLD_PER_S,
            }
        ],
        "limits": {"idleTimeoutMs": idle_limit_s * 1000},
        "tenants": [{"name": "acme", "apiKeys": sorted(keys), **account}],
    }


class Node:
    """Node process and its proxy to the store.

    ``python_path`` is the ``PYTHONPATH`` of the build that the process runs; None is
    the current build.
    """

    def __init__(self, number, seed, store, folder, python_path=None):
        self.number = number
        self.python_path = python_path
        self.proxy = FaultyProxy(store.address)
        self.process = None
        self.held_down = False
        self._lock = threading.Lock()
        ip = f"127.0.{seed % 200 + 1}.{_FIRST_HOST + number}"
        self.front = (ip, 18_000)
        self._log = open(folder / f"node{number}.log", "ab")  # noqa: SIM115
        self._links = folder / f"node{number}.links"
        self._settings = folder / f"node{number}.conf"
        fields = {
            "node": f"n{number}",
            "ip": ip,
            "zone": f"z{number % 2}",
            "zones.z0": "r",
            "zones.z1": "r",
            "listen.front": f"{ip}:18000",
            "listen.ready": f"{ip}:18001",
            "internalPorts": "18002,18010",
            "platform.address": self.proxy.address,
            "bounds.strictRevoke": "true",
            "bounds.revokeMs": "5000",
            "bounds.leaseMs": str(int(LEASE_S * 1000)),
            "bounds.evacuateMs": str(int(BOUND_S * 1000)),
        }
        lines = [f"{name}={value}" for name, value in fields.items()]
        self._settings.write_text("\n".join(lines) + "\n")

    def start(self):
        """Start the process unless it is running or held down."""
        with self._lock:
            self._start()

    def _start(self):
        if self.held_down:
            return
        if self.process is not None and self.process.poll() is None:
            return
        env = {**os.environ, "HIBISCUSSPAR_CONFIG": str(self._settings)}
        module = "soak.node_process"
        if self.python_path is not None:
            env["PYTHONPATH"] = self.python_path
            module = "hibiscusspar_platform"
        env[LINKS_VARIABLE] = str(self._links)
        self.process = subprocess.Popen(
            [sys.executable, "-P", "-m", module],
            env=env,
            stdout=self._log,
            stderr=self._log,
        )

    def cut_links(self, kind=""):
        """Cut the links to all targets, or heal them if no kind is given."""
        written = self._links.with_suffix(".new")
        written.write_text(kind, encoding="utf-8")
        written.replace(self._links)

    def send_signal(self, number):
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def switch_build(self, python_path):
        """Stop the process and start it with another build.

        Returns whether the process ended on SIGTERM; otherwise it was killed.
        """
        with self._lock:
            ended = self._stop_process()
            self.python_path = python_path
            self._start()
        return ended

    def stop(self):
        """End the process and close its files."""
        self._stop_process()
        self.proxy.close()
        self._log.close()

    def _stop_process(self):
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            self.process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return False
        return True


class Deployment:
    """Three nodes, three engines and a store.

    Parameters
    ----------
    seed : int
        Chooses the IP addresses of the nodes and the folder of their logs.
    logs : str, optional
        Folder for the logs of the nodes; a temporary one by default.
    old_build : str, optional
        Root of a checkout whose code every second node runs.
    """

    def __init__(self, seed, logs=None, old_build=None):
        self._temporary = TemporaryDirectory()
        folder = Path(logs or self._temporary.name) / f"seed{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        self.store = StoreStandIn()
        self.engines = [
            EngineStandIn(
                "127.0.0.1",
                f"t{i}",
                MODEL,
                ADAPTER_SLOTS,
                zone=f"z{i % 2}",
                software=software,
            )
            # Older builds continue streams at any version.
            for i, software in enumerate(OLD_SOFTWARE if old_build else ENGINE_SOFTWARE)
        ]
        for engine in self.engines:
            engine.event_gap_s = EVENT_GAP_S
        self.engine_proxies = [FaultyProxy(e.address) for e in self.engines]
        # Nodes of older builds would crash cold engines.
        self.cold_start_s = 0.0 if old_build else COLD_START_S
        self.store.put("config", "main", config(1, {"k0"}, self.cold_start_s))
        # Called with an engine that has crashed.
        self.on_crash = lambda engine: None
        for engine in self.engines:
            engine.on_crash = self._end_engine
            engine.on_restart = self._register_engine
            if self.cold_start_s:
                engine.start_cold(self.cold_start_s, COLD_PER_S, self._put_entry)
            self._register_engine(engine, is_restart=False)
        self.old_path = python_path(old_build) if old_build else None
        self.nodes = [
            Node(n, seed, self.store, folder, self.old_path if n % 2 else None)
            for n in range(3)
        ]
        self._stopping = threading.Event()
        self._supervisor = threading.Thread(target=self._supervise, daemon=True)
        self._supervisor.start()

    def _proxy_of(self, engine):
        return self.engine_proxies[self.engines.index(engine)]

    def _end_engine(self, engine):
        self._proxy_of(engine).close_port()
        self.store.delete("servers", engine.target_id)
        self.on_crash(engine)

    def _register_engine(self, engine, is_restart=True):
        if is_restart:
            self._proxy_of(engine).open_port()
        self._put_entry(engine)

    def _put_entry(self, engine):
        entry = {**engine.entry(), "address": self._proxy_of(engine).address}
        self.store.put("servers", engine.target_id, entry)

    def _supervise(self):
        """Restart nodes that have exited, as the platform does."""
        while not self._stopping.wait(_RESTART_INTERVAL_S):
            for node in self.nodes:
                node.start()

    def fronts_from(self, first):
        """Return the addresses for callers of all nodes, beginning with one node."""
        return [first.front, *(n.front for n in self.nodes if n is not first)]

    def heal(self):
        """End all faults and let killed nodes start again."""
        self.store.fail_with = None
        for proxy in (*self.engine_proxies, *(n.proxy for n in self.nodes)):
            proxy.heal()
        for node in self.nodes:
            node.held_down = False
            node.cut_links()
            node.send_signal(signal.SIGCONT)

    def stop(self):
        """Stop all nodes, proxies and stand-ins."""
        self.heal()
        self._stopping.set()
        self._supervisor.join()
        for node in self.nodes:
            node.stop()
        for proxy in self.engine_proxies:
            proxy.close()
        for standin in (*self.engines, self.store):
            standin.stop()
        self._temporary.cleanup()
