"""Server of the requests that nodes without a path send through this node.

A request that comes with a valid token was admitted by the node that sends it: that
node has checked its key, taken its tokens and counted the attempt. This node sends it
once, over its own links and never through another node, and heeds what it knows of the
target.
"""

import threading
from secrets import token_hex
from typing import NamedTuple

from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.background import log_failure, log_server_error
from hibiscusspar_entry.fleet.events import CALL_SENT_FOR_PEER
from hibiscusspar_entry.fleet.proxy_messages import (
    ANSWER_HEADER,
    BAD_TOKEN,
    BUSY,
    CALL_HEADER,
    LEAVING,
    NO_PATH,
    REFUSAL_HEADER,
    UNREACHABLE,
    ProxyAnswer,
    ProxyCall,
    decode_header,
    encode_header,
)
from hibiscusspar_entry.fleet.request_state import RequestState
from hibiscusspar_entry.fleet.target_statements import AnswerOrigin
from hibiscusspar_wire.front_server import (
    BadRequestError,
    CallerGoneError,
    FrontServer,
)
from hibiscusspar_wire.target_connections import CallFailedError

__all__ = ["PeerProxy", "ProxyTokens"]

# Time in seconds for which a token is accepted after the last offer with it. It exceeds
# that for which an offer holds, so that requests under way are accepted.
_TOKEN_S = 4.0
_TOKEN_BYTES = 16
# Requests of other nodes that are sent at the same time.
_MAX_OPEN = 96
_THREADS = 4
# Longest idle time of a connection to a target, in seconds.
_IDLE_S = 2.0
# An encoded head is larger than that of the caller's request.
_HEADER_FACTOR = 2
_HEADER_EXTRA_BYTES = 8192
# Steps at which the target may have crashed.
_CRASH_STEPS = ("wait", "read")


