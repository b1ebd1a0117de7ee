"""Stand-in for the platform: versioned objects, watches and a delayed list of VMs."""

import json
from collections import deque
from threading import Condition
from time import monotonic
from typing import Any, NamedTuple

from hibiscusspar_standins.faults import Faults
from hibiscusspar_standins.ledger import Ledger
from hibiscusspar_standins.server import Answer

__all__ = ["Platform", "RefusedError", "Stored", "TokenBucket"]

MAX_VALUE_BYTES = 1_000_000
MAX_EVENTS = 10_000
MAX_WATCH_S = 30.0


class RefusedError(Exception):
    """Exception raised when a call is refused without effect.

    ``status`` is the HTTP status and ``body`` the content of the answer.
    """

    def __init__(self, status, **body):
        super().__init__(status, body)
        self.status = status
        self.body = body


class Stored(NamedTuple):
    """Stored object with its version."""

    name: str
    value: Any
    version: int


class TokenBucket:
    """Token bucket whose burst is the calls of one second."""

    def __init__(self, rate, now):
        self._rate = rate
        self._tokens = rate
        self._updated_at = now

    def take(self, now):
        """Take one token and return whether there was one."""
        self._tokens = min(
            self._rate, self._tokens + (now - self._updated_at) * self._rate
        )
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Platform:
    """In-memory object API and list of VMs.

    Parameters
    ----------
    reads_per_s, writes_per_s : float
        Rates above which calls are refused with status 429.
    vm_lag_s : float
        Delay in seconds of the list of VMs.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self, reads_per_s=2000.0, writes_per_s=400.0, vm_lag_s=0.5, clock=monotonic
    ):
        self.faults = Faults()
        self.ledger = Ledger(clock)
        self._clock = clock
        self._changed = Condition()
        self._stopped = False
        self._objects = {}
        self._version = 0
        self._events = deque()
        self._compacted = 0
        self._vm_changes = deque([(float("-inf"), {}, 0)])
        self._vm_lag_s = vm_lag_s
        self._read_bucket = TokenBucket(reads_per_s, clock())
        self._write_bucket = TokenBucket(writes_per_s, clock())

    def stop(self):
        """End the pending watches."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()

    def get(self, kind, name):
        """Return a :class:`Stored`; raise :class:`RefusedError` if it doesn't exist."""
        with self._changed:
            return self._find(kind, name)

    def list(self, kind):
        """Return all objects of a kind and the version of the platform."""
        with self._changed:
            rows = [row for (k, _), row in sorted(self._objects.items()) if k == kind]
            return rows, self._version

    def put(self, kind, name, value, version=None):
        """Create an object, or update it if ``version`` is given."""
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            raise RefusedError(413, error="value too large")
        with self._changed:
            if version is not None:
                self._check_version(kind, name, version)
            elif (kind, name) in self._objects:
                raise RefusedError(409, version=self._objects[kind, name].version)
            self._version += 1
            self._objects[kind, name] = Stored(name, value, self._version)
            self._publish_event(kind, name, deleted=False)
            return self._version

    def delete(self, kind, name, version):
        """Delete an object whose version is still ``version``."""
        with self._changed:
            self._check_version(kind, name, version)
            self._version += 1
            del self._objects[kind, name]
            self._publish_event(kind, name, deleted=True)
            return self._version

    def watch(self, kind, since, timeout_s):
        """Wait for events after ``since``; return them and the version."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._stopped or self._events_since(kind, since),
                min(timeout_s, MAX_WATCH_S),
            )
            if since < self._compacted:
                raise RefusedError(410, error="compacted")
            return self._events_since(kind, since), self._version

    def vms(self):
        """Return the list of VMs as it was ``vm_lag_s`` ago."""
        return self.vm_list()[0]

    def vm_list(self):
        """Return the delayed list of VMs and the version of its content."""
        horizon = self._clock() - self._vm_lag_s
        with self._changed:
            while len(self._vm_changes) > 1 and self._vm_changes[1][0] <= horizon:
                self._vm_changes.popleft()
            _, table, version = self._vm_changes[0]
            return list(table.values()), version

    def set_vm(self, vm, zone="", address="", state="live"):
        """Add or change a VM, or remove it with the state ``"gone"``."""
        with self._changed:
            table = dict(self._vm_changes[-1][1])
            table.pop(vm, None)
            if state != "gone":
                row = {"vm": vm, "zone": zone, "address": address, "state": state}
                table[vm] = row
            self._version += 1
            self._vm_changes.append((self._clock(), table, self._version))

    def handle(self, exchange):
        """Answer one HTTP request."""
        try:
            self._admit(exchange)
            value = _read_json(exchange)
            parts = exchange.path.strip("/").split("/", 2)
            answer = self._route(exchange, parts, value)
        except RefusedError as refusal:
            return Answer(refusal.status, refusal.body)
        if exchange.method != "GET":
            exchange.apply_pending_fault("lost_answer")
        return Answer(200, answer)

    def _admit(self, exchange):
        operation = "read" if exchange.method == "GET" else "write"
        self.ledger.count(operation)
        slow = self.faults.take("slow", exchange.path)
        if slow is not None:
            exchange.wait(slow.seconds)
        if self.faults.take("outage", exchange.path):
            raise RefusedError(503, error="outage")
        bucket = self._read_bucket if operation == "read" else self._write_bucket
        with self._changed:
            if not bucket.take(self._clock()):
                self.ledger.count("refused")
                raise RefusedError(429, error="rate")

    def _route(self, exchange, parts, value):
        match exchange.method, parts:
            case "GET", ["vms"]:
                vms, version = self.vm_list()
                return {"vms": vms, "version": version}
            case "PUT", ["vms", vm]:
                return self.set_vm(vm, **value)
            case "GET", ["objects", kind]:
                rows, version = self.list(kind)
                return {"items": [row._asdict() for row in rows], "version": version}
            case "GET", ["objects", kind, name]:
                return self.get(kind, name)._asdict()
            case "GET", ["watch", kind]:
                return self._route_watch(exchange, kind)
            case "PUT", ["objects", kind, name]:
                version = _expected_version(exchange)
                return {"version": self.put(kind, name, value["value"], version)}
            case "DELETE", ["objects", kind, name]:
                return {"version": self.delete(kind, name, _expected_version(exchange))}
        raise RefusedError(404, error="no such path")

    def _route_watch(self, exchange, kind):
        since = int(exchange.query.get("since", 0))
        timeout_s = float(exchange.query.get("timeout_s", 0))
        events, version = self.watch(kind, since, timeout_s)
        return {"events": events, "version": version}

    def _find(self, kind, name):
        row = self._objects.get((kind, name))
        if row is None:
            raise RefusedError(404, error="no such object")
        return row

    def _check_version(self, kind, name, version):
        found = self._find(kind, name).version
        if found != version:
            raise RefusedError(409, version=found)

    def _events_since(self, kind, since):
        return [
            event for k, event in self._events if k == kind and _is_newer(event, since)
        ]

    def _publish_event(self, kind, name, deleted):
        event = {"name": name, "version": self._version, "deleted": deleted}
        self._events.append((kind, event))
        if len(self._events) > MAX_EVENTS:
            self._compacted = self._events.popleft()[1]["version"]
        self._changed.notify_all()


def _is_newer(event, since):
    return event["version"] > since


def _read_json(exchange):
    if exchange.method != "PUT":
        return {}
    try:
        return json.loads(exchange.read())
    except ValueError:
        raise RefusedError(400, error="body is not JSON") from None


def _expected_version(exchange):
    match = exchange.headers.get("If-Match")
    if match is not None:
        return int(match.strip('"'))
    if exchange.headers.get("If-None-Match") == "*":
        return None
    raise RefusedError(428, error="a condition is required")
