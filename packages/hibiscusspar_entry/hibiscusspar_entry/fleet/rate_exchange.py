"""What engines can do, as this node measures it and as the coordinator tells it."""

import threading
from math import isfinite
from typing import NamedTuple

from hibiscusspar.fleet.engine_rates import (
    EngineRates,
    RatePolicy,
    service_policy,
)
from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.rate_samples import RateSamples, RateStream
from hibiscusspar.fleet.routing import ChoicePolicy
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import ENGINE_RATES, ENGINE_RATES_EXPIRED

__all__ = ["RateExchange"]

# Time in seconds for which rates are used after the last view that told them.
_KEPT_S = 15.0
# Differences of the time that views take, in seconds; rates older than the known ones
# by more come from a coordinator that knows less.
_AGE_TOLERANCE_S = 0.5
# Shortest time between updates of the coordinator's estimates, in seconds: nodes report
# new ones every half second.
_UPDATE_S = 0.25
# A rate is logged if it has changed by this ratio since the last line about its
# service, or is that of the prior again.
_LOGGED_CHANGE = 1.1
_PRIOR = ChoicePolicy()


class _Known(NamedTuple):
    """Policy of a service as a view told it, the time of that view and of the rates."""

    policy: ChoicePolicy
    told_at: float
    as_of: float


