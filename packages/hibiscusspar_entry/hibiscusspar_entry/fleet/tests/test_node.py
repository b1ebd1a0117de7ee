"""Tests of the threads of a node."""

import unittest
from unittest.mock import Mock, patch

from hibiscusspar_entry.fleet.node import FleetNode


class TestTick(unittest.TestCase):
    """Guards against a fleet without views while its coordinator seems to be sound."""

    def test_step_that_fails_keeps_no_other_from_being_made(self):
        parts = Mock(start="s", clock=lambda: 1.0, lease_keepers=())
        parts.request_scheduler.view_age_s = None
        front, coordinator = Mock(), Mock()
        node = FleetNode(parts, front, Mock(), coordinator, Mock(), tuple)
        error = KeyError("t1")
        steps = (parts.request_scheduler.tick, parts.path_watch.tick, front.grow)
        for step in steps:
            step.side_effect = error
        with patch(f"{FleetNode.__module__}.log_failure") as log_failure:
            node._tick()
        self.assertEqual(log_failure.call_args_list, [(("tick", error),)] * 3)
        coordinator.tick.assert_called_once()


if __name__ == "__main__":
    unittest.main()
