"""Compression of datagrams.

A view of a large fleet has tens of kilobytes of names and numbers that repeat, and some
links carry 10 Mbit/s. Only nodes that say so in their reports get packed datagrams, as
older builds can't read them.
"""

import zlib

__all__ = ["PackedHead", "pack", "unpack"]

# First byte of a zlib stream; an encoded message begins with a brace.
_ZLIB_HEAD = 0x78
# Size below which packing saves less than it costs, in bytes.
_MIN_BYTES = 600
# Largest message that is unpacked, in bytes.
_MAX_BYTES = 4 * 1024 * 1024
_LEVEL = 1


def pack(body):
    """Return a message packed, or as it is if it is short."""
    return zlib.compress(body, _LEVEL) if len(body) >= _MIN_BYTES else body


class PackedHead:
    """Packed beginning that several messages share, so that it is packed once.

    Parameters
    ----------
    head : bytes
    """

    def __init__(self, head):
        self._head = head
        self._stream = zlib.compressobj(_LEVEL)
        self._packed = self._stream.compress(head)

    def pack(self, tail):
        """Return the message with this beginning, packed as by ``pack``."""
        if len(self._head) + len(tail) < _MIN_BYTES:
            return self._head + tail
        stream = self._stream.copy()
        return self._packed + stream.compress(tail) + stream.flush()


def unpack(body):
    """Return the message of a datagram, packed or not.

    Raises
    ------
    ValueError
        If the datagram is packed but broken or too large.
    """
    if not body or body[0] != _ZLIB_HEAD:
        return body
    stream = zlib.decompressobj()
    try:
        message = stream.decompress(body, _MAX_BYTES)
    except zlib.error as error:
        raise ValueError(f"broken packed datagram: {error}") from error
    if not stream.eof:
        raise ValueError(f"packed datagram of over {_MAX_BYTES} bytes or cut off")
    return message
