"""Coordinator of the fleet: views to all nodes, account levels and load orders."""

import threading
from concurrent.futures import ThreadPoolExecutor
from time import monotonic, sleep
from typing import NamedTuple

from msgspec import Raw
from msgspec.json import encode as to_json

from hibiscusspar.fleet.fanout import exchange_interval_s, view_groups
from hibiscusspar.fleet.messages import (
    FleetView,
    TargetLoad,
    TargetRow,
    ViewRelay,
    adapter_key,
    adapter_label,
)
from hibiscusspar.fleet.planner import AdapterPlanner, OrderOutcome
from hibiscusspar.fleet.quota import AccountLevels
from hibiscusspar.fleet.routing import Candidate, ChoicePolicy, first_byte_s
from hibiscusspar_entry.fleet.background import log_failure

__all__ = ["Coordinator"]

# Age of a report, in seconds, beyond which it no longer counts.
_REPORT_STALE_S = 1.5
# Pause after a planning round, in seconds, because many wants arrive within some
# milliseconds. It lasts at least _PLAN_GAP_ROUNDS times the round, which leaves time
# for views.
_PLAN_GAP_S = 0.004
_PLAN_GAP_ROUNDS = 2.0
# Number of views that repeat an entry after a change, because datagrams may be lost.
_REPEATS = 3
# Unchanged directory rows in a view while a node is new, so that it soon has the whole
# directory and stops reading the store.
_ROWS_FOR_NEW_NODES = 8
# Unchanged peers in a view, in rotation, so that each is sent within some seconds.
_PEERS_SHOWN = 3
# Time in seconds for which a node counts as new.
_NEW_NODE_S = 4.0
_ORDER_THREADS = 8
# Greatest age in a view, in seconds; greater ones are sent as this.
_MAX_AGE_S = 1e6
# Assumed time in seconds until a target with no free slot has one.
_FULL_BACKLOG_S = 1.0
_CHOICE_POLICY = ChoicePolicy()


class _Heard(NamedTuple):
    """Last report of a node, with the time and address that it came from.

    ``since`` is the time of the first report of the node's process, ``in_use`` maps
    targets to the adapters of the node's running requests.
    """

    report: object
    at: float
    address: tuple[str, int]
    since: float
    in_use: dict[str, set]


