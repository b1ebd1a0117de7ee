"""Limits of client accounts on one node: lease, balance and demand."""

from math import exp
from typing import NamedTuple

from hibiscusspar.limits.bucket import Bucket
from hibiscusspar.limits.messages import Ask

__all__ = ["NodeLimit", "Pending", "Reservation", "Shortage"]

DEMAND_TIME_CONSTANT_S = 3.0  # of the exponential average of the demand
MIN_URGENT_GAP_S = 0.2  # between lease requests of a node that is short
URGENT_GAP_GROWTH = 1.5  # back-off factor
MAX_URGENT_GAP_S = 4.0
ROUNDING_TOKENS = 1e-3  # added to a request against rounding errors
ANSWER_TIMEOUT_S = 1.0
MIN_RETRY_AFTER_S = 0.1
ASK_SOON_S = 0.5  # a lease request due within this time counts as sent
LOW_WATER_S = 0.5  # seconds of demand that the low-water mark covers
MAX_MISSING_REQUESTS = 4.0  # bound on missing tokens, in typical requests
RELEASE_S = 0.2  # delay until unused tokens are returned to the home
KEEP_FOR_WAITING_S = 0.3  # how long a balance is kept for a waiting request
IDLE_PERIOD_S = 10.0  # between lease requests of an idle node
TYPICAL_WEIGHT = 0.1  # of the latest request in the average
UNUSED_WEIGHT = 0.1  # of the latest reservation in the average
INITIAL_UNUSED_FRACTION = 0.5  # of a reservation, until some were settled
REFUND_MARGIN = 1.25  # over the average refund
SURPLUS_FACTOR = 2.0  # a balance above the capacity over this factor is surplus
SURPLUS_DEMAND_S = 4.0  # seconds of demand that are never surplus


class Reservation(NamedTuple):
    """Tokens debited for a request, to be settled when it has ended."""

    reservation_id: int
    account: str
    tokens: float


class Shortage(NamedTuple):
    """Reason why tokens were not reserved; the request did not run.

    ``reason`` is ``"rate"``, ``"larger-than-burst"`` (a retry can't succeed),
    ``"no-lease"`` or ``"unknown-account"``. ``lease_requested`` tells whether a
    request to the home is pending or due soon, so that a retry may soon succeed.
    """

    reason: str
    retry_after_s: float
    lease_requested: bool = False


class Pending(NamedTuple):
    """Latest lease request of this node, not yet answered."""

    seq: int
    asked_at: float
    want: float


