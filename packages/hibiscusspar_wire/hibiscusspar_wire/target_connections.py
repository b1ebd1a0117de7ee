"""Pool of connections to targets."""

import select
import struct
import threading
from contextlib import suppress
from http.client import HTTPException
from math import inf
from socket import IPPROTO_TCP, SHUT_RDWR, SO_LINGER, SOL_SOCKET, TCP_USER_TIMEOUT
from time import monotonic
from typing import Any, NamedTuple

from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError, ReadTimeoutError
from urllib3.util import SKIP_HEADER

from hibiscusspar_wire.checked_connection import CheckedConnection

__all__ = [
    "CallFailedError",
    "Response",
    "TargetConnection",
    "TargetConnections",
]

# Headers that urllib3 would add by itself.
_DEFAULT_HEADERS = ("accept-encoding", "host", "user-agent")
_BODILESS_METHODS = ("GET", "HEAD")
_MIN_TIMEOUT_S = 0.001
# Reset a connection when it is closed, and drop the bytes that were not sent.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# The kernel drops a connection whose sent bytes are unacknowledged for this long.
_USER_TIMEOUT_MS = 3000
# An idle connection is not reused in the last second before the target closes it.
_KEEP_ALIVE_MARGIN_S = 1.0
_DEFAULT_KEEP_ALIVE_S = 4.0
_MAX_IDLE = 64
# Failed requests whose ids a connection keeps; it isn't reused beyond.
_MAX_FAILED = 64
_READ_BYTES = 65_536
# Time in which a host answers whether a port is open.
_CHECK_TIMEOUT_S = 0.3


class CallFailedError(Exception):
    """A call to a target failed.

    ``step`` is ``"connect"``, ``"closed"``, ``"send"``, ``"wait"``, ``"read"`` or
    ``"silent"``; only the first two guarantee that no byte of the request was sent.
    """

    def __init__(self, step, address, reason):
        super().__init__(step, address, reason)
        self.step = step
        self.address = address
        self.reason = reason

    @property
    def is_refused(self):
        """Whether the target's host refused the connection, as nothing listens."""
        cause = self.__cause__
        while cause is not None and not isinstance(cause, ConnectionRefusedError):
            cause = cause.__cause__
        return cause is not None


class Response(NamedTuple):
    """Status and headers of an answer; its body is read from ``raw``."""

    status: int
    headers: Any
    raw: Any


