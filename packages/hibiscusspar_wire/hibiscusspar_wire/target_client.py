"""Client of targets; each failure of an attempt has its exact cause."""

from typing import Any, NamedTuple

from msgspec import MsgspecError, Struct
from msgspec.json import Decoder
from urllib3 import Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    NewConnectionError,
    ReadTimeoutError,
)
from urllib3.exceptions import HTTPError as TransportError

from hibiscusspar.errors import StepError
from hibiscusspar.requests.retry import RULES, Cause
from hibiscusspar_wire.strict_http import strict_pool_manager

__all__ = ["TargetAnswer", "TargetClient", "TargetError"]

_CHUNK_BYTES = 64 * 1024
_CONTROL_TIMEOUT_S = 1.0
_REFUSAL_STATUSES = frozenset({429, 502, 503, 504})
_BODILESS_STATUSES = frozenset({204, 304})


class TargetError(StepError):
    """An attempt failed at a target; ``cause`` is a :class:`Cause`."""

    def __init__(self, step, peer, reason, cause):
        super().__init__(step, peer, reason)
        self.cause = cause

    @property
    def ran(self):
        """Whether the request may have run: ``"not-run"`` or ``"unknown"``."""
        return "unknown" if RULES[self.cause].may_have_run else "not-run"


class TargetAnswer(NamedTuple):
    """Status and headers of an answer; its body is not read yet."""

    status: int
    headers: Any
    response: Any


class _State(Struct):
    incarnation: int | str = ""


_STATE_DECODER = Decoder(_State)


