"""Way to a target over a node's own links."""

from hibiscusspar_wire.target_connections import CallFailedError

__all__ = ["OwnPath"]


class OwnPath:
    """Connection over this node's own links, whose outcome tells about the path.

    Parameters
    ----------
    connections : TargetConnections
    watch : PathWatch
    target : Target
    connection : TargetConnection
    """

    is_own = True

    def __init__(self, connections, watch, target, connection):
        self._connections = connections
        self._watch = watch
        self._target = target
        self._connection = connection
        self.address = connection.address

    @property
    def cancelled(self):
        """Whether the attempt was cancelled."""
        return self._connection.cancelled

    def send(self, method, uri, headers, body, timeout_s):
        """Send the request."""
        self._watch.record_sent(self._target.service)
        with self._observed():
            self._connection.send(method, uri, headers, body, timeout_s)

    def response(self, timeout_s):
        """Wait for the head of the answer."""
        with self._observed():
            response = self._connection.response(timeout_s)
        self._watch.record_answer(self._target.service)
        return response

    def read(self, response, timeout_s):
        """Return the next bytes of the body."""
        with self._observed():
            return self._connection.read(response, timeout_s)

    def read_whole(self, response, timeout_s, max_bytes):
        """Return the rest of the body."""
        return self._connection.read_whole(response, timeout_s, max_bytes)

    def release(self, headers):
        """End the attempt after its answer was read to the end."""
        self._connections.release(self._target.target_id, self._connection, headers)

    def cancel(self):
        """Abort the attempt from another thread."""
        self._connection.cancel()

    def close(self):
        """End the attempt."""
        self._connection.close()

    def _observed(self):
        return _FailureObserver(self._watch, self._target.service, self._connection)


class _FailureObserver:
    """Context that reports a failure of a connection unless it was cancelled."""

    def __init__(self, watch, service, connection):
        self._watch = watch
        self._service = service
        self._connection = connection

    def __enter__(self):
        return self

    def __exit__(self, kind, error, traceback):
        if isinstance(error, CallFailedError) and not self._connection.cancelled:
            self._watch.record_failure(self._service)
