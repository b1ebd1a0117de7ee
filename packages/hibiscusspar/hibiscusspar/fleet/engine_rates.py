"""Estimates of what the engines of a service can do, from the requests of all nodes.

Each node samples the times to first events and the gaps between events of its own
requests. The coordinator takes the medians over the nodes. The constants of
``ChoicePolicy`` are the prior: they apply until enough samples of enough nodes show
that the engines of a service differ clearly from them.
"""

from collections import deque
from math import exp, isfinite, log, sqrt
from typing import NamedTuple

from hibiscusspar.fleet.routing import ChoicePolicy

__all__ = [
    "EngineRates",
    "RatePolicy",
    "RateRow",
    "service_policy",
]

_PRIOR = ChoicePolicy()


class RatePolicy(NamedTuple):
    """Settings of the estimates; times in seconds.

    Samples are from targets with at most ``max_running`` running requests: with more,
    an error of the prior in the times that these add would matter more than ``band``
    allows. A node keeps ``max_samples`` of each kind for ``window_s`` and reports an
    estimate if it has ``min_node_samples`` of each kind, of prompts whose quartiles
    differ by ``spread`` of their median at least; prompts that took ``outlier`` times
    as long as a first estimate says are left out of the second one. Gaps are joined to
    stretches of ``stretch_s``, in which events that are read some milliseconds late
    make little difference; ``quantile`` is a low one, as unknown prompts lengthen some
    of them. Where ``wide_quantile`` is ``wide`` times as large or more, targets differ
    in speed, and it is used itself. A node derives estimates every ``refresh_s``.

    The coordinator uses reports of the last ``fresh_s``, or ``fresh_intervals`` of the
    time between reports. It needs ``min_samples`` from ``min_nodes`` nodes, or from all
    nodes if there are fewer. The error of a median over nodes is the difference of the
    quartiles, as a fraction of the median, by the square root of the number of nodes.
    Nodes agree if it is at most ``agreement``.

    The prior is left if an estimate differs from it by more than ``leave``, and by more
    than ``band`` even if it is wrong by twice the error; it applies again if the
    difference is within ``band``. What may be learned is bounded by the factor
    ``bound``. Parts of prompts that targets keep make engines look faster at prompts
    but not at decoding steps, so the gain in the prompt rate is at most ``prompt_gain``
    times that in steps, or none; a gain in steps within ``step_noise`` counts as none.
    With ``prompt_gain`` within ``leave``, kept parts alone never replace the prior.
    Known data sheets have 1.16. An estimate changes by at most the ratio ``max_change``
    a second and not for less than ``min_change``. Without new samples it is kept for
    ``hold_s``, as no target is known to be idle under the full load of an engine.
    """

    max_running: int = 16
    max_samples: int = 36
    window_s: float = 15.0
    min_node_samples: int = 6
    spread: float = 0.25
    outlier: float = 1.35
    stretch_s: float = 0.3
    quantile: float = 0.4
    wide_quantile: float = 0.55
    wide: float = 1.25
    refresh_s: float = 0.5
    fresh_s: float = 3.0
    fresh_intervals: float = 4.0
    min_samples: int = 30
    min_nodes: int = 3
    agreement: float = 0.25
    band: float = 0.15
    leave: float = 0.2
    bound: float = 4.0
    prompt_gain: float = 1.2
    step_noise: float = 0.1
    max_change: float = 1.2
    min_change: float = 0.05
    hold_s: float = 600.0


class RateRow(NamedTuple):
    """Estimate in use for a service, with its grounds.

    ``samples`` and ``nodes`` are the numbers of samples and of nodes that it was
    derived from, ``at`` the time of the latest derivation.
    """

    prompt_tokens_s: float
    step_s: float
    samples: int
    nodes: int
    at: float


