"""Tests of the stand-in engine while it is cold."""

import unittest

from hibiscusspar_standins.engine import Engine, Run


class TestColdEngine(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.engine = Engine(None, clock=lambda: self.now, cold_s=3.0, max_cold_per_s=4)

    def submit(self):
        """Send a request for a resident adapter; return its state."""
        self.engine._resident.add("m/a1")
        run = Run("r", "m/a1", "p", 1, 0, "acme")
        self.engine.submit(run)
        return run.state

    def test_requests_beyond_the_bound_in_a_second_crash_it(self):
        self.assertEqual([self.submit() for _ in range(4)], ["queued"] * 4)
        self.now += 1.0
        self.assertEqual([self.submit() for _ in range(4)], ["queued"] * 4)
        self.assertEqual(self.submit(), "crashed")
        self.assertEqual(self.engine.incarnation, 2)

    def test_next_incarnation_is_cold_too(self):
        self.now += 3.0
        self.assertEqual([self.submit() for _ in range(9)], ["queued"] * 9)
        self.engine.restart()
        self.assertEqual([self.submit() for _ in range(5)][-1], "crashed")


if __name__ == "__main__":
    unittest.main()
