"""Speeds of targets, estimated from the gaps between the events of their streams.

Targets of a service differ in speed, and some are slow for a while. Each node takes
samples of the time of a decoding step; the coordinator combines those of all nodes and
compares each target with the median of its service.
"""

from collections import deque
from math import exp, log
from statistics import median
from typing import NamedTuple

__all__ = ["FactorRow", "SpeedFactors", "SpeedPolicy", "SpeedSample", "SpeedSamples"]

# Samples of a target that a node keeps: those of a second at usual steps.
_MAX_SAMPLES = 64


class SpeedPolicy(NamedTuple):
    """Settings of the estimates; times in seconds.

    Events that follow each other sooner than ``min_gap_s`` are joined, as a busy node
    reads them some milliseconds late. ``window_s`` is the age of the gaps that an
    estimate uses, short enough to show slow periods of 0.6 s, and at least
    ``window_intervals`` of the time between reports, as a slow period that ends before
    its factor is known is noise; ``long_window_s`` that of those used if prompts were
    read during nearly all of them. Prompts lengthen gaps,
    so ``quantile`` is a low one. What streams are silent for beyond ``silence_s``, the
    time of a chunk of a prompt, gives a lower bound. A report names ``min_reported`` to
    ``max_reported`` targets, ``reports_per_target`` for each target of the fleet: many
    nodes sample each target, and the coordinator has the time for some of them.

    ``max_age_s`` is the age of the oldest sample that counts, and ``fresh_s`` the age
    at which its weight is a third; both are at least ``max_intervals`` and
    ``fresh_intervals`` of the time between reports. A ratio that differs from the usual
    one of the target by ``jump`` counts at once, a smaller change within ``smooth_s``
    after the first ``settled`` samples, which keeps noise of equal targets within
    ``dead_band``. After a slow period the factor falls at most to its share
    ``recovery`` every ``recovery_s``; after ``hold_s`` without samples it drifts to 1
    within some ``drift_s``. The median is of averages over ``reference_s``, which few
    slow targets don't move. A published factor changes by ``republish`` at least.
    """

    min_gap_s: float = 0.06
    window_s: float = 0.15
    window_intervals: float = 1.1
    long_window_s: float = 1.0
    quantile: float = 0.3
    silence_s: float = 0.25
    min_reported: int = 2
    max_reported: int = 8
    reports_per_target: float = 3.0
    max_age_s: float = 0.4
    max_intervals: float = 1.25
    fresh_s: float = 0.05
    fresh_intervals: float = 0.4
    jump: float = 1.5
    smooth_s: float = 3.0
    settled: int = 8
    recovery: float = 0.4
    recovery_s: float = 0.1
    hold_s: float = 1.0
    drift_s: float = 3.0
    reference_s: float = 5.0
    dead_band: float = 0.15
    min_factor: float = 0.25
    max_factor: float = 8.0
    republish: float = 0.08


class SpeedSample(NamedTuple):
    """Seconds of a decoding step of an incarnation, and the number of samples.

    With 0 samples a silence shows that a step takes at least so long.
    """

    born: int
    step_s: float
    count: int


class FactorRow(NamedTuple):
    """Factor of an incarnation on the usual times of its service.

    ``step_s`` and ``usual_s`` are the times of a step of the target and of its service,
    ``count`` the number of samples and ``at`` the time of the newest ones.
    """

    born: int
    factor: float
    step_s: float
    usual_s: float
    count: int
    at: float


class _Gaps:
    """Gaps between the events of the streams of one incarnation at one node."""

    __slots__ = ("born", "last_at", "open", "reported", "rows", "steps")

    def __init__(self, born):
        self.born = born
        self.rows = deque(maxlen=_MAX_SAMPLES)
        self.open = 0
        self.steps = 1
        self.last_at = 0.0
        self.reported = (0.0, 0.0)


