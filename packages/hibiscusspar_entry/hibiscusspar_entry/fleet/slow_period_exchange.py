"""Slow periods of targets as this node detects them and as notices tell them."""

from math import isfinite

from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.slow_periods import SlowPeriods, ToldFactors
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.load_events import SLOW_PERIOD

__all__ = ["SlowPeriodExchange"]

# Lines about slow periods that a node logs in a second.
_LOG_LINES_S = 2.0


class SlowPeriodExchange:
    """Slow periods that this node has detected or was told of.

    The caller holds the lock of the ``SpeedExchange``, except in ``apply_notice``.

    Parameters
    ----------
    clock : callable
    lock : threading.Lock
    targets : callable
        Returns the targets that have factors, by id.
    """

    def __init__(self, clock, lock, targets):
        self._clock = clock
        self._lock = lock
        self._targets = targets
        self._periods = SlowPeriods()
        self._told = ToldFactors()
        self._logged_at = 0.0
        # Called with target, incarnation and factor of a change to tell other nodes of.
        self.on_changed = lambda target_id, born, factor: None
        self.begin = self._periods.begin
        self.end = self._periods.end
        self.detected_count = 0
        self.told_count = 0

    @property
    def counts(self):
        """Numbers of changes detected here and told by other nodes."""
        return {
            "slow_periods_detected": self.detected_count,
            "slow_periods_told": self.told_count,
        }

    def record(self, now, target, gap_s, steps, reading_until, factor):
        """Record the gap before an event; tell the other nodes of a change.

        ``factor`` is the factor of the target as views told it.
        """
        target_id, born = target.target_id, target.born
        if target_id not in self._targets():
            return
        known = self.factor(target_id, factor)
        found = self._periods.record(now, target, gap_s, steps, reading_until, known)
        if found is None:
            return
        self._told.record(now, target_id, born, found)
        self.detected_count += 1
        self.on_changed(target_id, born, found)
        if now >= self._logged_at + 1.0 / _LOG_LINES_S:
            self._logged_at = now
            fields = {
                "target": target_id,
                "born": born,
                "factor": found,
                "before": known,
                "step_s": round(gap_s / steps, 5),
            }
            write_records([(SLOW_PERIOD, fields)])

    def apply_notice(self, notice):
        """Apply the changes that another node has detected."""
        now = self._clock()
        with self._lock:
            targets = self._targets()
            for target_id, born, factor in notice.slow:
                target = targets.get(target_id)
                if target is None or target.born != born or not isfinite(factor):
                    continue
                bounded = self._periods.bounded(factor)
                self._told.record(now, target_id, born, bounded)
                self.told_count += 1

    def factor(self, target_id, factor):
        """Return the factor of a target in use, if that of views is as given."""
        told = self._told.factor(self._clock(), target_id)
        return factor if told is None else told

    def factors(self, factors):
        """Return the factors in use, given those of views."""
        told = self._told.factors(self._clock())
        return factors | told if told else factors

    def drop_older(self, target_id, born, as_of, nodes):
        """Drop what was told before the time of a factor of a view."""
        self._told.drop_older(target_id, born, as_of, exchange_interval_s(nodes))

    def update(self, factors):
        """Derive the usual steps; called with each report, with the views' factors."""
        self._periods.update()
        self._periods.set_factors(self._targets(), factors)

    def retain(self, targets):
        """Drop other targets and incarnations; ``targets`` is a dict by id."""
        self._periods.retain(targets)
        self._told.retain(self._clock(), targets)
