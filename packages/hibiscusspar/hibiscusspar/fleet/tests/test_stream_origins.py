"""Tests of which software began a stream, and where this is known."""

import unittest
from random import Random
from time import process_time

from hibiscusspar.fleet.stream_origins import (
    StreamOrigin,
    StreamOrigins,
    origin_holders,
)

V1, V2 = StreamOrigin("draft", "v1"), StreamOrigin("draft", "v2")


class TestStreamOrigins(unittest.TestCase):
    def test_first_origin_of_a_stream_is_kept(self):
        origins = StreamOrigins()
        origins.record(100.0, "r1", V1)
        origins.record(101.0, "r1", V2)
        self.assertEqual(origins.find(102.0, "r1"), V1)
        self.assertIsNone(origins.find(102.0, "r2"))

    def test_origins_expire(self):
        origins = StreamOrigins()
        origins.record(100.0, "r1", V1)
        origins.record(130.0, "r2", V1)
        self.assertEqual(origins.find(139.0, "r1"), V1)
        self.assertIsNone(origins.find(141.0, "r1"))
        self.assertEqual(origins.find(141.0, "r2"), V1)

    def test_number_of_origins_is_bounded(self):
        origins = StreamOrigins()
        for number in range(80_000):
            origins.record(100.0, f"r{number}", V1)
        self.assertEqual(len(origins), 60_000)
        self.assertEqual(origins.find(100.0, "r79999"), V1)

    def test_origins_are_kept_at_a_high_rate(self):
        """Guards against streams that a busy fleet forgets before they are taken up."""
        origins = StreamOrigins()
        for number in range(28_000):
            origins.record(100.0 + number / 700, f"r{number}", V1)
        self.assertEqual(origins.find(139.9, "r0"), V1)

    def test_cost_does_not_grow_with_the_number_of_origins(self):
        """Guards against a replacement that passes over all places left before."""

        def seconds(capacity):
            origins = StreamOrigins(capacity)
            for number in range(capacity):
                origins.record(100.0, f"r{number}", V1)
            began_at = process_time()
            for number in range(40_000):
                origins.record(100.0, f"s{number}", V1)
            return process_time() - began_at

        self.assertLess(seconds(60_000), 4 * seconds(500))


class TestHolders(unittest.TestCase):
    def test_all_nodes_of_a_small_fleet_hold_copies(self):
        names = [f"n{number}" for number in range(9)]
        self.assertEqual(sorted(origin_holders("r1", names)), names)

    def test_few_nodes_of_a_large_fleet_hold_copies(self):
        names = [f"n{number}" for number in range(360)]
        copies = dict.fromkeys(names, 0)
        for number in range(3600):
            for name in origin_holders(f"r{number}", names):
                copies[name] += 1
        self.assertEqual(sum(copies.values()), 3 * 3600)
        self.assertLess(max(copies.values()), 60)

    def test_lookup_finds_a_holder_in_a_fleet_that_changes(self):
        rng, names = Random(5), [f"n{number}" for number in range(78)]
        found = 0
        for number in range(500):
            request_id = f"r{number}"
            began_at, resumed_at = rng.sample(names, 2)
            lost = {began_at, *rng.sample(names, 8)}
            holders = origin_holders(request_id, set(names) - {began_at})
            alive = {name for name in holders if name not in lost}
            # The node that is asked still lists those that were lost.
            asked = origin_holders(request_id, set(names) - {resumed_at})
            found += bool(alive & set(asked)) or resumed_at in alive
        self.assertGreater(found, 490)


if __name__ == "__main__":
    unittest.main()
