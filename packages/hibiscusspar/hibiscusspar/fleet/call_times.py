"""Times and failures of the calls of plain services, by target.

A node learns them from the answers that it gets and from the views of the coordinator,
which combines the reports of all nodes. A time is that of a call that doesn't wait at
its target; waits follow from the number of requests ahead.
"""

from collections import deque
from math import exp, inf
from typing import NamedTuple

__all__ = [
    "CallTimes",
    "CallTimesPolicy",
    "FleetCallTimes",
    "TargetTime",
    "without_wait",
]


class CallTimesPolicy(NamedTuple):
    """Settings of the estimates; times in seconds.

    Samples decay with ``decay_s``. There are no estimates for a service before
    ``min_answers`` answers, and a target's own mean counts as much as the median of its
    service after that many. A report covers ``window_s`` and names ``max_reported``
    targets, a view names ``max_told``. What a view told is used up to an age of
    ``stale_s``. The coordinator's combined values decay with ``fleet_decay_s``; rows of
    reports count up to an age of ``row_age_s``, more than two intervals of reports at
    360 nodes. A call that waited at its target counts as ``waited_weight`` calls, and
    as at most ``max_growth`` times the known time: where counts were too low, its time
    seemed to be that of a slow target, which then got too few calls.
    """

    decay_s: float = 5.0
    min_answers: int = 10
    window_s: float = 1.0
    max_reported: int = 8
    max_told: int = 64
    stale_s: float = 15.0
    fleet_decay_s: float = 1.0
    row_age_s: float = 1.6
    waited_weight: float = 0.1
    max_growth: float = 1.25


class TargetTime(NamedTuple):
    """Seconds of a call at a target without a wait, and the share of failures."""

    mean_s: float
    failure_share: float


class _Told(NamedTuple):
    born: int
    mean_s: float
    failure_share: float
    at: float


class _Samples:
    """Decayed sums of the answers of one incarnation, and those of the last second."""

    def __init__(self, born):
        self.born = born
        self.at = 0.0
        self.seconds = 0.0
        self.answers = 0.0
        self.failures = 0.0
        self.latest = deque()

    def decay(self, now, decay_s):
        factor = exp(-max(0.0, now - self.at) / decay_s)
        self.at = now
        self.seconds *= factor
        self.answers *= factor
        self.failures *= factor


def without_wait(seconds, ahead, slots):
    """Return the time that a call would have taken without requests ahead of it."""
    return seconds / (1.0 + max(0, ahead + 1 - slots) / slots)


