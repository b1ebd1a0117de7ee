"""Election of the holder of a duty by a lease in the platform's store.

The lease is one object that its holder rewrites under a condition. Times are
seconds of a clock that also counts suspension. A holder counts its lease from
before the write that renewed it was sent, so it ends at the holder no later than
anywhere else. A successor gives no order until the last order of its predecessor
is surely older than the gap that targets ask for.
"""

from typing import NamedTuple

__all__ = ["Election", "LeaseRecord", "LeaseTiming", "ReadLease", "WriteLease"]


class LeaseTiming(NamedTuple):
    """Times of the lease in seconds.

    ``valid_s`` is how long a renewal lets its holder act, ``order_gap_s`` the time
    that must pass between the orders of two holders.
    """

    renew_s: float = 0.4
    valid_s: float = 1.2
    order_gap_s: float = 3.3
    follow_s: float = 0.3


class LeaseRecord(NamedTuple):
    """Content of the lease object; ``machine`` is a VM's name and address."""

    machine: str
    start: str
    address: str
    fence: int
    released: bool
    nonce: int


class ReadLease(NamedTuple):
    """The lease should be read."""


class WriteLease(NamedTuple):
    """The lease should be written if its revision is still ``revision`` (0: none)."""

    record: LeaseRecord
    revision: int


class Election:
    """View of the lease from one process.

    Parameters
    ----------
    machine, start, address : str
        Identify this process and its peer address.
    timing : LeaseTiming
    takeover_delay_s : callable, optional
        Returns for how long this process lets others go first when the lease is
        free, in seconds.
    """

    def __init__(self, machine, start, address, timing, takeover_delay_s=lambda: 0.0):
        self._machine = machine
        self._start = start
        self._address = address
        self._timing = timing
        self._patience_s = takeover_delay_s
        self._record = None
        self._revision = 0
        self._seen_at = None
        self._silent_since = None
        self._renewed_at = None
        self._orders_from = 0.0
        self._next_at = 0.0
        self._nonce = 0
        self._known = False
        self._leaving = False

    @property
    def record(self):
        """Lease as last seen, or None."""
        return self._record

    @property
    def fence(self):
        """Fencing number of the lease as last seen."""
        return self._record.fence if self._record else 0

    def holds(self, now):
        """Whether this process has the duty under a valid lease."""
        return (
            self._is_mine()
            and self._renewed_at is not None
            and now < self._renewed_at + self._timing.valid_s
        )

    @property
    def leads(self):
        """Whether this process was the last known holder, its lease valid or not.

        Until another holder is known, a coordinator goes on sharing what it knows;
        only orders need a valid lease.
        """
        return self._renewed_at is not None and self._is_mine()

    def may_order(self, now):
        """Whether this process may give orders to targets."""
        return self.holds(now) and now >= self._orders_from and not self._leaving

    def orders_in_s(self, now):
        """Return the seconds until this process may give orders if it holds on."""
        return max(0.0, self._orders_from - now)

    def action(self, now, holder_heard):
        """Return what to do with the store now, or None.

        Parameters
        ----------
        now : float
        holder_heard : bool
            Whether the holder was heard of lately; then nothing is read.
        """
        if now < self._next_at:
            return None
        if self._known and self._is_mine():
            self._next_at = now + self._timing.renew_s
            return self._write(self._record.fence)
        if self._leaving or (self._known and holder_heard):
            return None
        self._next_at = now + self._timing.follow_s
        if self._known and self._lapsed(now):
            return self._write(self.fence + 1)
        return ReadLease()

    def release(self, now):
        """Return the write that gives the lease up, or None if it isn't held."""
        self._leaving = True
        if not self.holds(now):
            return None
        return self._write(self._record.fence, released=True)

    def on_read(self, now, record, revision):
        """Take in the lease as read; ``record`` is None if there is no object."""
        self._known = True
        if self._silent_since is None:
            self._silent_since = now
        if revision == self._revision and self._seen_at is not None:
            return
        if not (record and self._same_process(record)):
            self._renewed_at = None
        elif not self._is_mine():
            # The answer of the write that took the lease was lost.
            self._take_over(now)
        self._see(now, record, revision)
        if record is not None and record.machine == self._machine:
            # Nobody else has the duty, so nothing is gained by waiting.
            self._next_at = now

    def on_written(self, sent_at, now, record, revision):
        """Take in that a write of this process took effect."""
        if record.released:
            self._renewed_at = None
            self._see(now, record, revision)
            return
        if not self._is_mine():
            self._take_over(now)
        self._renewed_at = sent_at
        self._see(now, record, revision)

    def on_failed(self, now):
        """Take in that a call failed: read the lease next.

        An outage proves nothing about the holder, so its silence counts anew.
        """
        self._known = False
        self._silent_since = None
        if not self.holds(now):
            self._next_at = now

    def _see(self, now, record, revision):
        self._record = record
        self._revision = revision
        self._seen_at = now
        self._silent_since = now

    def _take_over(self, now):
        earlier = self._record
        if earlier is None or earlier.machine == self._machine:
            self._orders_from = now
            return
        # Its last order is no later than the end of the last renewal seen.
        last_order = self._seen_at
        if not earlier.released:
            last_order += self._timing.valid_s
        self._orders_from = max(now, last_order + self._timing.order_gap_s)

    def _lapsed(self, now):
        record = self._record
        if record is not None and record.machine == self._machine:
            return True
        free_at = self._silent_since + self._patience_s()
        if record is not None and not record.released:
            free_at += self._timing.valid_s
        return now >= free_at

    def _is_mine(self):
        return self._record is not None and (
            self._same_process(self._record) and not self._record.released
        )

    def _same_process(self, record):
        return record.machine == self._machine and record.start == self._start

    def _write(self, fence, released=False):
        self._nonce += 1
        record = LeaseRecord(
            self._machine, self._start, self._address, fence, released, self._nonce
        )
        return WriteLease(record, self._revision)
