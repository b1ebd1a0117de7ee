"""A token bucket that ends, with refunds that can't create tokens.

A reservation takes an upper bound of what a request needs. When it is settled,
what was not used comes back, but only as much as the bucket could not have
accrued in the meantime: the balance and the refundable amounts together never
exceed the capacity. So, with each request counted by the tokens it used at the
moment it was admitted, the bucket admits at most its capacity plus its rate
times the length of any interval.
"""

from collections import OrderedDict

__all__ = ["MAX_CLOCK_DRIFT", "Bucket", "surely_after"]

MAX_CLOCK_DRIFT = 1e-3  # relative, of each VM's monotonic clock


def surely_after(now, duration_s):
    """Return when a duration has surely passed on every VM's clock.

    Parameters
    ----------
    now : float
        Own time at which, or before which, the duration began elsewhere.
    duration_s : float
    """
    return now + duration_s * (1.0 + 3.0 * MAX_CLOCK_DRIFT)


class Bucket:
    """Balance of one account on one node, under a lease.

    Parameters
    ----------
    now : float
        Time from which the bucket exists; it is empty and has no lease.
    """

    def __init__(self, now):
        self.level = 0.0
        self.rate = 0.0
        self.cap = 0.0
        self.lapse_at = now
        self._at = now
        self._refunds = OrderedDict()
        self._refundable = 0.0

    @property
    def refundable(self):
        """Tokens of open reservations that may still come back."""
        return self._refundable

    def advance(self, now):
        """Accrue up to ``now``; void the balance if the lease has lapsed.

        Returns
        -------
        bool
            Whether a lease lapsed.
        """
        if self.cap == 0.0 and self.rate == 0.0:
            self._at = max(self._at, now)
            return False
        elapsed = min(now, self.lapse_at) - self._at
        if elapsed > 0.0:
            self._at += elapsed
            gain = self.rate * elapsed * (1.0 - MAX_CLOCK_DRIFT)
            self.level = min(self.cap, self.level + gain)
            self._trim()
        if now < self.lapse_at:
            return False
        self.renew(now, 0.0, 0.0, 0.0, now)
        return True

    def renew(self, now, rate, cap, credit, lapse_at):
        """Put a lease in the place of the present one; the balance goes on."""
        self.rate = rate
        self.cap = cap
        self.lapse_at = lapse_at
        self._at = max(self._at, now)
        self.level = min(cap, self.level + credit)
        self._trim()

    def reserve(self, reservation_id, tokens, refundable=None):
        """Take tokens if the balance allows it; return whether it did.

        Parameters
        ----------
        reservation_id : hashable
        tokens : float
        refundable : float, optional
            The most that may come back when the reservation is settled; room for
            it is kept free. All of the tokens if not given.
        """
        if self.level < tokens:
            return False
        self.level -= tokens
        refundable = tokens if refundable is None else min(tokens, refundable)
        self._refunds[reservation_id] = refundable
        self._refundable += refundable
        return True

    def settle(self, reservation_id, reserved, used):
        """Close a reservation; use beyond it is taken from the balance."""
        refundable = self._refunds.pop(reservation_id, 0.0)
        self._refundable = self._refundable - refundable if self._refunds else 0.0
        if used > reserved:
            self.level -= used - reserved
            return
        self.level = min(self.cap, self.level + min(refundable, reserved - used))

    def shrink(self):
        """Lower the capacity to what is held and may come back."""
        self.cap = min(self.cap, max(0.0, self.level) + self._refundable)

    def take(self, tokens):
        """Debit up to ``tokens`` to give them back; return how many."""
        taken = max(0.0, min(tokens, self.level))
        self.level -= taken
        return taken

    def _trim(self):
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
