"""Tests of the client of entry VMs with raw answers."""

import socket
from threading import Thread
from unittest import TestCase, main

from hibiscusspar.errors import StepError
from hibiscusspar_ctl.nodes import drain_node, node_statuses, read_status
from hibiscusspar_wire.tests.field_lines import BAD_NAMES, BAD_VALUES, VALID_LINES

BODY = b'{"ready":true}'
LENGTH = b"Content-Length: %d\r\n\r\n" % len(BODY)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def with_line(line):
    return b"HTTP/1.1 200 OK\r\n" + line + b"\r\n" + LENGTH + BODY


BROKEN = (
    with_line(b"A: v").replace(b"200", b"000"),
    with_line(b"A: v").replace(b"200", b"2_00"),
    with_line(b"A: v").replace(b"200", b"600"),
    b"HTTP/1.1 200 OK\r\nA: v\r\n",
    b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"+e\r\n" + BODY + b"\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"e\r\n" + BODY + b"XX0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"e\r\n" + BODY + b"\r\n0\r\nX Y: v\r\n\r\n",
    *map(with_line, BAD_NAMES + BAD_VALUES),
)


class TestAnswers(TestCase):
    """Guards against a broken answer of an entry VM that is taken for whole."""

    def serve(self, data):
        """Answer one request with these bytes; return the address."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def answer():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(data)

        thread = Thread(target=answer)
        thread.start()
        self.addCleanup(thread.join)
        return "{}:{}".format(*listener.getsockname())

    def test_broken_answers_fail(self):
        for data in BROKEN:
            with self.subTest(data):
                with self.assertRaises(StepError):
                    read_status(self.serve(data))
                with self.assertRaises(StepError):
                    drain_node(self.serve(data), "secret")
                (row,) = node_statuses([self.serve(data)])
                self.assertEqual(list(row), ["address", "error"])

    def test_valid_answers_are_read(self):
        for line in VALID_LINES:
            self.assertEqual(read_status(self.serve(with_line(line))), {"ready": True})
            drain_node(self.serve(with_line(line)), "secret")


if __name__ == "__main__":
    main()
