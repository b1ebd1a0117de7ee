"""Tests of steps of background work."""

import threading
import unittest
from unittest.mock import patch

from hibiscusspar_entry.fleet.periodic_task import PeriodicTask

WAIT_S = 5.0


class TestPeriodicTask(unittest.TestCase):
    def setUp(self):
        self.stepped = threading.Semaphore(0)
        self.fails = False
        self.task = PeriodicTask("work", self.step, lambda: self.pause_s)
        self.pause_s = 60.0
        self.addCleanup(self.task.close)

    def step(self):
        self.stepped.release()
        if self.fails:
            raise ValueError("broken")

    def test_step_follows_a_wake_up_without_the_pause(self):
        self.task.start()
        self.task.wake()
        self.assertTrue(self.stepped.acquire(timeout=WAIT_S))

    def test_failed_step_does_not_end_the_task(self):
        self.fails, self.pause_s = True, 0.001
        with patch(f"{PeriodicTask.__module__}.log_failure") as log_failure:
            self.task.start()
            for _ in range(3):
                self.assertTrue(self.stepped.acquire(timeout=WAIT_S))
        self.assertEqual(log_failure.call_args.args[0], "work")

    def test_pause_that_fails_does_not_end_the_task(self):
        """Guards against work that stops silently, as the renewal of a lease would."""
        self.pause_s = float("inf")
        with patch(f"{PeriodicTask.__module__}.log_failure") as log_failure:
            self.task.start()
            for _ in range(3):
                self.assertTrue(self.stepped.acquire(timeout=WAIT_S))
        self.assertEqual(log_failure.call_args.args[0], "work")

    def test_closed_task_makes_no_step(self):
        self.task.start()
        self.task.close()
        self.task._thread.join(WAIT_S)
        self.assertFalse(self.task._thread.is_alive())
        self.assertFalse(self.stepped.acquire(blocking=False))
