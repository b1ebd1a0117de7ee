"""Coordinator of the fleet: views to all nodes, account levels and load orders."""

import threading
from time import sleep, thread_time

from msgspec.json import encode as to_json

from hibiscusspar.fleet.copy_costs import copy_costs_s
from hibiscusspar.fleet.deferred_dict import DeferredDict
from hibiscusspar.fleet.directory_rows import DirectoryRows
from hibiscusspar.fleet.engine_targets import EngineTargets
from hibiscusspar.fleet.entry_rotation import EntryRotation
from hibiscusspar.fleet.fanout import exchange_interval_s, view_interval_s
from hibiscusspar.fleet.lent_retries import RetryPool
from hibiscusspar.fleet.messages import (
    AdapterLoad,
    FleetView,
    SendNotice,
    adapter_label,
)
from hibiscusspar.fleet.peers import ROTATED_PEERS
from hibiscusspar.fleet.planner import AdapterPlanner, OrderOutcome
from hibiscusspar.fleet.quota import AccountLevels
from hibiscusspar.fleet.residency_numbers import join_numbers
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.admission_exchange import AdmissionLevels
from hibiscusspar_entry.fleet.background import BackgroundPool, log_failure
from hibiscusspar_entry.fleet.call_times_exchange import FleetTimes
from hibiscusspar_entry.fleet.cold_exchange import ColdExchange
from hibiscusspar_entry.fleet.events import ROWS_CHANGED
from hibiscusspar_entry.fleet.permit_sender import PermitSender
from hibiscusspar_entry.fleet.report_table import ReportTable
from hibiscusspar_entry.fleet.view_sender import ViewSender

__all__ = ["Coordinator"]

# Pause after a planning round, in seconds, because many wants arrive within some
# milliseconds. It lasts at least _PLAN_PAUSE_ROUNDS times the processor time of the
# round, which leaves time for views. On a busy machine a round may wait for a lock for
# some tenths of a second, and a pause by the clock would delay loads by twice that.
_PLAN_PAUSE_S = 0.004
_PLAN_PAUSE_ROUNDS = 2.0
# Time between rounds while no request waits. What else they order follows from sums
# over seconds, and changes of targets and results of orders request a round at once.
_IDLE_PLAN_S = 0.1
# Orders and state queries without a result yet. Each may wait for its time-out, and
# those to silent targets must not delay the others.
_ORDER_THREADS = 32
_QUERY_THREADS = 16
# Most targets of a view whose adapters it lists, up to 1 KB each.
_MAX_RESIDENCY = 16
# Targets that a log line lists at most.
_LOGGED_TARGETS = 8
# Greatest age that a view carries, in seconds; older data is sent with this age.
_MAX_AGE_S = 1e6
# Intervals of reports after which a node may have failed.
_STALE_INTERVALS = 1.5


