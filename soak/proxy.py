"""Loopback TCP proxy with fault injection: delay, one-way silence, reset, refusal."""

import socket
import struct
import threading
from contextlib import suppress
from time import sleep

__all__ = ["FaultyProxy"]

_CHUNK_BYTES = 65_536
_POLL_S = 0.05
_RESET = struct.pack("ii", 1, 0)


class FaultyProxy:
    """TCP proxy that forwards connections to an address.

    ``delay_s`` is added to each chunk. ``silent`` holds the directions, ``"to"`` and
    ``"from"``, whose bytes are held back. ``refuses`` resets new connections.
    """

    def __init__(self, upstream_address, ip="127.0.0.1"):
        self.upstream_address = upstream_address
        self.delay_s = 0.0
        self.silent = frozenset()
        self.refuses = False
        self._connections = []
        self._lock = threading.Lock()
        self._listener = socket.create_server((ip, 0))
        self._listener_address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        """``IP:port`` of the proxy."""
        return "{}:{}".format(*self._listener_address)

    def heal(self):
        """End all faults; bytes that were held back are then forwarded."""
        self.delay_s = 0.0
        self.silent = frozenset()
        self.refuses = False

    def reset_all(self):
        """Reset the open connections."""
        with self._lock:
            connections, self._connections = self._connections, []
        for connection in (c for pair in connections for c in pair):
            _reset(connection)

    def close_port(self):
        """Refuse new connections and reset the open ones, as a host does."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.reset_all()

    def open_port(self):
        """Accept connections again at the same address."""
        self._listener = socket.create_server(self._listener_address)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Close the port and all connections."""
        self._listener.close()
        self.reset_all()

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            if self.refuses:
                _reset(client)
                continue
            threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _connect(self, client):
        host, _, port = self.upstream_address.rpartition(":")
        try:
            upstream = socket.create_connection((host, int(port)), timeout=2.0)
        except OSError:
            _reset(client)
            return
        upstream.settimeout(None)
        with self._lock:
            self._connections.append((client, upstream))
        for source, sink, direction in (
            (client, upstream, "to"),
            (upstream, client, "from"),
        ):
            thread = threading.Thread(
                target=self._forward,
                args=(source, sink, direction),
                daemon=True,
            )
            thread.start()

    def _forward(self, source, sink, direction):
        try:
            while data := source.recv(_CHUNK_BYTES):
                sleep(self.delay_s)
                while direction in self.silent:
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
