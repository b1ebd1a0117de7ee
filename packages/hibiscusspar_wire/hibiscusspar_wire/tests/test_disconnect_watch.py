"""Tests of the detection of callers that disconnect."""

import os
import socket
import threading
import unittest
from queue import Queue
from select import EPOLLRDHUP, epoll

from hibiscusspar_wire.disconnect_watch import DisconnectWatch

_TIMEOUT_S = 2.0


class _Notices:
    """Replacement of an epoll object that reports what a test tells it."""

    def __init__(self):
        self._events = Queue()
        self._polls = 0
        self._polled = threading.Condition()

    def register(self, descriptor, mask):
        pass

    def unregister(self, descriptor):
        pass

    def poll(self):
        with self._polled:
            self._polls += 1
            self._polled.notify_all()
        return self._events.get()

    def report(self, descriptor):
        """Report a hang-up and wait until it was handled."""
        with self._polled:
            self._polled.wait_for(lambda: self._polls > 0, _TIMEOUT_S)
            before = self._polls
        self._events.put([(descriptor, EPOLLRDHUP)])
        with self._polled:
            self._polled.wait_for(lambda: self._polls > before, _TIMEOUT_S)


class _FailingEpoll:
    """Epoll object of which each operation fails at first."""

    def __init__(self):
        self._epoll = epoll()
        self._failed = set()

    def __getattr__(self, name):
        if name in self._failed:
            return getattr(self._epoll, name)
        self._failed.add(name)
        raise OSError(28, "No space left on device")


class TestDisconnectWatch(unittest.TestCase):
    def connect(self):
        caller, accepted = socket.socketpair()
        self.addCleanup(caller.close)
        self.addCleanup(accepted.close)
        return caller, accepted

    def test_hang_up_is_reported_once(self):
        watch, gone = DisconnectWatch(self.fail), threading.Event()
        watch.start()
        caller, accepted = self.connect()
        watch.add(accepted, gone.set)
        self.assertFalse(gone.wait(0.05))
        caller.close()
        self.assertTrue(gone.wait(_TIMEOUT_S))

    def test_hang_up_of_an_earlier_connection_cancels_no_request(self):
        """The kernel gives the descriptor of a closed socket to the next connection."""
        notices, cancelled = _Notices(), []
        watch = DisconnectWatch(self.fail, notices)
        watch.start()
        caller, accepted = self.connect()
        descriptor = watch.add(accepted, lambda: cancelled.append("earlier"))
        caller.close()
        watch.remove(descriptor)
        _, later = self.connect()
        os.dup2(later.fileno(), descriptor)
        watch.add(accepted, lambda: cancelled.append("later"))
        notices.report(descriptor)
        self.assertEqual(cancelled, [])

    def test_error_of_a_callback_ends_no_watch(self):
        """Guards against targets that work for callers who have left."""
        errors, gone = Queue(), threading.Event()
        watch = DisconnectWatch(errors.put)
        watch.start()
        for callback in (lambda: 1 / 0, gone.set):
            caller, accepted = self.connect()
            watch.add(accepted, callback)
            caller.close()
        self.assertIsInstance(errors.get(timeout=_TIMEOUT_S), ZeroDivisionError)
        self.assertTrue(gone.wait(_TIMEOUT_S))

    def test_error_of_the_kernel_ends_no_watch_and_no_request(self):
        """Guards against requests without an answer and callers unnoticed as gone."""
        errors, gone = Queue(), threading.Event()
        watch = DisconnectWatch(errors.put, _FailingEpoll())
        watch.start()
        _, unwatched = self.connect()
        watch.remove(watch.add(unwatched, self.fail))
        _, watched = self.connect()
        watch.remove(watch.add(watched, self.fail))
        caller, accepted = self.connect()
        watch.add(accepted, gone.set)
        caller.close()
        self.assertTrue(gone.wait(_TIMEOUT_S))
        for _ in range(2):
            self.assertIsInstance(errors.get(timeout=_TIMEOUT_S), OSError)
