"""Tests of decisions about engines whose rates are estimated, in replayed loads."""

import unittest
from random import Random
from types import SimpleNamespace

from hibiscusspar.fleet.engine_rates import EngineRates, RatePolicy, service_policy
from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.rate_samples import RateSamples, RateStream
from hibiscusspar.fleet.target_speeds import SpeedPolicy
from hibiscusspar.fleet.tests.engine_replay import (
    Load,
    UsualSpeeds,
    make_target,
    replay,
)

SHEETS = ((25_800.0, 0.0082), (38_700.0, 0.00547))
# Largest loss of requests in time against decisions that are given the true rates, and
# largest share of streams that may pause for too long.
LOSS_GOAL = 0.02
LATE_GOAL = 0.05


def equal_slowness(target_id, now):
    return 1.0


class KnownRates(UsualSpeeds):
    """Decisions are given the true rates."""

    def __init__(self, rates):
        self.choice = service_policy(*rates)


class EstimatedRates(UsualSpeeds):
    """Estimates of some nodes, each of which sees the events of its own streams."""

    def __init__(self, nodes, sampling):
        self._nodes = nodes
        self._interval_s = exchange_interval_s(nodes)
        self._samples = [RateSamples() for _ in range(sampling)]
        self._table = EngineRates()
        self._rng = Random(7)
        self._streams = {}
        self._view_at = 0.0
        self.running = {}

    def sent(self, now, stream, row, reading_until):
        samples = self._rng.choice(self._samples)
        node = SimpleNamespace(
            reading_until=reading_until,
            running=lambda target_id: self.running[target_id],
            factor=self.factor,
            record_prompt=samples.record_prompt,
            record_steps=samples.record_steps,
        )
        is_idle = not (row.queued_prompt_tokens or row.queued_s)
        placement = SimpleNamespace(
            target=make_target(row.target_id),
            prompt_tokens=stream.job.prompt_tokens,
            running=row.running,
        )
        sent_at = now if is_idle else None
        rates = RateStream(node, placement, sent_at, RatePolicy())
        self._streams[stream] = [rates, None, 0]
        self.running[row.target_id] = row.running + 1

    def record(self, now, stream, reading_until):
        row = self._streams[stream]
        rates, last_at, done = row
        if last_at is None:
            rates.begin(now)
        elif now - last_at < SpeedPolicy().min_gap_s:
            return
        else:
            rates.record(now, now - last_at, stream.done - done)
        row[1:] = now, stream.done

    def tick(self, now, target_ids, reading_until):
        if now < self._view_at:
            return
        self._view_at = now + self._interval_s
        for node, samples in enumerate(self._samples):
            self._table.record(now, f"n{node}", samples.estimates(now))
        self._table.update(now, {"draft"}, self._nodes, self._interval_s)
        row = self._table.rows.get("draft")
        if row is not None:
            self.choice = service_policy(row.prompt_tokens_s, row.step_s)


def in_time_share(load, outcomes):
    """Return the share of requests whose first byte was in time."""
    rows = [row for row in outcomes if row.arrived >= load.calm_s]
    return sum(
        row.target_id != "" and row.first_byte_s <= load.first_byte_s for row in rows
    ) / len(rows)


def late_share(load, outcomes):
    """Return the share of streams that paused for too long."""
    pauses = [row.longest_pause_s for row in outcomes if row.target_id]
    return sum(pause_s > load.max_gap_s for pause_s in pauses) / len(pauses)


class TestFasterEngines(unittest.TestCase):
    """Rates are learned in a calm time before the load that engines just sustain."""

    def run_load(self, rates, per_s, seed):
        load = Load(
            equal_slowness, per_s=per_s, seconds=20.0, seed=seed, rates=rates, calm_s=10
        )
        speeds = EstimatedRates(9, 9)
        return load, replay(load, speeds), speeds.choice

    def test_as_many_requests_are_in_time_as_with_the_true_rates(self):
        for rates, per_s in zip(SHEETS, (60.0, 165.0), strict=True):
            for seed in (1, 2):
                with self.subTest(rates=rates, seed=seed):
                    load, found, choice = self.run_load(rates, per_s, seed)
                    known = replay(load, KnownRates(rates))
                    # A load is sustained if streams keep their pauses in it.
                    self.assertLessEqual(late_share(load, known), LATE_GOAL)
                    loss = in_time_share(load, known) - in_time_share(load, found)
                    self.assertLessEqual(loss, LOSS_GOAL)
                    self.assertLessEqual(late_share(load, found), LATE_GOAL)
                    self.assertLessEqual(choice.prompt_tokens_s, 1.1 * rates[0])

    def test_constants_refuse_requests_that_such_engines_can_serve(self):
        load, found, _ = self.run_load(SHEETS[1], 165.0, 1)
        usual = replay(load, UsualSpeeds())
        self.assertLess(in_time_share(load, usual), 0.8)
        self.assertGreater(in_time_share(load, found), 0.98)


class TestEnginesAsAssumed(unittest.TestCase):
    def test_outcomes_are_those_without_estimates(self):
        for nodes, targets, per_s in ((9, 9, 24.0), (66, 62, 165.0), (360, 62, 165.0)):
            with self.subTest(nodes=nodes):
                load = Load(equal_slowness, targets, per_s=per_s, seconds=8.0)
                usual = replay(load, UsualSpeeds())
                found = replay(load, EstimatedRates(nodes, min(nodes, 30)))
                self.assertEqual(found, usual)


if __name__ == "__main__":
    unittest.main()