class _Turns:
    """Selection of the entries of a view: changed ones, and some others in rotation.

    A changed entry is part of several views, so the loss of one view does no harm.
    """

    def __init__(self):
        self._shown = {}
        self._left = {}

    def due(self, states, number, turns):
        """Return the names of the entries to send in a view.

        Parameters
        ----------
        states : dict of str to object
            All entries by name.
        number : int
            Number of the view.
        turns : int
            Number of unchanged entries to send in addition to the changed ones.
        """
        names = sorted(states)
        for turn in range(min(turns, len(names))):
            self._left.setdefault(names[(number * turns + turn) % len(names)], 1)
        for name, state in states.items():
            if self._shown.get(name) != state:
                self._shown[name] = state
                self._left[name] = _REPEATS
        found = [name for name in self._left if name in states]
        self._left = {name: left - 1 for name, left in self._left.items() if left > 1}
        return found


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
    ):
        self._node = node
        self._desk = order_dispatcher
        self._zones = zones
        self._start = start
        self._address = address
        self._clock = clock
        self._election = election
        self._orders = orders
        self._send = send
        self._ages = ages
        self._announced = {}
        self._lock = threading.Lock()
        self._planner = AdapterPlanner()
        self._levels = AccountLevels(quota_window_s)
        self._told_levels = {}
        self._heard = {}
        self._targets = {}
        self._ruleset = None
        self._number = 0
        self._held_turns = _Turns()
        self._row_turns = _Turns()
        self._peer_turns = _Turns()
        self._active = False
        self._viewed_at = 0.0
        self._pool = ThreadPoolExecutor(_ORDER_THREADS)
        self._work = threading.Event()
        self._closed = False
        self._changed = False
        self.planned = 0
        threading.Thread(target=self._run_plans, daemon=True).start()

    def close(self):
        """Stop the threads."""
        self._closed = True
        self._work.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    @property
    def levels(self):
        """Levels of the accounts in the last view."""
        return self._told_levels

    def configure(self, ruleset):
        """Apply a configuration."""
        with self._lock:
            self._ruleset = ruleset
            self._planner.sync(self._engines())

    def set_targets(self, targets):
        """Replace the directory of targets."""
        with self._lock:
            self._targets = targets
            self._planner.sync(self._engines())

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
            self._planner.reset()
            self._planner.sync(self._engines())
            self._levels.reset(self._clock(), levels)

    def give_up(self):
        """Become inactive.

        A last view, without a valid lease, lets the nodes find a successor sooner.
        """
        with self._lock:
            was_active, self._active = self._active, False
        if was_active:
            self.send_views()

    def take_report(self, report, address):
        """Apply a node's report unless a newer one was received before."""
        with self._lock:
            if not self._active:
                return
            now = self._clock()
            known = self._heard.get(report.node)
            if known and _is_older(report, known.report):
                return
            same = known is not None and known.report.start == report.start
            since = known.since if same else now
            in_use = {
                target_id: set(map(adapter_key, counts))
                for target_id, counts in report.in_use.items()
            }
            self._heard[report.node] = _Heard(report, now, address, since, in_use)
            self._levels.report(now, report.node, report.start, report.used)
            earlier = known.report.in_use if same else {}
            for target_id, counts in report.in_use.items():
                begun = _begun(counts, earlier.get(target_id, {}))
                self._planner.used(now, target_id, in_use[target_id])
                self._planner.record_starts(now, begun)
        if report.wants:
            self._work.set()

    def tick(self):
        """Request a planning round and send a view if one is due."""
        if not self._active:
            return
        self._work.set()
        interval_s = exchange_interval_s(self._levels.nodes)
        if self._changed or self._clock() >= self._viewed_at + interval_s:
            self._changed = False
            self.send_views()

    def _run_plans(self):
        """Run a planning round when one is requested.

        Requests that arrive during a round and the pause after it share the next one.
        """
        while not self._closed:
            self._work.wait()
            self._work.clear()
            began = monotonic()
            try:
                self.plan()
            except Exception as error:  # noqa: BLE001
                log_failure("plan", error)
            sleep(max(_PLAN_GAP_S, _PLAN_GAP_ROUNDS * (monotonic() - began)))

    def plan(self):
        """Plan orders, and send them and queries to targets in the pool's threads."""
        now = self._clock()
        if not self._active or not self._election.leads:
            return
        with self._lock:
            asks = [self._targets[t] for t in self._planner.targets_to_query(now)]
            orders = self._planner.next_orders(
                now,
                self._orderable(now),
                self._wants(now),
                self._backlogs(now),
                self._in_use(now),
                exchange_interval_s(self._levels.nodes),
            )
            self.planned += len(orders)
        for target in asks:
            self._pool.submit(self._ask, target)
        for order in orders:
            self._pool.submit(self._give, order)

    def send_views(self):
        """Send a view of the fleet to all nodes."""
        with self._lock:
            view, rows = self._view()
        for group in view_groups(rows, lambda row: row.report.zone):
            view.acked = {row.report.node: row.report.number for row in group}
            body = to_json(view)
            first, *others = [row.address for row in group]
            if others:
                body = to_json(ViewRelay(others, Raw(body)))
            self._send(first, body)

    def _view(self):
        now = self._viewed_at = self._clock()
        self._number += 1
        accounts = self._ruleset.accounts if self._ruleset else {}
        levels = self._levels.advance(now, accounts)
        self._told_levels = {name: round(level, 1) for name, level in levels.items()}
        config_age_s, directory_age_s = self._ages()
        view = FleetView(
            node=self._node,
            start=self._start,
            address=self._address,
            fence=self._election.fence,
            leased=self._election.holds(now),
            number=self._number,
            nodes=max(1, self._levels.nodes),
            acked={},
            loads=self._loads(now),
            residency=self._residency(now),
            levels=self._told_levels,
            config_version=self._ruleset.version if self._ruleset else 0,
            config_age_s=min(config_age_s, _MAX_AGE_S),
            directory_age_s=min(directory_age_s, _MAX_AGE_S),
            directory=sorted(self._targets),
            rows=self._rows_to_show(),
            versions={
                label: (version, round(now - at, 3))
                for label, (version, at) in self._announced.items()
            },
            held=sorted(self._duties(now)),
            peers=self._peers_to_show(),
        )
        # Nodes heard from most recently come first and pass the view on. This node is
        # the last choice for that, because it gets views directly.
        rows = sorted(
            self._heard.values(),
            key=lambda row: (row.report.node == self._node, -row.at),
        )
        return view, rows

    def _residency(self, now):
        """Return the resident adapters of the targets whose entries are due."""
        held = {t: row for t, row in self._planner.held.items() if row.was_queried}
        numbers = {target_id: row.number for target_id, row in held.items()}
        due = self._held_turns.due(numbers, self._number, 1)
        return {t: (held[t].number, _rows(now, held[t])) for t in due}

    def _rows_to_show(self):
        rows = {t: _target_row(target) for t, target in self._targets.items()}
        now = self._clock()
        newest = max((row.since for row in self._heard.values()), default=0.0)
        turns = _ROWS_FOR_NEW_NODES if now < newest + _NEW_NODE_S else 1
        due = self._row_turns.due(rows, self._number, turns)
        return [rows[target_id] for target_id in due]

    def _peers_to_show(self):
        peers = {
            name: (row.report.zone, "{}:{}".format(*row.address))
            for name, row in self._heard.items()
        }
        due = self._peer_turns.due(peers, self._number, _PEERS_SHOWN)
        return {name: peers[name] for name in due}

    def _engines(self):
        if self._ruleset is None:
            return []
        services = self._ruleset.services
        return [
            target
            for target in self._targets.values()
            if target.service in services and services[target.service].engine
        ]

    def _holders(self, now):
        """Return the addresses of the duty holders that may send orders, by zone.

        The address is None if the holder is this node.
        """
        return {
            zone: None if row.report.node == self._node else row.address
            for zone, (_, may_order, row) in self._duties(now).items()
            if may_order
        }

    def _duties(self, now):
        """Return fence, permission to send orders, and holder of the duties by zone."""
        found = {}
        for row in self._fresh(now):
            for zone, (fence, may_order) in row.report.duties.items():
                if zone not in found or fence > found[zone][0]:
                    found[zone] = (fence, may_order, row)
        return found

    def _order_zone(self, target):
        """Return the zone whose duty holder sends orders to a target."""
        return target.zone if target.zone in self._zones else self._zones[0]

    def _orderable(self, now):
        holders = self._holders(now)
        return {
            target.target_id: (
                target,
                self._ruleset.services[target.service].engine,
            )
            for target in self._engines()
            if not target.draining and self._order_zone(target) in holders
        }

    def _fresh(self, now):
        """Return the rows of the nodes whose last report still counts."""
        rows = self._heard.values()
        return [row for row in rows if now <= row.at + _REPORT_STALE_S]

    def _reports(self, now):
        return [row.report for row in self._fresh(now)]

    def _loads(self, now):
        loads = {}
        for report in self._reports(now):
            for target_id, load in report.loads.items():
                sums = loads.setdefault(target_id, TargetLoad(0, 0))
                sums.running += load.running
                sums.queued_prompt_tokens += load.queued_prompt_tokens
        return loads

    def _backlogs(self, now):
        return {
            target_id: self._backlog_s(target_id, load)
            for target_id, load in self._loads(now).items()
        }

    def _backlog_s(self, target_id, load):
        """Return the seconds until a new request at a target would be served."""
        row = Candidate(target_id, "", 0, load.running, load.queued_prompt_tokens)
        target = self._targets.get(target_id)
        most = _CHOICE_POLICY.max_running
        if target is not None and load.running >= min(most, target.slots):
            return first_byte_s(_CHOICE_POLICY, row, 0) + _FULL_BACKLOG_S
        return first_byte_s(_CHOICE_POLICY, row, 0)

    def _in_use(self, now):
        found = {}
        for row in self._fresh(now):
            for target_id, keys in row.in_use.items():
                found.setdefault(target_id, set()).update(keys)
        return found

    def _wants(self, now):
        wants = [want for report in self._reports(now) for want in report.wants]
        for service in sorted({target.service for target in self._engines()}):
            wants += self._planner.outdated(now, service)
        return sorted(
            wants, key=lambda want: (want.extra_copy, want.priority, -want.waiting)
        )

    def _ask(self, target):
        state = self._orders.state(target)
        if state is None:
            return
        with self._lock:
            self._planner.record_report(
                self._clock(),
                target.target_id,
                state.orders_accepted,
                state.adapters,
                state.pending,
                None if state.busy else state.models,
            )
        self._work.set()

    def _give(self, order):
        result = "refused"
        with self._lock:
            target = self._targets.get(order.target_id)
            zone = self._order_zone(target) if target else ""
            holders = self._holders(self._clock())
        if zone in holders:
            fence = self._election.fence
            result = self._desk.give(order, zone, holders[zone], fence)
        with self._lock:
            self._planner.record_outcome(self._clock(), OrderOutcome(order, result))
        self._work.set()
        if order.operation == "load":
            self._changed = True


def _target_row(target):
    return TargetRow(
        target.target_id,
        target.service,
        target.address,
        target.zone,
        target.slots,
        target.draining,
        target.born,
        target.models,
    )


def _rows(now, held):
    return [
        (adapter_label(key), copy.version, round(max(0.0, copy.ready_at - now), 3))
        for key, copy in held.copies.items()
    ]


def _begun(counts, earlier):
    """Return the number of requests that began between two reports, by adapter."""
    found = {}
    for label, count in counts.items():
        before = earlier.get(label, 0)
        # A lower count means that the adapter was idle in between, which resets it.
        found[adapter_key(label)] = count - before if count >= before else count
    return found


def _is_older(report, known):
    return report.start == known.start and report.number <= known.number
