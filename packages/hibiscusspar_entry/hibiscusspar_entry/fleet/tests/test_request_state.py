"""Tests of the state of one request."""

import threading
import unittest

from hibiscusspar_entry.fleet.request_state import RequestState

_TIMEOUT_S = 2.0


class _SlowlyCancelled:
    """Connection whose cancellation takes until a test lets it end."""

    def __init__(self):
        self.steps = []
        self.is_cancelling = threading.Event()
        self.may_end = threading.Event()

    def cancel(self):
        self.is_cancelling.set()
        self.may_end.wait(_TIMEOUT_S)
        self.steps.append("cancelled")

    def release(self, headers):
        self.steps.append("released")


class TestCancelledRequest(unittest.TestCase):
    def test_connection_that_was_released_is_not_cancelled_afterwards(self):
        """Guards against the call of another request that is cancelled instead."""
        state, connection = RequestState(), _SlowlyCancelled()
        self.release_while_cancelled(state, connection, state.cancel)

    def test_connection_of_a_moved_stream_is_not_cancelled_after_its_release(self):
        state, connection = RequestState(), _SlowlyCancelled()
        self.release_while_cancelled(
            state, connection, lambda: state.cancel_attempt(connection)
        )
        state.cancel_attempt(connection)
        self.assertEqual(len(connection.steps), 2)

    def release_while_cancelled(self, state, connection, cancel):
        state.connection = connection
        cancel = threading.Thread(target=cancel)
        cancel.start()
        connection.is_cancelling.wait(_TIMEOUT_S)
        release = threading.Thread(target=state.release_connection, args=({},))
        release.start()
        release.join(0.1)
        connection.may_end.set()
        for thread in (cancel, release):
            thread.join(_TIMEOUT_S)
        self.assertEqual(connection.steps, ["cancelled", "released"])
