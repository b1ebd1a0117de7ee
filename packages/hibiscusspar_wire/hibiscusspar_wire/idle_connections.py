"""Connections of callers that wait for a request."""

import select
import threading
from time import monotonic

from cheroot.connections import ConnectionManager

__all__ = ["IdleConnections"]


class IdleConnections(ConnectionManager):
    """Manager of the idle connections of a server.

    Callers use a connection again within the idle limit that they know, so one that
    waits is kept for the longest limit that was in force since it began to wait. One
    on which a request has arrived is never closed as idle.

    Parameters
    ----------
    server : cheroot.server.HTTPServer
        Its socket must be bound.
    idle_limit_s : float
    """

    def __init__(self, server, idle_limit_s):
        super().__init__(server)
        self._lock = threading.Lock()
        # Ends of earlier limits, oldest first, and the limits.
        self._earlier = []
        self._idle_limit_s = idle_limit_s
        self.closed_count = 0

    @property
    def idle_limit_s(self):
        """Time in seconds for which a connection may wait for a request."""
        return self._idle_limit_s

    @idle_limit_s.setter
    def idle_limit_s(self, limit_s):
        with self._lock:
            if limit_s != self._idle_limit_s:
                self._earlier.append((monotonic(), self._idle_limit_s))
                self._idle_limit_s = limit_s

    def put(self, conn):
        """Let a connection wait for its next request."""
        conn.idle_since = monotonic()
        super().put(conn)

    def _run(self, expiration_interval):
        expires_at = monotonic() + expiration_interval
        while not self._stop_requested:
            try:
                ready = self._selector.select(timeout=expiration_interval)
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
        conn = self._from_server_socket(self.server.socket)
        if conn is not None:
            self.put(conn)

    def _close_idle(self):
        now = monotonic()
        limits = self._limits(now)
        overdue = [
            (descriptor, conn)
            for descriptor, conn in self._selector.connections
            if conn is not self.server and now >= _keep_until(conn.idle_since, limits)
        ]
        for descriptor, conn in overdue:
            if not _is_readable(descriptor):
                self._selector.unregister(descriptor)
                self.closed_count += 1
                conn.close()

    def _limits(self, now):
        """Return the limits, each with the time until which it was in force."""
        with self._lock:
            longest_s = max(limit_s for _, limit_s in [*self._earlier, (now, 0.0)])
            # Connections that wait since then are overdue by any limit.
            self._earlier = [row for row in self._earlier if row[0] > now - longest_s]
            return [*self._earlier, (now, self._idle_limit_s)]


def _keep_until(idle_since, limits):
    """Return the time until which a connection is kept that waits since a time."""
    return idle_since + max(limit_s for end, limit_s in limits if end >= idle_since)


def _is_readable(descriptor):
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))