class ProxyTokens:
    """Tokens that this node has given to peers, by their addresses.

    Parameters
    ----------
    clock : callable
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = {}

    def issue(self, address):
        """Return the token of the node at an address, and extend its validity."""
        with self._lock:
            self._expire()
            token, _ = self._tokens.get(address, (token_hex(_TOKEN_BYTES), 0.0))
            self._tokens[address] = (token, self._clock() + _TOKEN_S)
            return token

    def is_valid(self, token):
        """Return whether some node may use a token now."""
        with self._lock:
            self._expire()
            return any(token == known for known, _ in self._tokens.values())

    def _expire(self):
        now = self._clock()
        self._tokens = {a: row for a, row in self._tokens.items() if now < row[1]}


class _Limits(NamedTuple):
    """Limits of the server, as for ``FrontServer.set_limits``."""

    header_bytes: int
    body_bytes: int
    idle_s: float


class _NotSentError(Exception):
    """The request was not sent, for the reason given."""


class PeerProxy:
    """Server that sends the requests of nodes without a path.

    It is started with the first offer.

    Parameters
    ----------
    clock : callable
    address : str
        ``IP:port`` to bind.
    dialect : Dialect
    paths : TargetPaths
    watch : PathWatch
    crashes : CrashExchange
    statements : TargetStatements
    disconnect_watch : DisconnectWatch
    own_load : callable
        Returns the number of open requests of this node's callers.
    """

    def __init__(
        self,
        clock,
        address,
        dialect,
        paths,
        watch,
        crashes,
        statements,
        disconnect_watch,
        own_load,
    ):
        self._clock = clock
        self._address = address
        self._dialect = dialect
        self._paths = paths
        self._watch = watch
        self._crashes = crashes
        self._statements = statements
        self._disconnect_watch = disconnect_watch
        self._own_load = own_load
        self._tokens = ProxyTokens(clock)
        self._lock = threading.Lock()
        self._server = None
        self._server_limits = None
        self._open = 0
        # Number of requests that were sent for other nodes.
        self.sent_count = 0
        self.is_closing = False

    @property
    def open_requests(self):
        """Number of requests of other nodes that have arrived and aren't answered.

        It includes those that are being read or wait for a thread.
        """
        server = self._server
        return 0 if server is None else server.unanswered

    def configure(self, ruleset):
        """Apply the limits of a configuration."""
        with self._lock:
            self._server_limits = _Limits(
                _HEADER_FACTOR * ruleset.max_header_bytes + _HEADER_EXTRA_BYTES,
                ruleset.max_body_bytes,
                ruleset.idle_timeout_s,
            )
            if self._server is not None:
                self._server.set_limits(*self._server_limits)

    def offer(self, address):
        """Return token, port and load of an offer to a node, or None for no offer."""
        is_configured = self._server_limits is not None
        if self.is_closing or not is_configured or self._open >= _MAX_OPEN:
            return None
        try:
            port = self._start()
        except OSError as error:
            log_failure("proxy", error)
            return None
        return self._tokens.issue(address), port, self._own_load() + self._open

    def grow(self):
        """Add threads if few are idle; must be called periodically."""
        server = self._server
        if server is not None:
            server.grow()

    def stop(self):
        """Close the port."""
        with self._lock:
            server, self._server = self._server, None
        if server is not None:
            server.stop()

    def handle(self, inbound):
        """Send one request of another node and pass on its answer."""
        started_at = self._clock()
        call, status, reason = None, 0, ""
        with self._lock:
            self._open += 1
        try:
            call = _read_call(inbound)
            status = self._send(inbound, call, started_at + call.remaining_s)
        except _NotSentError as error:
            reason = str(error)
            _refuse(inbound, reason)
        except BadRequestError as error:
            reason = error.reason
            inbound.close_after_answer()
            _refuse(inbound, reason)
        except (CallFailedError, CallerGoneError) as error:
            reason = repr(error)
            inbound.abort()
        except Exception as error:  # noqa: BLE001
            # It is unknown whether the request ran.
            reason = f"internal: {error!r}"
            inbound.abort()
        finally:
            with self._lock:
                self._open -= 1
            fields = {
                "request": call.request_id if call else "",
                "target": call.target_id if call else "",
                "status": status,
                "reason": reason,
                "seconds": round(self._clock() - started_at, 3),
            }
            write_records([(CALL_SENT_FOR_PEER, fields)])

    def _start(self):
        with self._lock:
            if self._server is None:
                server = FrontServer(
                    self._address, self.handle, _THREADS, on_error=log_server_error
                )
                server.set_limits(*self._server_limits)
                server.start()
                self._server = server
            return self._server.port

    def _send(self, inbound, call, ends_at):
        """Send a request and pass on its answer; return the status of the answer."""
        if not self._tokens.is_valid(call.token):
            raise _NotSentError(BAD_TOKEN)
        body = inbound.read_body(self._server_limits.body_bytes)
        target = self._sendable_target(call)
        try:
            path = self._paths.acquire_own(
                target, _IDLE_S, call.request_id, call.permitted
            )
        except CallFailedError as error:
            reason = UNREACHABLE if error.step == "connect" else error.reason
            raise _NotSentError(reason) from error
        watch, state = self._disconnect_watch, RequestState()
        state.connection = path
        handle = watch.add(inbound.socket, state.cancel)
        try:
            path.send(
                call.method, call.uri, call.headers, body, ends_at - self._clock()
            )
            sent_at = self._clock()
            self.sent_count += 1
            response = path.response(ends_at - self._clock())
            answer = self._dialect.answer_head(response.status, response.headers)
            origin = AnswerOrigin(target, sent_at)
            self._statements.record(origin, answer, response.status, call.request_id)
            head = ProxyAnswer(response.status, list(response.headers.items()))
            inbound.send_head(200, [(ANSWER_HEADER, encode_header(head))])
            while data := path.read(response, ends_at - self._clock()):
                inbound.write(data)
        except CallFailedError as error:
            state.close_connection()
            if error.step in _CRASH_STEPS and not path.cancelled and call.suspects:
                self._crashes.record_break(target, call.suspects)
            raise
        except BaseException:
            state.close_connection()
            raise
        finally:
            watch.remove(handle)
        if answer.request_id == call.request_id:
            if not 200 <= response.status < 300:
                path.record_failed(call.request_id)
            state.release_connection(response.headers)
        else:
            state.close_connection()
        return response.status

    def _sendable_target(self, call):
        """Return the target of a request if this node may send it there."""
        target = self._watch.target(call.target_id)
        if self.is_closing:
            raise _NotSentError(LEAVING)
        if self._open > _MAX_OPEN:
            raise _NotSentError(BUSY)
        if target is None or target.draining:
            raise _NotSentError("the target leaves or is unknown")
        if self._statements.is_closed(target, call.permitted):
            raise _NotSentError("the target is cold, rests or leaves")
        if self._watch.is_cut(target.service):
            raise _NotSentError(NO_PATH)
        return target


def _read_call(inbound):
    fields = {name.lower(): value for name, value in inbound.head.headers}
    try:
        return decode_header(fields.get(CALL_HEADER.lower(), ""), ProxyCall)
    except ValueError as error:
        raise BadRequestError(400, "malformed call") from error


def _refuse(inbound, reason):
    try:
        inbound.answer(503, [(REFUSAL_HEADER, reason)], b"")
    except CallerGoneError as error:
        log_failure("proxy", error)
