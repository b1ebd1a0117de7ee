"""Tests of answers in chunks whose sizes, ends or trailers are malformed."""

import unittest

from hibiscusspar_wire.tests.field_lines import BAD_NAMES, BAD_VALUES, VALID_LINES
from hibiscusspar_wire.tests.test_field_lines import FieldLineTestCase

HEAD = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"
# Python reads most of them as numbers.
BAD_SIZES = (
    b"",
    b" ",
    b"+c",
    b"-c",
    b"0xc",
    b"0_c",
    b" c",
    b"c ",
    b"c\t",
    b"\x0bc",
    b"c\x00",
    b"c\r",
    b"g",
    b"c c",
    b";c",
    b"c;a\x00",
    b"c;a\rb",
    b"c;a\x7f",
    b"1" + 15 * b"0" + b"c",
)
BAD_LAST_SIZES = (b"+0", b"-0", b"0x0", b"0_0", b"0 ", b"\x0b0", b"0\r", b"00;a\r")
VALID_SIZES = (b"c", b"C", b"000c", 40 * b"0" + b"c")
EXTENSIONS = (b"", b";a", b";a=b", b' ; a = "b;c"', b"\t;a;b=\xff")


class TestSizes(FieldLineTestCase):
    """Guards against a size that another reader takes for a different one."""

    def test_malformed_sizes_fail(self):
        for size in BAD_SIZES:
            self.assert_fails(HEAD + size + b"\r\nwhole answer\r\n" + END)
            self.assert_fails(
                HEAD + b"1\r\nw\r\n" + size + b"\r\nhole answer.\r\n" + END
            )

    def test_malformed_sizes_of_the_last_chunk_fail(self):
        for size in BAD_LAST_SIZES:
            self.assert_fails(HEAD + b"c\r\nwhole answer\r\n" + size + b"\r\n\r\n")

    def test_size_that_ends_with_a_line_feed_only_fails(self):
        self.assert_fails(HEAD + b"c\nwhole answer\r\n" + END)
        self.assert_fails(HEAD + b"c\r\nwhole answer\r\n0\n\r\n")

    def test_valid_sizes_and_extensions_are_read(self):
        for size in VALID_SIZES:
            for extension in EXTENSIONS:
                chunk = size + extension + b"\r\nwhole answer\r\n"
                end = 3 * b"0" + extension + b"\r\n\r\n"
                self.assert_whole(HEAD + chunk + end)


class TestEnds(FieldLineTestCase):
    """Guards against the rest of a chunk that is taken for the end of its line."""

    def test_chunk_that_ends_elsewhere_than_its_size_tells_fails(self):
        for end in (b"XX", b"\n\n", b"\r\r", b"\rX", b"\n"):
            self.assert_fails(HEAD + b"c\r\nwhole answer" + end + END)
            self.assert_fails(
                HEAD + b"5\r\nwhole" + end + b"7\r\n answer\r\n" + END,
            )


class TestTrailers(FieldLineTestCase):
    """Guards against trailers that hide the head of another answer."""

    def with_trailers(self, trailers):
        return HEAD + b"c\r\nwhole answer\r\n0\r\n" + trailers + b"\r\n"

    def test_malformed_trailers_fail(self):
        for line in BAD_NAMES + BAD_VALUES:
            self.assert_fails(self.with_trailers(line + b"\r\n"))
            self.assert_fails(self.with_trailers(b"X-Before: v\r\n" + line + b"\r\n"))
        self.assert_fails(self.with_trailers(b" X: v\r\n"))

    def test_valid_trailers_are_read(self):
        for line in VALID_LINES:
            self.assert_whole(self.with_trailers(line + b"\r\n"))
            self.assert_whole(self.with_trailers(line.replace(b"\r\n", b"\n") + b"\n"))


if __name__ == "__main__":
    unittest.main()
