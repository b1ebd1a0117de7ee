"""Ways on which the requests of one node reach targets."""

from math import inf
from typing import Protocol

from hibiscusspar_entry.fleet.own_path import OwnPath
from hibiscusspar_entry.fleet.proxied_path import ProxiedPath
from hibiscusspar_wire.target_connections import CallFailedError, Response

__all__ = ["TargetPath", "TargetPaths"]


class TargetPath(Protocol):
    """Way to one target, for one attempt.

    ``is_own`` is whether it leads over this node's own links, ``is_first_call`` whether
    its connection to the target has certainly carried no request before.
    """

    is_own: bool
    is_first_call: bool

    def send(self, method, uri, headers, body, timeout_s, limit_s=inf):
        """Send the request, which may take ``limit_s`` at most."""

    def fileno(self) -> int:
        """Return the file descriptor that is readable once bytes have arrived."""

    def response(self, timeout_s, silence=None) -> Response:
        """Wait for the head of the answer."""

    def record_silence(self):
        """Record that the target is silent in the middle of the attempt."""

    def read(self, response, timeout_s) -> bytes:
        """Return the next bytes of the body."""

    def read_whole(self, response, timeout_s, max_bytes) -> bytes:
        """Return the rest of the body."""

    def record_failed(self, request_id):
        """Record that a request failed here and may be sent to this target again."""

    def release(self, headers):
        """End the attempt after its answer was read to the end."""

    def cancel(self):
        """Abort the attempt from another thread."""

    def close(self):
        """End the attempt."""


class TargetPaths:
    """Ways of one node to targets.

    Parameters
    ----------
    connections : TargetConnections
    peer_connections : TargetConnections
        Connections to peers.
    watch : PathWatch
    statements : TargetStatements
    """

    def __init__(self, connections, peer_connections, watch, statements):
        self._statements = statements
        self._connections = connections
        self._peer_connections = peer_connections
        self._watch = watch
        # Returns whether the zone of a target is evacuated.
        self.is_evacuated = lambda target: False

    def is_cut(self, service):
        """Return whether this node's own links to the targets of a service are cut."""
        return self._watch.is_cut(service)

    def acquire(
        self, placement, max_idle_s, request_id, suspects, connect_timeout_s=inf
    ):
        """Return the way for an attempt at the target of a placement.

        It leads through a peer if this node's own links to the targets of the service
        are cut and a peer offers to be the proxy.

        Parameters
        ----------
        placement : Placement
        max_idle_s : float
            Longest time that a connection may have been idle.
        request_id : str
        suspects : list of str
            What is reported as the cause if the target crashes.
        connect_timeout_s : float, optional
            Longest time to connect over this node's own links.

        Raises
        ------
        CallFailedError
        """
        target, permitted = placement.target, placement.permitted
        service = target.service
        if self.is_evacuated(target):
            raise _evacuated_error(target)
        if self._watch.is_cut(service) and self._watch.has_offer(service):
            path = ProxiedPath(
                self._peer_connections,
                self._watch,
                target,
                request_id,
                suspects,
                permitted,
            )
            path.connect()
            return path
        return self.acquire_own(
            target, max_idle_s, request_id, permitted, connect_timeout_s
        )

    def acquire_own(
        self, target, max_idle_s, request_id, permitted=False, connect_timeout_s=inf
    ):
        """Return the way over this node's own links.

        ``permitted`` is whether the request has a permit for a cold target.

        Raises
        ------
        CallFailedError
        """
        try:
            connection = self._connections.acquire(
                target.target_id,
                target.address,
                max_idle_s,
                connect_timeout_s,
                request_id,
            )
        except CallFailedError:
            self._watch.record_failure(target.service)
            raise
        if self._statements.is_closed(target, permitted):
            # What came to be known meanwhile has closed it.
            connection.close()
            reason = "it is cold, rests or leaves"
            raise CallFailedError("closed", target.address, reason)
        if self.is_evacuated(target):
            connection.close()
            raise _evacuated_error(target)
        return OwnPath(self._connections, self._watch, target, connection)

    def acquire_again(self, target, max_idle_s, request_id):
        """Return the way for a run that goes back to a target that leaves.

        Raises
        ------
        CallFailedError
        """
        if self.is_evacuated(target):
            raise _evacuated_error(target)
        connection = self._connections.acquire(
            target.target_id, target.address, max_idle_s, request_id=request_id
        )
        return OwnPath(self._connections, self._watch, target, connection)


def _evacuated_error(target):
    return CallFailedError("closed", target.address, "its zone is evacuated")
