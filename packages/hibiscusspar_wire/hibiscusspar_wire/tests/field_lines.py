"""Field lines of answers, malformed and valid, and where they are put in a head."""

__all__ = [
    "BAD_NAMES",
    "BAD_VALUES",
    "VALID_LINES",
    "with_line",
]

# Characters of names beside letters and digits (RFC 9110, section 5.6.2).
_TOKEN_PUNCTUATION = b"!#$%&'*+-.^_`|~"
_DELIMITERS = b'"(),/;<=>?@[\\]{}'

# Lines whose name is no token.
BAD_NAMES = (
    b"X Y: v",
    b"X\tY: v",
    b"X-Y : v",
    b"X-Y\t: v",
    b"X\x00Y: v",
    b"X\x0bY: v",
    b"X\x1fY: v",
    b"X\x7fY: v",
    b"X\x80Y: v",
    b"X\xc3\xa9: v",
    b"X\rY: v",
    b"\rX: v",
    b": v",
    b":",
    b"From x: v",
    b"From x",
    b"no colon",
    b"Content-Length : 3",
    b"Transfer-Encoding\x00: chunked",
    b"HTTP/1.1 200 OK",
    b"\r",
    *(b"X%cY: v" % character for character in _DELIMITERS),
)
# Lines whose value holds a byte that a recipient must not pass on (RFC 9110, 5.5).
BAD_VALUES = (
    b"X: a\x00b",
    b"X: \x00",
    b"X: a\rb",
    b"X: a\rSet-Cookie: b",
    b"X: a\rContent-Length: 3",
    b"X: a\r",
    b"X: a\r\n b\x00c",
    b"X: a\r\n b\rSet-Cookie: c",
    b"X: a\r\n \r",
)
VALID_LINES = (
    b"X" + _TOKEN_PUNCTUATION + b": v",
    b"0123456789: digits",
    b"From: v",
    b"X-Empty:",
    b"X-Blank: \t ",
    b"X-Joined:v",
    b"X-Around: \t v \t",
    b"X-High: \x80\xff\xc3\xa9",
    b"X-Delimiters: " + _DELIMITERS + b":",
    b"X-Twice: a\r\nX-Twice: b",
    b"X-Folded: a\r\n b\r\n\tc",
)
_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
_LENGTH = b"Content-Length: 12\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_BODY = b"whole answer"
_CHUNKS = b"c\r\nwhole answer\r\n0\r\n\r\n"


def with_line(line):
    """Return answers that hold a line in each place of their heads."""
    line += b"\r\n"
    status, _, fields = _HEAD.partition(b"\r\n")
    status += b"\r\n"
    return (
        status + line + fields + _LENGTH + b"\r\n" + _BODY,
        _HEAD + line + _LENGTH + b"\r\n" + _BODY,
        _HEAD + _LENGTH + line + b"\r\n" + _BODY,
        _HEAD + line + _CHUNKED + b"\r\n" + _CHUNKS,
        _HEAD + _CHUNKED + line + b"\r\n" + _CHUNKS,
        _HEAD + line + b"\r\n" + _BODY,
        *(interim + _HEAD + _LENGTH + b"\r\n" + _BODY for interim in _interim(line)),
    )


def _interim(line):
    for status in (b"100 Continue", b"102 Processing", b"103 Early Hints"):
        yield b"HTTP/1.1 " + status + b"\r\n" + line + b"\r\n"
