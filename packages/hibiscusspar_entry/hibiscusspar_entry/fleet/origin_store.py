"""Copy of the origins of streams in the platform's store.

It outlasts a loss of all processes, after which else no stream could go on while
several software versions serve.
"""

from msgspec import MsgspecError, convert

from hibiscusspar.errors import StepError
from hibiscusspar.fleet.stream_origins import MAX_ORIGINS, StreamOrigin
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.background import log_failure
from hibiscusspar_entry.fleet.events import ORIGINS_READ
from hibiscusspar_wire.platform_errors import ConflictError, MissingError

__all__ = ["ORIGIN_KIND", "OriginStore"]

ORIGIN_KIND = "hibiscusspar-origins"
# Shortest time between writes of one node in seconds, and the writes a second of all
# nodes, a tenth of those that the platform allows.
_WRITE_S = 0.5
_FLEET_WRITES_PER_S = 40.0
# Time in seconds after the start in which the copies are read, if several versions are
# known; then no stream that began before is taken up any more.
_RESTORE_S = 40.0
# Pause after a call that failed, in seconds.
_RETRY_S = 0.3
# Times between steps: in seconds while calls may be due soon, as a fraction of the
# interval between writes, and in seconds while nothing is written.
_STEP_S = 0.2
_LOOK_FRACTION = 0.4
_IDLE_S = 2.0
# Characters of the key of a stream.
_KEY_CHARS = 16


class OriginStore:
    """Object with the origins of the streams that one node began lately.

    It is written while several software versions of a service are known, and all such
    objects are read once after the start.

    Parameters
    ----------
    store : ObjectStore
    name : str
        Name of the node.
    origins : OriginExchange
    software : SoftwareVersions
    clock : callable
    rng : random.Random
    nodes : callable
        Returns the size of the fleet, None before the first view.
    backoff : StoreBackoff
    sweep : OriginSweep
    """

    def __init__(
        self, store, name, origins, software, clock, rng, nodes, backoff, sweep
    ):
        self._store = store
        self._name = name
        self._origins = origins
        self._software = software
        self._clock = clock
        self._phase = rng.random()
        self._nodes = nodes
        self._backoff = backoff
        self._sweep = sweep
        self._restore_until = clock() + _RESTORE_S
        # Services with several versions, as of the last step.
        self._mixed = set()
        # Time from which the interval until the next write counts.
        self._written_at = None
        self._retry_at = 0.0
        # Revision of the object: 0 if there is none, None if it isn't known.
        self._revision = 0
        # Number of streams by service as of the last write.
        self._written = {}

    def step(self):
        """Make the store call that is due, if any."""
        now = self._clock()
        self._mixed = self._software.mixed_services()
        if now < self._retry_at:
            return
        call = self._due_call(now)
        if call is None or self._backoff.wait_s() > 0:
            return
        try:
            call()
        except (ConflictError, MissingError):
            self._backoff.record_answer()
            self._revision = None
        except StepError as error:
            self._backoff.record_failure()
            self._retry_at = now + _RETRY_S
            log_failure("origin store", error)
        else:
            self._backoff.record_answer()

    def pause_s(self):
        """Return the time until the next step, in seconds."""
        if self._clock() < self._restore_until or self._sweep.has_calls:
            return _STEP_S
        return self._interval_s() * _LOOK_FRACTION if self._mixed else _IDLE_S

    def _interval_s(self):
        return max(_WRITE_S, (self._nodes() or 0) / _FLEET_WRITES_PER_S)

    def _due_call(self, now):
        if self._mixed and now < self._restore_until:
            return self._restore
        if self._is_write_due(now):
            return self._write if self._revision is not None else self._read_revision
        return self._sweep.due_call(now, bool(self._mixed))

    def _is_write_due(self, now):
        if not self._mixed or self._nodes() is None:
            self._written_at = None
            return False
        interval_s = self._interval_s()
        if self._written_at is None:
            # Nodes learn of a version at the same time and should not write then.
            self._written_at = now - self._phase * interval_s
        if now < self._written_at + interval_s:
            return False
        counts = self._origins.begun_counts(self._mixed)
        return any(counts.values()) and counts != self._written

    def _restore(self):
        objects = self._store.list(ORIGIN_KIND).objects
        share = max(1, MAX_ORIGINS // max(1, len(objects)))
        count = 0
        for stored in objects:
            rows = _decode(stored.value, share)
            count += len(rows)
            is_own = stored.name == self._name
            self._origins.restore(rows, is_own)
            if is_own:
                self._revision = stored.revision
        self._restore_until = 0.0
        write_records([(ORIGINS_READ, {"nodes": len(objects), "streams": count})])

    def _read_revision(self):
        stored = self._store.get(ORIGIN_KIND, self._name)
        self._revision = 0 if stored is None else stored.revision

    def _write(self):
        self._written_at = self._clock()
        counts = self._origins.begun_counts(self._mixed)
        value = {"rows": _encode(self._origins.begun_rows(), self._mixed)}
        if self._revision:
            self._revision = self._store.update(
                ORIGIN_KIND, self._name, value, self._revision
            )
        else:
            self._revision = self._store.create(ORIGIN_KIND, self._name, value)
        self._written = counts


def _encode(rows, services):
    """Return the joined keys by service and version, those of other services left out.

    Keys have one length, so they need no separators.
    """
    keys = {}
    for key, origin in rows:
        if origin.service in services:
            keys.setdefault(origin, []).append(key)
    encoded = {}
    for origin, names in keys.items():
        encoded.setdefault(origin.service, {})[origin.software] = "".join(names)
    return encoded


def _decode(value, limit):
    """Return the latest rows of an object, none if it can't be read."""
    try:
        rows = convert(convert(value, dict).get("rows"), dict[str, dict[str, str]])
    except MsgspecError as error:
        log_failure("origins.read", error)
        return []
    found = []
    for service, versions in rows.items():
        for software, text in versions.items():
            origin = StreamOrigin(service, software)
            latest = text[-limit * _KEY_CHARS :]
            starts = range(0, len(latest), _KEY_CHARS)
            found += [(latest[i : i + _KEY_CHARS], origin) for i in starts]
    return found
