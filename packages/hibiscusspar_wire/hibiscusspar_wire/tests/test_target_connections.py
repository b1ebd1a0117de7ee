"""Tests of what tells that nothing listens at the address of a target."""

import socket
import unittest
from time import monotonic

from hibiscusspar_wire.target_connections import CallFailedError, TargetConnections


class TestRefusedConnections(unittest.TestCase):
    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.address = "{}:{}".format(*self.listener.getsockname())

        self.connections = TargetConnections(monotonic, 0.5)

    def acquire(self):
        return self.connections.acquire("t1", self.address, 1.0)

    def test_listening_target_refuses_nothing(self):
        self.acquire().close()
        self.connections.check(self.address)

    def test_closed_port_is_told_from_other_failures(self):
        self.listener.close()
        for connect in (self.acquire, lambda: self.connections.check(self.address)):
            with self.assertRaises(CallFailedError) as caught:
                connect()
            self.assertEqual(caught.exception.step, "connect")
            self.assertTrue(caught.exception.is_refused)

    def test_broken_connection_is_not_refused(self):
        connection = self.acquire()
        accepted, _ = self.listener.accept()
        accepted.close()
        connection.send("GET", "/", [], b"", 1.0)
        with self.assertRaises(CallFailedError) as caught:
            connection.response(1.0)
        self.assertFalse(caught.exception.is_refused)


class TestIdleConnections(unittest.TestCase):
    def test_only_a_connection_that_may_be_reused_counts(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        address = "{}:{}".format(*listener.getsockname())
        now = [50.0]
        connections = TargetConnections(lambda: now[0], 0.5)
        self.assertEqual(connections.idle_targets(), set())
        connection = connections.acquire("t1", address, 1.0)
        self.assertEqual(connections.idle_targets(), set())
        accepted, _ = listener.accept()
        self.addCleanup(accepted.close)
        connection.send("GET", "/", [], b"", 1.0)
        accepted.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        connection.read_whole(connection.response(1.0), 1.0, 100)
        connections.release("t1", connection, {"Keep-Alive": "timeout=5"})
        self.assertEqual(connections.idle_targets(), {("t1", address)})
        now[0] += 4.5
        self.assertEqual(connections.idle_targets(), set())
        connections.close_all_except(())


class TestAbandonedCalls(unittest.TestCase):
    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.connections = TargetConnections(monotonic, 0.5)

    def call(self):
        """Send a request and return both ends of its connection."""
        address = "{}:{}".format(*self.listener.getsockname())
        connection = self.connections.acquire("t1", address, 1.0)
        accepted, _ = self.listener.accept()
        accepted.settimeout(2.0)
        self.addCleanup(accepted.close)
        connection.send("GET", "/", [], b"", 1.0)
        self.assertIn(b"GET", accepted.recv(1000))
        return connection, accepted

    def test_connection_of_an_abandoned_call_is_reset(self):
        connection, accepted = self.call()
        with self.assertRaises(CallFailedError):
            connection.response(0.1)
        connection.close()
        with self.assertRaises(ConnectionResetError):
            accepted.recv(1000)

    def test_connection_of_a_cancelled_call_is_reset(self):
        connection, accepted = self.call()
        connection.cancel()
        connection.close()
        with self.assertRaises(ConnectionError):
            accepted.recv(1000)
            accepted.sendall(b"x")
            accepted.recv(1000)

    def test_connection_is_closed_after_a_whole_answer(self):
        connection, accepted = self.call()
        accepted.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        response = connection.response(1.0)
        while connection.read(response, 1.0):
            pass
        self.connections.release("t1", connection, response.headers)
        self.connections.close_all_except(())
        self.assertEqual(accepted.recv(1000), b"")


if __name__ == "__main__":
    unittest.main()
