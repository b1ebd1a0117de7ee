"""A zone's recorded part of an account's limit, in the platform's object API.

One object per account holds the parts of all zones. A home changes only its own
zone's part, by conditional update, and raises it only as far as the other parts
leave free. It applies a lower part at once and records it when everything handed
out fits in it; it applies a higher part only after recording it. Each home first
writes back the part that it found: this changes the object's version, so that
updates of a predecessor that are still in flight fail.
"""

from math import isclose
from typing import NamedTuple

from hibiscusspar.outbox import PlatformCall

__all__ = ["KIND", "Escrow", "next_part"]

KIND = "limit-parts"
RETRY_S = 1.0
CONFLICT_RETRY_S = 0.5
MAX_RETRY_S = 16.0


class _Record(NamedTuple):
    """Object as last read or written; ``parts`` maps zones to (rate, cap)."""

    version: int
    revision: int
    parts: dict
    writers: dict


def next_part(parts, zone, total, configured):
    """Return the part that a zone should record next.

    It is the configured part, or as much of it as the other parts leave free, but
    no less than the recorded part if that is lower than the configured one.

    Parameters
    ----------
    parts : dict of str to (float, float)
        Recorded rate and capacity of each zone.
    zone : str
    total, configured : tuple of (float, float)
        Rate and capacity of the fleet, and those configured for the zone.
    """
    own = parts.get(zone, (0.0, 0.0))
    others = [part for name, part in parts.items() if name != zone]
    free = [total[i] - sum(part[i] for part in others) for i in (0, 1)]
    rate, cap = (
        min(configured[i], max(own[i], free[i]))
        if configured[i] > own[i]
        else configured[i]
        for i in (0, 1)
    )
    return rate, cap


class Escrow:
    """Part of one account's limit that the home of this zone may use.

    Parameters
    ----------
    now : float
    account : str
    zone : str
    writer : str
        Epoch of the home: identifies one term in which a VM holds its role.
    rng : random.Random
        Jitter, so that the homes of the zones don't retry at the same time.

    Attributes
    ----------
    first_home : bool
        Whether the record shows no earlier home of this zone.
    predecessor : str or None
        Writer of this zone's part when the record was first read.
    """

    def __init__(self, now, account, zone, writer, rng):
        self._account = account
        self._zone = zone
        self._writer = writer
        self._rng = rng
        self._record = None
        self._claimed = False
        self._ever_claimed = False
        self.first_home = False
        self.predecessor = None
        self._own = (0.0, 0.0)
        self._call = None
        self._calls = 0
        self._next_call_at = now
        self._retry_s = RETRY_S
        self._configured = (0.0, 0.0)
        self._total = (0.0, 0.0)
        self._revision = 0

    @property
    def claimed(self):
        """Whether this home has written the record and may use its part."""
        return self._ever_claimed

    @property
    def recorded(self):
        """Lower bound of the zone's part in the record; zero until claimed."""
        return self._own

    @property
    def usable(self):
        """Part that may be used now."""
        return _elementwise_min(self._own, self._configured)

    def configure(self, now, revision, total, configured):
        """Set the limit of the fleet and the part configured for this zone."""
        if (total, configured) != (self._total, self._configured):
            self._next_call_at = now
            self._retry_s = RETRY_S
        self._revision = revision
        self._total = total
        self._configured = configured

    def tick(self, now, fits, out):
        """Send the platform call that is due: read, claim or update the record.

        Parameters
        ----------
        now : float
        fits : callable
            Takes a part and returns whether everything handed out fits in it.
        out : Outbox
        """
        if self._call is not None or now < self._next_call_at:
            return
        if self._record is None:
            self._send(now, "get", out)
            return
        wanted = self._next_part(fits)
        if self._claimed and _is_close(wanted, self._record.parts[self._zone]):
            self._schedule_read(now)
            return
        if self._claimed:
            self._own = _elementwise_min(self._own, wanted)
        self._send(now, "update" if self._record.version else "create", out, wanted)

    def process_result(self, now, result):
        """Process the result of a call; return whether the call was its own."""
        if self._call is None or result.call_id != self._call.call_id:
            return False
        call, self._call = self._call, None
        if call.operation == "get" and result.outcome in ("ok", "missing"):
            self._record = _parse_record(result)
            if self.predecessor is None:
                self.predecessor = self._record.writers.get(self._zone, "")
            self._next_call_at = now
        elif result.outcome == "ok":
            self._record = _parse_record(result._replace(value=call.value))
            self._own = self._record.parts[self._zone]
            self._claimed = self._ever_claimed = True
            self.first_home = not self.predecessor
            self._retry_s = RETRY_S
        else:
            self._claimed = self._claimed and call.operation == "get"
            self._record = None
            if result.outcome == "conflict":
                self._next_call_at = now + self._rng.uniform(0.0, CONFLICT_RETRY_S)
            else:
                self._back_off(now)
        return True

    def _next_part(self, fits):
        record = self._record
        own = record.parts.get(self._zone)
        wanted = next_part(record.parts, self._zone, self._total, self._configured)
        if own is None:
            return wanted
        if not self._claimed:
            return own
        if self._revision < record.revision:
            wanted = _elementwise_min(wanted, own)
        lower = _elementwise_min(wanted, own)
        return (
            wanted if fits(lower) else (max(wanted[0], own[0]), max(wanted[1], own[1]))
        )

    def _schedule_read(self, now):
        """Schedule another read if this zone's part is below the configured one."""
        if _is_close(_elementwise_min(self._own, self._configured), self._configured):
            self._next_call_at = now + RETRY_S
            return
        self._record = None
        self._back_off(now)

    def _record_value(self, part):
        record = self._record
        return {
            "revision": max(record.revision, self._revision),
            "parts": {**record.parts, self._zone: part},
            "writers": {**record.writers, self._zone: self._writer},
        }

    def _send(self, now, operation, out, part=None):
        self._calls += 1
        version = self._record.version if self._record else 0
        self._call = PlatformCall(
            system="limits",
            call_id=f"{self._writer}/{self._account}/{self._calls}",
            operation=operation,
            kind=KIND,
            name=self._account,
            value=None if part is None else self._record_value(part),
            version=version,
        )
        out.call(self._call)

    def _back_off(self, now):
        self._next_call_at = now + self._retry_s * self._rng.uniform(0.5, 1.0)
        self._retry_s = min(2.0 * self._retry_s, MAX_RETRY_S)


def _elementwise_min(part, other):
    return min(part[0], other[0]), min(part[1], other[1])


def _is_close(part, other):
    return all(isclose(a, b, rel_tol=1e-9) for a, b in zip(part, other, strict=True))


def _parse_record(result):
    value = result.value or {"revision": 0, "parts": {}, "writers": {}}
    parts = {zone: (part[0], part[1]) for zone, part in value["parts"].items()}
    return _Record(result.version, value["revision"], parts, dict(value["writers"]))
