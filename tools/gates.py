"""TCP gates of an experiment: they pass connections on, or cut them off."""

import socket
from contextlib import suppress
from threading import Lock, Thread

__all__ = ["Gate"]

HEAD_BYTES = 4096
COPY_BYTES = 65536
VM_HEADER = b"x-peer-vm:"


class Gate:
    """Listens on a port of its own and passes connections on to an address.

    Parameters
    ----------
    upstream : str
        ``"IP:port"`` to pass connections on to.
    admits : callable
        Given the VM named in the first request's header (empty if none), returns
        whether the connection may be passed on.
    """

    def __init__(self, upstream, admits):
        host, _, port = upstream.rpartition(":")
        self._upstream = (host, int(port))
        self._admits = admits
        self._lock = Lock()
        self._open = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        Thread(target=self._accept, daemon=True).start()

    def recheck(self):
        """Cut the connections that may no longer be passed on."""
        with self._lock:
            rows, self._open = self._open, []
        for vm, pair in rows:
            if self._admits(vm):
                with self._lock:
                    self._open.append((vm, pair))
            else:
                _close(pair)

    def close(self):
        """Cut all connections and listen no more."""
        _close([self._listener])
        with self._lock:
            for _, pair in self._open:
                _close(pair)

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            Thread(target=self._pass_on, args=(client,), daemon=True).start()

    def _pass_on(self, client):
        try:
            head = client.recv(HEAD_BYTES)
            vm = _vm_of(head)
            if not head or not self._admits(vm):
                _close([client])
                return
            server = socket.create_connection(self._upstream, timeout=2.0)
            server.settimeout(None)
            server.sendall(head)
        except OSError:
            _close([client])
            return
        pair = (client, server)
        with self._lock:
            self._open.append((vm, pair))
        Thread(target=_copy, args=(server, client, pair), daemon=True).start()
        _copy(client, server, pair)


def _vm_of(head):
    for line in head.split(b"\r\n"):
        if line.lower().startswith(VM_HEADER):
            return line[len(VM_HEADER) :].strip().decode()
    return ""


def _copy(source, sink, pair):
    with suppress(OSError):
        while data := source.recv(COPY_BYTES):
            sink.sendall(data)
    _close(pair)


def _close(sockets):
    for sock in sockets:
        with suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()
