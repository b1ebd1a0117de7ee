"""Leases of duties in the platform's store."""

from msgspec import MsgspecError, convert

from hibiscusspar.errors import StepError
from hibiscusspar.fleet.lease import LeaseRecord, ReadLease
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.background import log_failure
from hibiscusspar_entry.fleet.events import DUTY_CHANGED
from hibiscusspar_wire.platform_errors import ConflictError

__all__ = ["LeaseKeeper"]

LEASE_KIND = "hibiscusspar-leases"
# Field of a lease object, beside its record, for the account levels at the renewal.
_LEVELS = "levels"


class LeaseKeeper:
    """Lease of one duty, read and written in the store as its election requires.

    Parameters
    ----------
    name : str
        Name of the duty and of its lease object.
    election : Election
    store : ObjectStore
    clock : callable
    skips_read : callable
        Returns whether the lease need not be read now, because its holder was active
        lately or other nodes look for a successor.
    backoff : StoreBackoff
        Holds back the calls of a process that doesn't hold the lease.
    levels : callable, optional
        Returns the levels of accounts to store with the lease.
    is_able : callable, optional
        Returns whether this process can do the duty. Otherwise it hands it over.
    """

    def __init__(
        self,
        name,
        election,
        store,
        clock,
        skips_read,
        backoff,
        levels=dict,
        is_able=lambda: True,
    ):
        self._name = name
        self.election = election
        self._store = store
        self._clock = clock
        self._skips_read = skips_read
        self._backoff = backoff
        self._levels = levels
        self._is_able = is_able
        self._was_able = True
        self._stored_levels = {}
        self._logged_state = None

    @property
    def stored_levels(self):
        """Levels of accounts in another holder's lease when it was last read."""
        return self._stored_levels

    def step(self):
        """Make the store call that is due, if any.

        Returns
        -------
        bool
            False if the store did not answer.
        """
        if not self._is_able():
            self._was_able = False
            return self.release()
        if not self._was_able:
            self._was_able = True
            self.election.resume()
        action = self.election.action(self._clock(), self._skips_read())
        if action is None or (not self.election.leads and self._backoff.wait_s() > 0):
            return True
        try:
            self._execute(action)
        except StepError as error:
            self._backoff.record_failure()
            self.election.on_failed(self._clock())
            log_failure(f"lease {self._name}", error)
            return False
        self._backoff.record_answer()
        self._log_change()
        return True

    def release(self):
        """Release the lease if it is held; return False if the store did not answer."""
        action = self.election.release(self._clock())
        if action is None:
            return True
        try:
            self._execute(action)
        except StepError as error:
            log_failure(f"release {self._name}", error)
            return False
        self._log_change()
        return True

    def _execute(self, action):
        election = self.election
        if isinstance(action, ReadLease):
            stored = self._store.get(LEASE_KIND, self._name)
            record, revision = None, 0
            if stored is not None:
                record, levels = _decode(stored.value)
                revision = stored.revision
                self._stored_levels = levels
            election.on_read(self._clock(), record, revision, self._store.era)
            return
        sent_at = self._clock()
        try:
            revision = self._write(action)
        except ConflictError:
            election.on_failed(self._clock())
            return
        election.on_written(
            sent_at, self._clock(), action.record, revision, self._store.era
        )

    def _write(self, action):
        value = {**action.record._asdict(), _LEVELS: self._levels()}
        if action.revision:
            return self._store.update(LEASE_KIND, self._name, value, action.revision)
        return self._store.create(LEASE_KIND, self._name, value)

    def _log_change(self):
        record = self.election.record
        state = record and (record.machine, record.start, record.fence)
        if record is None or state == self._logged_state:
            return
        self._logged_state = state
        fields = {
            "duty": self._name,
            "machine": record.machine,
            "fence": record.fence,
            "own": self.election.leads,
            "orders_in_s": round(self.election.orders_in_s(self._clock()), 3),
        }
        write_records([(DUTY_CHANGED, fields)])


def _decode(value):
    """Return the record of a lease object and the levels stored with it."""
    try:
        fields = convert(value, dict)
        levels = convert(fields.pop(_LEVELS, {}), dict[str, float])
        return LeaseRecord(**fields), levels
    except (MsgspecError, TypeError) as error:
        # The object was written by another program. It is replaced on condition that
        # its revision is still the same.
        log_failure("lease.read", error)
        return None, {}