class CallTimes:
    """Estimates of one node for the targets of plain services.

    Parameters
    ----------
    policy : CallTimesPolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or CallTimesPolicy()
        self._samples = {}
        self._told = {}

    def record(self, now, target, seconds, ahead=0, is_failure=False, known_s=inf):
        """Record an answer, or a broken one, of a target.

        Failures don't count for the mean, as they may take any time. A call that waited
        counts little: its wait is an estimate, and under overload it is the least
        certain.

        Parameters
        ----------
        now : float
        target : Target
        seconds : float
            Time from sending the call to its answer.
        ahead : float, optional
            Requests that the target had when the call was sent.
        is_failure : bool, optional
        known_s : float, optional
            Time of a call without a wait as known when it was answered.
        """
        samples = self._samples.get(target.target_id)
        if samples is None or samples.born != target.born:
            samples = self._samples[target.target_id] = _Samples(target.born)
        samples.decay(now, self._policy.decay_s)
        if is_failure:
            samples.failures += 1.0
        else:
            seconds = without_wait(seconds, ahead, target.slots)
            weight = 1.0
            if ahead + 1 > target.slots:
                weight = self._policy.waited_weight
                seconds = min(seconds, known_s * self._policy.max_growth)
            samples.answers += weight
            samples.seconds += seconds * weight
        samples.latest.append((now, seconds, 0.0 if is_failure else weight))

    def apply_view(self, now, rows):
        """Apply the ``call_times`` of a view."""
        for target_id, (born, mean_s, share, age_s) in rows.items():
            known = self._told.get(target_id)
            if known is None or known.born != born or known.at <= now - age_s:
                self._told[target_id] = _Told(born, mean_s, share, now - age_s)

    def report_rows(self, now):
        """Return the ``call_times`` of a report, for the targets with most answers."""
        rows = {}
        for target_id, samples in self._samples.items():
            latest = samples.latest
            while latest and latest[0][0] < now - self._policy.window_s:
                latest.popleft()
            if not latest:
                continue
            weight = sum(row[2] for row in latest)
            mean_s = sum(row[1] * row[2] for row in latest) / weight if weight else 0.0
            failures = sum(row[2] == 0.0 for row in latest)
            rows[target_id] = (samples.born, round(mean_s, 4), len(latest), failures)
        names = sorted(rows, key=lambda t: rows[t][2], reverse=True)
        return {name: rows[name] for name in names[: self._policy.max_reported]}

    def estimates(self, now, targets):
        """Return the times of the targets of one service.

        Parameters
        ----------
        now : float
        targets : iterable of Target

        Returns
        -------
        dict of str to TargetTime
            Empty while there are too few answers for estimates.
        """
        policy = self._policy
        told, own, count = {}, {}, 0.0
        for target in targets:
            row = self._told.get(target.target_id)
            if row and row.born == target.born and now <= row.at + policy.stale_s:
                told[target.target_id] = row
            samples = self._samples.get(target.target_id)
            if samples is not None and samples.born == target.born:
                samples.decay(now, policy.decay_s)
                own[target.target_id] = samples
                count += samples.answers
        if count < policy.min_answers and not any(r.mean_s for r in told.values()):
            return {}
        means = [row.mean_s for row in told.values() if row.mean_s]
        means = means or [s.seconds / s.answers for s in own.values() if s.answers > 0]
        if not means:
            return {}
        usual_s = sorted(means)[len(means) // 2]
        return {
            target.target_id: self._estimate(
                told.get(target.target_id), own.get(target.target_id), usual_s
            )
            for target in targets
        }

    def retain(self, targets):
        """Drop what is known of other targets and incarnations.

        Parameters
        ----------
        targets : dict of str to Target
        """

        def is_current(target_id, born):
            return target_id in targets and targets[target_id].born == born

        self._samples = {
            t: row for t, row in self._samples.items() if is_current(t, row.born)
        }
        self._told = {
            t: row for t, row in self._told.items() if is_current(t, row.born)
        }

    def _estimate(self, told, own, usual_s):
        """Return the time of a target: of a view, else of own answers and the prior."""
        if told is not None:
            return TargetTime(told.mean_s or usual_s, told.failure_share)
        if own is None:
            return TargetTime(usual_s, 0.0)
        prior = self._policy.min_answers
        mean_s = (own.seconds + prior * usual_s) / (own.answers + prior)
        # One failure of few answers is no share.
        return TargetTime(mean_s, own.failures / (own.answers + own.failures + prior))


class _Combined:
    """Decayed time and failures of one incarnation, over all nodes."""

    def __init__(self, born):
        self.born = born
        self.mean_s = 0.0
        self.weight = 0.0
        self.answers = 0.0
        self.failures = 0.0
        self.at = 0.0


class FleetCallTimes:
    """Times and failures that the coordinator combines from the reports.

    The mean of a target is the median of the nodes' means, so that one node with a slow
    link doesn't make a target slow.

    Parameters
    ----------
    policy : CallTimesPolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or CallTimesPolicy()
        self._rows = {}
        self._updated_at = None

    def update(self, now, reports, targets):
        """Return the rows of a view.

        Parameters
        ----------
        now : float
        reports : iterable of tuple of (float, dict)
            Time of arrival and ``call_times`` of the last report of each node.
        targets : dict of str to Target
            Rows of others are dropped.

        Returns
        -------
        dict of str to tuple of (int, float, float, float)
        """
        policy = self._policy
        elapsed_s = min(5.0, now - (self._updated_at or now)) or 0.1
        self._updated_at = now
        factor = exp(-elapsed_s / policy.fleet_decay_s)
        by_target = {}
        for at, rows in reports:
            if at < now - policy.row_age_s:
                continue
            for target_id, row in rows.items():
                by_target.setdefault(target_id, []).append((at, *row))
        for target_id, rows in by_target.items():
            self._combine(target_id, rows, factor)
        self._rows = {
            t: row
            for t, row in self._rows.items()
            if now <= row.at + policy.stale_s and t in targets
        }
        newest = sorted(self._rows, key=lambda t: self._rows[t].at, reverse=True)
        usual_s = self._usual_by_service(targets)
        prior = policy.min_answers

        def mean_s(target_id, row):
            # With few answers one long call would keep further ones away.
            own_s = row.mean_s * row.weight
            usual = usual_s.get(targets[target_id].service, 0.0)
            return (own_s + usual * prior) / (row.weight + prior)

        return {
            target_id: (
                row.born,
                round(mean_s(target_id, row), 4),
                round(row.failures / row.answers, 3) if row.answers else 0.0,
                round(now - row.at, 3),
            )
            for target_id in newest[: policy.max_told]
            for row in (self._rows[target_id],)
        }

    def _usual_by_service(self, targets):
        """Return the median of the targets' means by service."""
        means = {}
        for target_id, row in self._rows.items():
            if row.weight:
                means.setdefault(targets[target_id].service, []).append(row.mean_s)
        return {name: sorted(rows)[len(rows) // 2] for name, rows in means.items()}

    def _combine(self, target_id, rows, factor):
        born = max(row[1] for row in rows)
        rows = [row for row in rows if row[1] == born]
        known = self._rows.get(target_id)
        if known is not None and known.born > born:
            return
        if known is None or known.born != born:
            known = self._rows[target_id] = _Combined(born)
        known.at = max(row[0] for row in rows)
        answers = sum(row[3] for row in rows)
        failures = sum(row[4] for row in rows)
        known.answers = known.answers * factor + answers * (1.0 - factor)
        known.failures = known.failures * factor + failures * (1.0 - factor)
        times = sorted((row[2], row[3] - row[4]) for row in rows if row[3] > row[4])
        if times:
            weight = sum(count for _, count in times)
            known.weight = known.weight * factor + weight * (1.0 - factor)
            part = weight * (1.0 - factor) / known.weight
            known.mean_s += part * (_weighted_median(times, weight) - known.mean_s)


def _weighted_median(times, weight):
    passed = 0
    for seconds, count in times:
        passed += count
        if 2 * passed >= weight:
            return seconds
    return times[-1][0]
