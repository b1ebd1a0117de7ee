"""Client of the platform's object API and list of VMs."""

from http import HTTPStatus
from time import monotonic, sleep
from typing import Any
from urllib.parse import quote

import msgspec
from urllib3 import Timeout
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError
from urllib3.exceptions import HTTPError as TransportError

from hibiscusspar_wire.pacing import CallBudget, CircuitBreaker, backoff_s
from hibiscusspar_wire.platform_errors import (
    CompactedError,
    ConflictError,
    MissingError,
    RefusedError,
    UnknownOutcomeError,
)
from hibiscusspar_wire.strict_http import strict_pool_manager

__all__ = [
    "ObjectEvent",
    "ObjectList",
    "PlatformClient",
    "StoredObject",
    "VmList",
    "VmRow",
    "WatchAnswer",
]

MAX_VALUE_BYTES = 1_000_000
WATCH_MARGIN_S = 2.0
_RETRIED_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


class StoredObject(msgspec.Struct, frozen=True):
    """An object and its version."""

    name: str
    value: Any
    version: int


class ObjectList(msgspec.Struct, frozen=True):
    """Objects of a kind and the version of the listing."""

    items: list[StoredObject]
    version: int


class ObjectEvent(msgspec.Struct, frozen=True):
    """One change that a watch reported."""

    name: str
    version: int
    deleted: bool = False


class WatchAnswer(msgspec.Struct, frozen=True):
    """Changes of a kind and the version from which to watch next."""

    events: list[ObjectEvent]
    version: int


class VmRow(msgspec.Struct, frozen=True):
    """One VM of the platform's list; ``state`` is ``live`` or ``leaving``."""

    vm: str
    zone: str
    address: str
    state: str


class VmList(msgspec.Struct, frozen=True):
    """The platform's list of VMs, which may be out of date, and its version."""

    vms: list[VmRow]
    version: int


class _Written(msgspec.Struct):
    version: int = 0


