"""Tests of the splitting of event streams."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from hibiscusspar_wire.event_stream import EventSplitter

_FIELDS = (b"data: x", b"event: id:9", b": id:7", b"data: id:8", b"")


def _event(number, fields):
    lines = [field for field in fields if field]
    lines.insert(number % (len(lines) + 1), b"id: %d" % number)
    return b"\n".join(lines) + b"\n\n"


class EventSplitterTest(unittest.TestCase):
    @given(
        st.lists(st.lists(st.sampled_from(_FIELDS), max_size=3), max_size=6),
        st.integers(1, 40),
    )
    def test_result_does_not_depend_on_how_events_arrive(self, rows, size):
        """Guards against whole events that are counted other than parts of them."""
        events = [_event(number, row) for number, row in enumerate(rows, 1)]
        stream = b"".join(events)
        parts = [stream[i : i + size] for i in range(0, len(stream), size)]
        for received in (events, parts, [stream]):
            splitter = EventSplitter(0)
            passed_on = b"".join(splitter.feed(data) for data in received)
            self.assertEqual(passed_on, stream)
            self.assertEqual((splitter.last_event, splitter.count), (len(rows),) * 2)
            self.assertFalse(splitter.has_partial_event)

    def test_missing_and_repeated_events_are_detected(self):
        """Guards against a gap in a stream that passes because events arrive whole."""
        for number in (1, 3):
            splitter = EventSplitter(0)
            splitter.feed(_event(1, []))
            with self.assertRaises(ValueError):
                splitter.feed(_event(number, []))

    def test_late_copy_of_another_answer_is_no_event(self):
        """Guards against a copy whose first event has the number that is due."""
        for fields in (b"", b"id: 2\n"):
            copy = b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n" + fields + b"data: x\n\n"
            for parts in ([copy], [copy[:9], copy[9:]]):
                splitter = EventSplitter(0)
                splitter.feed(_event(1, []))
                with self.assertRaises(ValueError):
                    list(map(splitter.feed, parts))

    def test_events_that_arrive_with_a_bad_one_do_not_count(self):
        """Guards against a stream that goes on behind events that nobody got."""
        for bad in (_event(4, []), b"HTTP/1.1 200 OK\r\nA: b\r\n\r\nx\n\n"):
            splitter = EventSplitter(0)
            splitter.feed(_event(1, []))
            with self.assertRaises(ValueError):
                splitter.feed(_event(2, []) + bad)
            self.assertEqual((splitter.last_event, splitter.count), (1, 1))

    def test_event_without_a_valid_number_is_passed_on(self):
        """Guards against text that only contains the name of the field."""
        splitter = EventSplitter(4)
        for data in (b"data: id:9\n\n", b"id: x\n\n", b": keep-alive\n\n", b"\n\n"):
            self.assertEqual(splitter.feed(data), data)
        self.assertEqual((splitter.last_event, splitter.count), (4, 0))
