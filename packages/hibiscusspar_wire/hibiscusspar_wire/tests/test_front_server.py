"""Tests of the server of the callers' port."""

import os
import socket
import threading
import unittest
from contextlib import contextmanager, suppress
from resource import RLIMIT_NOFILE, getrlimit, setrlimit
from time import monotonic, sleep, time
from unittest.mock import patch

from cheroot.connections import ConnectionManager
from cheroot.server import HTTPConnection
from cheroot.workers.threadpool import WorkerThread

from hibiscusspar_wire.front_server import BadRequestError, FrontServer
from hibiscusspar_wire.idle_connections import ACCEPT_PAUSE_S

_REQUEST = b"POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"
_TIMEOUT_S = 5.0


def wait_for_unanswered(case, server, count):
    for _ in range(200):
        if server.unanswered == count:
            break
        sleep(0.01)
    case.assertEqual(server.unanswered, count)


def receive(caller):
    received = b""
    while not received.endswith(b"end\n") and (data := caller.recv(4096)):
        received += data
    return received


class ServerTestCase(unittest.TestCase):
    """Server that answers each request after reading its body."""

    def setUp(self):
        self.server = FrontServer("127.0.0.1:0", self._handle, 16, 64)
        self.server.set_limits(4096, 4096, 4.0)
        self.server.start()
        self.addCleanup(self.server.stop)

    def _handle(self, inbound):
        try:
            inbound.read_body(4096)
        except BadRequestError as error:
            inbound.close_after_answer()
            inbound.answer(error.status, [], b"")
            return
        inbound.answer(200, [], b"end\n")

    def connect(self):
        address = ("127.0.0.1", self.server.port)
        caller = socket.create_connection(address, _TIMEOUT_S)
        self.addCleanup(caller.close)
        return caller

    def is_answered(self, caller):
        try:
            caller.sendall(_REQUEST % 0)
            return receive(caller).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class TestChunkedBodies(ServerTestCase):
    """Guards against kept connections that wait for the rest of a request in vain.

    They hold a thread, count as open requests, and end with an answer that no request
    has asked for.
    """

    def send(self, caller, trailer=b""):
        head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        caller.sendall(head + b"2\r\n{}\r\n0\r\n" + trailer + b"\r\n")
        return receive(caller)

    def test_connection_is_idle_after_the_answer(self):
        self.server._server.transfer_timeout_s = 0.3
        for trailer in (b"", b"X-Sum: 1\r\n"):
            caller = self.connect()
            self.assertTrue(self.send(caller, trailer).startswith(b"HTTP/1.1 200"))
            wait_for_unanswered(self, self.server, 0)
            sleep(0.6)
            self.assertTrue(self.send(caller, trailer).startswith(b"HTTP/1.1 200"))

    def test_long_chunk_is_refused_as_too_long(self):
        caller = self.connect()
        head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        caller.sendall(head + b"2000\r\n")
        self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 413"))


class TestIdleConnections(ServerTestCase):
    """Guards against connections that are closed while callers may use them."""

    def test_lower_limit_closes_no_connection_that_callers_may_use(self):
        callers = [self.connect() for _ in range(60)]
        self.assertTrue(all(self.is_answered(caller) for caller in callers))
        sleep(1.5)
        self.server.set_limits(4096, 4096, 1.0)
        answered = 0
        for caller in callers:
            sleep(0.02)
            answered += self.is_answered(caller)
        self.assertEqual(answered, 60)

    def test_caller_may_learn_of_a_lower_limit_a_moment_later(self):
        """The connection becomes idle just after the change."""
        caller = self.connect()
        self.server.set_limits(4096, 4096, 1.0)
        self.assertTrue(self.is_answered(caller))
        sleep(2.0)
        self.assertTrue(self.is_answered(caller))

    def test_lower_limit_holds_for_connections_used_later(self):
        self.server.set_limits(4096, 4096, 0.5)
        caller = self.connect()
        self.assertTrue(self.is_answered(caller))
        self.assertEqual(caller.recv(1), b"")
        self.assertEqual(self.server.closed_idle_count, 1)

    def test_connection_without_a_request_is_closed_as_idle(self):
        self.server.set_limits(4096, 4096, 0.5)
        self.assertEqual(self.connect().recv(1), b"")

    def test_higher_limit_holds_for_connections_that_wait(self):
        self.server.set_limits(4096, 4096, 1.5)
        caller = self.connect()
        self.assertTrue(self.is_answered(caller))
        self.server.set_limits(4096, 4096, 4.0)
        sleep(2.5)
        self.assertTrue(self.is_answered(caller))

    def test_jump_of_the_time_of_day_closes_no_connection(self):
        caller = self.connect()
        self.assertTrue(self.is_answered(caller))
        ahead = time() + 3600.0
        with patch("cheroot.connections.time.time", lambda: ahead):
            sleep(1.2)
            self.assertTrue(self.is_answered(caller))

    def test_connection_may_become_idle_while_idle_ones_are_closed(self):
        caller = self.connect()
        before = monotonic()
        self.assertTrue(self.is_answered(caller))
        wait_for_unanswered(self, self.server, 0)
        sleep(0.1)
        with patch("hibiscusspar_wire.idle_connections.monotonic", lambda: before):
            self.server._server._connections._close_idle()
        self.assertTrue(self.is_answered(caller))

    def test_callers_are_told_the_idle_limit(self):
        """Those of HTTP/1.0 that ask for it keep their connections as long."""
        self.server.set_limits(4096, 4096, 3.0)
        caller = self.connect()
        head = _REQUEST.replace(b"1.1\r\n", b"1.0\r\nConnection: Keep-Alive\r\n")
        caller.sendall(head % 0)
        self.assertIn(b"\r\nKeep-Alive: timeout=3.0\r\n", receive(caller))

    def test_caller_may_take_longer_for_a_body_than_idle_connections_last(self):
        self.server.set_limits(4096, 4096, 0.5)
        caller = self.connect()
        caller.sendall((_REQUEST % 0)[:-1])
        sleep(1.2)
        caller.sendall(b"}")
        self.assertTrue(receive(caller).startswith(b"HTTP/1.1 200"))