class PlatformClient:
    """HTTP implementation of :class:`hibiscusspar.ports.Platform`.

    Parameters
    ----------
    address : str
        ``"IP:port"`` of the platform.
    rng : random.Random
        Source of jitter.
    deadline_s : float
        Longest duration of a call in seconds, retries included.
    calls_per_s, burst : float
        Rate limit of calls; a call above it waits, at most until its deadline.
    clock, pause : callable
        Monotonic clock and sleep, both in seconds.

    Attributes
    ----------
    calls : int
        Number of HTTP requests sent.

    Notes
    -----
    A read is retried until its deadline. A write is retried only if the platform
    reported that it had no effect or if no connection was made; otherwise it raises
    :class:`UnknownOutcomeError`, which the caller resolves by reading. After
    several unanswered calls in a row, calls fail at once for a random time, so that
    the nodes don't all call again at the same moment (thundering herd).
    """

    def __init__(
        self,
        address,
        rng,
        deadline_s=2.0,
        calls_per_s=10.0,
        burst=40.0,
        clock=monotonic,
        pause=sleep,
    ):
        self._address = address
        self._rng = rng
        self._deadline_s = deadline_s
        self._clock = clock
        self._pause = pause
        self._budget = CallBudget(calls_per_s, burst, clock)
        self._breaker = CircuitBreaker(clock, rng)
        self._pool = strict_pool_manager(num_pools=1, maxsize=4, block=False)
        self.calls = 0

    @property
    def address(self):
        """``"IP:port"`` of the platform."""
        return self._address

    def get(self, kind, name):
        """Return the :class:`StoredObject`, or None if there is none."""
        try:
            return self._read("get", _path(kind, name), StoredObject)
        except MissingError:
            return None

    def list(self, kind):
        """Return the :class:`ObjectList` of a kind."""
        return self._read("list", _path(kind), ObjectList)

    def create(self, kind, name, value):
        """Create an object and return its version."""
        return self._put("create", kind, name, value, {"If-None-Match": "*"})

    def update(self, kind, name, value, version):
        """Replace an object that is still at a version; return the new one."""
        return self._put("update", kind, name, value, {"If-Match": str(version)})

    def delete(self, kind, name, version):
        """Delete an object that is still at a version."""
        headers = {"If-Match": str(version)}
        self._write("delete", "DELETE", _path(kind, name), None, headers)

    def watch(self, kind, since, timeout_s):
        """Wait for changes of a kind; return a :class:`WatchAnswer`.

        Raises
        ------
        CompactedError
            If the changes after ``since`` are no longer kept.
        RefusedError
            If there was no answer. A watch is not retried here.
        """
        path = f"/watch/{quote(kind, safe='')}?since={since}&timeout_s={timeout_s:g}"
        wait_s = timeout_s + WATCH_MARGIN_S
        ends_at = self._clock() + self._deadline_s
        return self._read_once("watch", path, WatchAnswer, wait_s, ends_at)

    def vms(self):
        """Return the :class:`VmList`."""
        return self._read("vms", "/vms", VmList)

    def _read(self, operation, path, answer_type):
        ends_at = self._clock() + self._deadline_s
        attempt = 0
        while True:
            try:
                left_s = max(0.001, ends_at - self._clock())
                return self._read_once(operation, path, answer_type, left_s, ends_at)
            except RefusedError as error:
                self._wait_or_raise(error, attempt, ends_at)
            attempt += 1

    def _read_once(self, operation, path, answer_type, wait_s, ends_at):
        step = f"platform.{operation}"
        self._wait_for_budget(step, ends_at)
        try:
            answer = self._send("GET", path, None, {}, wait_s)
        except TransportError as error:
            self._breaker.record_failure()
            raise RefusedError(step, self._address, str(error)) from error
        return self._decode(step, answer, answer_type)

    def _put(self, operation, kind, name, value, headers):
        body = msgspec.json.encode({"value": value})
        if len(body) > MAX_VALUE_BYTES:
            reason = f"value of {len(body)} bytes is over {MAX_VALUE_BYTES}"
            raise RefusedError(f"platform.{operation}", self._address, reason)
        path = _path(kind, name)
        return self._write(operation, "PUT", path, body, headers).version

    def _write(self, operation, method, path, body, headers):
        step = f"platform.{operation}"
        ends_at = self._clock() + self._deadline_s
        headers = {"Content-Type": "application/json", **headers}
        attempt = 0
        while True:
            try:
                return self._write_once(step, method, path, body, headers, ends_at)
            except RefusedError as error:
                self._wait_or_raise(error, attempt, ends_at)
            attempt += 1

    def _write_once(self, step, method, path, body, headers, ends_at):
        self._wait_for_budget(step, ends_at)
        left_s = max(0.001, ends_at - self._clock())
        try:
            answer = self._send(method, path, body, headers, left_s)
        except (ConnectTimeoutError, NewConnectionError) as error:
            self._breaker.record_failure()
            raise RefusedError(step, self._address, str(error)) from error
        except TransportError as error:
            self._breaker.record_failure()
            raise UnknownOutcomeError(step, self._address, str(error)) from error
        if answer.status >= 500 and answer.status not in _RETRIED_STATUSES:
            reason = f"answered {answer.status}"
            raise UnknownOutcomeError(step, self._address, reason)
        return self._decode(step, answer, _Written, UnknownOutcomeError)

    def _wait_for_budget(self, step, ends_at):
        """Wait for the rate limit; fail at once while the circuit breaker is open."""
        pause = self._breaker.remaining_open_s
        if pause > 0:
            reason = f"no answer to the last calls; next attempt in {pause:.2f} s"
            raise RefusedError(step, self._address, reason)
        while (wait := self._budget.take()) > 0:
            if self._clock() + wait > ends_at:
                raise RefusedError(step, self._address, "call budget is used up")
            self._pause(wait)

    def _wait_or_raise(self, error, attempt, ends_at):
        """Wait for the next attempt, or raise if it would be after the deadline."""
        wait = max(backoff_s(attempt, self._rng), self._breaker.remaining_open_s)
        if self._clock() + wait >= ends_at:
            raise error
        self._pause(wait)

    def _send(self, method, path, body, headers, wait_s):
        self.calls += 1
        return self._pool.request(
            method,
            f"http://{self._address}{path}",
            body=body,
            headers=headers,
            timeout=Timeout(connect=min(wait_s, self._deadline_s), read=wait_s),
            retries=False,
        )

    def _decode(self, step, answer, answer_type, error_type=RefusedError):
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._breaker.record_failure()
        else:
            self._breaker.record_answer()
        self._raise_for_status(step, answer)
        try:
            return msgspec.json.decode(answer.data, type=answer_type)
        except msgspec.MsgspecError as error:
            raise error_type(step, self._address, str(error)) from error

    def _raise_for_status(self, step, answer):
        reason = f"answered {answer.status}"
        match answer.status:
            case HTTPStatus.OK:
                return
            case HTTPStatus.NOT_FOUND:
                raise MissingError(step, self._address, reason)
            case HTTPStatus.CONFLICT:
                version = _reported_version(answer.data)
                raise ConflictError(step, self._address, reason, version)
            case HTTPStatus.GONE:
                raise CompactedError(step, self._address, reason)
        raise RefusedError(step, self._address, reason)


def _path(*parts):
    return "/objects/" + "/".join(quote(part, safe="") for part in parts)


def _reported_version(data):
    try:
        return msgspec.json.decode(data, type=_Written).version
    except msgspec.MsgspecError:
        return 0