class NodeLimit:
    """Limit of one account on this node: lease, balance, demand, lease requests.

    Parameters
    ----------
    now : float
    account : str
    asker : str
        Identifies this node in lease requests, for one run of its process.
    """

    def __init__(self, now, account, asker):
        self.account = account
        self.asker = asker
        self.bucket = Bucket(now)
        self.epoch = ""
        self.held_seq = 0
        self.adoptable = False
        self.demand = 0.0
        self.typical_tokens = 0.0
        self.pending = None
        self.next_ask_at = now
        self.urgent_gap_s = MIN_URGENT_GAP_S
        self.missing_tokens = 0.0
        self.unused_fraction = INITIAL_UNUSED_FRACTION
        self.admitted_tokens = 0.0
        self.refusals = 0
        self._seq = 0
        self._missing_at = now - KEEP_FOR_WAITING_S
        self._asked_at = now - MIN_URGENT_GAP_S
        self._attempted = 0.0
        self._demand_at = now

    def note_attempt(self, tokens):
        """Add the tokens that a request wants to the demand."""
        self._attempted += tokens
        weight = TYPICAL_WEIGHT if self.typical_tokens else 1.0
        self.typical_tokens += weight * (tokens - self.typical_tokens)

    def note_unused(self, tokens):
        """Subtract tokens that a request reserved and did not use from the demand."""
        self._attempted -= tokens

    def update_demand(self, now):
        """Add the tokens attempted since the last call to the demand average."""
        elapsed = now - self._demand_at
        if elapsed <= 0.0:
            return
        decay = exp(-elapsed / DEMAND_TIME_CONSTANT_S)
        seen = max(0.0, self._attempted) / elapsed
        self.demand = decay * self.demand + (1.0 - decay) * seen
        self._attempted = min(0.0, self._attempted)
        self._demand_at = now

    def note_missing(self, now, tokens, retry):
        """Record missing tokens for the next lease request."""
        self._missing_at = now
        if retry:
            self.missing_tokens = max(self.missing_tokens, tokens)
            return
        max_missing = max(tokens, MAX_MISSING_REQUESTS * self.typical_tokens)
        self.missing_tokens = min(self.missing_tokens + tokens, max_missing)

    def reserve(self, reservation_id, tokens):
        """Reserve tokens, keeping capacity free for the usual refund."""
        refundable = REFUND_MARGIN * self.unused_fraction * tokens
        return self.bucket.reserve(reservation_id, tokens, refundable)

    def settle(self, now, reservation, used):
        """Close a reservation; without a rate, schedule the return of the rest."""
        if reservation.tokens > 0.0:
            unused = max(0.0, 1.0 - used / reservation.tokens)
            self.unused_fraction += UNUSED_WEIGHT * (unused - self.unused_fraction)
        self.bucket.settle(reservation.reservation_id, reservation.tokens, used)
        self.note_unused(reservation.tokens - used)
        self.admitted_tokens += used
        if self.bucket.rate == 0.0 and self.bucket.cap > 0.0:
            self.next_ask_at = min(self.next_ask_at, now + RELEASE_S)

    def advance(self, now):
        """Accrue up to ``now``; return whether the lease ended."""
        lapsed = self.bucket.advance(now)
        if lapsed:
            self.held_seq = 0
            self.adoptable = False
        return lapsed

    def ask_due(self, now, period_s):
        """Return whether a lease request is due."""
        if now >= self.next_ask_at:
            return not self._idle(now)
        pending = self.pending
        if pending is not None and now < pending.asked_at + ANSWER_TIMEOUT_S:
            return False
        low = self.bucket.level < max(self.missing_tokens, self._low_water_mark())
        return low and now >= self._asked_at + min(self.urgent_gap_s, period_s)

    def make_ask(self, now, zone, vm, period_s, jitter):
        """Return the next lease request; answers to earlier ones are then ignored."""
        self.update_demand(now)
        self._seq += 1
        want = max(
            0.0, max(self.missing_tokens, self._low_water_mark()) - self.bucket.level
        )
        if want > 0.0:
            want += ROUNDING_TOKENS
        self.missing_tokens = 0.0
        waiting = want > 0.0 or now < self._missing_at + KEEP_FOR_WAITING_S
        returned = self._debit_surplus() if self.held_seq and not waiting else 0.0
        if self.bucket.rate == 0.0:
            self.bucket.shrink()
        self.pending = Pending(self._seq, now, want)
        self._asked_at = now
        unanswered_s = max(ANSWER_TIMEOUT_S, period_s) * jitter
        self.next_ask_at = now + unanswered_s
        return Ask(
            account=self.account,
            zone=zone,
            asker=self.asker,
            reply_to=vm,
            asker_zone=zone,
            seq=self._seq,
            held_epoch=self.epoch,
            held_seq=self.held_seq,
            held_rate=self.bucket.rate if self.adoptable else 0.0,
            held_cap=self.bucket.cap if self.adoptable else 0.0,
            kept_cap=self.bucket.cap,
            level=self.bucket.level,
            refundable=self.bucket.refundable,
            demand=self.demand,
            typical=self.typical_tokens,
            want=want,
            returned=returned,
        )

    def take_grant(self, now, grant):
        """Take a lease if it answers the latest request and has not ended.

        Its duration counts from the time of the request, so that it ends here before
        the granting home counts it as ended, however late the answer arrives.

        Returns
        -------
        bool
            Whether the lease was taken.
        """
        pending = self.pending
        if pending is None or grant.seq != pending.seq or grant.asker != self.asker:
            return False
        lapse_at = pending.asked_at + grant.duration_s
        if now >= lapse_at:
            return False
        self.advance(now)
        self.pending = None
        self.bucket.renew(now, grant.rate, grant.cap, grant.credit, lapse_at)
        self.epoch = grant.epoch
        self.held_seq = grant.seq
        self.adoptable = grant.adoptable
        self._adapt_gap(pending, grant)
        return True

    def shortage(self, now, tokens, period_s):
        """Return why tokens can't be reserved now and when to retry."""
        bucket = self.bucket
        gap_s = min(self.urgent_gap_s, period_s)
        lease_requested = (
            self.pending is not None or self._asked_at + gap_s < now + ASK_SOON_S
        )
        if bucket.cap == 0.0:
            return Shortage("no-lease", period_s, lease_requested)
        missing = tokens - bucket.level
        accrued_s = missing / bucket.rate if bucket.rate > 0.0 else period_s
        next_s = max(0.0, self.next_ask_at - now)
        wait_s = accrued_s if tokens <= bucket.cap else max(next_s, accrued_s)
        return Shortage("rate", max(MIN_RETRY_AFTER_S, wait_s), lease_requested)

    def _idle(self, now):
        """Return whether there is nothing to renew, return or request."""
        if self.bucket.cap > 0.0 or self.missing_tokens > 0.0 or not self.epoch:
            return False
        return now < self._asked_at + IDLE_PERIOD_S

    def _low_water_mark(self):
        """Return the balance below which to request tokens early; 0 without a rate."""
        return LOW_WATER_S * self.demand if self.bucket.rate > 0.0 else 0.0

    def _debit_surplus(self):
        if self.bucket.rate == 0.0:
            return self.bucket.debit(self.bucket.level)
        kept = SURPLUS_DEMAND_S * self.demand
        surplus = self.bucket.level - max(kept, self.bucket.cap / SURPLUS_FACTOR)
        return self.bucket.debit(max(0.0, surplus))

    def _adapt_gap(self, pending, grant):
        if grant.credit >= 0.5 * pending.want:
            self.urgent_gap_s = MIN_URGENT_GAP_S
        else:
            gap_s = URGENT_GAP_GROWTH * self.urgent_gap_s
            self.urgent_gap_s = min(gap_s, MAX_URGENT_GAP_S)
