"""Connections of callers that wait for a request."""

import select
import selectors
import threading
from time import monotonic

from cheroot.connections import ConnectionManager

from hibiscusspar_wire.limit_history import LimitHistory

__all__ = ["ACCEPT_PAUSE_S", "IdleConnections"]

# Pause in seconds after a connection that could not be accepted.
ACCEPT_PAUSE_S = 0.05


class IdleConnections(ConnectionManager):
    """Manager of the idle connections of a server.

    Callers use a connection again within the idle limit that they know, so one that
    waits is kept for the longest limit that they may have known since it began to wait.
    One on which a request has arrived is never closed as idle.

    Parameters
    ----------
    server : cheroot.server.HTTPServer
        Its socket must be bound.
    idle_limit_s : float
    notice_s : float
        Time in seconds in which callers learn of another limit.
    """

    def __init__(self, server, idle_limit_s, notice_s):
        super().__init__(server)
        self._lock = threading.Lock()
        self._limits = LimitHistory(idle_limit_s, notice_s)
        self.closed_count = 0
        # Time at which connections are accepted again, None while they are.
        self._accepts_at = None

    @property
    def idle_limit_s(self):
        """Time in seconds for which a connection may wait for a request."""
        return self._limits.current_s

    @idle_limit_s.setter
    def idle_limit_s(self, limit_s):
        with self._lock:
            self._limits.change(monotonic(), limit_s)

    def put(self, conn):
        """Let a connection wait for its next request; close it if it can't.

        An error of one connection would stop the whole server.
        """
        conn.idle_since = monotonic()
        try:
            super().put(conn)
        except Exception:  # noqa: BLE001
            self.server.error_log("keeping a connection", traceback=True)
            conn.close()

    def _run(self, expiration_interval):
        expires_at = monotonic() + expiration_interval
        while not self._stop_requested:
            timeout_s = expiration_interval
            if self._accepts_at is not None:
                timeout_s = min(timeout_s, ACCEPT_PAUSE_S)
                self._resume_accepting()
            try:
                ready = self._selector.select(timeout=timeout_s)
            except OSError:
                self._remove_invalid_sockets()
                continue
            for descriptor, conn in ready:
                if conn is self.server:
                    self._accept()
                else:
                    self._selector.unregister(descriptor)
                    self.server.process_conn(conn)
            if monotonic() >= expires_at:
                self._close_idle()
                expires_at = monotonic() + expiration_interval

    def _accept(self):
        """Accept a connection, which gets a thread once a request arrives."""
        try:
            conn = self._from_server_socket(self.server.socket)
        except OSError as error:
            # No descriptor or memory is left. The listening socket stays readable, so
            # it isn't watched for a while; callers wait in its queue.
            self.server.error_log(f"accept: {error!r}")
            self._selector.unregister(self.server.socket.fileno())
            self._accepts_at = monotonic() + ACCEPT_PAUSE_S
            return
        if conn is not None:
            conn.socket.settimeout(self.server.transfer_timeout_s)
            self.put(conn)

    def _resume_accepting(self):
        if monotonic() < self._accepts_at:
            return
        listening = self.server.socket.fileno()
        try:
            self._selector.register(listening, selectors.EVENT_READ, self.server)
        except OSError as error:
            self.server.error_log(f"accept: {error!r}")
            self._accepts_at = monotonic() + ACCEPT_PAUSE_S
        else:
            self._accepts_at = None

    def _close_idle(self):
        now = monotonic()
        with self._lock:
            overdue = [
                (descriptor, conn)
                for descriptor, conn in self._selector.connections
                if conn is not self.server
                and now >= self._limits.keep_until(conn.idle_since)
            ]
        for descriptor, conn in overdue:
            if not _is_readable(descriptor):
                self._selector.unregister(descriptor)
                self.closed_count += 1
                conn.close()


def _is_readable(descriptor):
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))