def service_policy(prompt_tokens_s, step_s, prior=_PRIOR):
    """Return the policy for a service whose engines have the given rates.

    Times of prompts scale with the prompt rate: that of a chunk, and the time that
    a target in another zone must save, which is most of a prompt. The times that
    running requests add scale with the step. The number of running requests at which
    streams still end in time scales with the smaller gain. Ages of counts and the time
    for a connection don't depend on the engine. Returns the prior itself for its rates.

    Parameters
    ----------
    prompt_tokens_s, step_s : float
    prior : ChoicePolicy, optional
    """
    if (prompt_tokens_s, step_s) == (prior.prompt_tokens_s, prior.step_s):
        return prior
    prompt_ratio = prior.prompt_tokens_s / prompt_tokens_s
    step_ratio = step_s / prior.step_s
    return prior._replace(
        prompt_tokens_s=prompt_tokens_s,
        step_s=step_s,
        chunk_s=prior.chunk_s * prompt_ratio,
        other_zone_s=prior.other_zone_s * prompt_ratio,
        request_s=prior.request_s * step_ratio,
        step_request_s=prior.step_request_s * step_ratio,
        max_running=max(1, int(prior.max_running / max(prompt_ratio, step_ratio))),
    )


class _Measured(NamedTuple):
    """Gains that nodes have measured, and the relative error of their medians."""

    gains: tuple[float, float]
    error: float


class _Estimate:
    """Rates of the engines of one service relative to the prior.

    ``gains`` holds those of the prompt rate and of the steps in use; a step that takes
    half as long is a gain of 2.
    """

    __slots__ = ("gains", "is_apart", "nodes", "sampled_at", "samples", "updated_at")

    def __init__(self, now):
        self.gains = (1.0, 1.0)
        self.is_apart = False
        self.samples = self.nodes = 0
        self.sampled_at = self.updated_at = now


