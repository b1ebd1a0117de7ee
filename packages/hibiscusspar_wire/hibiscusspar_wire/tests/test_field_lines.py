"""Tests of the field lines in the heads and trailers of answers."""

import unittest

from urllib3.exceptions import HTTPError

from hibiscusspar_wire.target_connections import CallFailedError
from hibiscusspar_wire.tests.field_lines import BAD_NAMES, VALID_LINES, with_line
from hibiscusspar_wire.tests.test_strict_http import AnswerTestCase


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
