"""Speeds of targets as this node measures them and as the coordinator tells them."""

import threading
from collections import Counter
from math import isfinite, log
from typing import NamedTuple

from hibiscusspar.fleet.entry_rotation import EntryRotation
from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.target_speeds import SpeedFactors, SpeedPolicy, SpeedSamples
from hibiscusspar.fleet.targets import is_same_directory
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.load_events import SPEEDS_SOURCE, TARGET_SPEED
from hibiscusspar_entry.fleet.slow_period_exchange import SlowPeriodExchange

__all__ = ["SpeedExchange", "StreamPace"]

# Age of a view, in seconds, beyond which a node uses its own samples only.
_VIEW_STALE_S = 1.5
# Shortest time between updates of the factors, in intervals of reports: views that are
# sent sooner, for loads of adapters, have few new samples.
_MIN_UPDATE_INTERVALS = 0.5
# Factors that a view carries at most, and the time in seconds within which the
# rotation repeats all of them, as the views that carried a change may be lost.
_MAX_ENTRIES = 64
_ROTATION_S = 5.0
# Age in seconds beyond which a factor is dropped: by then it has drifted to 1.
_EXPIRES_S = 15.0
# Differences of the time that views take, in seconds; factors older than the known
# ones by more come from a coordinator that knows less.
_AGE_TOLERANCE_S = 0.5
# A factor is logged if it has changed by this ratio since the last line about its
# target, which is at least so many seconds old; and so many lines a second in all.
_LOGGED_CHANGE = 1.5
_LOG_GAP_S = 5.0
_LOG_LINES_S = 8


class _Known(NamedTuple):
    """Factor of an incarnation as a view told it, and the time that it is of."""

    born: int
    factor: float
    as_of: float