class TestStart(unittest.TestCase):
    def test_server_may_be_asked_to_grow_before_it_starts(self):
        """Guards against a node that ends when its first tick comes early."""
        server = FrontServer("127.0.0.1:0", lambda inbound: None, 2, 64)
        server.grow()
        server.start()
        self.addCleanup(server.stop)
        server.grow()
        self.assertGreater(server._server.requests.count, 2)


class TestUnansweredRequests(unittest.TestCase):
    def test_requests_that_wait_for_a_thread_count(self):
        """Guards against a stop that exits before they are answered."""
        may_end = threading.Event()

        def handle(inbound):
            may_end.wait(_TIMEOUT_S)
            inbound.answer(200, [], b"end\n")

        server = FrontServer("127.0.0.1:0", handle, 2, 2)
        server.start()
        self.addCleanup(server.stop)
        self.assertEqual(server.unanswered, 0)
        for _ in range(5):
            address = ("127.0.0.1", server.port)
            caller = socket.create_connection(address, _TIMEOUT_S)
            self.addCleanup(caller.close)
            caller.sendall(_REQUEST % 0)
        wait_for_unanswered(self, server, 5)
        may_end.set()
        wait_for_unanswered(self, server, 0)


class TestManyRequests(unittest.TestCase):
    def setUp(self):
        self.may_end = threading.Event()
        self.addCleanup(self.may_end.set)
        self.held, self.refused = threading.Semaphore(0), threading.Semaphore(0)

    def handle(self, inbound):
        inbound.read_body(4096)
        if inbound.is_excess:
            inbound.answer(503, [], b"end\n")
            self.refused.release()
            return
        self.held.release()
        self.may_end.wait(_TIMEOUT_S)
        inbound.answer(200, [], b"end\n")

    def start(self, *threads):
        server = FrontServer("127.0.0.1:0", self.handle, *threads)
        server.start()
        self.addCleanup(server.stop)
        self.addCleanup(self.may_end.set)
        return server

    def send(self, server, count):
        callers = []
        for _ in range(count):
            address = ("127.0.0.1", server.port)
            callers.append(socket.create_connection(address, _TIMEOUT_S))
            self.addCleanup(callers[-1].close)
        for caller in callers:
            caller.sendall(_REQUEST % 0)
        return callers

    def held_count(self, count):
        return sum(self.held.acquire(timeout=_TIMEOUT_S / 2) for _ in range(count))

    def test_burst_does_not_wait_for_the_next_periodic_growth(self):
        """Guards against requests that wait unread though more threads are allowed."""
        server = self.start(32, 320, 16)
        callers = self.send(server, 300)
        self.assertEqual(self.held_count(300), 300)
        self.may_end.set()
        for caller in callers:
            self.assertTrue(receive(caller).startswith(b"HTTP/1.1 200"))

    def test_requests_beyond_the_threads_do_not_wait_unread(self):
        """Guards against callers that get neither an answer nor a refusal."""
        server = self.start(4, 8, 2)
        held = self.send(server, 8)
        self.assertEqual(self.held_count(8), 8)
        for caller in self.send(server, 30):
            self.assertTrue(receive(caller).startswith(b"HTTP/1.1 503"))
        self.may_end.set()
        for caller in held:
            self.assertTrue(receive(caller).startswith(b"HTTP/1.1 200"))

    def test_burst_beyond_the_threads_fills_them(self):
        """Guards against threads that all refuse because all have a request."""
        server = self.start(4, 8, 8)
        callers = self.send(server, 40)
        self.assertEqual(self.held_count(8), 8)
        for _ in range(32):
            self.assertTrue(self.refused.acquire(timeout=_TIMEOUT_S / 2))
        self.may_end.set()
        answers = [receive(caller)[:12] for caller in callers]
        self.assertEqual(answers.count(b"HTTP/1.1 200"), 8)
        self.assertEqual(answers.count(b"HTTP/1.1 503"), 32)

    def test_requests_are_served_again_once_others_have_ended(self):
        """Guards against reserve threads that are never free again."""
        server = self.start(4, 8, 2)
        held = self.send(server, 8)
        self.assertEqual(self.held_count(8), 8)
        refused = self.send(server, 4)
        for caller in refused:
            self.assertTrue(receive(caller).startswith(b"HTTP/1.1 503"))
        self.may_end.set()
        for caller in held:
            self.assertTrue(receive(caller).startswith(b"HTTP/1.1 200"))
        wait_for_unanswered(self, server, 0)
        for caller in refused:
            caller.sendall(_REQUEST % 1)
            self.assertTrue(receive(caller).startswith(b"HTTP/1.1 200"))


