"""Tests of the datagrams between nodes."""

import socket
import unittest
from itertools import count
from queue import Queue
from threading import Event
from time import monotonic, sleep
from unittest.mock import Mock, patch

from msgspec.json import encode

from hibiscusspar.fleet.messages import SendNotice
from hibiscusspar_entry.fleet.channel import Channel

WAIT_S = 2.0


class TestReception(unittest.TestCase):
    def setUp(self):
        self.received = Queue()
        self.channel = Channel("127.0.0.1", 0, self.receive)
        # Ends the thread of the test with a lasting error.
        self.is_over = Event()
        self.addCleanup(self.is_over.set)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.sender.close)
        patched = patch(f"{Channel.__module__}.log_failure")
        self.log_failure = patched.start()
        self.addCleanup(patched.stop)

    def receive(self, message, address):
        self.received.put(message)
        raise OSError(11, "of the receiver")

    def test_lasting_error_uses_no_processor(self):
        """Guards against a thread that fills the log and leaves no time to others."""
        calls = count()

        def fail(buffer):
            next(calls)
            if self.is_over.is_set():
                raise SystemExit
            raise OSError(12, "Cannot allocate memory")

        self.channel._socket.close()
        self.channel._socket = Mock(recvfrom_into=fail)
        self.channel.start()
        sleep(0.5)
        self.assertLess(next(calls), 50)
        self.log_failure.assert_called()

    def test_errors_of_the_receiver_delay_no_datagram(self):
        body = encode(SendNotice([("t1", 5)]))
        self.channel.start()
        began_at = monotonic()
        for _ in range(100):
            self.sender.sendto(body, self.channel._socket.getsockname())
            self.received.get(timeout=WAIT_S)
        self.assertLess(monotonic() - began_at, 1.0)


if __name__ == "__main__":
    unittest.main()