class SpeedExchange:
    """Samples of this node, and the factors that its decisions use.

    Parameters
    ----------
    clock : callable
    reading_until : callable, optional
        Returns the time until which a target reads the prompts that this node knows of.
    policy : SpeedPolicy, optional
    min_targets : int, optional
        Number of targets that a service needs for factors of its targets.
    """

    def __init__(
        self,
        clock,
        reading_until=lambda target_id: 0.0,
        policy=None,
        min_targets=1,
    ):
        self._clock = clock
        self._policy = policy or SpeedPolicy()
        self._min_targets = min_targets
        self._reading_until = reading_until
        self._lock = threading.Lock()
        self._samples = SpeedSamples(self._policy)
        self._table = SpeedFactors(self._policy)
        self._rotation = EntryRotation(_MAX_ENTRIES)
        self._targets = {}
        # Targets of the services with an engine, None if they must be selected anew.
        self._engine_rows = None
        self._engine_services = frozenset()
        self._known = {}
        self._factors = {}
        self._told = set()
        self._logged = {}
        self._log_allowance = (0.0, float(_LOG_LINES_S))
        self._updated_at = 0.0
        self._view_at = None
        self._nodes = 1
        self._is_alone = False
        self.slow_periods = SlowPeriodExchange(clock, self._lock, self._engine_targets)

    @property
    def counts(self):
        """Numbers of slow and fast targets, by name of the metric."""
        factors = list(self.factors.values())
        return self.slow_periods.counts | {
            "slow_targets": sum(factor > 1.0 for factor in factors),
            "fast_targets": sum(factor < 1.0 for factor in factors),
            "speeds_own_only": int(self._is_alone),
        }

    @property
    def factors(self):
        """Factors that differ from 1, by target."""
        rows = self.slow_periods.factors(self._factors).items()
        return {target_id: factor for target_id, factor in rows if factor != 1.0}

    def configure(self, ruleset):
        """Record which services run on engines; others have no speeds."""
        services = ruleset.services.values()
        with self._lock:
            self._engine_services = frozenset(s.name for s in services if s.engine)
            self._engine_rows = None

    def set_targets(self, targets):
        """Replace the directory of targets."""
        with self._lock:
            if not is_same_directory(self._targets, targets):
                self._engine_rows = None
            self._targets = targets
            self._samples.retain(targets)
            self.slow_periods.retain(targets)
            self._known = {t: row for t, row in self._known.items() if t in targets}
            self._told &= targets.keys()
            self._logged = {t: row for t, row in self._logged.items() if t in targets}
            self._select(self._clock())

    def factor(self, target_id):
        """Return the factor of a target on the usual times, 1 if it isn't known."""
        factor = self._factors.get(target_id, 1.0)
        return self.slow_periods.factor(target_id, factor)

    def told(self):
        """Return the factors that views tell, with their times, by target.

        There are none while this node uses its own samples only.
        """
        with self._lock:
            if self._is_alone:
                return {}
            targets = self._engine_targets()
            return {t: row for t, row in self._known.items() if t in targets}

    def pace(self, placement, admitted):
        """Return the pace of an attempt's stream, None for a plain service."""
        if not admitted.is_engine:
            return None
        steps, min_gap_s = admitted.event_steps, self._policy.min_gap_s
        return StreamPace(self, placement.target, steps, min_gap_s)

    def begin(self, now, target, event_steps):
        """Record the first event of a stream."""
        with self._lock:
            self._samples.begin(now, target.target_id, target.born, event_steps)
            self.slow_periods.begin(now, target)

    def record(self, now, target, gap_s, steps):
        """Record the gap before some events of a stream."""
        target_id = target.target_id
        reading_until = self._reading_until(target_id)
        with self._lock:
            self._samples.record(
                now, target_id, target.born, gap_s, steps, reading_until
            )
            factor = self._factors.get(target_id, 1.0)
            self.slow_periods.record(now, target, gap_s, steps, reading_until, factor)

    def end(self, target):
        """Record the end of a stream that has begun."""
        with self._lock:
            self._samples.end(target.target_id, target.born)
            self.slow_periods.end(target)

    def complete_report(self, report):
        """Add samples to a report; without views, apply them."""
        now = self._clock()
        with self._lock:
            interval_s = exchange_interval_s(self._nodes)
            estimates = self._samples.estimates(now, self._reading_until, interval_s)
            due = self._samples.due(now, estimates, self._nodes, len(self._targets))
            self.slow_periods.update(self._factors)
            records = self._follow_views(now)
            if self._is_alone:
                self._table.record(now, estimates)
                records += self._update(now)
                factors = self._table.factors.items()
                self._factors = {t: factor for t, factor in factors if factor != 1.0}
        report.speeds = {
            target_id: (sample.born, round(sample.step_s, 5), sample.count)
            for target_id, sample in due.items()
        }
        write_records(records)

    def take_over(self):
        """Become the coordinator's table, starting from what views told."""
        with self._lock:
            self._reset(self._clock())

    def apply_report(self, report):
        """Record the samples of a node at the coordinator."""
        if report.speeds:
            with self._lock:
                self._table.record(self._clock(), report.speeds)

    def due_rows(self, number, nodes):
        """Return incarnation, factor and age of some targets for a view."""
        now = self._clock()
        with self._lock:
            self._nodes = nodes
            records = self._update(now)
            factors = self._table.factors
            self._told |= {t for t, factor in factors.items() if factor != 1.0}
            states = {t: factors[t] for t in self._told if t in factors}
            rotated = len(states) * exchange_interval_s(nodes) / _ROTATION_S
            due = self._rotation.due(
                states, number, min(_MAX_ENTRIES, int(rotated) + 1)
            )
            rows = [(target_id, self._table.row(target_id)) for target_id in due]
        write_records(records)
        return {
            target_id: (row.born, row.factor, round(now - row.at, 3))
            for target_id, row in rows
        }

    def apply_view(self, view):
        """Apply the factors of a view; views come in order."""
        now = self._clock()
        with self._lock:
            self._view_at = now
            self._nodes = view.nodes
            for target_id, (born, factor, age_s) in view.speeds.items():
                if not isfinite(factor):
                    continue
                row = _Known(born, self._bounded(factor), now - age_s)
                known = self._known.get(target_id)
                if (
                    known is None
                    or known.born != born
                    or known.as_of <= row.as_of + _AGE_TOLERANCE_S
                ):
                    self._known[target_id] = row
                    as_of = row.as_of
                    self.slow_periods.drop_older(target_id, born, as_of, view.nodes)
            records = self._follow_views(now)
            self._select(now)
        write_records(records)

    def _bounded(self, factor):
        return min(max(factor, self._policy.min_factor), self._policy.max_factor)

    def _select(self, now):
        """Select the factors in use from those that views told."""
        self._known = {
            target_id: row
            for target_id, row in self._known.items()
            if now < row.as_of + _EXPIRES_S
        }
        targets = self._engine_targets()
        self._factors = {
            target_id: row.factor
            for target_id, row in self._known.items()
            if row.factor != 1.0
            and target_id in targets
            and targets[target_id].born == row.born
        }

    def _engine_targets(self):
        if self._engine_rows is None:
            counts = Counter(target.service for target in self._targets.values())
            self._engine_rows = {
                target_id: target
                for target_id, target in self._targets.items()
                if target.service in self._engine_services
                and counts[target.service] >= self._min_targets
            }
        return self._engine_rows

    def _follow_views(self, now):
        """Switch between the factors of views and own ones; return the log line."""
        is_alone = self._view_at is None or now > self._view_at + _VIEW_STALE_S
        if is_alone == self._is_alone:
            return []
        self._is_alone = is_alone
        if is_alone:
            self._reset(now)
        age_s = None if self._view_at is None else round(now - self._view_at, 3)
        fields = {
            "source": "own samples" if is_alone else "views",
            "view_age_s": age_s,
            "factors": len(self._factors),
        }
        return [(SPEEDS_SOURCE, fields)]

    def _reset(self, now):
        known = {t: (row.born, row.factor) for t, row in self._known.items()}
        self._table.reset(now, known)

    def _update(self, now):
        """Update the table and return the log lines about factors that have changed."""
        interval_s = exchange_interval_s(self._nodes)
        if now < self._updated_at + _MIN_UPDATE_INTERVALS * interval_s:
            return []
        self._updated_at = now
        self._table.update(now, self._engine_targets(), interval_s)
        at, allowance = self._log_allowance
        allowance = min(float(_LOG_LINES_S), allowance + (now - at) * _LOG_LINES_S)
        records = []
        for target_id, factor in self._table.factors.items():
            if factor == 1.0 and target_id not in self._logged:
                continue
            logged, logged_at = self._logged.get(target_id, (1.0, now - _LOG_GAP_S))
            if factor == logged or now < logged_at + _LOG_GAP_S:
                continue
            if abs(log(factor / logged)) < log(_LOGGED_CHANGE):
                continue
            if allowance < 1.0:
                break
            allowance -= 1.0
            row = self._table.row(target_id)
            self._logged[target_id] = (row.factor, now)
            fields = {
                "target": target_id,
                "born": row.born,
                "factor": row.factor,
                "before": logged,
                "step_s": round(row.step_s, 5),
                "usual_s": round(row.usual_s, 5),
                "samples": row.count,
                "age_s": round(now - row.at, 3),
                "source": "own samples" if self._is_alone else "reports",
            }
            records.append((TARGET_SPEED, fields))
        self._log_allowance = (now, allowance)
        return records


class StreamPace:
    """Gaps between the events of one attempt at a stream.

    Parameters
    ----------
    exchange : SpeedExchange
    target : Target
    event_steps : int
    min_gap_s : float
        Time within which events are joined.
    """

    def __init__(self, exchange, target, event_steps, min_gap_s):
        self._min_gap_s = min_gap_s
        self._exchange = exchange
        self._target = target
        self._event_steps = event_steps
        self._last_at = None
        self._count = 0

    def record(self, now, count):
        """Record that the stream has grown to some number of whole events."""
        if self._last_at is None:
            self._exchange.begin(now, self._target, self._event_steps)
        else:
            gap_s = now - self._last_at
            if count <= self._count or gap_s < self._min_gap_s:
                return
            steps = (count - self._count) * self._event_steps
            self._exchange.record(now, self._target, gap_s, steps)
        self._last_at, self._count = now, count

    def end(self):
        """Record the end of the attempt."""
        if self._last_at is not None:
            self._exchange.end(self._target)
            self._last_at = None