class RateExchange:
    """Samples of this node, and the policies that its decisions use.

    Parameters
    ----------
    clock : callable
    policy : RatePolicy, optional
    """

    def __init__(self, clock, policy=None):
        self._clock = clock
        # Return the time until which a target reads the prompts that this node knows
        # of, the number of its running requests, and its factor on the usual times.
        self.reading_until = lambda target_id: 0.0
        self.running = lambda target_id: 0
        self.factor = lambda target_id: 1.0
        self._policy = policy or RatePolicy()
        self._lock = threading.Lock()
        self._samples = RateSamples(self._policy)
        self._table = EngineRates(self._policy)
        self._engines = {}
        self._known = {}
        self._policies = {}
        self._logged = {}
        self._updated_at = 0.0

    def gauges(self):
        """Return the values of the metrics by name."""
        gains = [row.prompt_tokens_s for row in list(self._policies.values())]
        return {
            "engine_rates_faster": sum(g > _PRIOR.prompt_tokens_s for g in gains),
            "engine_rates_slower": sum(g < _PRIOR.prompt_tokens_s for g in gains),
        }

    def observe(self, request_scheduler, speeds):
        """Take samples of the streams whose pace ``speeds`` measures."""
        self.reading_until = request_scheduler.reading_until
        self.running = request_scheduler.running
        self.factor = speeds.factor
        speeds.rate_stream = self.stream

    def configure(self, ruleset):
        """Record the engines of services; rates of changed ones are estimated anew."""
        engines = {s.name: s.engine for s in ruleset.services.values() if s.engine}
        with self._lock:
            for service, engine in self._engines.items():
                if engines.get(service) != engine:
                    self._samples.drop(service)
                    self._table.drop(service)
                    self._known.pop(service, None)
                    self._logged.pop(service, None)
            self._engines = engines
            self._select(self._clock())

    def policy(self, service):
        """Return the policy for the targets of a service."""
        return self._policies.get(service, _PRIOR)

    def prompt_gain(self, service):
        """Return the prompt rate of a service relative to the prior."""
        return self.policy(service).prompt_tokens_s / _PRIOR.prompt_tokens_s

    def stream(self, placement, admitted):
        """Return the samples of an attempt at a stream, None if it gives none."""
        target = placement.target
        if self.factor(target.target_id) != 1.0:
            return None
        # A stream that is taken up may read more than the prompt of its request.
        is_whole = placement.prompt_tokens > 0 and admitted.call.last_event is None
        sent_at = self._clock() if placement.is_idle and is_whole else None
        return RateStream(self, placement, sent_at, self._policy)

    def record_prompt(self, now, service, tokens, seconds, running):
        """Record the time to a first event."""
        with self._lock:
            if service in self._engines:
                self._samples.record_prompt(now, service, tokens, seconds, running)

    def record_steps(self, now, service, steps, seconds, running):
        """Record a stretch of decoding steps."""
        with self._lock:
            if service in self._engines:
                self._samples.record_steps(now, service, steps, seconds, running)

    def complete_report(self, report):
        """Add the estimates of this node to its report."""
        now = self._clock()
        with self._lock:
            estimates = self._samples.estimates(now)
            expired = self._select(now)
        report.rates = {
            service: (round(row.prompt_tokens_s, 1), round(row.step_s, 6), row.count)
            for service, row in estimates.items()
        }
        write_records(expired)

    def take_over(self):
        """Become the coordinator's table, starting from what views told."""
        now = self._clock()
        with self._lock:
            known = {
                service: (row.policy.prompt_tokens_s, row.policy.step_s, row.as_of)
                for service, row in self._known.items()
            }
            self._table.reset(now, known)

    def apply_report(self, report):
        """Record the estimates of a node at the coordinator."""
        if report.rates:
            with self._lock:
                self._table.record(self._clock(), report.node, report.rates)

    def due_rows(self, nodes):
        """Return prompt rate, seconds of a step and age by service, for a view."""
        now = self._clock()
        with self._lock:
            if now >= self._updated_at + _UPDATE_S:
                self._updated_at = now
                interval_s = exchange_interval_s(nodes)
                self._table.update(now, self._engines, nodes, interval_s)
            rows = self._table.rows
            records = self._changes(now, rows)
        write_records(records)
        return {
            service: (
                round(row.prompt_tokens_s, 1),
                round(row.step_s, 6),
                round(now - row.at, 3),
            )
            for service, row in rows.items()
        }

    def apply_view(self, now, view):
        """Apply the rates of a view; views come in order."""
        if not view.rates and not self._known:
            return
        with self._lock:
            for service, (rate, step_s, age_s) in view.rates.items():
                known = self._known.get(service)
                if (
                    service not in self._engines
                    or not self._is_credible(rate, step_s)
                    or (known and known.as_of > now - age_s + _AGE_TOLERANCE_S)
                ):
                    continue
                policy = known.policy if known else _PRIOR
                if (rate, step_s) != (policy.prompt_tokens_s, policy.step_s):
                    policy = service_policy(rate, step_s)
                self._known[service] = _Known(policy, now, now - age_s)
            records = self._select(now)
        write_records(records)

    def _is_credible(self, rate, step_s):
        """Return whether rates are within what may be learned."""
        # Rates in messages are rounded.
        bound = 1.01 * self._policy.bound
        return all(
            isfinite(value) and 1.0 / bound <= value <= bound
            for value in (rate / _PRIOR.prompt_tokens_s, step_s / _PRIOR.step_s)
        )

    def _select(self, now):
        """Select the policies in use and return log lines about those that expire."""
        expired = [s for s, row in self._known.items() if now > row.told_at + _KEPT_S]
        records = []
        for service in expired:
            row = self._known.pop(service)
            if row.policy is not _PRIOR:
                fields = {
                    "service": service,
                    "prompt_tokens_s": row.policy.prompt_tokens_s,
                    "step_s": row.policy.step_s,
                    "age_s": round(now - row.as_of, 3),
                }
                records.append((ENGINE_RATES_EXPIRED, fields))
        self._policies = {
            service: row.policy
            for service, row in self._known.items()
            if row.policy is not _PRIOR
        }
        return records

    def _changes(self, now, rows):
        """Return the log lines about rates that have changed clearly."""
        records = []
        prior = (_PRIOR.prompt_tokens_s, _PRIOR.step_s)
        for service, row in rows.items():
            rates = (row.prompt_tokens_s, row.step_s)
            logged = self._logged.get(service, prior)
            ratios = [a / b for a, b in zip(rates, logged, strict=True)]
            is_clear = max(*ratios, *[1.0 / ratio for ratio in ratios])
            if is_clear < _LOGGED_CHANGE and (rates != prior or logged == prior):
                continue
            self._logged[service] = rates
            fields = {
                "service": service,
                "prompt_tokens_s": round(rates[0]),
                "step_s": round(rates[1], 5),
                "before": (round(logged[0]), round(logged[1], 5)),
                "samples": row.samples,
                "nodes": row.nodes,
                "age_s": round(now - row.at, 3),
            }
            records.append((ENGINE_RATES, fields))
        return records
