"""Records that a home keeps of the nodes and homes that request leases from it."""

from typing import NamedTuple

from hibiscusspar.limits.bucket import latest_end
from hibiscusspar.limits.messages import HeldLease

__all__ = ["Lease", "Lessee"]

DEMAND_WINDOW_S = 20.0  # window over which demand is averaged to set rates
# A held rate is kept while it is within this factor of the new one, a held capacity
# while it is at least the new one and at most this factor of it.
RATE_BAND = 1.3
CAP_BAND = 1.6


class Lease(NamedTuple):
    """Lease as the granting home counts it, until it has ended on every clock."""

    rate: float
    cap: float
    ends_at: float


class Lessee:
    """Leases and demand of one node, or of the home of another zone."""

    def __init__(self, is_loan):
        self.is_loan = is_loan
        self.last_seq = 0
        self.demand = 0.0
        self.average_demand = 0.0
        self._first_seen_at = None
        self.typical_tokens = 0.0
        self.refundable = 0.0
        self.seen_at = 0.0
        self.leases = {}
        self._max_held = None

    def record(self, now, ask):
        """Record what a lease request reports."""
        if self._first_seen_at is None:
            self._first_seen_at = self.seen_at = now
        age_s = min(now - self._first_seen_at, DEMAND_WINDOW_S)
        weight = min(1.0, (now - self.seen_at) / age_s) if age_s > 0.0 else 1.0
        self.average_demand += weight * (ask.demand - self.average_demand)
        self.last_seq = ask.seq
        self.demand = ask.demand
        self.typical_tokens = ask.typical
        self.refundable = ask.refundable
        self.seen_at = now

    def keep_if_close(self, rate, cap):
        """Return the given rate and capacity, or the held ones if they are close.

        This avoids small changes: until the holder has taken a changed lease, the
        larger of both rates and of both capacities counts as handed out.
        """
        held_rate, held_cap = self.max_held()
        if rate <= held_rate * RATE_BAND and held_rate <= rate * RATE_BAND:
            rate = held_rate
        if cap <= held_cap <= cap * CAP_BAND:
            cap = held_cap
        return rate, cap

    def handover_rows(self, now, name):
        """Return the leases as rows of a handover."""
        return [
            HeldLease(
                asker=name,
                is_loan=self.is_loan,
                last_seq=self.last_seq,
                usual=self.average_demand,
                typical=self.typical_tokens,
                epoch=epoch,
                seq=seq,
                rate=lease.rate,
                cap=lease.cap,
                remaining_s=lease.ends_at - now,
            )
            for (epoch, seq), lease in self.leases.items()
        ]

    def inherit(self, now, row):
        """Add a lease from a handover; it ends here no earlier than at its holder."""
        self.last_seq = max(self.last_seq, row.last_seq)
        self.average_demand = self.demand = row.usual
        self.typical_tokens = row.typical
        if self._first_seen_at is None:
            self._first_seen_at = self.seen_at = now
        ends_at = latest_end(now, row.remaining_s)
        self.add((row.epoch, row.seq), Lease(row.rate, row.cap, ends_at))

    def drop_ended(self, now):
        """Remove the leases that have ended on every clock."""
        for key in [k for k, lease in self.leases.items() if lease.ends_at <= now]:
            del self.leases[key]
            self._max_held = None

    def replace(self, leases):
        """Replace the leases that the node or home may hold."""
        self.leases = leases
        self._max_held = None

    def add(self, key, lease):
        """Add a lease under the granting home's epoch and the request's number."""
        self.leases[key] = lease
        self._max_held = None

    def max_held(self):
        """Return the highest rate and capacity that the node or home may hold."""
        if self._max_held is None:
            rate = max((lease.rate for lease in self.leases.values()), default=0.0)
            cap = max((lease.cap for lease in self.leases.values()), default=0.0)
            self._max_held = rate, cap
        return self._max_held
