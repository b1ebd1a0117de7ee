"""Detection of callers that disconnect before their request is answered."""

import select
import threading
from contextlib import suppress
from time import sleep

__all__ = ["DisconnectWatch"]

_HANGUP = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
# Pause in seconds after a failed wait for disconnects.
_FAILED_PAUSE_S = 0.1


class DisconnectWatch:
    """Thread that watches the sockets of open requests for a disconnect.

    Parameters
    ----------
    on_error : callable
        Called with the exception of a callback that fails, or of the watch itself.
    epoll : select.epoll, optional
    """

    def __init__(self, on_error, epoll=None):
        self._on_error = on_error
        self._epoll = epoll or select.epoll()
        self._lock = threading.Lock()
        self._callbacks = {}
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the watching thread."""
        self._thread.start()

    def add(self, sock, callback):
        """Call ``callback`` once if the peer disconnects; return a handle.

        If the kernel can't watch the socket, its request goes on without the watch.

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
        try:
            with self._lock:
                self._epoll.register(descriptor, _HANGUP)
                self._callbacks[descriptor] = callback
        except (OSError, ValueError) as error:
            self._on_error(error)
        return descriptor

    def remove(self, descriptor):
        """Stop watching a socket.

        It must be called before the socket is closed, since the kernel may then use
        the file descriptor for another connection.
        """
        with self._lock:
            if self._callbacks.pop(descriptor, None) is not None:
                # The kernel forgets a closed socket by itself.
                with suppress(OSError):
                    self._epoll.unregister(descriptor)

    def _run(self):
        while True:
            try:
                events = self._epoll.poll()
            except Exception as error:  # noqa: BLE001
                self._on_error(error)
                sleep(_FAILED_PAUSE_S)
                continue
            for descriptor, _ in events:
                self._handle(descriptor)

    def _handle(self, descriptor):
        try:
            callback = self._take_callback(descriptor)
            if callback is not None:
                callback()
        except Exception as error:  # noqa: BLE001
            self._on_error(error)

    def _take_callback(self, descriptor):
        """Return the callback of a connection whose peer is gone, or None.

        The event may be that of an earlier connection with the same descriptor.
        """
        with self._lock:
            if descriptor not in self._callbacks or not _is_hung_up(descriptor):
                return None
            callback = self._callbacks.pop(descriptor)
            with suppress(OSError):
                self._epoll.unregister(descriptor)
            return callback


def _is_hung_up(descriptor):
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))
