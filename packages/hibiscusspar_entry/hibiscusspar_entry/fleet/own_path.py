"""Way to a target over a node's own links."""

from math import inf

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

    @property
    def is_first_call(self):
        """Whether its connection has carried no request before."""
        return self._connection.is_first_call

    def fileno(self):
        """Return the file descriptor of the connection."""
        return self._connection.fileno()

    def send(self, method, uri, headers, body, timeout_s, limit_s=inf):
        """Send the request."""
        self._watch.record_sent(self._target.service)
        try:
            self._connection.send(method, uri, headers, body, timeout_s, limit_s)
        except CallFailedError:
            self._record_failure()
            raise

    def response(self, timeout_s, silence=None):
        """Wait for the head of the answer."""
        try:
            response = self._connection.response(timeout_s, silence)
        except CallFailedError:
            self._record_failure()
            raise
        self._watch.record_answer(self._target.service)
        return response

    def record_silence(self):
        """Record that the target is silent in the middle of the attempt."""
        self._record_failure()

    def read(self, response, timeout_s):
        """Return the next bytes of the body."""
        try:
            return self._connection.read(response, timeout_s)
        except CallFailedError:
            self._record_failure()
            raise

    def read_whole(self, response, timeout_s, max_bytes):
        """Return the rest of the body."""
        return self._connection.read_whole(response, timeout_s, max_bytes)

    def record_failed(self, request_id):
        """Record that a request failed here and may be sent to this target again."""
        self._connection.record_failed(request_id)

    def release(self, headers):
        """End the attempt after its answer was read to the end."""
        self._connections.release(self._target.target_id, self._connection, headers)

    def cancel(self):
        """Abort the attempt from another thread."""
        self._connection.cancel()

    def close(self):
        """End the attempt."""
        self._connection.close()

    def _record_failure(self):
        """Record a failure of the connection unless it was cancelled."""
        if not self._connection.cancelled:
            self._watch.record_failure(self._target.service)