class TargetConnection:
    """Connection to a target, used by one request at a time.

    Parameters
    ----------
    address : str
    connect_timeout_s : float
    """

    def __init__(self, address, connect_timeout_s):
        host, _, port = address.rpartition(":")
        self.address = address
        self.idle_since = 0.0
        self.keep_alive_s = _DEFAULT_KEEP_ALIVE_S
        # Whether no request was sent before the current one.
        self.is_first_call = True
        # Whether it has carried a call whose answer names no request.
        self.has_unnamed_call = False
        self._failed_ids = set()
        self._cancelled = False
        # Whether a call was sent and no whole answer was read since.
        self._is_calling = False
        self._connect_timeout_s = connect_timeout_s
        self._sock = None
        self._http = CheckedConnection(host, int(port), timeout=connect_timeout_s)

    @property
    def is_open(self):
        """Whether the connection can be used for another request.

        It can't after unrequested bytes followed an answer.
        """
        reader = self._http.reader
        return (
            self._http.sock is not None
            and reader.closed
            and not reader.has_extra_bytes
            and len(self._failed_ids) <= _MAX_FAILED
        )

    @property
    def reusable_until(self):
        """Time until which the connection may be reused if it stays idle."""
        return self.idle_since + self.keep_alive_s - _KEEP_ALIVE_MARGIN_S

    @property
    def cancelled(self):
        """Whether :meth:`cancel` ended the current call."""
        return self._cancelled

    def connect(self):
        """Open the connection."""
        try:
            self._http.connect()
            self._sock = self._http.sock
            self._sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
        except (HTTPError, OSError) as error:
            raise CallFailedError("connect", self.address, repr(error)) from error

    def send(self, method, uri, headers, body, timeout_s, limit_s=inf):
        """Send a request on the open connection.

        Parameters
        ----------
        method, uri : str
        headers : iterable of (str, str)
        body : bytes
        timeout_s : float
            Time that the request has left.
        limit_s : float, optional
            Longest time that the target may take to accept the request.
        """
        fields = HTTPHeaderDict(headers)
        for name in _DEFAULT_HEADERS:
            if name not in fields:
                fields[name] = SKIP_HEADER
        if body or method not in _BODILESS_METHODS:
            fields["Content-Length"] = str(len(body))
        self._http.timeout = max(_MIN_TIMEOUT_S, min(timeout_s, limit_s))
        self._is_calling = True
        try:
            self._http.request(
                method,
                uri,
                body=body or None,
                headers=fields,
                preload_content=False,
                decode_content=False,
            )
        except (HTTPError, HTTPException, OSError, ValueError) as error:
            raise CallFailedError("send", self.address, repr(error)) from error

    def fileno(self):
        """Return the file descriptor of the open connection."""
        return self._sock.fileno()

    def response(self, timeout_s, silence=None):
        """Wait for the head of the answer, which must be complete in time.

        Parameters
        ----------
        timeout_s : float
        silence : Silence, optional
            What is done while the target is silent, before the head or in the body.
        """
        self._http.timeout = max(_MIN_TIMEOUT_S, timeout_s)
        self._http.ends_at = monotonic() + self._http.timeout
        self._http.silence = silence
        try:
            raw = self._http.getresponse()
            self._http.reader.timed.remaining_bytes = None
        except TimeoutError as error:
            raise CallFailedError("silent", self.address, repr(error)) from error
        except (HTTPError, HTTPException, OSError, AttributeError) as error:
            raise CallFailedError("wait", self.address, repr(error)) from error
        return Response(raw.status, raw.headers, raw)

    def read(self, response, timeout_s):
        """Return the next bytes of a body; empty bytes at its end.

        It fails if ``timeout_s`` has passed, even if more bytes are there.
        """
        if timeout_s <= 0:
            raise CallFailedError("silent", self.address, "no time left for the answer")
        try:
            self._http.reader.timed.ends_at = monotonic() + timeout_s
            # Chunks need no check of the length, for which urllib3 takes as long as
            # the rest of a read. It ends the answer.
            answer = self._http.answer
            data = answer.read1(_READ_BYTES) if answer.chunked else b""
            return data or response.raw.read1(_READ_BYTES)
        except (TimeoutError, ReadTimeoutError) as error:
            raise CallFailedError("silent", self.address, repr(error)) from error
        except (HTTPError, HTTPException, OSError, ValueError) as error:
            raise CallFailedError("read", self.address, repr(error)) from error

    def read_whole(self, response, timeout_s, max_bytes):
        """Return the rest of a body.

        Raises
        ------
        CallFailedError
            If the body doesn't end within the time or has more than ``max_bytes``.
        """
        ends_at = monotonic() + timeout_s
        body = bytearray()
        while data := self.read(response, ends_at - monotonic()):
            body += data
            if len(body) > max_bytes:
                reason = f"more than {max_bytes} bytes"
                raise CallFailedError("read", self.address, reason)
        return bytes(body)

    def record_failed(self, request_id):
        """Record that a request failed here and may be sent to this target again.

        A late copy of this answer could be taken for that to the next sending, as both
        have the same id, so that one must use another connection.
        """
        self._failed_ids.add(request_id)

    def may_carry(self, request_id):
        """Return whether no earlier sending of a request has failed here."""
        return request_id not in self._failed_ids

    def cancel(self):
        """Abort the call from another thread; its reads and writes fail at once."""
        self._cancelled = True
        if self._sock is not None:
            with suppress(OSError):
                self._sock.shutdown(SHUT_RDWR)

    def close(self):
        """Close the connection.

        One that carries a call is reset, so that bytes of the call that a broken link
        holds back are not delivered later.
        """
        if self._is_calling and self._sock is not None:
            with suppress(OSError):
                self._sock.setsockopt(SOL_SOCKET, SO_LINGER, _RESET_ON_CLOSE)
        self._http.close()

    def end_call(self):
        """Record that the answer was read to its end."""
        self._is_calling = False
        self.is_first_call = False

    def is_stale(self, now):
        """Return whether an idle connection must not be reused.

        The target may have closed it or sent unrequested bytes.
        """
        if now > self.reusable_until:
            return True
        if self._http.sock is None:
            return True
        poll = select.poll()
        poll.register(self._sock, select.POLLIN)
        return bool(poll.poll(0))


