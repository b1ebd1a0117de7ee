"""Token bucket with a lease end, whose refunds can't create tokens.

A reservation debits an upper bound of what a request needs. Settling it refunds
the unused tokens, but the balance and the refundable amounts together never exceed
the capacity: accrual beyond it reduces the refunds of the oldest reservations.
With each request counted by the tokens it used, at the moment it was admitted,
the bucket therefore admits in any interval at most its capacity plus its rate
times the length of the interval.
"""

from collections import OrderedDict

__all__ = ["MAX_CLOCK_DRIFT", "Bucket", "latest_end"]

MAX_CLOCK_DRIFT = 1e-3  # largest relative error of a VM's monotonic clock


def latest_end(now, duration_s):
    """Return the local time by which a duration has passed on every VM's clock.

    Parameters
    ----------
    now : float
        Local time at or after the start of the duration on the other VM.
    duration_s : float
    """
    return now + duration_s * (1.0 + 3.0 * MAX_CLOCK_DRIFT)


class Bucket:
    """Token bucket of one account on one node, valid until its lease ends.

    Parameters
    ----------
    now : float
        Time of creation; the bucket starts empty and without a lease.
    """

    def __init__(self, now):
        self.level = 0.0
        self.rate = 0.0
        self.cap = 0.0
        self.lapse_at = now
        self._accrued_until = now
        self._refunds = OrderedDict()
        self._refundable = 0.0

    @property
    def refundable(self):
        """Tokens of open reservations that may still be refunded."""
        return self._refundable

    def advance(self, now):
        """Accrue up to ``now``; drop the balance if the lease has ended.

        Returns
        -------
        bool
            Whether the lease ended.
        """
        if self.cap == 0.0 and self.rate == 0.0:
            self._accrued_until = max(self._accrued_until, now)
            return False
        elapsed = min(now, self.lapse_at) - self._accrued_until
        if elapsed > 0.0:
            self._accrued_until += elapsed
            gain = self.rate * elapsed * (1.0 - MAX_CLOCK_DRIFT)
            self.level = min(self.cap, self.level + gain)
            self._reduce_refunds()
        if now < self.lapse_at:
            return False
        self.renew(now, 0.0, 0.0, 0.0, now)
        return True

    def renew(self, now, rate, cap, credit, lapse_at):
        """Replace the lease; the balance is kept, up to the new capacity."""
        self.rate = rate
        self.cap = cap
        self.lapse_at = lapse_at
        self._accrued_until = max(self._accrued_until, now)
        self.level = min(cap, self.level + credit)
        self._reduce_refunds()

    def reserve(self, reservation_id, tokens, refundable=None):
        """Debit tokens if the balance covers them; return whether it did.

        Parameters
        ----------
        reservation_id : hashable
        tokens : float
        refundable : float, optional
            Most tokens that settling the reservation may refund; capacity is kept
            free for them. Defaults to ``tokens``.
        """
        if self.level < tokens:
            return False
        self.level -= tokens
        refundable = tokens if refundable is None else min(tokens, refundable)
        self._refunds[reservation_id] = refundable
        self._refundable += refundable
        return True

    def settle(self, reservation_id, reserved, used):
        """Close a reservation; use beyond it is debited and may overdraw."""
        refundable = self._refunds.pop(reservation_id, 0.0)
        self._refundable = self._refundable - refundable if self._refunds else 0.0
        if used > reserved:
            self.level -= used - reserved
            return
        self.level = min(self.cap, self.level + min(refundable, reserved - used))

    def shrink(self):
        """Lower the capacity to the balance plus the refundable tokens."""
        self.cap = min(self.cap, max(0.0, self.level) + self._refundable)

    def debit(self, tokens):
        """Debit up to ``tokens`` to return them to the home; return how many."""
        debited = max(0.0, min(tokens, self.level))
        self.level -= debited
        return debited

    def _reduce_refunds(self):
        excess = self.level + self._refundable - self.cap
        while excess > 0.0 and self._refunds:
            oldest, amount = next(iter(self._refunds.items()))
            if amount > excess:
                self._refunds[oldest] = amount - excess
                self._refundable -= excess
                return
            del self._refunds[oldest]
            self._refundable -= amount
            excess -= amount
        if not self._refunds:
            self._refundable = 0.0
