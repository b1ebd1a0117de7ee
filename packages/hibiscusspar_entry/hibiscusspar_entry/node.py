"""Servers, threads and graceful shutdown of one entry process."""

import threading
from functools import partial
from time import sleep
from typing import NamedTuple

from hibiscusspar.scheduling.scheduler import Scheduler
from hibiscusspar_entry.configuration import ConfigurationHolder
from hibiscusspar_entry.driver import Driver
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.events import DRAINING, LISTENING, STOPPED
from hibiscusspar_entry.gateway import RequestGateway
from hibiscusspar_entry.metrics import Metrics
from hibiscusspar_entry.open_requests import OpenRequests
from hibiscusspar_entry.settings import Settings
from hibiscusspar_entry.systems import Systems
from hibiscusspar_entry.target_control import TargetControl
from hibiscusspar_wire.callers import CallerApp
from hibiscusspar_wire.config_watch import ConfigWatch
from hibiscusspar_wire.http_server import HttpServer
from hibiscusspar_wire.operators import OperatorApp
from hibiscusspar_wire.peers import PeerApp

__all__ = ["Node", "Parts", "Servers"]

STATE_POLL_S = 0.5
WAIT_POLL_S = 0.05
MAX_HANDOVER_S = 3.0
READY_WITHOUT_LEASES_S = 10.0


class Servers(NamedTuple):
    """Bound servers of a process for callers, peers and operators."""

    caller: HttpServer
    peer: HttpServer
    operator: HttpServer


class Parts(NamedTuple):
    """Connected parts of a process."""

    settings: Settings
    servers: Servers
    driver: Driver
    systems: Systems
    gateway: RequestGateway
    scheduler: Scheduler
    open_requests: OpenRequests
    target_control: TargetControl
    config_holder: ConfigurationHolder
    config_watch: ConfigWatch
    metrics: Metrics


