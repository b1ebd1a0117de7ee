"""The composition root: wires the parts of one entry process."""

import random
import secrets
import threading
from time import monotonic

from hibiscusspar.errors import StepError
from hibiscusspar_entry.configuration import ConfigurationHolder
from hibiscusspar_entry.driver import Driver
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.events import (
    CONFIGURATION_READ,
    DRAINING,
    LISTENING,
    PLATFORM_FAILED,
    STOPPED,
)
from hibiscusspar_entry.gateway import RequestGateway
from hibiscusspar_entry.metrics import Metrics
from hibiscusspar_entry.work import PlatformRunner
from hibiscusspar_wire.callers import CallerApp
from hibiscusspar_wire.codec import MessageCodec
from hibiscusspar_wire.http_server import HttpServer, ServerBounds, Tls
from hibiscusspar_wire.operators import OperatorApp
from hibiscusspar_wire.peers import PeerApp, PeerClient
from hibiscusspar_wire.platform_client import PlatformClient
from hibiscusspar_wire.publishing import current
from hibiscusspar_wire.target_client import TargetClient

__all__ = ["Node", "build_node"]

PEER_THREADS = 8
OPERATOR_THREADS = 4
CONFIGURATION_POLL_S = 1.0


def build_node(settings, request_stop):
    """Wire all parts of one process.

    Parameters
    ----------
    settings : Settings
    request_stop : callable
        Called when an operator drains this VM.

    Returns
    -------
    Node
    """
    clock = monotonic
    rng = random.Random(settings.seed or secrets.randbits(64))
    metrics = Metrics()
    holder = ConfigurationHolder(clock)
    platform = PlatformClient(
        settings.platform, random.Random(rng.random()), settings.platform_timeout_s
    )
    driver = Driver(
        settings.vm_id,
        [],
        MessageCodec({}),
        PeerClient(settings.peer_secret, settings.peer_timeout_s),
        lambda vm: None,
        PlatformRunner(platform, metrics),
        lambda order: None,
        clock,
        metrics,
        settings.exchange_s,
    )
    targets = TargetClient(settings.connect_timeout_s, settings.silence_timeout_s)
    gateway = RequestGateway(lambda: holder.configuration, targets, rng, clock, metrics)
    return Node(settings, driver, gateway, holder, platform, metrics, request_stop)


class Node:
    """One entry process: three servers, a ticker and the configuration.

    Parameters
    ----------
    settings : Settings
    driver : Driver
    gateway : Gateway
    holder : ConfigurationHolder
    platform : Platform
    metrics : Metrics
    request_stop : callable
    """

    def __init__(
        self, settings, driver, gateway, holder, platform, metrics, request_stop
    ):
        self._settings = settings
        self._driver = driver
        self._gateway = gateway
        self._holder = holder
        self._platform = platform
        self._metrics = metrics
        self._request_stop = request_stop
        self._stopping = threading.Event()
        self._servers = _servers(settings, gateway, self)
        self._threads = [
            threading.Thread(target=target, daemon=True)
            for target in (self._run_ticks, self._run_configuration)
        ]

    @property
    def ports(self):
        """Bound ports for callers, peers and operators."""
        return tuple(server.port for server in self._servers)

    def start(self):
        """Bind the ports and start the threads."""
        for server in self._servers:
            server.start()
        host = self._settings.address
        addresses = [f"{host}:{port}" for port in self.ports]
        names = ("caller", "peer", "operator")
        write_records([(LISTENING, dict(zip(names, addresses, strict=True)))])
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Shut down gracefully: refuse new requests, let running ones end."""
        write_records([(DRAINING, {"reason": "stop requested"})])
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        for server in self._servers:
            server.stop()
        self._driver.stop()
        write_records([(STOPPED, {"running": 0})])

    def ready(self):
        """Return whether requests are taken."""
        return self._holder.revision > 0 and not self._stopping.is_set()

    def status(self):
        """Return the state of the process."""
        return {
            "vm": self._settings.vm_id,
            "zone": self._settings.zone,
            "ready": self.ready(),
            "revision": self._holder.revision,
            "configuration_age_s": round(self._holder.age_s, 3),
        }

    def metrics(self):
        """Return the metrics in the Prometheus text format."""
        self._metrics.revision.set(self._holder.revision)
        self._metrics.configuration_age.set(self._holder.age_s)
        return self._metrics.render()

    def drain(self):
        """Start a graceful shutdown."""
        self._request_stop()

    def exchange(self, data):
        """Take in an exchange of a peer and return the one due to it."""
        return self._driver.receive(data)

    def chunk(self, name):
        """Return a configuration chunk, or None if it isn't held."""
        return

    def _run_ticks(self):
        while not self._stopping.wait(self._settings.tick_s):
            self._driver.tick()

    def _run_configuration(self):
        while not self._stopping.is_set():
            try:
                self._read_configuration()
            except StepError as error:
                fields = {"step": error.step, "reason": error.reason}
                write_records([(PLATFORM_FAILED, fields)])
            self._stopping.wait(CONFIGURATION_POLL_S)

    def _read_configuration(self):
        found = current(self._platform)
        self._holder.confirm()
        if self._holder.replace(found.configuration):
            fields = {"revision": self._holder.revision}
            write_records([(CONFIGURATION_READ, fields)])


def _servers(settings, gateway, node):
    callers = CallerApp(gateway, settings.max_body_bytes)
    bounds = ServerBounds(
        settings.max_header_bytes,
        settings.max_body_bytes + 1,
        settings.caller_threads,
        shutdown_timeout_s=settings.shutdown_timeout_s,
    )
    tls = None
    if settings.tls_certificate:
        tls = Tls(settings.tls_certificate, settings.tls_private_key)
    host = settings.address
    peers = PeerApp(node, settings.peer_secret)
    operators = OperatorApp(node, settings.peer_secret)
    return (
        HttpServer(callers, host, settings.caller_port, bounds, tls),
        HttpServer(peers, host, settings.peer_port, ServerBounds(threads=PEER_THREADS)),
        HttpServer(
            operators,
            host,
            settings.operator_port,
            ServerBounds(threads=OPERATOR_THREADS),
        ),
    )
