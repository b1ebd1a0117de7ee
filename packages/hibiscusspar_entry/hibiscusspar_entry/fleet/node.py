"""Entry process of the fleet: its threads, start and graceful stop."""

import threading
from random import Random
from time import sleep
from typing import Any, NamedTuple

from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.messages import (
    FleetView,
    NodeReport,
    OrderRequest,
    PermitGrant,
    SendNotice,
)
from hibiscusspar.fleet.peers import Peer
from hibiscusspar.fleet.quota import discounted_levels
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.address import parse_address
from hibiscusspar_entry.fleet.background import BackgroundPool, log_failure
from hibiscusspar_entry.fleet.coordinator_loss import CoordinatorLoss
from hibiscusspar_entry.fleet.events import (
    FIRST_VIEW,
    NODE_DRAINING,
    NODE_STARTED,
    NODE_STOPPED,
)
from hibiscusspar_entry.fleet.graceful_stop import wait_until_answered
from hibiscusspar_entry.fleet.notice_receiver import NoticeReceiver
from hibiscusspar_entry.fleet.notices import NoticeSender
from hibiscusspar_entry.fleet.periodic_task import PeriodicTask
from hibiscusspar_entry.fleet.view_sequence import ViewSequence

__all__ = ["FleetNode", "FleetParts"]

# Time between ticks, in seconds.
_TICK_S = 0.02
# Time between ticks while no request waits and this node isn't the coordinator.
_IDLE_TICK_S = 0.06
# Time between checks of the leases, a fraction of the time that they are valid.
_LEASE_TICK_S = 0.05
# Shortest time between reports that carry new wants.
_WANT_REPORT_GAP_S = 0.004
# Pause after a store call without an answer, far shorter than the store's outages.
_STORE_RETRY_S = 0.3
# Part of the platform's grace period that is kept in reserve.
_GRACE_MARGIN_S = 0.6
# Time before the end of a graceful stop in which refusals reach their callers.
_REFUSAL_S = 0.3


class FleetParts(NamedTuple):
    """Components of a node, as wired by the composition root."""

    settings: Any
    machine: str
    start: str
    clock: Any
    dialect: Any
    store: Any
    config: Any
    watches: tuple
    request_scheduler: Any
    limits: Any
    statements: Any
    cold: Any
    speeds: Any
    origins: Any
    crashes: Any
    call_later: Any
    quota: Any
    quota_changed: Any
    retry_budgets: Any
    connections: Any
    paths: Any
    path_watch: Any
    peer_proxy: Any
    disconnect_watch: Any
    metrics: Any
    election: Any
    # The keeper of the coordinator's lease comes first.
    lease_keepers: tuple
    quarantine_store: Any
    software_store: Any
    origin_store: Any
    store_backoff: Any
    order_dispatcher: Any
    log_sink: Any
    relayed_state: Any
    config_relay: Any
    peers: Any
    lease_deferral: Any
    key_age_limit_s: float


