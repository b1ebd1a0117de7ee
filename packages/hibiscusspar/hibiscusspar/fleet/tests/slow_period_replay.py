"""Exchange of slow periods by notices, for the replay of engines."""

from random import Random

from hibiscusspar.fleet.slow_periods import SlowPeriods, ToldFactors
from hibiscusspar.fleet.tests.engine_replay import EstimatedSpeeds, make_target

__all__ = ["NotifiedSpeeds"]


class NotifiedSpeeds(EstimatedSpeeds):
    """Estimates, and notices of the nodes that sample to each other and to the decider.

    Notices take ``notice_s``, and a share ``lost`` of them is lost.
    """

    def __init__(
        self, nodes, sampling, late_s=0.0, notice_s=0.005, lost=0.2, unknown=0.0
    ):
        super().__init__(nodes, sampling, late_s)
        self._notice_s, self._lost = notice_s, lost
        self._periods = {id(row): SlowPeriods() for row in self._samples}
        # The decisions are those of one further node, with key 0.
        self._told = {key: ToldFactors() for key in (0, *self._periods)}
        self._unknown = unknown
        self._under_way = []
        self._now = 0.0
        self._rng_lost = Random(8)
        self.notices = 0

    def factor(self, target_id, node=0):
        self._deliver()
        told = self._told[node].factor(self._now, target_id)
        return self.factors.get(target_id, 1.0) if told is None else told

    def record_begin(self, now, samples, target_id):
        self._periods[id(samples)].begin(now, make_target(target_id))

    def record_gap(self, now, samples, target_id, gap_s, steps, until):
        self._now = max(now, self._now)
        node, target = id(samples), make_target(target_id)
        # A node that missed the notice of a prompt doesn't know that it is read.
        is_missed = Random(f"{node} {target_id} {until}").random() < self._unknown
        row = (now, target, gap_s, steps, 0.0 if is_missed else until)
        factor = self._periods[node].record(*row, self.factor(target_id, node))
        if factor is None:
            return
        self.notices += 1
        self._told[node].record(now, target_id, 1, factor)
        for other in self._told:
            if other != node and self._rng_lost.random() >= self._lost:
                self._under_way.append((now + self._notice_s, other, target_id, factor))

    def record_end(self, samples, target_id):
        self._periods[id(samples)].end(make_target(target_id))

    def tick(self, now, target_ids, reading_until):
        self._now, view_at = max(now, self._now), self._view_at
        super().tick(now, target_ids, reading_until)
        if self._view_at == view_at:
            return
        targets = {name: make_target(name) for name in target_ids}
        for periods in self._periods.values():
            periods.update()
            periods.set_factors(targets, self.factors)
        for target_id in self.factors:
            as_of = self._table.row(target_id).at
            for told in self._told.values():
                told.drop_older(target_id, 1, as_of, self.interval_s)

    def _deliver(self):
        if not self._under_way:
            return
        due = [row for row in self._under_way if row[0] <= self._now]
        self._under_way = [row for row in self._under_way if row[0] > self._now]
        for at, node, target_id, factor in due:
            self._told[node].record(at, target_id, 1, factor)
