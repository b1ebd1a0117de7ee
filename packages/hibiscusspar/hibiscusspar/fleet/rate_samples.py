"""Samples of one node for the rates of the engines of each service."""

from collections import deque
from itertools import combinations
from statistics import quantiles
from typing import NamedTuple

from hibiscusspar.fleet.engine_rates import RatePolicy
from hibiscusspar.fleet.routing import ChoicePolicy

__all__ = ["RateSamples", "RateStream", "ServiceSample"]

_PRIOR = ChoicePolicy()


class ServiceSample(NamedTuple):
    """Estimate of one node for a service, and the number of samples."""

    prompt_tokens_s: float
    step_s: float
    count: int


class RateSamples:
    """Samples of one node.

    Parameters
    ----------
    policy : RatePolicy, optional
    prior : ChoicePolicy, optional
    """

    def __init__(self, policy=None, prior=_PRIOR):
        self._policy = policy or RatePolicy()
        self._prior = prior
        self._prompts = {}
        self._steps = {}
        self._estimates = {}
        self._estimated_at = None

    def record_prompt(self, now, service, tokens, seconds, running):
        """Record the time to the first event at a target without queued prompts.

        Parameters
        ----------
        now : float
        service : str
        tokens : int
            Size of the prompt.
        seconds : float
            Time from sending the request to its first event.
        running : int
            Other requests that the target ran.
        """
        seconds -= self._prior.request_s * running
        self._rows(self._prompts, service).append((now, tokens, seconds))

    def record_steps(self, now, service, steps, seconds, running):
        """Record a stretch of decoding steps in which a target read no prompt.

        Parameters
        ----------
        now : float
        service : str
        steps : int
        seconds : float
        running : int
            Requests that the target ran.
        """
        added = self._prior.step_request_s / self._prior.step_s
        step_s = seconds / steps / (1.0 + added * running)
        self._rows(self._steps, service).append((now, step_s))

    def drop(self, service):
        """Drop the samples of a service, whose engines have changed."""
        for rows in (self._prompts, self._steps, self._estimates):
            rows.pop(service, None)

    def estimates(self, now):
        """Return the estimates of the services that have enough samples.

        Returns
        -------
        dict of str to ServiceSample
        """
        at, policy = self._estimated_at, self._policy
        if at is None or now >= at + policy.refresh_s:
            self._estimated_at = now
            estimates = {s: self._estimate(now, s) for s in self._prompts}
            self._estimates = {s: row for s, row in estimates.items() if row}
        return self._estimates

    def _rows(self, table, service):
        rows = table.get(service)
        if rows is None:
            rows = table[service] = deque(maxlen=self._policy.max_samples)
        return rows

    def _estimate(self, now, service):
        policy, began_at = self._policy, now - self._policy.window_s
        prompts = [row[1:] for row in self._prompts[service] if row[0] > began_at]
        steps = sorted(
            row[1] for row in self._steps.get(service, ()) if row[0] > began_at
        )
        count = min(len(prompts), len(steps))
        if count < policy.min_node_samples:
            return None
        token_s = _token_s(prompts, policy)
        if token_s is None:
            return None
        fastest = policy.bound * self._prior.prompt_tokens_s
        rate = fastest if token_s * fastest <= 1.0 else 1.0 / token_s
        step_s = _step_s(steps, policy)
        return ServiceSample(rate, step_s, count)


class RateStream:
    """Samples of one attempt at a stream.

    Parameters
    ----------
    node : object
        Gives ``reading_until``, ``running`` and ``factor`` of a target, and records the
        samples with ``record_prompt`` and ``record_steps``, as ``RateSamples`` does.
    placement : Placement
    sent_at : float or None
        Time at which the request is sent; None if the time to its first event tells
        nothing about the engine.
    policy : RatePolicy
    """

    def __init__(self, node, placement, sent_at, policy):
        self._node = node
        self._placement = placement
        self._service = placement.target.service
        self._target_id = placement.target.target_id
        self._sent_at = sent_at
        self._policy = policy
        self._done_at = node.reading_until(self._target_id)
        self._seconds, self._steps = 0.0, 0

    def begin(self, now):
        """Record the first event.

        If another prompt was sent to the target meanwhile, both may have been read in
        the same steps.
        """
        running = self._placement.running
        if self._sent_at is None or running > self._policy.max_running:
            return
        if self._node.reading_until(self._target_id) <= self._done_at:
            tokens, seconds = self._placement.prompt_tokens, now - self._sent_at
            self._node.record_prompt(now, self._service, tokens, seconds, running)

    def record(self, now, gap_s, steps):
        """Record the gap before some events; stretches with prompts don't count."""
        node, target_id = self._node, self._target_id
        if node.reading_until(target_id) > now - gap_s:
            self._seconds, self._steps = 0.0, 0
            return
        self._seconds += gap_s
        self._steps += steps
        if self._seconds < self._policy.stretch_s:
            return
        running = node.running(target_id)
        if running <= self._policy.max_running and node.factor(target_id) == 1.0:
            node.record_steps(now, self._service, self._steps, self._seconds, running)
        self._seconds, self._steps = 0.0, 0


def _step_s(steps, policy):
    """Return the seconds of a step from the sorted seconds of stretches.

    A wide range of them shows targets of different speeds. The fastest of these must
    not decide for all, so a quantile above the median is used then.
    """
    last = len(steps) - 1
    step_s = steps[int(policy.quantile * last)]
    if steps[int(policy.wide_quantile * last)] > policy.wide * step_s:
        return steps[int(policy.wide_quantile * last)]
    return step_s


def _token_s(prompts, policy):
    """Return the seconds per token of prompts, None if their sizes hardly differ.

    The slope between pairs of prompts excludes what all of them need besides: steps of
    the first event, the link, and events that are read late. Unknown queues make the
    slopes of some pairs too large and of others too small, so the median is nearly
    right; without the prompts that took far longer than it says it is more exact.

    Parameters
    ----------
    prompts : list of tuple of (int, float)
        Tokens and seconds.
    policy : RatePolicy
    """
    low, middle, high = _quartiles([tokens for tokens, _ in prompts])
    least = policy.spread * middle
    if high - low < least or not middle:
        return None
    slope = _median_slope(prompts, least)
    if slope is None or slope <= 0.0:
        return slope
    offsets = sorted(seconds - slope * tokens for tokens, seconds in prompts)
    offset_s = offsets[int(policy.quantile * (len(offsets) - 1))]
    usual = [
        (tokens, seconds)
        for tokens, seconds in prompts
        if seconds <= policy.outlier * (offset_s + slope * tokens)
    ]
    return _median_slope(usual, least) or slope


def _median_slope(prompts, least):
    """Return the median slope of pairs whose sizes differ, by their difference."""
    slopes = sorted(
        ((seconds - other_s) / (tokens - others), abs(tokens - others))
        for (tokens, seconds), (others, other_s) in combinations(prompts, 2)
        if abs(tokens - others) >= least
    )
    if not slopes:
        return None
    remaining = sum([weight for _, weight in slopes]) / 2.0
    position = 0
    while position + 1 < len(slopes) and slopes[position][1] < remaining:
        remaining -= slopes[position][1]
        position += 1
    return slopes[position][0]


def _quartiles(values):
    return quantiles(values, n=4, method="inclusive")
