"""Tests of answers that end early, or whose status or length can't be told."""

import socket
import unittest
from threading import Thread
from time import monotonic

from urllib3.exceptions import HTTPError

from hibiscusspar_wire.strict_http import strict_pool_manager
from hibiscusspar_wire.target_connections import CallFailedError, TargetConnections

HEAD = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
WITH_LENGTH = HEAD + b"Content-Length: 12\r\n\r\n" + b"whole answer"
AFTER_INTERIM = b"HTTP/1.1 100 Continue\r\nX-Early: 1\r\n\r\n" + WITH_LENGTH
CHUNKED = HEAD + (
    b"Transfer-Encoding: chunked\r\n\r\n"
    b"00c\r\nwhole answer\r\n000\r\nX-Trailer: 1\r\n\r\n"
)
# Status lines that are no answer's: RFC 9112 has three digits behind one space, RFC
# 9110 the codes 100 to 599, and nobody asks to switch protocols (101).
BAD_STATUS_LINES = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 0200 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 2_00 OK",
    b"HTTP/1.1 1_03 OK",
    b"HTTP/1.1 200OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.x 200 OK",
    b" HTTP/1.1 200 OK",
)
UNFRAMED = HEAD + b"Content-Type: text/plain\r\n\r\n"


class AnswerTestCase(unittest.TestCase):
    def setUp(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.listener = listener
        self.address = "{}:{}".format(*listener.getsockname())
        self.connections = TargetConnections(monotonic, 1.0)
        self.manager = strict_pool_manager(retries=False, timeout=2.0)

    def read(self, data):
        """Return the body of an answer that ends with its connection."""
        connection = self.connections.acquire("t1", self.address, 1.0)
        accepted, _ = self.listener.accept()
        try:
            connection.send("GET", "/", [], b"", 1.0)
            accepted.sendall(data)
            accepted.shutdown(socket.SHUT_WR)
            response = connection.response(1.0)
            return connection.read_whole(response, 1.0, 1000)
        finally:
            accepted.close()
            connection.close()

    def read_pooled(self, data):
        """Return the body that a client with pooled connections reads."""
        pool = self.manager.connection_from_url(f"http://{self.address}")
        thread = Thread(target=self.answer, args=(data,))
        thread.start()
        try:
            return pool.request("GET", "/").data
        finally:
            thread.join()

    def answer(self, data):
        accepted, _ = self.listener.accept()
        with accepted:
            accepted.recv(1000)
            accepted.sendall(data)


class TestTruncatedAnswers(AnswerTestCase):
    """Guards against a truncated answer that is taken for a whole one."""

    def test_answers_cut_at_any_byte_fail(self):
        for whole in (WITH_LENGTH, AFTER_INTERIM, CHUNKED):
            self.assertEqual(self.read(whole), b"whole answer")
            for size in range(len(whole)):
                with self.subTest(whole[:size]), self.assertRaises(CallFailedError):
                    self.read(whole[:size])

    def test_answers_without_length_fail_if_cut_in_their_head(self):
        self.assertEqual(self.read(UNFRAMED + b"any"), b"any")
        for size in range(len(UNFRAMED)):
            with self.subTest(UNFRAMED[:size]), self.assertRaises(CallFailedError):
                self.read(UNFRAMED[:size])

    def test_pooled_clients_fail_alike(self):
        for whole in (WITH_LENGTH, CHUNKED, UNFRAMED):
            for size in range(0, len(whole), 3):
                with self.subTest(whole[:size]), self.assertRaises(HTTPError):
                    self.read_pooled(whole[:size])


class TestStatusLines(AnswerTestCase):
    """Guards against a malformed status line that is taken for that of an answer."""

    def test_answers_with_malformed_status_lines_fail(self):
        for line in BAD_STATUS_LINES:
            data = WITH_LENGTH.replace(b"HTTP/1.1 200 OK", line)
            with self.subTest(line), self.assertRaises(CallFailedError):
                self.read(data)
            with self.subTest(line, pooled=True), self.assertRaises(HTTPError):
                self.read_pooled(data)

    def test_interim_answers_with_malformed_status_lines_fail(self):
        for line in BAD_STATUS_LINES:
            data = line + b"\r\n\r\n" + WITH_LENGTH
            with self.subTest(line), self.assertRaises(CallFailedError):
                self.read(data)
            with self.subTest(line, pooled=True), self.assertRaises(HTTPError):
                self.read_pooled(data)

    def test_interim_answers_are_skipped(self):
        for line in (b"100 Continue", b"102 Processing", b"103 Early Hints"):
            data = b"HTTP/1.1 " + line + b"\r\n\r\n" + WITH_LENGTH
            with self.subTest(line):
                self.assertEqual(self.read(data), b"whole answer")
                self.assertEqual(self.read_pooled(data), b"whole answer")

    def test_status_line_may_lack_a_reason(self):
        for line in (b"HTTP/1.1 200", b"HTTP/1.1 200 ", b"HTTP/1.0 599 Other"):
            data = WITH_LENGTH.replace(b"HTTP/1.1 200 OK", line)
            with self.subTest(line):
                self.assertEqual(self.read(data), b"whole answer")
                self.assertEqual(self.read_pooled(data), b"whole answer")


class TestFraming(AnswerTestCase):
    """Guards against a body that is read to the end of its connection by mistake."""

    def test_unknown_framing_fails(self):
        for field in (
            b"Content-Length: 1x",
            b"Content-Length: -3",
            b"Content-Length: 3\r\nContent-Length: 12",
            b"Transfer-Encoding: gzip, chunked",
            b"Transfer-Encoding: other",
        ):
            with self.subTest(field), self.assertRaises(CallFailedError):
                self.read(HEAD + field + b"\r\n\r\n3\r\nabc\r\n0\r\n\r\n")

    def test_repeated_equal_lengths_are_one_length(self):
        field = b"Content-Length: 3\r\n"
        self.assertEqual(self.read(HEAD + field + field + b"\r\nabc"), b"abc")


if __name__ == "__main__":
    unittest.main()
