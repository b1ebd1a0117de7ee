"""Ways on which the requests of one node reach targets."""

from contextlib import suppress
from time import monotonic
from typing import Protocol

from urllib3 import HTTPHeaderDict

from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import CALL_PROXIED
from hibiscusspar_entry.fleet.proxy_messages import (
    ANSWER_HEADER,
    CALL_HEADER,
    PEER_REASONS,
    PROXY_URI,
    REFUSAL_HEADER,
    UNREACHABLE,
    ProxyAnswer,
    ProxyCall,
    decode_header,
    encode_header,
)
from hibiscusspar_wire.target_connections import CallFailedError, Response

__all__ = ["TargetPath", "TargetPaths"]

# Peers that are tried for one attempt at a target.
_MAX_PEERS = 3
# Longest idle time of a connection to a peer that is used again, in seconds.
_PEER_IDLE_S = 1.0
# Time in seconds, and bytes, for the rest of a refusal.
_REFUSAL_READ_S = 0.1
_MAX_REFUSAL_BYTES = 4096


class TargetPath(Protocol):
    """Way to one target, for one attempt.

    ``is_own`` is whether it leads over this node's own links.
    """

    is_own: bool

    def send(self, method, uri, headers, body, timeout_s):
        """Send the request."""

    def response(self, timeout_s) -> Response:
        """Wait for the head of the answer."""

    def read(self, response, timeout_s) -> bytes:
        """Return the next bytes of the body."""

    def read_whole(self, response, timeout_s, max_bytes) -> bytes:
        """Return the rest of the body."""

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

    def acquire(self, target, max_idle_s, request_id, suspects):
        """Return the way for an attempt at a target.

        It leads through a peer if this node's own links to the targets of the service
        are cut and a peer offers to be the proxy.

        Parameters
        ----------
        target : Target
        max_idle_s : float
            Longest time that a connection may have been idle.
        request_id : str
        suspects : list of str
            What is reported as the cause if the target crashes.

        Raises
        ------
        CallFailedError
        """
        service = target.service
        if self._watch.is_cut(service) and self._watch.has_offer(service):
            path = _ProxiedPath(
                self._peer_connections, self._watch, target, request_id, suspects
            )
            path.connect()
            return path
        return self.acquire_own(target, max_idle_s)

    def acquire_own(self, target, max_idle_s):
        """Return the way over this node's own links.

        Raises
        ------
        CallFailedError
        """
        try:
            connection = self._connections.acquire(
                target.target_id, target.address, max_idle_s
            )
        except CallFailedError:
            self._watch.record_failure(target.service)
            raise
        if self._statements.is_closed(target):
            # An answer that came meanwhile has closed it.
            self._connections.release(target.target_id, connection, {})
            raise CallFailedError("closed", target.address, "it rests or leaves")
        return _OwnPath(self._connections, self._watch, target, connection)


class _OwnPath:
    """Connection over this node's own links, whose outcome tells about the path."""

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
        self._watch.record_sent(self._target.service)
        with self._observed():
            self._connection.send(method, uri, headers, body, timeout_s)

    def response(self, timeout_s):
        with self._observed():
            response = self._connection.response(timeout_s)
        self._watch.record_answer(self._target.service)
        return response

    def read(self, response, timeout_s):
        with self._observed():
            return self._connection.read(response, timeout_s)

    def read_whole(self, response, timeout_s, max_bytes):
        return self._connection.read_whole(response, timeout_s, max_bytes)

    def release(self, headers):
        self._connections.release(self._target.target_id, self._connection, headers)

    def cancel(self):
        self._connection.cancel()

    def close(self):
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


class _ProxiedPath:
    """Way through a peer, which sends the request over its links.

    A peer that refuses has not sent the request, so the next one is tried.
    """

    is_own = False

    def __init__(self, connections, watch, target, request_id, suspects):
        self._connections = connections
        self._watch = watch
        self._target = target
        self._request_id = request_id
        self._suspects = suspects
        self._peer = None
        self._offer = None
        self._hop = None
        self._call = None
        self._refused = {}
        self._is_cancelled = False
        self.address = target.address

    def connect(self):
        """Connect to the best peer.

        Raises
        ------
        CallFailedError
            If none of some peers can be connected to.
        """
        while len(self._refused) < _MAX_PEERS:
            chosen = self._watch.begin_proxied(self._target.service, {*self._refused})
            if chosen is None:
                break
            self._peer, self._offer = chosen
            try:
                self._hop = self._connections.acquire(
                    self._peer, self._offer.address, _PEER_IDLE_S
                )
            except CallFailedError as error:
                self._watch.withdraw_offer(self._peer)
                self._give_up_peer(error.reason)
                continue
            if self._is_cancelled:
                self._hop.cancel()
            return
        reason = f"no peer sends it: {self._refused}"
        raise CallFailedError("closed", self.address, reason)

    def send(self, method, uri, headers, body, timeout_s):
        self._call = (method, uri, list(headers), body, monotonic() + timeout_s)
        self._send()

    def response(self, timeout_s):
        ends_at = monotonic() + timeout_s
        while True:
            response = self._hop.response(ends_at - monotonic())
            text = response.headers.get(ANSWER_HEADER)
            if text is not None:
                break
            reason = response.headers.get(REFUSAL_HEADER)
            if reason is None:
                raise CallFailedError("wait", self.address, "no answer of a proxy")
            self._finish_refusal(response)
            if reason in PEER_REASONS:
                self._watch.withdraw_offer(self._peer)
            self._give_up_peer(reason)
            if reason == UNREACHABLE:
                raise CallFailedError("connect", self.address, reason)
            self.connect()
            self._send()
        try:
            answer = decode_header(text, ProxyAnswer)
        except ValueError as error:
            raise CallFailedError("wait", self.address, str(error)) from error
        fields = {
            "request": self._request_id,
            "target": self._target.target_id,
            "peer": self._peer,
            "refused": sorted(self._refused.items()),
        }
        write_records([(CALL_PROXIED, fields)])
        headers = HTTPHeaderDict([tuple(pair) for pair in answer.headers])
        return Response(answer.status, headers, response.raw)

    def read(self, response, timeout_s):
        return self._hop.read(response, timeout_s)

    def read_whole(self, response, timeout_s, max_bytes):
        return self._hop.read_whole(response, timeout_s, max_bytes)

    def release(self, headers):
        # Only the proxy knows what the target says about its connection.
        if self._peer is not None:
            self._connections.release(self._peer, self._hop, {})
            self._end_peer()

    def cancel(self):
        self._is_cancelled = True
        if self._hop is not None:
            self._hop.cancel()

    def close(self):
        if self._hop is not None:
            self._hop.close()
        self._end_peer()

    def _send(self):
        method, uri, headers, body, ends_at = self._call
        remaining_s = ends_at - monotonic()
        call = ProxyCall(
            self._offer.token,
            self._target.target_id,
            self._request_id,
            method,
            uri,
            headers,
            remaining_s,
            self._suspects,
        )
        fields = [("Host", self._offer.address), (CALL_HEADER, encode_header(call))]
        self._hop.send("POST", PROXY_URI, fields, body, remaining_s)

    def _finish_refusal(self, response):
        with suppress(CallFailedError):
            self._hop.read_whole(response, _REFUSAL_READ_S, _MAX_REFUSAL_BYTES)
            self._connections.release(self._peer, self._hop, {})
            return
        self._hop.close()

    def _give_up_peer(self, reason):
        self._refused[self._peer] = reason
        self._hop = None
        self._end_peer()

    def _end_peer(self):
        if self._peer is not None:
            self._watch.end_proxied(self._peer)
            self._peer = None
