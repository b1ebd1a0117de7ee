"""Loopback TCP proxy with fault injection: delay, one-way silence, reset, refusal."""

import socket
import struct
import threading
from contextlib import suppress
from time import sleep

__all__ = ["FaultyProxy"]

_CHUNK = 65_536
_POLL_S = 0.05
_RESET = struct.pack("ii", 1, 0)


class FaultyProxy:
    """TCP proxy that forwards connections to an address.

    ``delay_s`` is added to each chunk. ``silent`` holds the directions, ``"to"`` and
    ``"from"``, whose bytes are held back. ``refuses`` resets new connections.
    """

    def __init__(self, target, ip="127.0.0.1"):
        self.target = target
        self.delay_s = 0.0
        self.silent = frozenset()
        self.refuses = False
        self._pairs = []
        self._lock = threading.Lock()
        self._listener = socket.create_server((ip, 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        """``IP:port`` of the proxy."""
        ip, port = self._listener.getsockname()
        return f"{ip}:{port}"

    def heal(self):
        """End all faults; bytes that were held back are then forwarded."""
        self.delay_s = 0.0
        self.silent = frozenset()
        self.refuses = False

    def reset_all(self):
        """Reset the open connections."""
        with self._lock:
            pairs, self._pairs = self._pairs, []
        for connection in (c for pair in pairs for c in pair):
            _reset(connection)

    def close(self):
        """Close the port and all connections."""
        self._listener.close()
        self.reset_all()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            if self.refuses:
                _reset(near)
                continue
            threading.Thread(target=self._open, args=(near,), daemon=True).start()

    def _open(self, near):
        host, _, port = self.target.rpartition(":")
        try:
            far = socket.create_connection((host, int(port)), timeout=2.0)
        except OSError:
            _reset(near)
            return
        far.settimeout(None)
        with self._lock:
            self._pairs.append((near, far))
        for source, sink, way in ((near, far, "to"), (far, near, "from")):
            thread = threading.Thread(
                target=self._pump, args=(source, sink, way), daemon=True
            )
            thread.start()

    def _pump(self, source, sink, way):
        try:
            while data := source.recv(_CHUNK):
                sleep(self.delay_s)
                while way in self.silent:
                    sleep(_POLL_S)
                sink.sendall(data)
        except OSError:
            _reset(sink)
            return
        with suppress(OSError):
            sink.shutdown(socket.SHUT_WR)


def _reset(connection):
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()
