"""Tests that the index of holdings agrees with a scan of all records."""

import unittest
from itertools import count

from hypothesis import given
from hypothesis import strategies as st

from hibiscusspar.fleet.holdings import AdapterCopy, TargetHoldings
from hibiscusspar.fleet.holdings_index import HoldingsIndex

KEYS = tuple(("m", f"a{number}") for number in range(4))
IDS = ("t3", "t1", "t2")

keys = st.sampled_from(KEYS)
copies = st.dictionaries(
    keys, st.builds(AdapterCopy, st.integers(1, 3), st.sampled_from((0.0, 1.0, 2.0)))
)
steps = st.one_of(
    st.tuples(st.just("put"), st.sampled_from(IDS), copies, st.booleans()),
    st.tuples(st.just("remove"), st.sampled_from(IDS)),
    st.tuples(st.just("announce"), keys, st.integers(1, 3)),
)


class Scan:
    """Records of targets in the order in which they became known."""

    def __init__(self):
        self.held = {}
        self.newest = {}

    def holders(self, key):
        return [
            (target_id, row.copies[key].version)
            for target_id, row in self.held.items()
            if key in row.copies and row.orders_accepted is not None
        ]

    def with_copy(self, key):
        return {target_id for target_id, row in self.held.items() if key in row.copies}

    def outdated(self):
        return {
            key
            for key, newest in self.newest.items()
            if self.with_copy(key)
            and not any(version >= newest for _, version in self.holders(key))
        }

    def loading(self, now):
        counts = {
            target_id: sum(copy.ready_at > now for copy in row.copies.values())
            for target_id, row in self.held.items()
        }
        return {target_id: number for target_id, number in counts.items() if number}


class TestHoldingsIndex(unittest.TestCase):
    def setUp(self):
        self.scan = Scan()
        self.index = HoldingsIndex(self.scan.newest)

    def apply(self, name, *arguments):
        getattr(self, name)(*arguments)

    def put(self, target_id, copies, is_certain):
        row = self.scan.held.setdefault(target_id, TargetHoldings(1, count(1)))
        row.copies = dict(copies)
        row.orders_accepted = 0 if is_certain else None
        self.index.put(target_id, row)

    def remove(self, target_id):
        self.scan.held.pop(target_id, None)
        self.index.remove(target_id)

    def announce(self, key, version):
        self.scan.newest[key] = version
        self.index.check(key)

    @given(st.lists(steps, max_size=20))
    def test_index_equals_a_scan_after_each_change(self, steps):
        self.setUp()
        for number, step in enumerate(steps):
            self.apply(*step)
            for key in KEYS:
                holders = self.scan.holders(key)
                self.assertEqual(self.index.holders(key), holders)
                self.assertEqual(self.index.holder_count(key), len(holders))
                with_copy = set(self.index.with_copy(key))
                self.assertEqual(with_copy, self.scan.with_copy(key))
            self.assertEqual(self.index.outdated, self.scan.outdated())
            now = number / 10
            self.assertEqual(self.index.loading(now), self.scan.loading(now))
