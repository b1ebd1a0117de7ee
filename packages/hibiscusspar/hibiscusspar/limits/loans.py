"""What the home of one zone borrows from the homes of other zones."""

from typing import NamedTuple

from hibiscusspar.limits.home import Loan
from hibiscusspar.limits.messages import Ask

__all__ = ["Borrower"]

RENEW_S = 6.0
RETRY_S = 2.0
DEMAND_HEADROOM = 1.15
MIN_BORROWED_FRACTION = 0.02  # of the limit's rate


class _Pending(NamedTuple):
    seq: int
    asked_at: float


class _Line:
    """What is held of, and was asked from, one other zone."""

    def __init__(self):
        self.seq = 0
        self.held_seq = 0
        self.held_epoch = ""
        self.adoptable = False
        self.pending = None
        self.next_ask_at = 0.0


class Borrower:
    """Loans of one account's home.

    Parameters
    ----------
    account : str
    zone : str
        Zone of the home that borrows.
    asker : str
        Names this holding of the home's role.
    """

    def __init__(self, account, zone, asker):
        self._account = account
        self._zone = zone
        self._asker = asker
        self._lines = {}

    @property
    def asker(self):
        """Name under which loans are asked for."""
        return self._asker

    def asks(self, now, vm, home, limit, zones):
        """Return the asks that are due, one to a zone.

        Parameters
        ----------
        now : float
        vm : str
        home : Home
        limit : tuple of (float, float)
            Rate and burst of the account in the whole fleet.
        zones : iterable of str
            The other zones.
        """
        if home.recovering(now):
            return []
        asks = []
        for zone in zones:
            line = self._lines.setdefault(zone, _Line())
            if now < line.next_ask_at:
                continue
            missing = self._missing(home, zone, limit)
            if missing <= 0.0 and zone not in home.loans:
                continue
            asks.append(self._ask(now, vm, home, zone, line, missing))
        return asks

    def take_grant(self, now, home, grant):
        """Take a loan if it answers the latest ask; return the zone, or None."""
        for zone, line in self._lines.items():
            pending = line.pending
            if pending is None or grant.asker != self._line_asker(zone):
                continue
            if grant.seq != pending.seq:
                return None
            line.pending = None
            lapse_at = pending.asked_at + grant.duration_s
            if now >= lapse_at:
                return None
            loan = Loan(grant.rate, grant.cap, lapse_at)
            if not home.add_loan(now, zone, loan, grant.credit):
                line.next_ask_at = now + RETRY_S
                return None
            line.held_seq = grant.seq
            line.held_epoch = grant.epoch
            line.adoptable = grant.adoptable
            return zone
        return None

    def _line_asker(self, zone):
        return f"{self._asker}/{zone}"

    def _missing(self, home, zone, limit):
        """Return the tokens per second to borrow from a zone."""
        wanted = DEMAND_HEADROOM * home.own_demand() - home.part[0]
        held = sum(loan.rate for name, loan in home.loans.items() if name != zone)
        missing = wanted - held
        return missing if missing > MIN_BORROWED_FRACTION * limit[0] else 0.0

    def _ask(self, now, vm, home, zone, line, missing):
        held = home.loans.get(zone)
        if held is None:
            line.held_seq = 0
            line.adoptable = False
        line.seq += 1
        line.pending = _Pending(line.seq, now)
        line.next_ask_at = now + (RENEW_S if held is not None else RETRY_S)
        return Ask(
            account=self._account,
            zone=zone,
            asker=self._line_asker(zone),
            reply_to=vm,
            asker_zone=self._zone,
            seq=line.seq,
            held_epoch=line.held_epoch,
            held_seq=line.held_seq,
            held_rate=held.rate if held and line.adoptable else 0.0,
            held_cap=held.cap if held and line.adoptable else 0.0,
            level=0.0,
            demand=missing,
            want=0.0,
            returned=0.0,
        )