class TargetClient:
    """Client of targets with pooled connections.

    Requests that must not be repeated each use a new connection, since the target
    may have closed a pooled one while it was idle.

    Parameters
    ----------
    connect_timeout_s : float
    silence_timeout_s : float
        Maximum time between bytes of an answer, in seconds.
    """

    def __init__(self, connect_timeout_s, silence_timeout_s):
        self._connect_timeout_s = connect_timeout_s
        self.silence_timeout_s = silence_timeout_s
        self._pool = strict_pool_manager(num_pools=1024, maxsize=64)
        self._single_use_pool = strict_pool_manager(num_pools=1024, maxsize=1)

    def send(
        self, address, method, uri, headers, body, answer_timeout_s=None, reuse=True
    ):
        """Send a request and return its answer once the headers are received.

        Parameters
        ----------
        address : str
        method, uri : str
        headers : dict
        body : bytes
        answer_timeout_s : float, optional
            Maximum wait for the headers; the silence timeout if not given.
        reuse : bool
            Whether a pooled connection may be used.

        Returns
        -------
        TargetAnswer

        Raises
        ------
        TargetError
            With cause ``NOT_SENT`` only if no byte of the request was sent.
        """
        pool = self._pool if reuse else self._single_use_pool
        host, _, port = address.rpartition(":")
        if not reuse:
            headers = {**headers, "Connection": "close"}
        wait_s = answer_timeout_s or self.silence_timeout_s
        try:
            response = pool.connection_from_host(host, int(port)).urlopen(
                method,
                uri,
                body=body,
                headers=headers,
                timeout=Timeout(connect=self._connect_timeout_s, read=wait_s),
                retries=False,
                preload_content=False,
                redirect=False,
                decode_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise _target_error("connect", address, error, Cause.NOT_SENT) from error
        except ReadTimeoutError as error:
            raise _target_error("wait", address, error, Cause.SILENT) from error
        except TransportError as error:
            raise _target_error("send", address, error, Cause.CLOSED) from error
        return TargetAnswer(response.status, response.headers, response)

    def check(self, address, answer, request_id, label):
        """Check that an answer belongs to the request and is not a refusal.

        Raises
        ------
        TargetError
            If not; the connection of the answer is closed.
        """
        fault = _head_fault(answer, request_id, label)
        if fault is not None:
            answer.response.close()
            cause, reason = fault
            raise TargetError("target.answer", address, reason, cause)

    def read(self, address, answer):
        """Return the complete body of an answer.

        Raises
        ------
        TargetError
            If the body is incomplete, its length isn't known or the target is silent.
        """
        response = answer.response
        try:
            if not _has_length(answer):
                raise TransportError("the answer has no length")
            data = response.read()
        except ReadTimeoutError as error:
            response.close()
            raise _target_error("read", address, error, Cause.SILENT) from error
        except TransportError as error:
            response.close()
            raise _target_error("read", address, error, Cause.TRUNCATED) from error
        response.release_conn()
        return data

    def stream(self, address, answer, check):
        """Yield the validated frames of a stream as they arrive.

        The generator ends normally only if the stream is complete; otherwise, or if
        it is closed early, it closes the connection.

        Parameters
        ----------
        address : str
        answer : TargetAnswer
        check : StreamCheck

        Raises
        ------
        TargetError
            If the stream is invalid, silent or incomplete.
        """
        response = answer.response
        self._set_silence_timeout(response)
        complete = False
        try:
            for data in _body_parts(response):
                frames = check.feed(data)
                if frames:
                    yield frames
                if check.fault:
                    reason = check.fault
                    raise TargetError(
                        "target.stream", address, reason, Cause.STREAM_MISMATCHED
                    )
            complete = check.done
        except ReadTimeoutError as error:
            raise _target_error(
                "stream", address, error, Cause.STREAM_SILENT
            ) from error
        except TransportError as error:
            raise _target_error(
                "stream", address, error, Cause.STREAM_CLOSED
            ) from error
        finally:
            if complete:
                response.release_conn()
            else:
                response.close()
        if not complete:
            reason = "the stream ended early"
            raise TargetError("target.stream", address, reason, Cause.STREAM_CLOSED)

    def resume(self, address, request_id, offset):
        """Return the answer that continues a stream from the chunk ``offset``."""
        uri = f"/v1/requests/{request_id}/stream?offset={offset}"
        headers = {"X-Request-Id": request_id}
        answer = self.send(address, "GET", uri, headers, None, reuse=False)
        if answer.status != 200:
            answer.response.close()
            reason = f"status {answer.status}"
            raise TargetError("target.resume", address, reason, Cause.STREAM_CLOSED)
        return answer

    def cancel(self, address, request_id):
        """Ask a target to stop a request; the answer is ignored.

        Raises
        ------
        TargetError
            If the target can't be reached; the caller may ignore it.
        """
        self._control(address, "DELETE", f"/v1/requests/{request_id}")

    def incarnation(self, address):
        """Return the incarnation in a target's state, or an empty string."""
        answer = self.send(
            address, "GET", "/v1/state", {}, None, _CONTROL_TIMEOUT_S, False
        )
        try:
            return str(_STATE_DECODER.decode(self.read(address, answer)).incarnation)
        except MsgspecError:
            return ""

    def _control(self, address, method, uri):
        answer = self.send(address, method, uri, {}, None, _CONTROL_TIMEOUT_S, False)
        answer.response.close()
        return answer

    def _set_silence_timeout(self, response):
        connection = response.connection
        if connection is not None and connection.sock is not None:
            connection.sock.settimeout(self.silence_timeout_s)


def _body_parts(response):
    # ``read_chunked`` doesn't check what follows a chunk.
    while data := response.read1(_CHUNK_BYTES, decode_content=False):
        yield data


def _has_length(answer):
    response = answer.response
    if response.chunked or "Content-Length" in answer.headers:
        return True
    return answer.status in _BODILESS_STATUSES


def _head_fault(answer, request_id, label):
    """Return the cause and reason for rejecting an answer, or None."""
    echo = answer.headers.get("X-Request-Id", "")
    not_run = answer.headers.get("X-Run") == "not-run"
    if echo != request_id and (echo or not _is_refusal(answer)):
        return Cause.MISMATCHED, f"answer to request {echo!r}"
    if not_run and answer.status == 404 and label:
        return Cause.NOT_RESIDENT, "the adapter is not resident"
    if not_run:
        return Cause.DISCLAIMED, f"status {answer.status}, not run"
    if _is_refusal(answer):
        return Cause.REFUSED, f"status {answer.status}"
    adapter = answer.headers.get("X-Adapter", "")
    if label and answer.status == 200 and adapter != label:
        return Cause.MISMATCHED, f"answer of adapter {adapter!r}"
    return None


def _is_refusal(answer):
    return (
        answer.status in _REFUSAL_STATUSES or answer.headers.get("X-Run") == "not-run"
    )


def _target_error(step, address, error, cause):
    return TargetError(f"target.{step}", address, type(error).__name__, cause)
