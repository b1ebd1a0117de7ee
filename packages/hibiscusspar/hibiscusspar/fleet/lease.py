"""Leader election by a lease in the platform's store.

Each duty, that of the coordinator or that of ordering the targets of a zone, has one
holder at a time. Its lease is one object that the holder rewrites if its revision is
unchanged. Times are seconds of a clock that also counts suspension. A holder counts
its lease from before it sent the renewing write, so the lease ends at the holder no
later than anywhere else. A successor gives no order until the last order of its
predecessor is certainly older than the gap that targets require.
"""

from typing import NamedTuple

from hibiscusspar.fleet.store_reads import lease_pause_s, leaves_lease

__all__ = ["Election", "LeaseRecord", "LeaseTiming", "ReadLease", "WriteLease"]


class LeaseTiming(NamedTuple):
    """Times of a lease in seconds.

    The holder renews the lease every ``renew_s`` and may act for ``valid_s`` after a
    renewal. Processes that don't hear the holder read the lease every ``poll_s``, more
    rarely while it is renewed.
    ``order_gap_s`` is the minimum time between the orders of two holders.
    """

    renew_s: float = 0.4
    valid_s: float = 1.2
    order_gap_s: float = 3.3
    poll_s: float = 0.3


class LeaseRecord(NamedTuple):
    """Content of the lease object; ``machine`` is a VM's name and address."""

    machine: str
    start: str
    address: str
    fence: int
    released: bool
    nonce: int


class ReadLease(NamedTuple):
    """Request to read the lease."""


class WriteLease(NamedTuple):
    """Request to write the lease if its revision is ``revision`` (0: no object)."""

    record: LeaseRecord
    revision: int


class Election:
    """State of one process in the election for a lease.

    Parameters
    ----------
    machine, start, address : str
        Identity of this process and its peer address.
    timing : LeaseTiming
    takeover_delay_s : callable, optional
        Returns the seconds that this process waits before it takes a free lease.
    fraction : float, optional
        Number in [0, 1) that spreads the reads of different processes.
    """

    def __init__(
        self,
        machine,
        start,
        address,
        timing,
        takeover_delay_s=lambda: 0.0,
        fraction=0.0,
    ):
        self._machine = machine
        self._start = start
        self._address = address
        self._timing = timing
        self._takeover_delay_s = takeover_delay_s
        self._fraction = fraction
        self._record = None
        self._revision = 0
        self._changed_at = None
        self._silent_since = None
        self._renewed_at = None
        self._may_order_at = 0.0
        self._next_action_at = 0.0
        self._nonce = 0
        self._is_current = False
        self._is_releasing = False
        # Reads in a row that returned the same revision.
        self._same_reads = 0
        self._is_renewed = False

    @property
    def is_renewed(self):
        """Whether the last read showed that another holder renews the lease."""
        return self._is_renewed

    @property
    def record(self):
        """Lease as last read or written, or None."""
        return self._record

    @property
    def fence(self):
        """Fencing token of the lease as last read or written."""
        return self._record.fence if self._record else 0

    def holds(self, now):
        """Return whether this process holds a valid lease."""
        return (
            self._is_mine()
            and self._renewed_at is not None
            and now < self._renewed_at + self._timing.valid_s
        )

    @property
    def leads(self):
        """Whether this process is the last known holder, even if its lease expired.

        Until another holder is known, a coordinator keeps sending views; only orders
        need a valid lease.
        """
        return self._renewed_at is not None and self._is_mine()

    def may_order(self, now):
        """Return whether this process may give orders to targets."""
        return self.holds(now) and now >= self._may_order_at and not self._is_releasing

    def orders_in_s(self, now):
        """Return the seconds until this process may order if it keeps the lease."""
        return max(0.0, self._may_order_at - now)

    def action(self, now, holder_heard):
        """Return the store operation that is due, or None.

        Parameters
        ----------
        now : float
        holder_heard : bool
            Whether the holder was recently heard from, so the lease need not be read.

        Returns
        -------
        ReadLease, WriteLease or None
        """
        if now < self._next_action_at:
            return None
        if self._is_current and self._is_mine():
            self._next_action_at = now + self._timing.renew_s
            return self._write(self._record.fence)
        was_read = self._changed_at is not None
        if self._is_releasing or leaves_lease(holder_heard, self._is_current, was_read):
            return None
        self._next_action_at = now + self._timing.poll_s
        if self._is_current and self._may_take(now):
            return self._write(self.fence + 1)
        return ReadLease()

    def release(self, now):
        """Return the write that releases the lease, or None if it isn't held."""
        self._is_releasing = True
        if not self.holds(now):
            return None
        return self._write(self._record.fence, released=True)

    def resume(self):
        """Apply for the lease again after a release."""
        self._is_releasing = False

    def on_read(self, now, record, revision):
        """Handle the result of a read; ``record`` is None if there is no object."""
        self._is_current = True
        if self._silent_since is None:
            self._silent_since = now
        if revision == self._revision and self._changed_at is not None:
            self._same_reads += 1
            self._is_renewed = False
        else:
            self._apply_change(now, record, revision)
        if record is not None and record.machine == self._machine:
            # No other machine holds the lease, so there is no reason to wait.
            self._next_action_at = now
        else:
            self._next_action_at = now + lease_pause_s(
                self._free_at() - now,
                self._same_reads,
                self._is_renewed,
                self._timing,
                self._fraction,
            )

    def on_written(self, sent_at, now, record, revision):
        """Handle a write of this process that took effect."""
        if record.released:
            self._renewed_at = None
            self._update(now, record, revision)
            return
        if not self._is_mine():
            self._become_holder(now)
        self._renewed_at = sent_at
        self._update(now, record, revision)

    def on_failed(self, now):
        """Handle a failed call: the lease is read next.

        During an outage the holder can't renew the lease, so the time without a
        renewal is counted afresh.
        """
        self._is_current = False
        self._is_renewed = False
        self._silent_since = None
        if not self.holds(now):
            self._next_action_at = now

    def _apply_change(self, now, record, revision):
        if not (record and self._same_process(record)):
            self._renewed_at = None
        elif not self._is_mine():
            # The answer of the write that took the lease was lost.
            self._become_holder(now)
        was_read = self._changed_at is not None
        self._update(now, record, revision)
        self._same_reads = 1
        self._is_renewed = was_read and record is not None and not record.released

    def _update(self, now, record, revision):
        self._record = record
        self._revision = revision
        self._changed_at = now
        self._silent_since = now

    def _become_holder(self, now):
        predecessor = self._record
        if predecessor is None or predecessor.machine == self._machine:
            self._may_order_at = now
            return
        # Its last order was given before the last renewal seen here expired.
        last_order = self._changed_at
        if not predecessor.released:
            last_order += self._timing.valid_s
        self._may_order_at = max(now, last_order + self._timing.order_gap_s)

    def _may_take(self, now):
        record = self._record
        if record is not None and record.machine == self._machine:
            return True
        return now >= self._free_at()

    def _free_at(self):
        """Return the time at which this process may take the lease."""
        free_at = self._silent_since + self._takeover_delay_s()
        if self._record is not None and not self._record.released:
            free_at += self._timing.valid_s
        return free_at

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