class EngineRates:
    """Estimates of all services, from the samples of all nodes.

    Parameters
    ----------
    policy : RatePolicy, optional
    prior : ChoicePolicy, optional
    """

    def __init__(self, policy=None, prior=_PRIOR):
        self._policy = policy or RatePolicy()
        self._prior = prior
        self._reports = {}
        self._estimates = {}

    @property
    def rows(self):
        """Estimates in use by service."""
        return {
            service: RateRow(
                *self._rates(estimate.gains),
                estimate.samples,
                estimate.nodes,
                estimate.sampled_at,
            )
            for service, estimate in self._estimates.items()
        }

    def reset(self, now, known):
        """Start from known rates.

        Parameters
        ----------
        now : float
        known : dict of str to tuple of (float, float, float)
            Prompt rate, seconds of a step and time of the estimate by service.
        """
        self._reports, self._estimates = {}, {}
        for service, (rate, step_s, at) in known.items():
            estimate = self._estimates[service] = _Estimate(now)
            estimate.gains = self._gains(rate, step_s)
            estimate.is_apart = estimate.gains != (1.0, 1.0)
            estimate.sampled_at = at

    def drop(self, service):
        """Drop the estimate of a service that has ended or whose engines changed."""
        self._reports.pop(service, None)
        self._estimates.pop(service, None)

    def record(self, now, node, samples):
        """Record the estimates of a node, given as a dict by service."""
        for service, (rate, step_s, count) in samples.items():
            if count > 0 and rate > 0.0 and step_s > 0.0 and isfinite(rate + step_s):
                row = (now, rate, step_s, count)
                self._reports.setdefault(service, {})[node] = row

    def update(self, now, services, nodes, interval_s):
        """Update the estimates of the given services; others are dropped.

        Parameters
        ----------
        now : float
        services : collection of str
            Services with an engine.
        nodes : int
            Number of nodes of the fleet.
        interval_s : float
            Time between the reports of a node.
        """
        for service in [s for s in self._reports if s not in services]:
            del self._reports[service]
        for service in [s for s in self._estimates if s not in services]:
            del self._estimates[service]
        fresh_s = max(self._policy.fresh_s, self._policy.fresh_intervals * interval_s)
        for service in services:
            rows = self._reports.get(service, {})
            rows = {n: row for n, row in rows.items() if row[0] > now - fresh_s}
            if service in self._reports:
                self._reports[service] = rows
            self._follow(now, service, self._measured(rows.values(), nodes), rows)

    def _measured(self, rows, nodes):
        """Return the gains that reports agree on, or None if they don't suffice."""
        policy = self._policy
        if len(rows) < min(policy.min_nodes, nodes):
            return None
        counts = [row[3] for row in rows]
        if sum(counts) < policy.min_samples:
            return None
        # No node counts for more than two usual ones, whatever it tells.
        most = 2 * sorted(counts)[len(counts) // 2]
        counts = [min(count, most) for count in counts]
        middles, error = [], 0.0
        for seconds in ([1.0 / row[1] for row in rows], [row[2] for row in rows]):
            low, middle, high = _weighted_quartiles(seconds, counts)
            error = max(error, (high - low) / middle / sqrt(len(rows)))
            middles.append(middle)
        if error > policy.agreement:
            return None
        prompt, step = self._gains(1.0 / middles[0], middles[1])
        sure_step = 1.0 if 1.0 < step <= 1.0 + policy.step_noise else step
        prompt = min(prompt, max(1.0, policy.prompt_gain * sure_step))
        return _Measured((prompt, step), error)

    def _follow(self, now, service, measured, rows):
        """Bring the estimate of a service nearer to what is measured."""
        policy = self._policy
        estimate = self._estimates.get(service)
        if estimate is None:
            if measured is None:
                return
            estimate = self._estimates[service] = _Estimate(now)
        elapsed_s, estimate.updated_at = now - estimate.updated_at, now
        if measured is not None:
            estimate.sampled_at, estimate.nodes = now, len(rows)
            estimate.samples = sum(row[3] for row in rows.values())
            prompt, step = measured.gains
            apart = max(abs(prompt - 1.0), abs(1.0 / step - 1.0))
            if estimate.is_apart:
                estimate.is_apart = apart > policy.band
            else:
                is_sure = apart - 2.0 * measured.error > policy.band
                estimate.is_apart = is_sure and apart > policy.leave
        elif now > estimate.sampled_at + policy.hold_s:
            estimate.is_apart = False
        elif estimate.is_apart:
            return
        goal = measured.gains if estimate.is_apart else (1.0, 1.0)
        most = max(0.0, elapsed_s) * log(policy.max_change)
        estimate.gains = tuple(
            _approach(gain, wanted, most, policy.min_change)
            for gain, wanted in zip(estimate.gains, goal, strict=True)
        )

    def _gains(self, rate, step_s):
        bound = self._policy.bound
        return tuple(
            min(max(gain, 1.0 / bound), bound)
            for gain in (
                rate / self._prior.prompt_tokens_s,
                self._prior.step_s / step_s,
            )
        )

    def _rates(self, gains):
        return self._prior.prompt_tokens_s * gains[0], self._prior.step_s / gains[1]


def _approach(gain, goal, most, least):
    """Return a gain that is nearer to its goal by a bounded ratio.

    Changes below ``least`` are noise, but the prior is reached exactly.
    """
    change = log(goal / gain)
    if abs(change) <= most:
        return goal if goal == 1.0 or abs(change) > least else gain
    if abs(change) <= least and goal != 1.0:
        return gain
    return gain * exp(most if change > 0.0 else -most)


def _weighted_quartiles(values, weights):
    """Return the quartiles of values that count by their weights."""
    rows = sorted(zip(values, weights, strict=True))
    parts, passed = deque((0.25, 0.5, 0.75)), 0.0
    total, found = sum(weights), []
    for value, weight in rows:
        passed += weight
        while parts and passed >= parts[0] * total:
            parts.popleft()
            found.append(value)
    return found
