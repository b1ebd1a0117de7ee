"""Copy of the quarantine in the platform's store.

It outlasts a restart of all processes, and reaches nodes that are cut off from the
coordinator.
"""

from msgspec import MsgspecError, convert, to_builtins

from hibiscusspar.errors import StepError
from hibiscusspar.fleet.messages import QuarantineRow
from hibiscusspar_entry.fleet.background import log_failure
from hibiscusspar_wire.platform_errors import ConflictError

__all__ = ["QuarantineStore"]

QUARANTINE_KIND = "hibiscusspar-quarantine"
_NAME = "verdicts"
# Interval of reads by the coordinator and by nodes without one, and the pause after a
# call that failed, in seconds.
_READ_S = 2.0
# Time between looks whether the stored verdicts differ, in seconds.
_STEP_S = 0.1
# Age in seconds of the last view beyond which a node reads and writes by itself.
_VIEW_SILENT_S = 1.5
# Verdicts that are stored at most, the latest ones.
_MAX_ROWS = 64


class QuarantineStore:
    """Object with the verdicts of the fleet, kept by the coordinator.

    Parameters
    ----------
    store : ObjectStore
    crashes : CrashExchange
    clock : callable
    leads : callable
        Returns whether this node coordinates.
    view_age_s : callable
        Returns the age of the last view, None before the first.
    backoff : StoreBackoff
    """

    def __init__(self, store, crashes, clock, leads, view_age_s, backoff):
        self._store = store
        self._crashes = crashes
        self._clock = clock
        self._leads = leads
        self._view_age_s = view_age_s
        self._backoff = backoff
        self._read_at = None
        self._retry_at = 0.0
        self._revision = 0
        self._stored = {}

    def step(self):
        """Make the store call that is due, if any."""
        now = self._clock()
        if self._read_at is not None and not self._is_responsible():
            return
        if now < self._retry_at:
            return
        is_read_due = self._read_at is None or now >= self._read_at + _READ_S
        if not is_read_due and self._crash_counts() == self._stored:
            return
        held_s = self._backoff.wait_s()
        if held_s > 0:
            self._retry_at = now + min(held_s, _READ_S)
            return
        try:
            self._read(now) if is_read_due else self._write()
        except StepError as error:
            self._backoff.record_failure()
            self._retry_at = now + _READ_S
            log_failure("quarantine store", error)
        else:
            self._backoff.record_answer()

    def pause_s(self):
        """Return the time until the next step, in seconds.

        While this node isn't responsible, it is that until it may become so.
        """
        if self._read_at is None and not self._retry_at:
            return 0.0
        if self._read_at is None or self._is_responsible():
            return _STEP_S
        return max(_STEP_S, _VIEW_SILENT_S - self._view_age_s())

    def _is_responsible(self):
        age_s = self._view_age_s()
        return self._leads() or age_s is None or age_s > _VIEW_SILENT_S

    def _crash_counts(self):
        """Return the number of crashes of each suspect that should be stored."""
        rows = self._crashes.verdict_rows()[-_MAX_ROWS:]
        return {row.suspect: row.crashes for row in rows}

    def _read(self, now):
        stored = self._store.get(QUARANTINE_KIND, _NAME)
        self._read_at = now
        self._revision, rows = 0, []
        if stored is not None:
            self._revision, rows = stored.revision, _decode(stored.value)
        self._stored = {row.suspect: row.crashes for row in rows}
        self._crashes.apply_verdicts(rows, "store")

    def _write(self):
        rows = self._crashes.verdict_rows()[-_MAX_ROWS:]
        value = {"rows": to_builtins(rows)}
        try:
            if self._revision:
                self._revision = self._store.update(
                    QUARANTINE_KIND, _NAME, value, self._revision
                )
            else:
                self._revision = self._store.create(QUARANTINE_KIND, _NAME, value)
        except ConflictError:
            # Another node has written it meanwhile.
            self._read_at = None
            return
        self._stored = {row.suspect: row.crashes for row in rows}


def _decode(value):
    """Return the rows of the object, none if it can't be read."""
    try:
        return convert(convert(value, dict).get("rows"), list[QuarantineRow])
    except MsgspecError as error:
        log_failure("quarantine.read", error)
        return []
