"""Connections of callers, read through the buffers of the interpreter."""

import struct
from contextlib import suppress
from io import BufferedReader
from socket import SO_LINGER, SOL_SOCKET, SocketIO

from cheroot.makefile import StreamWriter
from cheroot.server import HTTPConnection

__all__ = ["CallerConnection"]

# Reset a connection when it is closed, and drop the bytes that were not sent.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class _ReceivedStream(SocketIO):
    """Received bytes, whose position is the number of them that were read."""

    def __init__(self, sock):
        super().__init__(sock, "rb")
        self._position = 0

    def readinto(self, buffer):
        """Read received bytes."""
        count = super().readinto(buffer)
        self._position += count or 0
        return count

    def tell(self):
        """Return the number of bytes that were read."""
        return self._position


class _Reader(BufferedReader):
    """Reader with the interface that cheroot needs.

    That of cheroot is written in Python; to read the head of a request with it takes
    several times as long.
    """

    # Read by the statistics of cheroot, which are off.
    bytes_read = 0

    def has_data(self):
        """Return whether the buffer holds bytes of another request."""
        return self.raw.tell() > self.tell()


class CallerConnection(HTTPConnection):
    """Connection of a caller.

    Parameters
    ----------
    server : cheroot.server.HTTPServer
    sock : socket.socket
    makefile : callable
        Not used; it would create the files of cheroot.
    """

    def __init__(self, server, sock, makefile=None):
        super().__init__(server, sock, _make_file)
        # Whether the current request is beyond those that the server may hold.
        self.is_excess = False
        # Whether the connection is reset when it is closed.
        self.resets = False

    def communicate(self):
        """Read and answer a request; return whether the connection is kept."""
        slots = self.server.open_slots
        self.is_excess = not slots.acquire(blocking=False)
        try:
            return super().communicate()
        finally:
            if not self.is_excess:
                slots.release()

    def close(self):
        """Close the connection; an error would stop the whole server."""
        try:
            super().close()
        except Exception:  # noqa: BLE001
            self.server.error_log("closing a connection", traceback=True)

    def _close_kernel_socket(self):
        if not self.resets:
            super()._close_kernel_socket()
            return
        # The end of the sending side, which comes first otherwise, ends a whole answer.
        with suppress(OSError):
            self.socket.setsockopt(SOL_SOCKET, SO_LINGER, _RESET_ON_CLOSE)


def _make_file(sock, mode, bufsize):
    if "r" in mode:
        return _Reader(_ReceivedStream(sock), bufsize)
    return StreamWriter(sock, mode, bufsize)