class FrontServerTest(unittest.TestCase):
    def setUp(self):
        self.uris = []
        self.server = FrontServer("127.0.0.1:0", self._handle, 2, 4)
        self.server.set_limits(4096, 4096, _TIMEOUT_S)
        self.server.start()
        self.addCleanup(self.server.stop)
        address = ("127.0.0.1", self.server.port)
        self.caller = socket.create_connection(address, _TIMEOUT_S)
        self.addCleanup(self.caller.close)

    def test_requests_sent_together_are_all_answered(self):
        """Guards against a second request that stays in the buffer of the first."""
        self.caller.sendall(_REQUEST % 0 + _REQUEST % 1 + _REQUEST % 2)
        self._expect_answers(3)
        self.assertEqual(self.uris, ["/0", "/1", "/2"])

    def test_connection_is_used_again_after_a_pause(self):
        """Guards against a connection that no longer waits after it was checked."""
        for number in range(3):
            self.caller.sendall(_REQUEST % number)
            self._expect_answers(1)
        self.assertEqual(self.uris, ["/0", "/1", "/2"])

    def test_head_and_body_may_arrive_in_parts(self):
        """Guards against reads that take the bytes received for the whole request."""
        request = _REQUEST % 7
        for start in range(0, len(request), 10):
            self.caller.sendall(request[start : start + 10])
        self._expect_answers(1)
        self.assertEqual(self.uris, ["/7"])

    def test_short_body_is_refused(self):
        """Guards against a truncated body that is taken for a complete one."""
        self.caller.sendall((_REQUEST % 0)[:-1])
        self.caller.shutdown(socket.SHUT_WR)
        self.assertIn(b"400 Bad Request", self._received(b"shorter"))
        self.assertEqual(self.uris, [])

    def _handle(self, inbound):
        try:
            inbound.read_body(4096)
        except Exception as error:  # noqa: BLE001
            inbound.close_after_answer()
            inbound.answer(400, [], repr(error).encode())
            return
        self.uris.append(inbound.head.uri)
        inbound.answer(200, [], b"end\n")

    def _expect_answers(self, count):
        received = self._received(b"end\n", count)
        self.assertEqual(received.count(b"HTTP/1.1 200 OK"), count)

    def _received(self, end, count=1):
        received = b""
        while received.count(end) < count:
            data = self.caller.recv(4096)
            if not data:
                break
            received += data
        return received


