"""Tests of the backoff of store calls, with fleets of several sizes."""

import unittest
from random import Random

from hibiscusspar_entry.fleet.store_backoff import StoreBackoff
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock

STEP_S = 0.02
# Clients of the store on each node: three watches, leases and the quarantine.
CLIENTS = 5


class Fleet:
    """Nodes whose clients call the store as often as the backoff allows."""

    def __init__(self, count):
        self.clock = Clock()
        self.backoffs = [
            StoreBackoff(self.clock, Random(index), lambda: count, lambda: False)
            for index in range(count)
        ]
        self.calls = 0

    def run(self, seconds, is_away=True):
        """Let all clients call; return when the first answer came, or None."""
        began_at = self.clock.now
        while self.clock.now < began_at + seconds:
            for backoff in self.backoffs:
                for _ in range(CLIENTS):
                    if backoff.wait_s() > 0:
                        break
                    self.calls += 1
                    if not is_away:
                        return self.clock.now - began_at
                    backoff.record_failure()
            self.clock.now += STEP_S
        return None


class TestStoreBackoff(unittest.TestCase):
    def test_calls_in_an_outage_do_not_grow_with_the_fleet(self):
        for count in (9, 63, 195, 360):
            with self.subTest(nodes=count):
                fleet = Fleet(count)
                fleet.run(9.0)
                # The first attempts of each node double their pauses.
                self.assertLess(fleet.calls, 9.0 * 125 + 6 * count)

    def test_end_of_an_outage_is_noticed_at_once(self):
        for count in (9, 63, 195, 360):
            with self.subTest(nodes=count):
                fleet = Fleet(count)
                fleet.run(9.0)
                self.assertLess(fleet.run(3.0, is_away=False), 0.15)

    def test_source_is_never_held_back(self):
        clock = Clock()
        backoff = StoreBackoff(clock, Random(1), lambda: 195, lambda: True)
        for _ in range(10):
            backoff.record_failure()
            self.assertEqual(backoff.wait_s(), 0.0)

    def test_one_client_makes_the_next_attempt(self):
        clock = Clock()
        backoff = StoreBackoff(clock, Random(1), lambda: 195, lambda: False)
        backoff.record_failure()
        clock.now += 1.0
        self.assertEqual(backoff.wait_s(), 0.0)
        self.assertGreater(backoff.wait_s(), 0.0)
        backoff.record_answer()
        self.assertEqual(backoff.wait_s(), 0.0)