class TargetConnections:
    """Pool of idle connections by target id and address.

    The id of a target changes with its incarnation, so a restarted target gets new
    connections.

    Parameters
    ----------
    clock : callable
    connect_timeout_s : float
    connection_type : callable, optional
        Creates a connection from its address and the timeout.
    """

    def __init__(self, clock, connect_timeout_s, connection_type=TargetConnection):
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._connection_type = connection_type
        self._lock = threading.Lock()
        self._idle = {}
        self.opened = 0

    def acquire(
        self, target_id, address, max_idle_s, connect_timeout_s=inf, request_id=""
    ):
        """Return an idle connection of the pool or a new one.

        Parameters
        ----------
        target_id, address : str
        max_idle_s : float
            Longest time in seconds that a pooled connection may have been idle.
        connect_timeout_s : float, optional
            Longest time in seconds to connect, if it is below that of the pool.
        request_id : str, optional
            Request to be sent, for which connections are left out on which it failed.

        Raises
        ------
        CallFailedError
            If a new connection can't be opened.
        """

        def may_carry(connection):
            return connection.may_carry(request_id)

        return self._acquire(
            target_id, address, max_idle_s, connect_timeout_s, may_carry
        )

    def acquire_unnamed(self, target_id, address, max_idle_s):
        """Return a connection for a call whose answer names no request.

        Nothing tells that answer from a late copy of the answer to another such call,
        so a connection carries one of them at most.

        Parameters
        ----------
        target_id, address : str
        max_idle_s : float
            Longest time in seconds that a pooled connection may have been idle.

        Raises
        ------
        CallFailedError
            If a new connection can't be opened.
        """

        def may_carry(connection):
            return not connection.has_unnamed_call

        connection = self._acquire(target_id, address, max_idle_s, inf, may_carry)
        connection.has_unnamed_call = True
        if connection.is_first_call:
            self._close_oldest(target_id, address)
        return connection

    def _acquire(self, target_id, address, max_idle_s, connect_timeout_s, may_carry):
        now = self._clock()
        while (connection := self._pop(target_id, address, may_carry)) is not None:
            if now <= connection.idle_since + max_idle_s and not connection.is_stale(
                now
            ):
                return connection
            connection.close()
        timeout_s = min(self._connect_timeout_s, connect_timeout_s)
        connection = self._connection_type(address, timeout_s)
        self.opened += 1
        connection.connect()
        return connection

    def idle_targets(self):
        """Return the keys of the targets with an idle connection to reuse now.

        Keys are pairs of the id and the address of a target.
        """
        now = self._clock()
        with self._lock:
            return {
                key
                for key, idle in self._idle.items()
                if any(now <= connection.reusable_until for connection in idle)
            }

    def check(self, address):
        """Open and close a connection, to find out whether a host can be reached.

        Raises
        ------
        CallFailedError
        """
        connection = self._connection_type(address, _CHECK_TIMEOUT_S)
        self.opened += 1
        try:
            connection.connect()
        finally:
            connection.close()

    def release(self, target_id, connection, headers):
        """Return a connection to the pool after its answer was read to the end.

        It is closed if it can't be reused or the pool of its target is full.
        """
        if connection.cancelled or not connection.is_open:
            connection.close()
            return
        connection.end_call()
        connection.idle_since = self._clock()
        connection.keep_alive_s = keep_alive_s(headers)
        with self._lock:
            idle = self._idle.setdefault((target_id, connection.address), [])
            if len(idle) < _MAX_IDLE:
                idle.append(connection)
                return
        connection.close()

    def close_all_except(self, target_ids):
        """Close the idle connections of all targets other than these."""
        with self._lock:
            removed = [key for key in self._idle if key[0] not in target_ids]
            closing = [c for key in removed for c in self._idle.pop(key)]
        for connection in closing:
            connection.close()

    def _close_oldest(self, target_id, address):
        """Close an idle connection, so that calls which need new ones add none."""
        with self._lock:
            idle = self._idle.get((target_id, address), [])
            connection = idle.pop(0) if idle else None
        if connection is not None:
            connection.close()

    def _pop(self, target_id, address, may_carry):
        with self._lock:
            idle = self._idle.get((target_id, address), [])
            for index in reversed(range(len(idle))):
                if may_carry(idle[index]):
                    return idle.pop(index)
        return None


def keep_alive_s(headers):
    """Return the seconds that the target announces to keep an idle connection."""
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return float(value)
    return _DEFAULT_KEEP_ALIVE_S