class TestWithoutDescriptors(ServerTestCase):
    """Guards against kept connections that aren't served while none is accepted."""

    def setUp(self):
        super().setUp()
        self.errors = []
        self.server._server.on_error = self.errors.append

    @contextmanager
    def without_descriptors(self):
        """Leave this process no free descriptor."""
        held = []
        limits = getrlimit(RLIMIT_NOFILE)
        setrlimit(RLIMIT_NOFILE, (min(limits[0], 512), limits[1]))
        try:
            with suppress(OSError):
                while True:
                    held.append(os.dup(0))
            yield
        finally:
            for descriptor in held:
                os.close(descriptor)
            setrlimit(RLIMIT_NOFILE, limits)

    def unconnected(self):
        """Return the socket of a caller that has not connected yet."""
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.settimeout(_TIMEOUT_S)
        return caller

    def test_kept_connection_is_served_while_callers_connect(self):
        kept = self.connect()
        self.assertTrue(self.is_answered(kept))
        new = [self.unconnected() for _ in range(3)]
        with self.without_descriptors():
            for caller in new:
                caller.connect(("127.0.0.1", self.server.port))
            began = monotonic()
            for _ in range(20):
                self.assertTrue(self.is_answered(kept))
                sleep(0.02)
            # One error for each pause, not one for each turn of the loop.
            pauses = (monotonic() - began) / ACCEPT_PAUSE_S
            self.assertLess(len(self.errors), pauses + 3)
            self.assertGreater(len(self.errors), 0)
        for caller in new:
            self.assertTrue(self.is_answered(caller))

    def test_idle_connections_are_closed_while_none_is_accepted(self):
        self.server.set_limits(4096, 4096, 0.2)
        idle, new = self.connect(), self.unconnected()
        self.assertTrue(self.is_answered(idle))
        with self.without_descriptors():
            new.connect(("127.0.0.1", self.server.port))
            self.assertEqual(idle.recv(1), b"")
            # Its descriptor serves the caller that waits.
            self.assertTrue(self.is_answered(new))


class TestErrorsOfOneConnection(ServerTestCase):
    """Guards against an error of one connection that closes the port for all."""

    def setUp(self):
        super().setUp()
        self.errors = []
        self.server._server.on_error = self.errors.append

    def connect_and_keep(self):
        """Return a connection that the server has kept after an answer."""
        kept, put = threading.Semaphore(0), ConnectionManager.put

        def record(manager, connection):
            put(manager, connection)
            kept.release()

        with patch.object(ConnectionManager, "put", record):
            caller = self.connect()
            # It waits for its first request once it is accepted.
            self.assertTrue(kept.acquire(timeout=_TIMEOUT_S))
            self.assertTrue(self.is_answered(caller))
            self.assertTrue(kept.acquire(timeout=_TIMEOUT_S))
        return caller

    def assert_fails_alone(self, target, name):
        other = self.connect_and_keep()
        failing = self.connect()
        with patch.object(target, name, side_effect=OSError(28, "no space")):
            # Some requests, as each would end a thread.
            for caller in (failing, self.connect(), self.connect()):
                self.is_answered(caller)
                caller.close()
            sleep(0.2)
        self.assertTrue(self.errors)
        self.assertTrue(self.is_answered(other))
        self.assertTrue(self.is_answered(self.connect()))

    def test_connection_that_cannot_be_kept(self):
        self.assert_fails_alone(ConnectionManager, "put")

    def test_connection_that_cannot_be_closed(self):
        self.assert_fails_alone(HTTPConnection, "close")

    def test_listening_socket_that_cannot_be_watched_again(self):
        connections, full = self.server._server._connections, OSError(28, "no space")
        with (
            patch.object(connections, "_from_server_socket", side_effect=full),
            patch.object(connections._selector, "register", side_effect=full),
        ):
            self.connect()
            sleep(0.3)
        self.assertLess(len(self.errors), 20)
        self.assertTrue(self.errors)
        self.assertTrue(self.is_answered(self.connect()))


class TestWithoutThreads(ServerTestCase):
    """Guards against requests that are neither served nor counted as open."""

    def setUp(self):
        self.go_on = threading.Event()
        self.addCleanup(self.go_on.set)
        super().setUp()
        self.errors = []
        self.server._server.on_error = self.errors.append

    def _handle(self, inbound):
        self.go_on.wait(_TIMEOUT_S)
        super()._handle(inbound)

    def test_all_requests_are_counted_and_answered(self):
        callers = [self.connect() for _ in range(40)]
        failing = RuntimeError("can't start new thread")
        with patch.object(WorkerThread, "start", side_effect=failing):
            for caller in callers:
                caller.sendall(_REQUEST % 0)
            wait_for_unanswered(self, self.server, 40)
            self.server.grow()
        self.assertTrue(self.errors)
        last = self.connect()
        last.sendall(_REQUEST % 0)
        wait_for_unanswered(self, self.server, 41)
        self.assertEqual(self.server._server.requests.free, 0)
        self.go_on.set()
        for caller in (*callers, last):
            self.assertTrue(receive(caller).startswith(b"HTTP/1.1 200"))
        wait_for_unanswered(self, self.server, 0)
