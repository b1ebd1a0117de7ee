"""Slow periods of targets, detected at one node and told to all others at once.

A target may be slow for some tenths of a second, which are over before reports and
views have told its factor. So a node compares the events of its own streams with the
factors in use, and tells all nodes of a change.
"""

from collections import Counter, deque
from math import log
from statistics import median
from typing import NamedTuple

__all__ = ["SlowPeriodPolicy", "SlowPeriods", "ToldFactors"]

# Gaps that a node keeps of each target: those of the window at usual steps.
_MAX_GAPS = 64


class SlowPeriodPolicy(NamedTuple):
    """Settings of the detection; times in seconds.

    A change is told if a gap of a target differs from its factor in use by ``jump`` and
    an earlier one, in which the change may have happened, by ``straddle``. Where the
    targets of a service are known to differ in speed, a single gap that is ``alone``
    times as long as expected tells of a begin: few nodes see two gaps of a target soon
    enough. At least ``uneven_share`` of the targets must have factors. The gaps end at
    most ``window_s`` apart, or else may belong to two periods. Where all streams of the
    node are at one target, they end at least ``apart_s`` apart, as a pause of the node
    lengthens a gap of each stream. They began after the factor in use last changed by
    ``step``. The usual step of a service is the median of its last
    ``reference_samples`` steps, each divided by the factor of its target; nothing is
    told before ``min_reference``. If more than the share ``paused_share`` of the
    targets with streams are silent, the node was paused or is cut off. A node tells at
    most ``per_s`` changes a second.

    A told factor is used for ``told_s``, and only until views tell one that is at
    least ``lag_s`` and ``lag_intervals`` of the time between reports later, as the
    factors of views are derived from gaps of that age.
    """

    jump: float = 1.5
    straddle: float = 1.5
    alone: float = 2.0
    uneven_share: float = 0.1
    step: float = 1.25
    apart_s: float = 0.02
    window_s: float = 0.25
    reference_samples: int = 128
    min_reference: int = 16
    paused_share: float = 0.67
    per_s: float = 20.0
    told_s: float = 1.0
    lag_s: float = 0.2
    lag_intervals: float = 1.5
    min_factor: float = 0.25
    max_factor: float = 8.0


class _Gaps:
    """Last gaps between events of one incarnation at one node."""

    __slots__ = (
        "born",
        "changed_at",
        "expected_s",
        "factor",
        "heard_at",
        "open",
        "rows",
    )

    def __init__(self, born):
        self.born = born
        self.open = 0
        self.heard_at = 0.0
        # Factor in use, and the last event before it changed.
        self.factor = 1.0
        self.changed_at = 0.0
        # Usual time of the last gap at the speed in use, 0 if it isn't known.
        self.expected_s = 0.0
        # Time of the end and bounds on the ratio to the usual time, newest last.
        self.rows = deque(maxlen=_MAX_GAPS)