class FleetNode:
    """Running entry process.

    Parameters
    ----------
    parts : FleetParts
    front : FrontServer
    channel : Channel
    coordinator : Coordinator
    forwarder : Forwarder
    open_status : callable
        Starts the servers of readiness and metrics and returns them.
    """

    def __init__(self, parts, front, channel, coordinator, forwarder, open_status):
        self._parts = parts
        self._open_status = open_status
        self._status_servers = ()
        self._front = front
        self._channel = channel
        self._coordinator = coordinator
        self._forwarder = forwarder
        self._view_sequence = ViewSequence(parts.clock)
        self._report_requested = threading.Event()
        self._view_requested = threading.Event()
        self._was_leader = False
        self._fence = 0
        self._has_waited = False
        self._started_at = parts.clock()
        self._store_retry_at = 0.0
        self._loss = CoordinatorLoss(parts.election)
        self._stopping = threading.Event()
        self._coordinator_address = None
        parts.request_scheduler.request_report = self._request_report
        self._notice_sender = NoticeSender(
            parts.clock, parts.settings.zone, parts.peers, channel, Random(parts.start)
        )
        self._lease_task = PeriodicTask("lease", self._lease_step, self._lease_pause_s)
        quarantine_store = parts.quarantine_store
        self._quarantine_task = PeriodicTask(
            "quarantine store", quarantine_store.step, quarantine_store.pause_s
        )
        software_store = parts.software_store
        self._software_task = PeriodicTask(
            "software store", software_store.step, software_store.pause_s
        )
        origin_store = parts.origin_store
        origin_task = PeriodicTask(
            "origin store", origin_store.step, origin_store.pause_s
        )
        tick_task = PeriodicTask("tick", self._tick, self._tick_s)
        self._tasks = (
            self._lease_task,
            self._quarantine_task,
            self._software_task,
            origin_task,
            tick_task,
        )
        self._notice_receiver = NoticeReceiver(parts, self._notice_sender)
        parts.request_scheduler.on_sent = self._notice_sender.add
        parts.speeds.slow_periods.on_changed = self._notice_sender.add_slow
        parts.statements.on_full = self._notice_sender.add_full
        parts.crashes.request_report = self._report_requested.set
        parts.crashes.on_verdict = self._view_requested.set
        parts.cold.on_cold_again = self._request_exchange
        parts.retry_budgets.ask_loan = self._ask_loan

    def close(self):
        """Close all ports and stop the background work without waiting for requests."""
        self._stopping.set()
        for task in self._tasks:
            task.close()
        self._front.stop()
        for server in self._status_servers:
            server.stop()
        self._coordinator.close()
        self._parts.peer_proxy.stop()
        self._parts.call_later.close()
        self._parts.order_dispatcher.close()

    def start(self):
        """Open the ports and start the background work."""
        parts = self._parts
        parts.log_sink.open()
        parts.disconnect_watch.start()
        self._channel.start()
        for watch in parts.watches:
            watch.start()
        for task in self._tasks:
            task.start()
        for task in (self._run_reports, self._notice_sender.run):
            threading.Thread(target=task, daemon=True).start()
        self._front.start()
        fields = {
            "start": parts.start,
            "front": parts.settings.front_address,
            "ready": parts.settings.ready_address,
            "peer": self._channel.address,
            "store": parts.settings.store_address,
        }
        write_records([(NODE_STARTED, fields)])
        self._status_servers = tuple(self._open_status())

    @property
    def is_ready(self):
        """Whether the platform should send new connections to this node."""
        parts = self._parts
        if self._forwarder.draining_since is not None:
            return False
        if parts.config.ruleset is None:
            return False
        limit_s = parts.key_age_limit_s
        return not limit_s or parts.config.age_s <= limit_s

    def _step_lease_keepers(self):
        """Make the lease calls that are due; back off if the store doesn't answer."""
        for lease_keeper in self._parts.lease_keepers:
            if not lease_keeper.step():
                self._store_retry_at = self._parts.clock() + _STORE_RETRY_S
                return

    @property
    def has_active_coordinator(self):
        """Whether a coordinator with a valid lease sent a view lately."""
        return self._parts.lease_deferral.has_active_coordinator

    def receive(self, message, address):
        """Handle a message of another node."""
        if isinstance(message, SendNotice):
            if message.loan_asked is not None:
                self._coordinator.handle_loan_request(message.loan_asked, address)
            self._notice_receiver.receive(message, address)
        elif isinstance(message, FleetView):
            self._apply_view(message)
        elif isinstance(message, NodeReport):
            self._coordinator.handle_report(message, address)
            self._parts.crashes.apply_report(message)
            self._parts.cold.apply_rows(message.cold, message.node)
        elif isinstance(message, PermitGrant):
            self._parts.request_scheduler.apply_permits(message)
        elif isinstance(message, OrderRequest):
            self._parts.order_dispatcher.handle_request(message, address)
        else:
            self._parts.order_dispatcher.handle_result(message)

    def metrics_text(self):
        """Return the metrics in the Prometheus text format."""
        waiting, targets, running = self._parts.request_scheduler.status()
        return self._parts.metrics.render(
            {
                "waiting": waiting,
                "targets": targets,
                "running": running,
                "open": self._forwarder.open_requests,
                "idle_connections_closed": self._front.closed_idle_count,
                "connections_opened": self._parts.connections.opened,
                "services_cut_off": len(self._parts.path_watch.cut_services),
                "sent_for_peers": self._parts.peer_proxy.sent_count,
                "sent_bytes": self._channel.sent_bytes,
                "received_bytes": self._channel.received_bytes,
                "planned_orders": self._coordinator.planned,
                "permits_issued": self._coordinator.permits_issued,
                "origins_held": self._parts.origins.held_count,
                "origin_queries": self._parts.origins.query_count,
                "origins_found": self._parts.origins.found_count,
                "peers": self._parts.peers.count,
                "notices_sent": self._notice_sender.sent_count,
                "views_received": self._view_sequence.received,
                "views_missed": self._view_sequence.missed,
                "views_out_of_order": self._view_sequence.out_of_order,
                "limited_targets": len(self._parts.limits.limited),
                "cold_targets": len(self._parts.cold.rates),
                "resting_targets": self._parts.statements.resting_count,
                "crashes_seen": self._parts.crashes.crash_count,
                "quarantined": self._parts.crashes.quarantined_count,
                "quarantine_refusals": self._parts.crashes.refused_count,
                "store_failures": self._parts.store_backoff.failures,
                "directory_differs": self._parts.relayed_state.directory_differs,
                "evacuated_zones": self._parts.relayed_state.evacuated_zones,
                **self._parts.relayed_state.counts,
                **self._parts.speeds.counts,
            }
        )

    def stop(self):
        """Stop gracefully: become unready, release leases, complete open requests."""
        parts = self._parts
        started_at = parts.clock()
        self._forwarder.draining_since = started_at
        parts.peer_proxy.is_closing = True
        grace_s = parts.settings.bounds.grace_s - _GRACE_MARGIN_S
        fields = {"open": self._forwarder.open_requests, "grace_s": grace_s}
        write_records([(NODE_DRAINING, fields)])
        released = threading.Event()
        BackgroundPool("release", 1).submit(self._release_leases, released)

        def count_requests():
            # Until requests are refused, the next one may come at any moment.
            accepts = not self._forwarder.is_closed(parts.clock())
            return accepts or self._open_requests

        def wait_until(ends_at):
            wait_until_answered(
                lambda: parts.clock() >= ends_at, count_requests, _TICK_S
            )

        wait_until(started_at + grace_s - _REFUSAL_S)
        self._forwarder.refuse_waiting()
        wait_until(started_at + grace_s)
        released.wait(max(0.0, started_at + grace_s - parts.clock()))
        seconds = round(parts.clock() - started_at, 3)
        fields = {"open": self._forwarder.open_requests, "seconds": seconds}
        write_records([(NODE_STOPPED, fields)])
        parts.log_sink.close()

    def _release_leases(self, released):
        """Release all leases; a store that fails must not cost open requests."""
        for lease_keeper in self._parts.lease_keepers:
            try:
                lease_keeper.release()
            except Exception as error:  # noqa: BLE001
                log_failure("release", error)
        released.set()

    @property
    def _open_requests(self):
        # Both include requests that wait for a thread.
        return self._front.unanswered + self._parts.peer_proxy.open_requests

    def _request_report(self):
        """Send the next report at once; a first waiting request needs the directory."""
        if not self._has_waited:
            self._has_waited = True
            for watch in self._parts.watches:
                watch.wake()
        self._report_requested.set()

    def _request_exchange(self):
        """Send the next report and, as the coordinator, the next view at once."""
        self._report_requested.set()
        self._view_requested.set()

    def _apply_view(self, view):
        parts = self._parts
        if parts.request_scheduler.view_age_s is None:
            self._log_first_view(view)
        self._fence = max(self._fence, parts.election.fence)
        if view.fence < self._fence or not self._view_sequence.accept(view):
            return
        self._fence = view.fence
        if parts.lease_deferral.apply_view(view):
            self._lease_task.wake()
        self._coordinator_address = parse_address(view.address)
        self._loss.record_view()
        if view.start != parts.start:
            parts.cold.apply_view(view)
        if parts.relayed_state.apply_view(view, parts.settings.node):
            for watch in parts.watches:
                watch.wake()
        peers = {name: Peer(*row) for name, row in view.peers.items()}
        parts.peers.update(parts.clock(), peers, view.nodes)
        addresses = parts.peers.direct_addresses(parts.clock(), parts.settings.zone)
        parts.request_scheduler.direct_peers = len(addresses)
        parts.crashes.apply_view(view, parts.settings.node)
        parts.speeds.apply_view(view)
        acked_used = parts.request_scheduler.apply_view(view)
        with parts.quota_changed:
            parts.quota.apply_view(
                parts.clock(), view.nodes, view.levels, acked_used, view.asked
            )
            parts.quota_changed.notify_all()

    def _log_first_view(self, view):
        _, targets, _ = self._parts.request_scheduler.status()
        fields = {
            "sender": view.node,
            "view": view.number,
            "after_s": round(self._parts.clock() - self._started_at, 3),
            "directory_read": targets > 0,
        }
        write_records([(FIRST_VIEW, fields)])

    def _lease_pause_s(self):
        """Return the time until the next check of the leases, in seconds.

        While others hold all duties, only the silence of the coordinator or a view
        that tells otherwise, which ends the pause, makes a check necessary.
        """
        parts = self._parts
        if (
            self._was_leader
            or any(keeper.election.leads for keeper in parts.lease_keepers)
            or not self.has_active_coordinator
            or not parts.lease_deferral.all_held(parts.settings.zones)
        ):
            return _LEASE_TICK_S
        return max(_LEASE_TICK_S, parts.lease_deferral.silent_in_s)

    def _lease_step(self):
        parts = self._parts
        if parts.clock() >= self._store_retry_at:
            self._step_lease_keepers()
        election = parts.election
        if election.leads != self._was_leader:
            self._was_leader = election.leads
            self._switch_role(election.leads)
        elif not election.leads and not self.has_active_coordinator:
            record = election.record
            if record is not None and record.fence >= self._fence:
                if self._coordinator_address is None:
                    self._report_requested.set()
                self._coordinator_address = parse_address(record.address)

    def _switch_role(self, leads):
        self._parts.relayed_state.set_source(leads)
        for task in (
            self._quarantine_task,
            self._software_task,
            *self._parts.watches,
        ):
            task.wake()
        if leads:
            with self._parts.quota_changed:
                levels = dict(self._parts.quota.levels)
            stored_levels = self._parts.lease_keepers[0].stored_levels
            self._coordinator.take_over(levels or discounted_levels(stored_levels))
        else:
            self._coordinator.step_down()

    def _run_reports(self):
        while not self._stopping.is_set():
            interval_s = exchange_interval_s(self._parts.request_scheduler.nodes)
            urgent = self._report_requested.wait(interval_s)
            self._report_requested.clear()
            try:
                self._send_report()
            except Exception as error:  # noqa: BLE001
                log_failure("report", error)
            if urgent:
                sleep(_WANT_REPORT_GAP_S)

    def _send_report(self):
        parts = self._parts
        with parts.quota_changed:
            used, denied = dict(parts.quota.used), dict(parts.quota.denied)
        report = parts.request_scheduler.report(used, parts.order_dispatcher.duties())
        report.denied = denied
        report.link_mbps = parts.settings.link_mbps
        report.reads_packed = True
        report.cold = parts.cold.report_rows()
        parts.relayed_state.complete_report(report)
        parts.crashes.complete_report(report)
        parts.speeds.complete_report(report)
        parts.retry_budgets.complete_report(parts.clock(), report)
        if parts.election.leads:
            self._coordinator.handle_report(
                report, parse_address(self._channel.address)
            )
        elif self._coordinator_address is not None:
            self._channel.send(self._coordinator_address, report)

    def _ask_loan(self, loan):
        """Ask the coordinator for a retry."""
        if self._parts.election.leads:
            address = parse_address(self._channel.address)
            self._coordinator.handle_loan_request(loan, address)
        elif self._coordinator_address is not None:
            notice = SendNotice([], loan_asked=loan)
            self._channel.send(self._coordinator_address, notice)

    def _tick_s(self):
        parts = self._parts
        is_busy = parts.request_scheduler.has_waiting or parts.election.leads
        return _TICK_S if is_busy else _IDLE_TICK_S

    def _tick(self):
        """Make all steps that are due, also after one that fails."""
        for step in (
            self._parts.request_scheduler.tick,
            self._parts.path_watch.tick,
            self._parts.config_relay.tick,
            self._parts.peer_proxy.grow,
            self._front.grow,
            self._tick_coordinator,
            self._check_coordinator,
        ):
            try:
                step()
            except Exception as error:  # noqa: BLE001
                log_failure("tick", error)

    def _tick_coordinator(self):
        if not self._parts.election.leads:
            return
        if self._view_requested.is_set():
            self._view_requested.clear()
            self._coordinator.send_views()
        self._coordinator.tick()

    def _check_coordinator(self):
        self._loss.check(self._parts.request_scheduler.view_age_s)
