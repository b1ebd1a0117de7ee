"""Loans that the home of one zone takes from the homes of other zones."""

from typing import NamedTuple

from hibiscusspar.limits.home import POOL_DEMAND, Loan
from hibiscusspar.limits.messages import Ask
from hibiscusspar.membership.rendezvous import first

__all__ = ["Borrower"]

RENEW_S = 6.0
RETRY_S = 2.0
MIN_URGENT_GAP_S = 0.3
MAX_URGENT_GAP_S = 5.0
ZONES_AT_ONCE = 2  # asked at the same time when tokens are short
DEMAND_HEADROOM = 1.1  # multiple of the zone's demand to cover
MIN_BORROWED_FRACTION = 0.15  # of the zone's own part; no loan for less
POOL_RENEW_S = 2.0
# One home pools the tokens of all zones if a zone's part holds fewer requests.
MAX_POOLED_REQUESTS = 8.0


class _Pending(NamedTuple):
    seq: int
    asked_at: float
    want: float


class _Lender:
    """Loan and pending request of one other zone."""

    def __init__(self):
        self.seq = 0
        self.held_seq = 0
        self.held_epoch = ""
        self.adoptable = False
        self.pending = None
        self.next_ask_at = 0.0
        self.urgent_gap_s = MIN_URGENT_GAP_S
        self.next_urgent_at = 0.0

    def adapt_gap(self, now, satisfied):
        """Back off while the other zone has no tokens to lend."""
        gap_s = MIN_URGENT_GAP_S if satisfied else 2.0 * self.urgent_gap_s
        self.urgent_gap_s = min(gap_s, MAX_URGENT_GAP_S)
        self.next_urgent_at = now + self.urgent_gap_s


class Borrower:
    """Loans that the home of one account takes from other zones.

    Parameters
    ----------
    account : str
    zone : str
        Zone of the home that borrows.
    asker : str
        Identifies this home in loan requests, for one term in its role.
    """

    def __init__(self, account, zone, asker):
        self._account = account
        self._zone = zone
        self._asker = asker
        self._lenders = {}

    @property
    def asker(self):
        """Name that identifies this home in loan requests."""
        return self._asker

    def due_asks(self, now, vm, home, zones):
        """Return the loan requests that are due, one per zone.

        Parameters
        ----------
        now : float
        vm : str
        home : Home
        zones : iterable of str
            The other zones.
        """
        if home.recovering(now) or home.pooling_zone(now):
            return []
        lenders = {zone: self._lenders.setdefault(zone, _Lender()) for zone in zones}
        urgent = self._urgent(now, home, lenders)
        asks = []
        home.is_pooling = should_pool = self._should_pool(home, lenders)
        for zone, lender in lenders.items():
            missing_rate = (
                POOL_DEMAND if should_pool else self._missing_rate(home, zone)
            )
            is_due = now >= lender.next_ask_at and (
                missing_rate > 0.0 or zone in home.loans
            )
            if is_due or zone in urgent:
                want = home.shortfall(now) if zone in urgent else 0.0
                asks.append(
                    self._make_ask(now, vm, home, zone, lender, missing_rate, want)
                )
        return asks

    def _urgent(self, now, home, lenders):
        """Return the zones to request missing tokens from now."""
        if home.shortfall(now) <= 0.0:
            return []
        ready = [
            zone for zone, lender in lenders.items() if now >= lender.next_urgent_at
        ]
        ready.sort(key=lambda zone: lenders[zone].next_urgent_at)
        return ready[:ZONES_AT_ONCE]

    def _should_pool(self, home, lenders):
        """Return whether this home pools the tokens of all zones.

        An account whose part in a zone holds only a few requests is better served
        by one home. When zones are cut off, the loans end and each uses its part.
        """
        if first(self._account, [self._zone, *lenders]) != self._zone:
            return False
        return home.part[1] < MAX_POOLED_REQUESTS * home.typical_tokens()

    def take_grant(self, now, home, grant):
        """Take a loan if it answers the latest request; return the zone, or None."""
        for zone, lender in self._lenders.items():
            pending = lender.pending
            if pending is None or grant.asker != self._asker_for(zone):
                continue
            if grant.seq != pending.seq:
                return None
            lender.pending = None
            lapse_at = pending.asked_at + grant.duration_s
            if now >= lapse_at:
                return None
            loan = Loan(grant.rate, grant.cap, lapse_at)
            if not home.add_loan(now, zone, loan, grant.credit):
                lender.next_ask_at = now + RETRY_S
                return None
            if pending.want > 0.0:
                lender.adapt_gap(now, grant.credit >= 0.5 * pending.want)
            lender.held_seq = grant.seq
            lender.held_epoch = grant.epoch
            lender.adoptable = grant.adoptable
            return zone
        return None

    def _asker_for(self, zone):
        return f"{self._asker}/{zone}"

    def _missing_rate(self, home, zone):
        """Return the rate to borrow from a zone, in tokens per second."""
        wanted = DEMAND_HEADROOM * home.own_demand() - home.part[0]
        held = sum(loan.rate for name, loan in home.loans.items() if name != zone)
        missing_rate = wanted - held
        return (
            missing_rate if missing_rate > MIN_BORROWED_FRACTION * home.part[0] else 0.0
        )

    def _make_ask(self, now, vm, home, zone, lender, missing_rate, want):
        held = home.loans.get(zone)
        if held is None:
            lender.held_seq = 0
            lender.adoptable = False
        lender.seq += 1
        lender.pending = _Pending(lender.seq, now, want)
        lender.next_ask_at = now + _renew_s(held, missing_rate)
        lender.next_urgent_at = now + lender.urgent_gap_s
        return Ask(
            account=self._account,
            zone=zone,
            asker=self._asker_for(zone),
            reply_to=vm,
            asker_zone=self._zone,
            seq=lender.seq,
            held_epoch=lender.held_epoch,
            held_seq=lender.held_seq,
            held_rate=held.rate if held and lender.adoptable else 0.0,
            held_cap=held.cap if held and lender.adoptable else 0.0,
            kept_cap=held.cap if held else 0.0,
            level=0.0,
            refundable=0.0,
            demand=missing_rate,
            typical=home.typical_tokens(),
            want=want,
            returned=0.0,
        )


def _renew_s(held, missing_rate):
    if missing_rate == POOL_DEMAND:
        return POOL_RENEW_S
    return RENEW_S if held and held.rate > 0.0 else RETRY_S
