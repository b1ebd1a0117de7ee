"""Way to a target through a peer."""

import threading
from contextlib import suppress
from http.client import HTTPException
from math import inf
from time import monotonic

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
from hibiscusspar_wire.strict_http import check_head
from hibiscusspar_wire.target_connections import CallFailedError, Response

__all__ = ["ProxiedPath"]

# Peers that are tried for one attempt at a target.
_MAX_PEERS = 3
# Longest idle time of a connection to a peer that is used again, in seconds.
_PEER_IDLE_S = 1.0
# Time in seconds, and bytes, for the rest of a refusal.
_REFUSAL_READ_S = 0.1
_MAX_REFUSAL_BYTES = 4096


class ProxiedPath:
    """Way through a peer, which sends the request over its links.

    A peer that refuses has not sent the request, so the next one is tried.

    Parameters
    ----------
    connections : TargetConnections
        Connections to peers.
    watch : PathWatch
    target : Target
    request_id : str
    suspects : list of str
        What is reported as the cause if the target crashes.
    permitted : bool, optional
        Whether the request has a permit for a cold target.
    """

    is_own = False
    # Only the proxy knows the connection to the target.
    is_first_call = False

    def __init__(
        self, connections, watch, target, request_id, suspects, permitted=False
    ):
        self._connections = connections
        self._watch = watch
        self._target = target
        self._request_id = request_id
        self._suspects = suspects
        self._permitted = permitted
        self._peer = None
        self._offer = None
        self._hop = None
        # Held while the hop is cancelled, so that it isn't released meanwhile.
        self._hop_lock = threading.Lock()
        self._call = None
        self._send_limit_s = inf
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
                hop = self._connections.acquire(
                    self._peer, self._offer.address, _PEER_IDLE_S
                )
            except CallFailedError as error:
                self._watch.withdraw_offer(self._peer)
                self._give_up_peer(error.reason)
                continue
            with self._hop_lock:
                self._hop = hop
                if self._is_cancelled:
                    hop.cancel()
            return
        reason = f"no peer sends it: {self._refused}"
        raise CallFailedError("closed", self.address, reason)

    def fileno(self):
        """Return the file descriptor of the connection to the peer."""
        return self._hop.fileno()

    def send(self, method, uri, headers, body, timeout_s, limit_s=inf):
        """Send the request."""
        self._call = (method, uri, list(headers), body, monotonic() + timeout_s)
        self._send_limit_s = limit_s
        self._send()

    def response(self, timeout_s, silence=None):
        """Wait for the head of the answer."""
        ends_at = monotonic() + timeout_s
        while True:
            response = self._hop.response(ends_at - monotonic(), silence)
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
            check_head(answer.status, answer.headers)
        except (HTTPException, ValueError) as error:
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

    def record_silence(self):
        """Ignore a silence: it says nothing about this node's own links."""

    def read(self, response, timeout_s):
        """Return the next bytes of the body."""
        return self._hop.read(response, timeout_s)

    def read_whole(self, response, timeout_s, max_bytes):
        """Return the rest of the body."""
        return self._hop.read_whole(response, timeout_s, max_bytes)

    def record_failed(self, request_id):
        """Do nothing: the proxy has recorded it for its connection to the target."""

    def release(self, headers):
        """End the attempt after its answer was read to the end."""
        # Only the proxy knows what the target says about its connection.
        hop = self._take_hop()
        if hop is not None:
            self._connections.release(self._peer, hop, {})
            self._end_peer()

    def cancel(self):
        """Abort the attempt from another thread."""
        with self._hop_lock:
            self._is_cancelled = True
            if self._hop is not None:
                self._hop.cancel()

    def close(self):
        """End the attempt."""
        hop = self._take_hop()
        if hop is not None:
            hop.close()
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
            self._permitted,
        )
        fields = [("Host", self._offer.address), (CALL_HEADER, encode_header(call))]
        self._hop.send("POST", PROXY_URI, fields, body, remaining_s, self._send_limit_s)

    def _finish_refusal(self, response):
        hop = self._take_hop()
        with suppress(CallFailedError):
            hop.read_whole(response, _REFUSAL_READ_S, _MAX_REFUSAL_BYTES)
            self._connections.release(self._peer, hop, {})
            return
        hop.close()

    def _take_hop(self):
        with self._hop_lock:
            hop, self._hop = self._hop, None
        return hop

    def _give_up_peer(self, reason):
        self._refused[self._peer] = reason
        self._end_peer()

    def _end_peer(self):
        if self._peer is not None:
            self._watch.end_proxied(self._peer)
            self._peer = None
