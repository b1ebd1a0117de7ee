"""Tests of the field lines in the heads and trailers of answers."""

import re
import socket
import unittest
from string import ascii_letters, digits

from hypothesis import example, given, settings
from hypothesis.strategies import binary, lists, one_of, sampled_from, tuples
from urllib3.exceptions import HTTPError

from hibiscusspar_wire.target_connections import CallFailedError
from hibiscusspar_wire.tests.field_lines import (
    BAD_NAMES,
    BAD_VALUES,
    VALID_LINES,
    with_line,
)
from hibiscusspar_wire.tests.test_strict_http import AnswerTestCase

TOKEN_CHARACTERS = frozenset("!#$%&'*+-.^_`|~" + ascii_letters + digits)
FRAMING_FIELDS = frozenset({"content-length", "transfer-encoding"})
NAMES = one_of(
    sampled_from((b"X", b"Content-Length", b"Transfer-Encoding", b"From")),
    binary(max_size=3),
)
VALUES = one_of(
    sampled_from((b"v", b" v ", b"", b"3", b"chunked", b"HTTP/1.1 200 OK")),
    binary(max_size=4),
)
LINES = tuples(
    sampled_from((b"", b"", b"", b" ", b"\t")),
    NAMES,
    sampled_from((b":", b":", b": ", b" :", b"")),
    VALUES,
    sampled_from((b"\r\n", b"\n", b"\r", b"")),
).map(b"".join)


def parse_fields(data):
    """Return the fields of a head by the grammar of RFC 9112, None if it is invalid."""
    fields = []
    for line in data.decode("latin-1").split("\n")[:-1]:
        text = line.removesuffix("\r")
        if not text:
            return sorted((name, join_blanks(value)) for name, value in fields)
        if "\r" in text or "\0" in text:
            return None
        if text[0] in " \t":
            if not fields:
                return None
            fields[-1] = (fields[-1][0], f"{fields[-1][1]} {text}")
            continue
        name, colon, value = text.partition(":")
        if not colon or not name or not set(name) <= TOKEN_CHARACTERS:
            return None
        fields.append((name, value))
    return None


def join_blanks(text):
    """Return a value whose blanks and tabs are one blank, and none at its ends."""
    return " ".join(part for part in re.split("[ \t]+", text) if part)


class FieldLineTestCase(AnswerTestCase):
    def assert_fails(self, data):
        with self.subTest(data), self.assertRaises(CallFailedError):
            self.read(data)
        with self.subTest(data, pooled=True), self.assertRaises(HTTPError):
            self.read_pooled(data)

    def assert_whole(self, data):
        with self.subTest(data):
            self.assertEqual(self.read(data), b"whole answer")
            self.assertEqual(self.read_pooled(data), b"whole answer")


class TestNames(FieldLineTestCase):
    """Guards against a malformed name of a field that ends or changes a head."""

    def test_answers_with_malformed_names_fail(self):
        for line in BAD_NAMES:
            for data in with_line(line):
                self.assert_fails(data)

    def test_first_line_is_no_continuation(self):
        for line in (b" X: v", b"\tX: v", b" "):
            data = b"HTTP/1.1 200 OK\r\n" + line + b"\r\nContent-Length: 12\r\n\r\n"
            self.assert_fails(data + b"whole answer")


class TestValues(FieldLineTestCase):
    """Guards against bytes in a value that begin another field at the next reader."""

    def test_answers_with_invalid_bytes_fail(self):
        for line in BAD_VALUES:
            for data in with_line(line):
                self.assert_fails(data)


class TestHeads(FieldLineTestCase):
    """Guards against a head that the caller gets otherwise than it was sent."""

    @settings(derandomize=True, deadline=None, max_examples=1000)
    @given(lists(LINES, max_size=5))
    @example([b"X: a\n", b" b\r\n", b"\t \n", b"Y: c\n"])
    @example([b"X: a\n", b" \r\n", b"\r\r\n", b"Y: c\n"])
    def test_fields_are_those_of_the_grammar_or_the_answer_fails(self, lines):
        head = b"".join(lines) + b"\r\n\r\n"
        expected = parse_fields(head)
        try:
            found = self.read_fields(b"HTTP/1.1 200 OK\r\n" + head)
        except CallFailedError:
            found = None
        if found is None and expected is not None:
            # Framing that can't be told and heads within heads are rejected, too.
            names = {name.lower() for name, _ in expected}
            has_status = any("HTTP/1." in value for _, value in expected)
            self.assertTrue(has_status or names & FRAMING_FIELDS)
        else:
            self.assertEqual(found, expected)

    def read_fields(self, data):
        """Return the names and values of an answer's fields, without outer blanks."""
        connection = self.connections.acquire("t1", self.address, 1.0)
        accepted, _ = self.listener.accept()
        try:
            connection.send("GET", "/", [], b"", 1.0)
            accepted.sendall(data)
            accepted.shutdown(socket.SHUT_WR)
            headers = connection.response(1.0).headers
        finally:
            accepted.close()
            connection.close()
        return sorted((name, join_blanks(value)) for name, value in headers.items())


class TestValidLines(FieldLineTestCase):
    def test_answers_are_read(self):
        for line in VALID_LINES:
            for data in with_line(line):
                self.assert_whole(data)

    def test_lines_may_end_with_a_line_feed_only(self):
        for line in VALID_LINES:
            for data in with_line(line):
                head, end, body = data.partition(b"\r\n\r\n")
                self.assert_whole(head.replace(b"\r\n", b"\n") + b"\n\n" + body)

    def test_heads_near_the_limits_of_size(self):
        many = b"\r\n".join(b"X-%d: v" % number for number in range(90))
        for line in (many, b"X: " + 60_000 * b"v"):
            for data in with_line(line):
                self.assert_whole(data)


if __name__ == "__main__":
    unittest.main()