class Coordinator:
    """Coordinator of the fleet, active on the node that holds the coordinator's lease.

    It collects the reports of all nodes, plans which adapters targets load, and
    broadcasts views of the fleet.

    Parameters
    ----------
    node, start, address : str
        Node, its process and its peer address.
    clock : callable
    election : Election
    order_dispatcher : OrderDispatcher
    orders : TargetOrders
    zones : sequence of str
    send : callable
        Sends a body to an address.
    quota_window_s : float
        Window of the limits of accounts.
    ages : callable
        Returns the ages of configuration and directory in seconds.
    limits : LimitExchange
        Limits that targets have named.
    crashes : CrashExchange
        Requests that crash targets.
    speeds : SpeedExchange
        Speeds of targets, from the samples of all nodes.
    cold : ColdExchange, optional
        Cold targets.
    admission : AdmissionLevels, optional
    retry_pool : RetryPool, optional
        By default one that lends nothing.
    """

    def __init__(
        self,
        node,
        start,
        address,
        clock,
        election,
        order_dispatcher,
        orders,
        zones,
        send,
        quota_window_s,
        ages,
        limits,
        crashes,
        speeds,
        cold=None,
        admission=None,
        retry_pool=None,
    ):
        self._node = node
        self._order_dispatcher = order_dispatcher
        self._zones = zones
        self._start = start
        self._address = address
        self._clock = clock
        self._election = election
        self._orders = orders
        self._send = send
        self._view_sender = ViewSender(send)
        self._ages = ages
        self._announced = {}
        self._lock = threading.Lock()
        self._planner = AdapterPlanner()
        self._levels = AccountLevels(quota_window_s)
        self._sent_levels = {}
        self._reports = ReportTable()
        self._targets = {}
        self._ruleset = None
        self._number = 0
        self._fence = 0
        self._residency_rotation = EntryRotation(_MAX_RESIDENCY)
        self._directory_rows = DirectoryRows()
        self._peer_rotation = EntryRotation()
        self._limits = limits
        self._crashes = crashes
        self._speeds = speeds
        self._permits = PermitSender(limits, cold or ColdExchange(clock))
        self._admission = admission or AdmissionLevels()
        self._call_times = FleetTimes()
        self._retry_pool = retry_pool or RetryPool(0.0, 0.0, 0.0)
        self._active = False
        self._view_sent_at = 0.0
        self._order_pool = BackgroundPool("dispatch", _ORDER_THREADS)
        self._query_pool = BackgroundPool("query", _QUERY_THREADS)
        self._plan_requested = threading.Event()
        self._idle_until = 0.0
        self._closed = False
        self._residency_changed = False
        self.planned = 0
        self._evacuated = frozenset()
        self._engines = EngineTargets()
        # Functions that add to a view what other components tell the nodes.
        self.view_parts = []
        threading.Thread(target=self._run_plans, daemon=True).start()

    def close(self):
        """Stop the threads."""
        self._closed = True
        self._plan_requested.set()
        for pool in (self._order_pool, self._query_pool):
            pool.close()

    @property
    def permits_issued(self):
        """Number of permits that this node has issued."""
        return self._permits.issued_count

    @property
    def levels(self):
        """Levels of the accounts in the last view."""
        return self._sent_levels

    def configure(self, ruleset):
        """Apply a configuration."""
        with self._lock:
            self._ruleset = ruleset
            self._select_engines()

    def set_targets(self, targets, evacuated=frozenset()):
        """Replace the directory of targets; those of evacuated zones get no orders."""
        with self._lock:
            self._targets, self._evacuated = targets, evacuated
            self._select_engines()
        self._plan_requested.set()

    def announce(self, key, version, age_s):
        """Record that a version of an adapter was announced ``age_s`` ago."""
        with self._lock:
            self._planner.announce(*key, version)
            known, _ = self._announced.get(adapter_label(key), (0, 0.0))
            if version > known:
                at = self._clock() - min(age_s, _MAX_AGE_S)
                self._announced[adapter_label(key)] = (version, at)

    def take_over(self, levels):
        """Become active, starting from the account levels of the last view."""
        with self._lock:
            self._active = True
            self._directory_rows.start_term(self._targets)
            self._planner.reset()
            self._select_engines()
            self._levels.reset(self._clock(), levels)
            self._permits.reset()
            self._speeds.take_over()
            self._retry_pool.take_over(self._clock())

    def step_down(self):
        """Become inactive.

        A last view, without a valid lease, lets the nodes find a successor sooner.
        """
        with self._lock:
            was_active, self._active = self._active, False
        if was_active:
            self.send_views()

    def handle_report(self, report, address):
        """Apply a node's report unless a newer one was received before."""
        with self._lock:
            if not self._active:
                return
            now = self._clock()
            changes = self._reports.record(now, report, address)
            if changes is None:
                return
            self._directory_rows.request(report.lacked_rows)
            self._residency_rotation.request(report.lacked_residency)
            self._levels.report(
                now, report.node, report.start, report.used, report.denied
            )
            if report.limits:
                self._limits.apply_rows(report.limits, report.node)
            self._speeds.apply_report(report)
            for target_id, (in_use, started) in changes.items():
                self._planner.used(now, target_id, in_use)
                if started:
                    self._planner.record_starts(now, started)
        if report.wants:
            self._plan_requested.set()

    def handle_loan_request(self, request, address):
        """Lend a retry to the node at an address if the shared budget has one."""
        with self._lock:
            now = self._clock()
            is_lent = (
                self._active
                and self._election.holds(now)
                and self._retry_pool.lend(now, request.service)
            )
        if is_lent:
            self._send(address, SendNotice([], loan=request))

    def tick(self):
        """Request a planning round and send a view if they are due."""
        if not self._active:
            return
        if self._clock() >= self._idle_until:
            self._plan_requested.set()
        self.issue_permits()
        interval_s = view_interval_s(self._levels.nodes, self._residency_changed)
        if self._clock() >= self._view_sent_at + interval_s:
            self._residency_changed = False
            self.send_views()

    def issue_permits(self):
        """Send the permits that are due to the nodes whose requests wait for them."""
        rates = self._permits.rates()
        if not rates:
            return
        with self._lock:
            now = self._clock()
            records = self._reports.fresh(now)
            share = self._levels.available_share(now)
            fence = self._election.fence
            grants = self._permits.due_grants(now, rates, records, share, fence)
        for address, body in grants:
            self._send(address, body)

    def hasten_view(self):
        """Send the next view sooner, since requests may wait for what it tells."""
        self._residency_changed = True

    def _run_plans(self):
        """Run a planning round when one is requested.

        Requests that arrive during a round and the pause after it share the next one.
        """
        while not self._closed:
            self._plan_requested.wait()
            self._plan_requested.clear()
            began_s = thread_time()
            try:
                self.plan()
            except Exception as error:  # noqa: BLE001
                log_failure("plan", error)
            sleep(max(_PLAN_PAUSE_S, _PLAN_PAUSE_ROUNDS * (thread_time() - began_s)))

    def plan(self):
        """Plan orders; send them and the due state queries from thread pools."""
        now = self._clock()
        if not self._active or not self._election.leads:
            return
        with self._lock:
            wants = self._wants(now)
            self._idle_until = 0.0 if wants else now + _IDLE_PLAN_S
            # They count as queried, so an error in what follows must not drop them.
            for target_id in self._planner.targets_to_query(now):
                self._query_pool.submit(self._query_state, self._targets[target_id])
            orders = self._planner.next_orders(
                now,
                self._engines.orderable(frozenset(self._holders(now)), self._duty_zone),
                wants,
                DeferredDict(self._copy_costs, now),
                DeferredDict(self._reports.in_use, now),
                exchange_interval_s(self._levels.nodes),
            )
            self.planned += len(orders)
        for order in orders:
            self._order_pool.submit(self._dispatch, order)

    def send_views(self):
        """Send a view of the fleet to all nodes."""
        with self._lock:
            view, records = self._view()
        for complete_view in self.view_parts:
            complete_view(view)
        self._view_sender.send_view(self._view_sent_at, view, records)

    def _view(self):
        now = self._view_sent_at = self._clock()
        self._number += 1
        # The last view of a term keeps its fence, though the successor's is known.
        fence = self._election.fence
        if self._election.leads:
            self._fence = fence
        accounts = self._ruleset.accounts if self._ruleset else {}
        levels = self._levels.advance(now, accounts)
        self._sent_levels = {name: round(level, 1) for name, level in levels.items()}
        config_age_s, directory_age_s = self._ages()
        self._update_rows(directory_age_s)
        fresh = self._reports.fresh(now)
        self._retry_pool.update([r.report for r in fresh], max(1, self._levels.nodes))
        directory = self._directory_rows
        numbers = self._residency_numbers()
        software, software_index = directory.software
        view = FleetView(
            node=self._node,
            start=self._start,
            address=self._address,
            fence=self._fence,
            leased=self._election.holds(now),
            number=self._number,
            nodes=max(1, self._levels.nodes),
            acked={},
            loads=self._reports.loads(now),
            residency=self._due_residency(now, numbers),
            levels=self._sent_levels,
            config_version=self._ruleset.version if self._ruleset else 0,
            config_age_s=min(config_age_s, _MAX_AGE_S),
            directory_age_s=min(directory_age_s, _MAX_AGE_S),
            directory=directory.names,
            row_digests=directory.joined_digests,
            rows=directory.due(),
            residency_numbers=join_numbers(numbers.get(t, 0) for t in directory.names),
            versions={
                label: (version, round(now - at, 3))
                for label, (version, at) in self._announced.items()
            },
            held=sorted(self._reports.duties(now)),
            peers=self._due_peers(),
            limits=self._permits.due_limits(
                self._number, self._reports.permit_demand(now)
            ),
            software=software,
            software_index=software_index,
            quarantined=self._crashes.due_verdicts(self._number),
            asked={
                name: round(rate)
                for name, rate in self._levels.asked_rates(now).items()
            },
            cold=self._permits.due_cold(self._number),
            speeds=self._speeds.due_rows(self._number, max(1, self._levels.nodes)),
            admission=self._admission.update(now, fresh),
            directory_digest=directory.digest,
            call_times=self._call_times.update(now, self._reports, self._targets),
        )
        stale_s = _STALE_INTERVALS * exchange_interval_s(self._levels.nodes)
        return view, self._reports.forwarding_order(now, stale_s, self._node)

    def _residency_numbers(self):
        return {
            target_id: held.number
            for target_id, held in self._planner.held.items()
            if held.was_queried
        }

    def _due_residency(self, now, numbers):
        """Return the resident adapters of the targets whose entries are due."""
        held = self._planner.held
        due = self._residency_rotation.due(numbers)
        return {t: (numbers[t], held[t].residency_rows(now)) for t in due}

    def _update_rows(self, directory_age_s):
        changed = self._directory_rows.update(self._targets)
        if changed:
            fields = {
                "view": self._number,
                "count": len(changed),
                "targets": changed[:_LOGGED_TARGETS],
                "age_s": round(directory_age_s, 3),
            }
            write_records([(ROWS_CHANGED, fields)])

    def _due_peers(self):
        peers = self._reports.peers
        due = self._peer_rotation.due(peers, self._number, ROTATED_PEERS)
        return {name: peers[name] for name in due}

    def _select_engines(self):
        self._engines.select(self._ruleset, self._targets, self._evacuated)
        self._planner.sync([target for target, _ in self._engines.rows.values()])

    def _holders(self, now):
        """Return the addresses of the duty holders that may send orders, by zone.

        The address is None if the holder is this node.
        """
        return {
            zone: None if record.report.node == self._node else record.address
            for zone, (_, may_order, record) in self._reports.duties(now).items()
            if may_order
        }

    def _duty_zone(self, target):
        """Return the zone whose duty holder sends orders to a target."""
        return target.zone if target.zone in self._zones else self._zones[0]

    def _copy_costs(self, now):
        return copy_costs_s(
            self._reports.loads(now),
            self._targets,
            self._speeds.factors,
            self._permits.waits(),
        )

    def _wants(self, now):
        wants = self._reports.wants(now)
        for service in self._engines.services:
            wants += self._planner.outdated(now, service)
        return sorted(
            wants, key=lambda want: (want.extra_copy, want.priority, -want.waiting)
        )

    def _query_state(self, target):
        """Query a target; whatever fails, the next query follows after a backoff."""
        is_recorded = False
        try:
            state = self._orders.read_state(target)
            if state is not None:
                self._record_state(target, state)
                is_recorded = True
        except Exception as error:  # noqa: BLE001
            log_failure("query", error)
        if not is_recorded:
            with self._lock:
                self._planner.record_no_report(self._clock(), target.target_id)

    def _record_state(self, target, state):
        with self._lock:
            self._planner.record_report(
                self._clock(),
                target.target_id,
                state.orders_accepted,
                state.adapters,
                state.pending,
                None if state.busy else state.models,
            )
        self._plan_requested.set()

    def _dispatch(self, order):
        """Send an order; its target gets no other before an outcome is recorded."""
        # After an unexpected error the order may have been sent.
        result = "lost"
        try:
            result = self._send_order(order)
        except Exception as error:  # noqa: BLE001
            log_failure("dispatch", error)
        with self._lock:
            self._planner.record_outcome(self._clock(), OrderOutcome(order, result))
        self._plan_requested.set()
        if order.operation == "load":
            self.hasten_view()
            self._announce_load(order)

    def _send_order(self, order):
        with self._lock:
            target = self._targets.get(order.target_id)
            zone = self._duty_zone(target) if target else ""
            holders = self._holders(self._clock())
        if zone not in holders:
            return "refused"
        fence = self._election.fence
        return self._order_dispatcher.dispatch(order, zone, holders[zone], fence)

    def _announce_load(self, order):
        """Tell the nodes that wait for an adapter, sooner than the next view does."""
        key = (order.model, order.adapter)
        with self._lock:
            now = self._clock()
            held = self._planner.held.get(order.target_id)
            copy = held.copies.get(key) if held is not None else None
            addresses, waiting = self._reports.waiting_nodes(now, key)
        if copy is None:
            return
        ready_in_s = round(max(0.0, copy.ready_at - now), 3)
        load = AdapterLoad(
            order.target_id, adapter_label(key), copy.version, ready_in_s, waiting
        )
        body = to_json(SendNotice([], loads=[load]))
        for address in addresses:
            self._send(address, body)
