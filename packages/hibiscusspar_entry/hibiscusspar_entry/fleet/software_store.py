"""Copy of the targets' software versions in the platform's store.

It outlasts a restart of all processes, which else would know only the versions that
serve then, and let one of these continue a stream that another one began.
"""

from msgspec import MsgspecError, convert

from hibiscusspar.errors import StepError
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.background import log_failure
from hibiscusspar_entry.fleet.events import SOFTWARE_READ
from hibiscusspar_wire.platform_errors import ConflictError, MissingError

__all__ = ["SoftwareStore"]

SOFTWARE_KIND = "hibiscusspar-software"
_NAME = "versions"
# Interval in seconds at which the coordinator reads its copy, which a store that
# returns from an older copy may have lost.
_READ_S = 10.0
# Pause after a call that failed, in seconds.
_RETRY_S = 0.3
# Times between steps in seconds: of the coordinator, and of other nodes, whose task is
# woken when they become that.
_STEP_S = 0.2
_IDLE_S = 60.0


class SoftwareStore:
    """Object with the versions by service, written by the coordinator.

    Each process reads it once at its start.

    Parameters
    ----------
    store : ObjectStore
    software : SoftwareVersions
    clock : callable
    leads : callable
        Returns whether this node coordinates.
    backoff : StoreBackoff
    """

    def __init__(self, store, software, clock, leads, backoff):
        self._store = store
        self._software = software
        self._clock = clock
        self._leads = leads
        self._backoff = backoff
        self._is_restored = False
        # Time of the last read as the coordinator, None before.
        self._read_at = None
        self._retry_at = 0.0
        self._revision = 0
        self._stored = {}

    def step(self):
        """Make the store call that is due, if any."""
        now = self._clock()
        leads = self._leads()
        if not leads:
            self._read_at = None
        if now < self._retry_at or (self._is_restored and not leads):
            return
        is_read_due = self._read_at is None or now >= self._read_at + _READ_S
        if not is_read_due and self._software.all_versions() == self._stored:
            return
        held_s = self._backoff.wait_s()
        if held_s > 0:
            self._retry_at = now + min(held_s, _RETRY_S)
            return
        try:
            if is_read_due:
                self._read(now, leads)
            else:
                self._write()
        except (ConflictError, MissingError):
            self._backoff.record_answer()
            self._read_at = None
        except StepError as error:
            self._backoff.record_failure()
            self._retry_at = now + _RETRY_S
            log_failure("software store", error)
        else:
            self._backoff.record_answer()

    def pause_s(self):
        """Return the time until the next step, in seconds."""
        if not self._is_restored and not self._retry_at:
            return 0.0
        return _STEP_S if self._leads() or not self._is_restored else _IDLE_S

    def _read(self, now, leads):
        stored = self._store.get(SOFTWARE_KIND, _NAME)
        self._revision, self._stored = 0, {}
        if stored is not None:
            self._revision, self._stored = stored.revision, _decode(stored.value)
        if leads:
            self._read_at = now
        # Later the copy may be older than what this process knows itself.
        if not self._is_restored:
            self._is_restored = True
            self._software.restore(self._stored)
            write_records([(SOFTWARE_READ, {"versions": self._stored})])

    def _write(self):
        versions = self._software.all_versions()
        value = {"versions": versions}
        if self._revision:
            self._revision = self._store.update(
                SOFTWARE_KIND, _NAME, value, self._revision
            )
        else:
            self._revision = self._store.create(SOFTWARE_KIND, _NAME, value)
        self._stored = versions


def _decode(value):
    """Return the versions by service of the object, none if it can't be read."""
    try:
        return convert(convert(value, dict).get("versions"), dict[str, list[str]])
    except MsgspecError as error:
        log_failure("software.read", error)
        return {}
