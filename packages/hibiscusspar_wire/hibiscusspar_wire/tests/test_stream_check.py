"""Tests of the validation of relayed streams."""

import unittest

from msgspec import json

from hibiscusspar_wire.stream_check import StreamCheck

DONE = b"data: [DONE]\n\n"


def frame(index, request="r", model="larch@2", text="t", last=False):
    """Return a chunk of a completion as a frame."""
    value = {"id": request, "model": model, "index": index}
    value["choices"] = [{"index": 0, "text": text, "finish_reason": None}]
    if last:
        value["usage"] = {"prompt_tokens": 3, "completion_tokens": index + 1}
    return b"data: " + json.encode(value) + b"\n\n"


class TestStreamCheck(unittest.TestCase):
    def setUp(self):
        self.check = StreamCheck("r", "larch@2")

    def test_valid_stream_passes_unchanged_for_any_split(self):
        data = frame(0) + frame(1) + frame(2, last=True) + DONE
        for size in (1, 7, 1000):
            check = StreamCheck("r", "larch@2")
            pieces = [data[at : at + size] for at in range(0, len(data), size)]
            passed = b"".join(check.feed(piece) for piece in pieces)
            self.assertEqual((passed, check.done, check.tokens), (data, True, 6))

    def test_first_invalid_frame_stops_the_stream(self):
        invalid = {
            "other request": frame(1, request="x"),
            "other adapter": frame(1, model="oak@1"),
            "repeated": frame(0),
            "gap": frame(2),
            "end too soon": DONE,
            "not a chunk": b'data: {"error": 1}\n\n',
        }
        for name, data in invalid.items():
            with self.subTest(name):
                check = StreamCheck("r", "larch@2")
                passed = check.feed(frame(0) + data + frame(1))
                self.assertEqual(passed, frame(0))
                self.assertTrue(check.fault)
                self.assertFalse(check.done)

    def test_data_after_the_end_is_a_fault(self):
        self.check.feed(frame(0, last=True) + DONE + frame(1))
        self.assertTrue(self.check.fault)

    def test_partial_frame_is_discarded_on_reconnection(self):
        self.check.feed(frame(0) + frame(1)[:20])
        self.check.discard_partial_frame()
        self.assertEqual(self.check.feed(frame(1)), frame(1))

    def test_replay_passes_only_the_chunks_after_the_skipped_ones(self):
        self.check.feed(frame(0) + frame(1))
        replay = self.check.replay()
        remaining = frame(2, last=True) + DONE
        self.assertEqual(replay.feed(frame(0) + frame(1) + remaining), remaining)
        self.assertTrue(replay.done)

    def test_replay_with_different_text_is_a_fault(self):
        self.check.feed(frame(0) + frame(1))
        replay = self.check.replay()
        passed = replay.feed(frame(0) + frame(1, text="other") + frame(2))
        self.assertEqual((passed, bool(replay.fault)), (b"", True))

    def test_shorter_replay_is_a_fault(self):
        self.check.feed(frame(0) + frame(1))
        replay = self.check.replay()
        self.assertEqual(replay.feed(frame(0, last=True) + DONE), b"")
        self.assertTrue(replay.fault)