class SlowPeriods:
    """Detection of slow periods from the gaps between events at one node.

    Parameters
    ----------
    policy : SlowPeriodPolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or SlowPeriodPolicy()
        self._rows = {}
        self._steps = {}
        self._usual = {}
        self._paused_at = 0.0
        self._allowance = (0.0, self._policy.per_s)
        self._uneven = frozenset()

    def begin(self, now, target):
        """Record the first event of a stream."""
        row = self._rows.get(target.target_id)
        if row is None or row.born != target.born:
            row = self._rows[target.target_id] = _Gaps(target.born)
        row.open += 1
        row.heard_at = now

    def end(self, target):
        """Record the end of a stream that has begun."""
        row = self._rows.get(target.target_id)
        if row is not None and row.born == target.born:
            row.open -= 1

    def record(self, now, target, gap_s, steps, reading_until, factor):
        """Record the gap before an event.

        Parameters
        ----------
        now : float
        target : Target
        gap_s : float
        steps : int
            Decoding steps in the gap.
        reading_until : float
            Time until which the target reads the prompts that this node knows of, at
            the speed in use.
        factor : float
            Factor of the target in use.

        Returns
        -------
        float or None
            New factor of the target, to be told to all nodes.
        """
        row = self._rows.get(target.target_id)
        if row is None or row.born != target.born:
            return None
        usual_s = self._usual.get(target.service, 0.0) * steps
        began_at = now - gap_s
        row.expected_s = usual_s * factor
        if self._is_paused(now, gap_s, row):
            self._paused_at = now
        if abs(log(factor / row.factor)) > log(self._policy.step):
            # Gaps from before a change that was told say nothing about the next one.
            row.factor, row.changed_at = factor, row.heard_at
            row.rows.clear()
        row.heard_at = now
        if began_at < max(self._paused_at, row.changed_at):
            return None
        read_s = min(max(0.0, reading_until - began_at), gap_s) / factor
        if not read_s:
            self._references(target.service).append(gap_s / steps / factor)
        if not usual_s:
            return None
        # With prompts the target is at least as slow as if these were read throughout.
        row.rows.append((now, gap_s / (usual_s + read_s), gap_s / usual_s))
        is_only = all(r is row or r.open <= 0 for r in self._rows.values())
        ratio = self._changed(row.rows, factor, self._policy.apart_s * is_only)
        if ratio is None and not is_only and target.service in self._uneven:
            ratio = self._begun(row.rows[-1], factor)
        if ratio is None or not self._may_tell(now):
            return None
        row.rows.clear()
        return self.bounded(ratio)

    def update(self):
        """Derive the usual step of each service; called with each report."""
        least = self._policy.min_reference
        self._usual = {
            service: median(steps)
            for service, steps in self._steps.items()
            if len(steps) >= least
        }

    def set_factors(self, targets, factors):
        """Record which services have targets of different speeds.

        Parameters
        ----------
        targets : dict of str to Target
        factors : dict of str to float
            Factors of targets as views told them; others have the usual speed.
        """
        different = Counter(
            targets[target_id].service
            for target_id, factor in factors.items()
            if factor != 1.0 and target_id in targets
        )
        if not different:
            self._uneven = frozenset()
            return
        counts = Counter(target.service for target in targets.values())
        share = self._policy.uneven_share
        self._uneven = frozenset(
            service for service, n in different.items() if n >= share * counts[service]
        )

    def retain(self, targets):
        """Drop other targets and incarnations; ``targets`` is a dict by id."""
        self._rows = {
            target_id: row
            for target_id, row in self._rows.items()
            if target_id in targets and targets[target_id].born == row.born
        }

    def bounded(self, factor):
        """Return a factor within the limits, rounded as it is told."""
        policy = self._policy
        return round(min(max(factor, policy.min_factor), policy.max_factor), 2)

    def _references(self, service):
        if service not in self._steps:
            self._steps[service] = deque(maxlen=self._policy.reference_samples)
        return self._steps[service]

    def _is_paused(self, now, gap_s, row):
        """Return whether most targets were silent until this event of one of them."""
        jump = self._policy.jump
        if not row.expected_s or gap_s < jump * row.expected_s:
            return False
        rows = [other for other in self._rows.values() if other.open > 0]
        silent = sum(now - r.heard_at > jump * r.expected_s > 0.0 for r in rows)
        return silent > 1 and silent > self._policy.paused_share * len(rows)

    def _changed(self, rows, factor, apart_s):
        """Return the new ratio of a target, None if it is near the factor in use."""
        policy = self._policy
        *earlier, (at, low, high) = rows
        for other_at, other_low, other_high in reversed(earlier):
            if other_at > at - apart_s:
                continue
            if other_at < at - policy.window_s:
                break
            if low >= factor * policy.jump and other_low >= factor * policy.straddle:
                return max(other_low, low)
            if high <= factor / policy.jump and other_high <= factor / policy.straddle:
                return high
            break
        return None

    def _begun(self, last, factor):
        """Return the ratio that a single gap tells of, None if it isn't long enough."""
        _, low, _ = last
        return low if low >= factor * self._policy.alone else None

    def _may_tell(self, now):
        at, allowance = self._allowance
        per_s = self._policy.per_s
        allowance = min(per_s, allowance + (now - at) * per_s)
        may_tell = allowance >= 1.0
        self._allowance = (now, allowance - may_tell)
        return may_tell


class _Told(NamedTuple):
    """Factor of an incarnation as a notice told it, and the time of its arrival."""

    born: int
    factor: float
    at: float


class ToldFactors:
    """Factors that notices told, which count for a bounded time.

    Parameters
    ----------
    policy : SlowPeriodPolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or SlowPeriodPolicy()
        self._rows = {}

    def record(self, now, target_id, born, factor):
        """Record a factor that was told or detected just now."""
        self._rows[target_id] = _Told(born, factor, now)

    def factor(self, now, target_id):
        """Return the told factor of a target, None if none counts."""
        row = self._rows.get(target_id)
        if row is None or now >= row.at + self._policy.told_s:
            return None
        return row.factor

    def factors(self, now):
        """Return the told factors that count, by target."""
        began_at = now - self._policy.told_s
        return {
            t: row.factor for t, row in self._rows.copy().items() if row.at > began_at
        }

    def drop_older(self, target_id, born, as_of, interval_s):
        """Drop a told factor if that of a view is of a later time or incarnation."""
        row = self._rows.get(target_id)
        lag_s = max(self._policy.lag_s, self._policy.lag_intervals * interval_s)
        if row is not None and (as_of > row.at + lag_s or born > row.born):
            del self._rows[target_id]

    def retain(self, now, targets):
        """Drop expired factors and those of other targets and incarnations."""
        began_at = now - self._policy.told_s
        self._rows = {
            target_id: row
            for target_id, row in self._rows.items()
            if row.at > began_at
            and target_id in targets
            and targets[target_id].born == row.born
        }
