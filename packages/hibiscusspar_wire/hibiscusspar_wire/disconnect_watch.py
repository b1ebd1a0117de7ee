"""Notices callers that close their connection while they wait for an answer."""

import select
import threading

__all__ = ["DisconnectWatch"]

_HANGUP = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class DisconnectWatch:
    """One thread that watches the sockets of open requests for a hang-up."""

    def __init__(self):
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._callbacks = {}
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the thread."""
        self._thread.start()

    def add(self, sock, callback):
        """Call ``callback`` once if the other end closes; return a handle."""
        number = sock.fileno()
        with self._lock:
            self._callbacks[number] = callback
            self._epoll.register(number, _HANGUP)
        return number

    def remove(self, number):
        """Stop watching; must be called before the socket is closed."""
        with self._lock:
            if self._callbacks.pop(number, None) is not None:
                self._epoll.unregister(number)

    def _run(self):
        while True:
            for number, _ in self._epoll.poll():
                with self._lock:
                    callback = self._callbacks.pop(number, None)
                    if callback is not None:
                        self._epoll.unregister(number)
                if callback is not None:
                    callback()
