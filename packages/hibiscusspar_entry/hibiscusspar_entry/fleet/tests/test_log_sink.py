"""Tests of the buffered log output."""

import unittest
from collections import deque
from io import BytesIO
from unittest.mock import MagicMock, Mock

from hibiscusspar_entry.fleet.log_sink import LogSink


class _SharedLines(deque):
    """Buffer whose last line another thread takes after a look at it."""

    def __bool__(self):
        return True


class TestLogSink(unittest.TestCase):
    def test_lines_that_another_thread_has_written_end_no_flush(self):
        """Guards against a process that doesn't end after its last flush."""
        output = BytesIO()
        sink = LogSink({"vm": "n1"}, output)
        sink._lines = _SharedLines()
        sink.add({"event": 1})
        sink.flush()
        sink.flush()
        self.assertEqual(output.getvalue(), b'{"vm":"n1","event":1}\n')

    def test_line_that_cannot_be_encoded_ends_no_flush(self):
        """Guards against a log that ends with one line, for ever."""
        output = BytesIO()
        sink = LogSink({}, output)
        unprintable = MagicMock(__str__=Mock(side_effect=KeyError("text")))
        for value in ("\ud800", unprintable, "last"):
            sink.add({"reason": value})
        sink.flush()
        self.assertEqual(output.getvalue(), b'{"reason":"last"}\n')
        self.assertEqual(sink._dropped, 2)
