"""Tests of the buffered log output."""

import unittest
from collections import deque
from io import BytesIO

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