class SpeedSamples:
    """Samples of one node.

    Parameters
    ----------
    policy : SpeedPolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or SpeedPolicy()
        self._rows = {}
        self._estimated_at = None

    def begin(self, now, target_id, born, event_steps):
        """Record the first event of a stream."""
        row = self._rows.get(target_id)
        if row is None or row.born != born:
            row = self._rows[target_id] = _Gaps(born)
        row.open += 1
        row.steps = event_steps
        row.last_at = now

    def end(self, target_id, born):
        """Record the end of a stream that has begun."""
        row = self._rows.get(target_id)
        if row is not None and row.born == born:
            row.open -= 1

    def record(self, now, target_id, born, gap_s, steps, reading_until):
        """Record the gap before an event.

        Parameters
        ----------
        now : float
        target_id : str
        born : int
            Start of the incarnation.
        gap_s : float
        steps : int
            Decoding steps in the gap.
        reading_until : float
            Time until which the target reads the prompts that this node knows of.
        """
        row = self._rows.get(target_id)
        if row is None or row.born != born:
            return
        row.last_at = now
        row.rows.append((now, gap_s / steps, reading_until <= now - gap_s))

    def estimates(self, now, reading_until=lambda target_id: 0.0, interval_s=0.0):
        """Return the estimates of the targets that have recent samples.

        Parameters
        ----------
        now : float
        reading_until : callable, optional
            As in ``record``, for a target.
        interval_s : float, optional
            Time between the reports of a node.

        Returns
        -------
        dict of str to SpeedSample
        """
        silences = self._silences(now, reading_until)
        window_s = max(
            self._policy.window_s, self._policy.window_intervals * interval_s
        )
        estimates = {}
        for target_id, row in self._rows.items():
            step_s, count = self._step_s(now, row, window_s)
            silent_s = silences.get(target_id, 0.0) - self._policy.silence_s
            if silent_s / row.steps > step_s:
                step_s, count = silent_s / row.steps, 0
            if step_s > 0.0:
                estimates[target_id] = SpeedSample(row.born, step_s, count)
        return estimates

    def due(self, now, estimates, nodes, targets):
        """Return the estimates to report, changed ones and then the longest waiting.

        Parameters
        ----------
        now : float
        estimates : dict of str to SpeedSample
        nodes, targets : int
            Numbers of nodes and targets of the fleet.
        """
        policy = self._policy
        share = round(policy.reports_per_target * targets / nodes)
        most = min(max(share, policy.min_reported), policy.max_reported)

        def urgency(target_id):
            at, step_s = self._rows[target_id].reported
            sample = estimates[target_id]
            changed = step_s and abs(log(sample.step_s / step_s)) > log(policy.jump)
            return (not changed, at)

        due = sorted(estimates, key=urgency)[:most]
        for target_id in due:
            self._rows[target_id].reported = (now, estimates[target_id].step_s)
        return {target_id: estimates[target_id] for target_id in due}

    def retain(self, targets):
        """Drop the samples of other targets and incarnations, a dict by id."""
        self._rows = {
            target_id: row
            for target_id, row in self._rows.items()
            if target_id in targets and targets[target_id].born == row.born
        }

    def _step_s(self, now, row, window_s):
        """Return the estimated seconds of a step and the number of samples."""
        policy = self._policy
        clear = [(at, step_s) for at, step_s, is_clear in row.rows if is_clear]
        began_at = now - policy.long_window_s
        # At least two clear gaps, so that a single outlier counts for nothing.
        if len(clear) > 1 and clear[-2][0] > began_at:
            began_at = min(clear[-2][0], now - window_s)
            steps = sorted(step_s for at, step_s in clear if at >= began_at)
            return steps[int(policy.quantile * (len(steps) - 1))], len(steps)
        if not clear or clear[-1][0] <= began_at:
            steps = sorted(step_s for at, step_s, _ in row.rows if at > began_at)
            if len(steps) > 2:
                return steps[0], 1
        return 0.0, 0

    def _silences(self, now, reading_until):
        """Return the seconds of silence of the targets whose streams are all silent.

        A node that was paused or is cut off hears nothing of any target.
        """
        policy = self._policy
        paused = self._estimated_at is None or (
            now > self._estimated_at + policy.long_window_s
        )
        self._estimated_at = now
        silences = {
            target_id: now - max(row.last_at, reading_until(target_id))
            for target_id, row in self._rows.items()
            if row.open > 0
        }
        silent = {t: s for t, s in silences.items() if s > policy.silence_s}
        if paused or (len(silences) > 1 and len(silent) == len(silences)):
            return {}
        return silent


class _Speed:
    """Current factor of one incarnation, and what it was derived from."""

    __slots__ = (
        "average_s",
        "born",
        "changed_at",
        "count",
        "factor",
        "published",
        "sampled_at",
        "step_s",
        "updated_at",
        "updates",
        "usual",
        "usual_s",
    )

    def __init__(self, now, born, factor=1.0, updates=0):
        self.born = born
        # The usual factor of the target is that outside its slow periods.
        self.factor = self.published = self.usual = factor
        self.updates = updates
        self.average_s = None
        self.step_s = self.usual_s = 0.0
        self.count = 0
        self.updated_at = self.sampled_at = self.changed_at = now


class SpeedFactors:
    """Factors of targets, from the samples of some nodes.

    Parameters
    ----------
    policy : SpeedPolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or SpeedPolicy()
        # Time, start of the incarnation, seconds of a step and count, by target.
        self._samples = {}
        self._speeds = {}

    @property
    def factors(self):
        """Published factors by target, of all targets that had samples."""
        return {target_id: speed.published for target_id, speed in self._speeds.items()}

    def row(self, target_id):
        """Return the factor of a target that had samples, with its grounds."""
        speed = self._speeds[target_id]
        return FactorRow(
            speed.born,
            speed.published,
            speed.step_s,
            speed.usual_s,
            speed.count,
            speed.sampled_at,
        )

    def reset(self, now, factors):
        """Start from known factors.

        Parameters
        ----------
        now : float
        factors : dict of str to tuple of (int, float)
            Start of the incarnation and factor by target.
        """
        self._samples = {}
        updates = self._policy.settled
        self._speeds = {t: _Speed(now, *row, updates) for t, row in factors.items()}

    def record(self, now, samples):
        """Record the samples of a node, given as a dict by target."""
        for target_id, (born, step_s, count) in samples.items():
            if step_s > 0.0 and count >= 0:
                row = (now, born, step_s, count)
                self._samples.setdefault(target_id, []).append(row)

    def update(self, now, targets, interval_s):
        """Update the factors of the given targets; other targets are dropped.

        Parameters
        ----------
        now : float
        targets : dict of str to Target
            Targets of services with an engine.
        interval_s : float
            Time between the reports of a node.
        """
        self._speeds = {
            target_id: speed
            for target_id, speed in self._speeds.items()
            if target_id in targets and speed.born == targets[target_id].born
        }
        sampled = self._take_recent(now, targets, interval_s)
        usual = self._usual_steps(targets)
        for target_id, speed in self._speeds.items():
            usual_s = usual.get(targets[target_id].service)
            if target_id not in sampled or not usual_s:
                self._drift(now, speed)
            else:
                ratio = speed.step_s / usual_s
                ratio = min(
                    max(ratio, self._policy.min_factor), self._policy.max_factor
                )
                speed.usual_s, speed.sampled_at = usual_s, now
                if speed.count:
                    self._follow(now, speed, ratio)
                else:
                    # A lower bound.
                    speed.factor = max(speed.factor, ratio)
            speed.updated_at = now
            self._publish(speed)

    def _take_recent(self, now, targets, interval_s):
        """Combine the recent samples and return the targets that have some."""
        policy = self._policy
        began_at = now - max(policy.max_age_s, policy.max_intervals * interval_s)
        fresh_s = max(policy.fresh_s, policy.fresh_intervals * interval_s)
        samples = {}
        for target_id, rows in self._samples.items():
            target = targets.get(target_id)
            if target is None:
                continue
            born = target.born
            recent = [row for row in rows if row[0] > began_at and row[1] == born]
            if recent:
                samples[target_id] = recent
                self._combine(now, target_id, recent, fresh_s)
        self._samples = samples
        return samples

    def _combine(self, now, target_id, recent, fresh_s):
        """Set the step of a target over all nodes, and the number of samples."""
        speed = self._speeds.get(target_id)
        if speed is None:
            speed = self._speeds[target_id] = _Speed(now, recent[0][1])
        clear = [row for row in recent if row[3]]
        # The newest samples count most, as older ones are from before a change.
        rows = sorted(
            (step_s, (count or 1) * exp((at - now) / fresh_s))
            for at, _, step_s, count in clear or recent
        )
        remaining = self._policy.quantile * sum([weight for _, weight in rows])
        for step_s, weight in rows:
            speed.step_s = step_s
            remaining -= weight
            if remaining < 0.0:
                break
        speed.count = sum([row[3] for row in clear])
        if not clear:
            return
        if speed.average_s is None:
            speed.average_s = speed.step_s
        share = 1.0 - exp((speed.updated_at - now) / self._policy.reference_s)
        speed.average_s += (speed.step_s - speed.average_s) * share

    def _usual_steps(self, targets):
        """Return the median step of the targets of each service."""
        averages = {}
        for target_id, speed in self._speeds.items():
            if speed.average_s is not None:
                service = targets[target_id].service
                averages.setdefault(service, []).append(speed.average_s)
        return {service: median(steps) for service, steps in averages.items()}

    def _follow(self, now, speed, ratio):
        policy = self._policy
        speed.updates += 1
        share = 1.0 - exp((speed.updated_at - now) / policy.smooth_s)
        share = max(share, 1.0 / speed.updates)
        change, bound = log(ratio / speed.usual), log(policy.jump)
        if speed.updates > policy.settled:
            change = min(max(change, -bound), bound)
        speed.usual *= exp(share * change)
        if abs(log(ratio / speed.usual)) < bound:
            ratio = speed.usual
        if ratio >= speed.factor:
            speed.factor, speed.changed_at = ratio, now
        elif now >= speed.changed_at + policy.recovery_s:
            speed.factor = max(ratio, speed.factor * policy.recovery)
            speed.changed_at = now

    def _drift(self, now, speed):
        if now < speed.sampled_at + self._policy.hold_s:
            return
        share = exp((speed.updated_at - now) / self._policy.drift_s)
        speed.factor **= share
        speed.usual **= share

    def _publish(self, speed):
        """Publish a factor that has changed enough, so that noise isn't sent."""
        policy = self._policy
        if abs(speed.factor - 1.0) <= policy.dead_band:
            speed.published = 1.0
        elif abs(speed.factor / speed.published - 1.0) > policy.republish:
            speed.published = round(speed.factor, 2)
