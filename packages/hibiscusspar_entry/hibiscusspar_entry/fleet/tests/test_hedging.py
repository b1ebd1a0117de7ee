"""Tests of what second attempts of a node have in common."""

import unittest
from types import SimpleNamespace

from hibiscusspar_entry.fleet.forward_policy import ForwardPolicy
from hibiscusspar_entry.fleet.hedging import Hedging


class TestSilenceThatAllTargetsShare(unittest.TestCase):
    def setUp(self):
        self.cut = False
        parts = SimpleNamespace(
            request_scheduler=None,
            clock=lambda: 0.0,
            retry_budgets=None,
            metrics=SimpleNamespace(silences=None),
            paths=SimpleNamespace(is_cut=lambda service: self.cut),
        )
        self.hedging = Hedging(parts, ForwardPolicy(), None, None, None)
        self.watch = self.add("t0", 10.0)

    def add(self, target_id, progress_at, has_progress=True):
        watch = SimpleNamespace(
            target_id=target_id,
            progress_at=progress_at,
            has_progress=has_progress,
            starts_at=progress_at + 1.5,
        )
        self.hedging.watches.add(_Hashable(watch))
        return watch

    def is_shared(self):
        return self.hedging.is_shared(11.6, self.watch, "plain")

    def test_streams_of_another_target_are_silent(self):
        self.add("t1", 9.9)
        self.assertTrue(self.is_shared())

    def test_node_is_cut_off(self):
        """Guards against streams that wait though a peer reaches other targets."""
        self.add("t1", 9.9)
        self.cut = True
        self.assertFalse(self.is_shared())

    def test_other_target_has_sent_nothing_yet(self):
        self.add("t1", 9.9, has_progress=False)
        self.assertFalse(self.is_shared())

    def test_other_stream_of_the_same_target_is_silent(self):
        self.add("t0", 9.9)
        self.assertFalse(self.is_shared())


class _Hashable:
    """Attributes of a namespace, hashed by identity."""

    def __init__(self, namespace):
        self.__dict__.update(vars(namespace))