class Node:
    """Entry process of one VM.

    Parameters
    ----------
    parts : Parts
    request_stop : callable
        Called when an operator drains this VM.
    """

    def __init__(self, parts, request_stop):
        self._parts = parts
        self._request_stop = request_stop
        self._draining = threading.Event()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=target, daemon=True)
            for target in (self._run_ticks, self._run_offers, self._run_polls)
        ]
        self._watch_thread = threading.Thread(target=self._run_watch, daemon=True)

    @property
    def ports(self):
        """Bound ports for callers, peers and operators."""
        return tuple(server.port for server in self._parts.servers)

    def start(self):
        """Serve on the three ports and start the threads."""
        parts = self._parts
        settings = parts.settings
        secret = settings.peer_secret
        parts.servers.caller.start(CallerApp(parts.gateway, settings.max_body_bytes))
        parts.servers.peer.start(PeerApp(self, secret))
        parts.servers.operator.start(OperatorApp(self, secret))
        addresses = [f"{settings.address}:{port}" for port in self.ports]
        fields = dict(zip(Servers._fields, addresses, strict=True))
        write_records([(LISTENING, fields)])
        for thread in (*self._threads, self._watch_thread):
            thread.start()

    def stop(self):
        """Shut down gracefully.

        The process reports that it is not ready and still accepts requests for
        ``lame_duck_s``, so that load balancers stop sending them. Then new requests
        are refused, running ones end within ``shutdown_timeout_s``, roles are handed
        over, the ends of claimed requests are written to the platform, a last tick
        sends the state of the roles to their successors, and the ports close.
        """
        parts = self._parts
        self._draining.set()
        write_records([(DRAINING, {"reason": "stop requested"})])
        sleep(parts.settings.lame_duck_s)
        parts.gateway.close()
        timeout_s = parts.settings.shutdown_timeout_s
        self._wait(lambda: not len(parts.open_requests), timeout_s)
        self._hand_over()
        claims = parts.systems.requests.claims
        self._wait(lambda: not claims.unwritten, MAX_HANDOVER_S)
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        parts.driver.tick()
        cut_off = len(parts.open_requests)
        for server in parts.servers:
            server.stop()
        parts.driver.stop()
        parts.target_control.stop()
        write_records([(STOPPED, {"running": cut_off})])

    def ready(self):
        """Return whether the process accepts requests.

        After the start it is ready only with leases for all accounts, but at the
        latest after ``READY_WITHOUT_LEASES_S``: a zone that is cut off may have no
        limit home for some accounts.
        """
        config_holder = self._parts.config_holder
        if config_holder.revision == 0 or self._draining.is_set():
            return False
        if config_holder.in_force_s > READY_WITHOUT_LEASES_S:
            return True
        return not self._parts.systems.limits.unleased_accounts

    def status(self):
        """Return the state of the process for operators."""
        parts = self._parts
        systems = parts.systems
        with parts.driver.locked_systems() as (now, _out):
            return {
                "vm": parts.settings.vm_id,
                "zone": parts.settings.zone,
                "ready": self.ready(),
                "draining": self._draining.is_set(),
                "revision": parts.config_holder.revision,
                "configuration_age_s": round(parts.config_holder.age_s, 3),
                "open_requests": len(parts.open_requests),
                "waiting_requests": len(parts.scheduler),
                "revisions": systems.members.revisions(),
                "suspected": sorted(
                    member.vm
                    for member in systems.members.live()
                    if systems.members.suspected(member.vm)
                ),
                "roles": sorted(systems.roles.held),
                "limits": systems.limits.status(now),
                "requests": systems.requests.status(now),
            }

    def metrics(self):
        """Return the metrics in the Prometheus text format."""
        metrics = self._parts.metrics
        metrics.revision.set(self._parts.config_holder.revision)
        metrics.configuration_age.set(self._parts.config_holder.age_s)
        metrics.running.set(len(self._parts.open_requests))
        with self._parts.driver.locked_systems() as (now, _out):
            metrics.set_limit_gauges(self._parts.systems.limits.status(now))
        return metrics.render()

    def drain(self):
        """Start a graceful shutdown."""
        self._request_stop()

    def exchange(self, data):
        """Handle an exchange of a peer and return the messages due to it."""
        return self._parts.driver.receive(data)

    def chunk(self, name):
        """Return the bytes of a configuration chunk or root, or None if not held."""
        return self._parts.config_watch.store.chunk(name)

    def _hand_over(self):
        roles = self._parts.systems.roles
        with self._parts.driver.locked_systems() as (now, out):
            roles.hand_over_all(now, out)
        self._wait(lambda: roles.handed_over, MAX_HANDOVER_S)

    def _wait(self, condition, timeout_s):
        for _ in range(int(timeout_s / WAIT_POLL_S)):
            if condition():
                return
            sleep(WAIT_POLL_S)

    def _run_ticks(self):
        while not self._stopping.wait(self._parts.settings.tick_s):
            self._parts.driver.tick()
            self._update_age()

    def _update_age(self):
        parts = self._parts
        with parts.driver.locked_systems() as (now, _out):
            parts.config_holder.set_age(parts.systems.members.config_age_s(now))

    def _run_offers(self):
        self._parts.config_watch.run_offers(self._stopping)

    def _run_watch(self):
        self._parts.config_watch.run_watch(self._stopping)

    def _run_polls(self):
        parts = self._parts
        placement = parts.systems.placement
        while not self._stopping.wait(STATE_POLL_S):
            with parts.driver.locked_systems() as (polled_at, _):
                targets = placement.targets_to_poll()
            on_state = partial(self._on_target_state, polled_at)
            parts.target_control.poll(targets, on_state, self._on_target_unreachable)

    def _on_target_state(
        self, polled_at, target, incarnation, resident, running, queued
    ):
        with self._parts.driver.locked_systems() as (now, out):
            self._parts.systems.placement.target_state(
                now, target, incarnation, resident, running, queued, out, polled_at
            )

    def _on_target_unreachable(self, target):
        with self._parts.driver.locked_systems() as (now, out):
            self._parts.systems.placement.target_unreachable(now, target, out)
