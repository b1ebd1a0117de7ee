"""Detection of callers that disconnect before their request is answered."""

import select
import threading

__all__ = ["DisconnectWatch"]

_HANGUP = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class DisconnectWatch:
    """Thread that watches the sockets of open requests for a disconnect."""

    def __init__(self):
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._callbacks = {}
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the watching thread."""
        self._thread.start()

    def add(self, sock, callback):
        """Call ``callback`` once if the peer disconnects; return a handle.

        Parameters
        ----------
        sock : socket.socket
        callback : callable

        Returns
        -------
        int
            File descriptor of the socket, to pass to :meth:`remove`.
        """
        descriptor = sock.fileno()
        with self._lock:
            self._callbacks[descriptor] = callback
            self._epoll.register(descriptor, _HANGUP)
        return descriptor

    def remove(self, descriptor):
        """Stop watching a socket.

        It must be called before the socket is closed, since the kernel may then use
        the file descriptor for another connection.
        """
        with self._lock:
            if self._callbacks.pop(descriptor, None) is not None:
                self._epoll.unregister(descriptor)

    def _run(self):
        while True:
            for descriptor, _ in self._epoll.poll():
                with self._lock:
                    callback = self._callbacks.pop(descriptor, None)
                    if callback is not None:
                        self._epoll.unregister(descriptor)
                if callback is not None:
                    callback()
