"""Leader election by a lease in the platform's store.

Each duty, that of the coordinator or that of ordering the targets of a zone, has one
holder at a time. Its lease is one object that the holder rewrites if its revision is
unchanged. Times are seconds of a clock that also counts suspension. A holder counts
its lease from before it sent the renewing write, so the lease ends at the holder no
later than anywhere else. A successor gives no order until the last order of its
predecessor is certainly older than the gap that targets require.

The store may return from an older copy, which begins a new era. Leases and changes of
holders since the copy are gone then, so a lease of an earlier era names no holder
reliably: it is taken anew, with a higher fencing token and after the same wait, also by
the machine that it names.
"""

from typing import NamedTuple

from hibiscusspar.fleet.store_era import is_outdated, next_fence
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
    """Content of the lease object.

    ``machine`` is a VM's name and address. ``nonce`` rises with each write of a machine
    and tells how much of the wait before its first order is over: all of it once it
    reaches the milliseconds of ``valid_s`` and ``order_gap_s`` together.
    """

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
        self._era = None
        # Whether an earlier era was known, and the end of the lease held in it.
        self._has_returned = False
        self._kept_until = None
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
        return self._renewed_at is not None and self._names_this_process()

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
            return self._write(now, self._record.fence)
        was_read = self._changed_at is not None
        if self._is_releasing or leaves_lease(holder_heard, self._is_current, was_read):
            return None
        self._next_action_at = now + self._timing.poll_s
        if self._is_current and self._may_take(now):
            fence = next_fence(self.fence, self._era or 0, self._revision)
            return self._write(now, fence)
        return ReadLease()

    def release(self, now):
        """Return the write that releases the lease, or None if it isn't held."""
        self._is_releasing = True
        if not self.holds(now):
            return None
        return self._write(now, self._record.fence, released=True)

    def resume(self):
        """Apply for the lease again after a release."""
        self._is_releasing = False

    def on_read(self, now, record, revision, era=0):
        """Handle the result of a read.

        Parameters
        ----------
        now : float
        record : LeaseRecord or None
            None if there is no object or it can't be read.
        revision : int
            0 if there is no object.
        era : int, optional
            Era of the store, 0 if it doesn't tell any.
        """
        self._is_current = True
        if era != self._era:
            self._begin_era(now, era)
        if self._silent_since is None:
            self._silent_since = now
        if revision == self._revision and self._changed_at is not None:
            self._same_reads += 1
            self._is_renewed = False
        else:
            self._apply_change(now, record, revision)
        if self._may_take_at_once(now):
            self._next_action_at = now
        else:
            self._next_action_at = now + lease_pause_s(
                self._free_at() - now,
                self._same_reads,
                self._is_renewed,
                self._timing,
                self._fraction,
            )

    def on_written(self, sent_at, now, record, revision, era=0):
        """Handle a write of this process that took effect.

        If the store has returned since the last read, the condition of the write was
        one on another history, so the lease is read again.
        """
        if era != self._era:
            self.on_failed(now)
            return
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
        was_read = self._changed_at is not None
        if not (record and self._same_process(record)):
            self._renewed_at = None
        elif was_read and not self._names_this_process():
            # The answer of the write that took the lease was lost.
            self._become_holder(now)
        self._update(now, record, revision)
        self._same_reads = 1
        self._is_renewed = was_read and record is not None and not record.released

    def _update(self, now, record, revision):
        self._record = record
        self._revision = revision
        self._changed_at = now
        self._silent_since = now

    def _become_holder(self, now):
        predecessor, valid_s = self._record, self._timing.valid_s
        if self._is_record_outdated():
            if self._keeps_lease(now):
                return
            # A holder of an earlier era may not have noticed yet that it has ended.
            last_order = self._changed_at + valid_s
        elif predecessor is None:
            last_order = float("-inf")
        elif predecessor.machine == self._machine:
            # It may have restarted while it waited.
            last_order = now - predecessor.nonce / 1000 + valid_s
        else:
            # Its last order was given before the last renewal seen here expired.
            last_order = self._changed_at
            if not predecessor.released:
                last_order += valid_s
        self._may_order_at = max(now, last_order + self._timing.order_gap_s)

    def _begin_era(self, now, era):
        """Forget the lease as known, since the store may have an older one."""
        self._has_returned = self._era is not None
        self._kept_until = None
        if self.may_order(now):
            self._kept_until = self._renewed_at + self._timing.valid_s
        self._era = era
        self._changed_at = None
        self._silent_since = now

    def _keeps_lease(self, now):
        """Return whether the lease of the last era is still valid.

        No other machine may order by then, since it has to wait longer.
        """
        return self._kept_until is not None and now < self._kept_until

    def _is_record_outdated(self):
        """Return whether the lease as read tells nothing about the last holder."""
        if self._record is None:
            return self._has_returned or self._revision > 0
        return is_outdated(self._record.fence, self._era or 0)

    def _may_take(self, now):
        return self._may_take_at_once(now) or now >= self._free_at()

    def _may_take_at_once(self, now):
        """Return whether no other machine holds the lease."""
        if self._record is not None and self._record.machine == self._machine:
            return True
        return self._is_record_outdated() and self._keeps_lease(now)

    def _free_at(self):
        """Return the time at which this process may take the lease."""
        free_at = self._silent_since + self._takeover_delay_s()
        if self._record is not None and not self._record.released:
            free_at += self._timing.valid_s
        return free_at

    def _is_mine(self):
        return self._names_this_process() and not self._is_record_outdated()

    def _names_this_process(self):
        return self._record is not None and (
            self._same_process(self._record) and not self._record.released
        )

    def _same_process(self, record):
        return record.machine == self._machine and record.start == self._start

    def _write(self, now, fence, released=False):
        record = LeaseRecord(
            self._machine, self._start, self._address, fence, released, self._nonce(now)
        )
        return WriteLease(record, self._revision)

    def _nonce(self, now):
        nonce, known = 1, self._record
        if self._is_record_outdated() or known is None:
            return nonce
        if known.machine == self._machine:
            nonce += known.nonce
        if self._is_mine():
            wait_s = self._timing.valid_s + self._timing.order_gap_s
            waited_s = now - self._may_order_at + wait_s
            nonce = max(nonce, int(waited_s * 1000))
        return nonce
