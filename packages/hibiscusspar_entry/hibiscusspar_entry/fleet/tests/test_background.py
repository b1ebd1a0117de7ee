"""Tests of background work and of the logging of its failures."""

import threading
import unittest
from queue import Queue
from unittest.mock import Mock, patch

from hibiscusspar.fleet.messages import OrderRequest
from hibiscusspar_entry.fleet.background import DelayedCalls
from hibiscusspar_entry.fleet.order_dispatcher import OrderDispatcher

WAIT_S = 2.0


class TestBackgroundWork(unittest.TestCase):
    """Guards against background work that ends without a trace."""

    def setUp(self):
        self.failures = Queue()
        patched = patch(
            f"{DelayedCalls.__module__}.log_failure",
            lambda task, error: self.failures.put((task, repr(error))),
        )
        patched.start()
        self.addCleanup(patched.stop)
        self.calls = DelayedCalls("checks", 1)
        self.addCleanup(self.calls.close)

    def assert_failed(self, task, error):
        self.assertEqual(self.failures.get(timeout=WAIT_S), (task, repr(error)))

    def test_error_of_a_delayed_call_is_logged(self):
        error = KeyError("t1")
        self.calls(0.0, Mock(side_effect=error))
        self.assert_failed("checks", error)

    def test_error_of_an_order_for_another_node_is_logged(self):
        error = KeyError("z1")
        elections = Mock(**{"get.side_effect": error})
        dispatcher = OrderDispatcher("m", "s", float, elections, None, self.fail)
        self.addCleanup(dispatcher.close)
        order = OrderRequest(1, "s", 1, "z1", "t1", "load", "m", "a1", 1, 0)
        dispatcher.handle_request(order, ("127.0.0.1", 1))
        self.assert_failed("orders", error)

    def test_call_waits_while_no_thread_can_be_started(self):
        done, error = Queue(), RuntimeError("can't start new thread")
        with patch.object(threading.Thread, "start", side_effect=error):
            self.calls(0.0, lambda: done.put(1))
        self.assert_failed("checks", error)
        self.calls(0.0, lambda: done.put(2))
        self.assertEqual([done.get(timeout=WAIT_S) for _ in range(2)], [1, 2])


if __name__ == "__main__":
    unittest.main()
