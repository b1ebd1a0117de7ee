"""TCP proxies that forward connections or cut them, for experiments."""

import socket
from contextlib import suppress
from threading import Lock, Thread

__all__ = ["CuttableProxy"]

HEAD_BYTES = 4096
COPY_BYTES = 65536
VM_HEADER = b"x-peer-vm:"


class CuttableProxy:
    """Proxy that forwards connections from a port of its own to an address.

    Parameters
    ----------
    upstream : str
        ``"IP:port"`` to which connections are forwarded.
    is_allowed : callable
        Takes the VM named in the header of the first request (empty if none) and
        returns whether the connection is forwarded.
    """

    def __init__(self, upstream, is_allowed):
        host, _, port = upstream.rpartition(":")
        self._upstream = (host, int(port))
        self._is_allowed = is_allowed
        self._lock = Lock()
        self._connections = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        Thread(target=self._accept, daemon=True).start()

    def close_disallowed(self):
        """Close the connections that are no longer allowed."""
        with self._lock:
            rows, self._connections = self._connections, []
        for vm, sockets in rows:
            if self._is_allowed(vm):
                with self._lock:
                    self._connections.append((vm, sockets))
            else:
                _close(sockets)

    def close(self):
        """Close all connections and stop listening."""
        _close([self._listener])
        with self._lock:
            for _, sockets in self._connections:
                _close(sockets)

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            Thread(target=self._forward, args=(client,), daemon=True).start()

    def _forward(self, client):
        try:
            head = client.recv(HEAD_BYTES)
            vm = _vm_of(head)
            if not head or not self._is_allowed(vm):
                _close([client])
                return
            server = socket.create_connection(self._upstream, timeout=2.0)
            server.settimeout(None)
            server.sendall(head)
        except OSError:
            _close([client])
            return
        sockets = (client, server)
        with self._lock:
            self._connections.append((vm, sockets))
        Thread(target=_copy, args=(server, client, sockets), daemon=True).start()
        _copy(client, server, sockets)


def _vm_of(head):
    for line in head.split(b"\r\n"):
        if line.lower().startswith(VM_HEADER):
            return line[len(VM_HEADER) :].strip().decode()
    return ""


def _copy(source, sink, sockets):
    with suppress(OSError):
        while data := source.recv(COPY_BYTES):
            sink.sendall(data)
    _close(sockets)


def _close(sockets):
    for sock in sockets:
        with suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()
