"""Home of an account's limit in one zone: it leases the zone's part to nodes.

Tokens are moved, never created: the home stops accruing the rate of a lease, its
capacity is no longer available here, and a credit is debited before the grant is
sent. The balances of the home and the nodes together therefore never exceed what
a single bucket with the zone's rate and burst would hold.
"""

from typing import NamedTuple

from hibiscusspar.limits.bucket import MAX_CLOCK_DRIFT, latest_end
from hibiscusspar.limits.division import divide
from hibiscusspar.limits.lessees import Lease, Lessee
from hibiscusspar.limits.messages import Grant, Handover

__all__ = [
    "LOAN_S",
    "MAX_LEASE_S",
    "NODE_LEASE_S",
    "POOL_DEMAND",
    "Home",
    "Loan",
]

NODE_LEASE_S = 12.0
LOAN_S = 24.0
POOLED_NODE_LEASE_S = 5.0
POOL_LOAN_S = 9.0
MAX_LEASE_S = max(NODE_LEASE_S, LOAN_S)
POOL_DEMAND = 1e12  # demand in tokens per second that requests a zone's whole part
OWN_HEADROOM = 1.1  # multiple of the zone's own demand that isn't lent
LARGE_REQUEST_S = 5.0  # how long capacity is kept free for a large request
PREFETCH_FRACTION = 0.25  # of the balance: most that a credit prefetches
LENT_FRACTION = 0.5  # of the balance: most that is lent to a zone that is short
SHORTFALL_S = 1.0  # how long a node's shortfall counts
PREFETCH_LEVEL_FRACTION = 0.5  # of the part's capacity: least balance to prefetch
MAX_REFUND_FRACTION = 0.4  # of the part's capacity, for open reservations


class Loan(NamedTuple):
    """Rate and capacity borrowed from another zone until ``lapse_at``, local time."""

    rate: float
    cap: float
    lapse_at: float


class Home:
    """Balance, leases and loans of one account in one zone.

    Parameters
    ----------
    now : float
    account : str
    zone : str
    epoch : str
        Identifies one term in which a process holds the role.
    """

    def __init__(self, now, account, zone, epoch):
        self.account = account
        self.zone = zone
        self.epoch = epoch
        self.part = (0.0, 0.0)
        self.level = 0.0
        self.recover_until = latest_end(now, MAX_LEASE_S)
        self.loans = {}
        self.offered_loans = {}
        self.is_pooling = False
        self._pooled_by = ("", now)
        self._typical_tokens = 0.0
        self._lessees = {}
        self._accrued_until = now
        self._large_request = (0.0, now)
        self._shortfall = (0.0, now)

    @property
    def leases(self):
        """Rate and capacity that each node, or home of another zone, may hold."""
        return {name: lessee.max_held() for name, lessee in self._lessees.items()}

    def recovering(self, now):
        """Return whether leases of a predecessor may still be valid."""
        return now < self.recover_until

    def end_recovery(self, now):
        """End the recovery: no home came before this one, or its leases are known."""
        self.recover_until = min(self.recover_until, now)

    def shortfall(self, now):
        """Return the tokens that a node lacked in the last ``SHORTFALL_S`` seconds."""
        missing, until = self._shortfall
        return missing if now < until else 0.0

    def pooling_zone(self, now):
        """Return the zone that has borrowed the whole part, or an empty string."""
        zone, until = self._pooled_by
        return zone if now < until else ""

    def typical_tokens(self):
        """Return the tokens of a typical request; 0 until one was reported."""
        found = max(
            (each.typical_tokens for each in self._lessees.values()), default=0.0
        )
        self._typical_tokens = found or self._typical_tokens
        return self._typical_tokens

    def own_demand(self):
        """Return the average demand of this zone's nodes in tokens per second."""
        return sum(
            each.average_demand for each in self._lessees.values() if not each.is_loan
        )

    def advance(self, now):
        """Accrue up to ``now`` and remove leases and loans that have ended."""
        if now > self._accrued_until:
            elapsed = now - max(self._accrued_until, self.recover_until)
            self._accrued_until = now
            self._drop_ended_loans(now)
            rate, _ = self._free()
            gain = max(0.0, rate) * elapsed * (1.0 - MAX_CLOCK_DRIFT)
            self.level += max(0.0, gain)
            for lessee in self._lessees.values():
                lessee.drop_ended(now)
        self._clip_level(now)

    def set_part(self, now, part):
        """Replace the zone's part of the limit."""
        self.advance(now)
        self.part = part
        self._clip_level(now)

    def add_loan(self, now, zone, loan, credit):
        """Replace the loan from a zone, if everything handed out still fits.

        If it doesn't fit in a smaller loan, the earlier loan stays in use while the
        nodes' leases shrink.

        Returns
        -------
        bool
            Whether the loan was taken.
        """
        self.advance(now)
        before = self.loans.get(zone, Loan(0.0, 0.0, now))
        self.offered_loans[zone] = loan
        rate, cap = self._free()
        if rate < before.rate - loan.rate or cap < before.cap - loan.cap:
            return False
        self.loans[zone] = loan
        self.level += credit
        self._clip_level(now)
        return True

    def handover(self, now):
        """Return the state for a successor, or None during the recovery."""
        self.advance(now)
        if self.recovering(now):
            return None
        rows = [
            row
            for each in self._lessees.items()
            for row in each[1].handover_rows(now, each[0])
        ]
        return Handover(self.account, self.zone, self.epoch, self.level, rows)

    def inherit(self, now, handover):
        """Take over a predecessor's balance and leases, but not what it borrowed."""
        self.end_recovery(now)
        for row in handover.leases:
            lessee = self._lessees.setdefault(row.asker, Lessee(row.is_loan))
            lessee.inherit(now, row)
        self.level += handover.level
        self._clip_level(now)

    def fits(self, part):
        """Return whether everything handed out would fit in another part.

        Of the borrowed capacity, only loans that outlast all leases count.
        """
        until = max(
            (
                lease.ends_at
                for each in self._lessees.values()
                for lease in each.leases.values()
            ),
            default=None,
        )
        rate, cap = self._total_held()
        loans = [
            loan for loan in self.loans.values() if until and loan.lapse_at >= until
        ]
        free_rate = part[0] + sum(loan.rate for loan in loans)
        free_cap = part[1] + sum(loan.cap for loan in loans)
        return rate <= free_rate and cap <= free_cap

    def answer(self, now, ask, nodes, period_s):
        """Answer a lease request.

        Parameters
        ----------
        now : float
        ask : Ask
        nodes : int
            Number of nodes in the zone.
        period_s : float
            Seconds between two requests of a node that isn't short of tokens.

        Returns
        -------
        Grant or None
            None if the request is a duplicate or was overtaken by a later one, or
            if it comes during the recovery and names no lease to adopt.
        """
        self.advance(now)
        is_loan = ask.asker_zone != self.zone
        lessee = self._lessees.setdefault(ask.asker, Lessee(is_loan))
        if ask.seq <= lessee.last_seq:
            return None
        lessee.record(now, ask)
        self._keep_only_held(now, lessee, ask)
        if self.recovering(now):
            return self._extend_held(now, lessee, ask)
        if lessee.leases:
            self.level += ask.returned
            self._clip_level(now)
        return self._grant(now, lessee, ask, nodes, period_s)

    def forget_idle(self, now):
        """Remove records of silent nodes and homes that hold no lease.

        The demand of those that are silent for a lease's duration counts as 0.
        """
        for name in list(self._lessees):
            lessee = self._lessees[name]
            lessee.drop_ended(now)
            if not lessee.leases and now - lessee.seen_at > MAX_LEASE_S:
                del self._lessees[name]
            elif now - lessee.seen_at > (LOAN_S if lessee.is_loan else NODE_LEASE_S):
                lessee.demand = lessee.average_demand = 0.0

    def _keep_only_held(self, now, lessee, ask):
        """Keep only the lease that the request names as held.

        The requester ignores answers to earlier requests, so no other lease is in use.
        """
        key = ask.held_epoch, ask.held_seq
        held = lessee.leases.get(key)
        lessee.replace({})
        if held is not None:
            lessee.add(key, held._replace(cap=min(held.cap, ask.kept_cap)))
        elif ask.held_epoch != self.epoch and self._may_adopt(now, ask):
            held = Lease(ask.held_rate, ask.held_cap, self.recover_until)
            lessee.add(key, held)

    def _may_adopt(self, now, ask):
        return ask.held_seq and ask.held_cap > 0.0 and self.recovering(now)

    def _extend_held(self, now, lessee, ask):
        if not lessee.leases:
            return None
        rate, cap = lessee.max_held()
        return self._lease(now, lessee, ask, rate, cap, 0.0)

    def _lease(self, now, lessee, ask, rate, cap, credit):
        duration_s = self._duration_s(ask, lessee)
        ends_at = latest_end(now, duration_s)
        lessee.add((self.epoch, ask.seq), Lease(rate, cap, ends_at))
        adoptable = self.recovering(now) or self._fits_without_loans()
        return Grant(
            account=self.account,
            asker=ask.asker,
            seq=ask.seq,
            epoch=self.epoch,
            rate=rate,
            cap=cap,
            credit=credit,
            duration_s=duration_s,
            adoptable=adoptable,
        )

    def _grant(self, now, lessee, ask, nodes, period_s):
        duration_s = self._duration_s(ask, lessee)
        ends_at = latest_end(now, duration_s)
        rate, cap, credit = self._terms(now, lessee, ask, nodes, period_s)
        free_rate, free_cap = self._free(ends_at, lessee)
        rate = max(0.0, min(rate, free_rate))
        cap = max(0.0, min(cap, free_cap))
        room = cap - ask.level - ask.refundable
        overflow = self.level - (free_cap - max(cap, lessee.max_held()[1]))
        credit = max(0.0, min(max(credit, overflow), room, self.level))
        if rate == 0.0 and not lessee.is_loan:
            cap = min(cap, max(0.0, ask.level) + ask.refundable + credit)
        missing = ask.want - credit
        if missing > 0.0 and not lessee.is_loan:
            missing = max(missing, self.shortfall(now))
            self._shortfall = (missing, now + SHORTFALL_S)
        self.level -= credit
        grant = self._lease(now, lessee, ask, rate, cap, credit)
        self._clip_level(now)
        return grant

    def _terms(self, now, lessee, ask, nodes, period_s):
        if lessee.is_loan:
            return self._loan_terms(now, lessee, ask)
        own = [each for each in self._lessees.values() if not each.is_loan]
        demands = [each.average_demand for each in own]
        typical_tokens = max(each.typical_tokens for each in own)
        part = self._leasable(now, own)
        rate, cap = 0.0, 0.0
        if not self.is_pooling:
            rate, cap = divide(
                part,
                lessee.average_demand,
                demands,
                nodes,
                typical_tokens,
                period_s,
                lessee.max_held()[0] > 0.0,
            )
        held = max(0.0, ask.level) + ask.refundable
        cap = max(cap + ask.refundable * self._refund_fraction(own), ask.level)
        if rate > 0.0:
            rate, cap = lessee.keep_if_close(rate, cap)
        room = cap - held - rate * period_s
        credit = max(0.0, room) if rate > 0.0 else 0.0
        credit = min(
            credit,
            self.level * _demand_fraction(lessee.average_demand, sum(demands), nodes),
        )
        if ask.want > 0.0:
            credit = max(credit, ask.want + self._prefetch(ask, rate, period_s))
            cap = max(cap, held + credit)
            if held + ask.want > self._free(now, lessee)[1]:
                self._large_request = (held + ask.want, now + LARGE_REQUEST_S)
        return rate, cap, credit

    def _prefetch(self, ask, rate, period_s):
        """Return the tokens to prefetch, which saves the node another request."""
        if rate > 0.0:
            return min(period_s * ask.demand, PREFETCH_FRACTION * self.level)
        is_ample = self.level > PREFETCH_LEVEL_FRACTION * self.part[1]
        return ask.typical if is_ample else 0.0

    def _refund_fraction(self, own):
        """Return the fraction of refundable tokens that leases leave capacity for."""
        refundable = sum(each.refundable for each in own)
        max_refundable = MAX_REFUND_FRACTION * self.part[1]
        return min(1.0, max_refundable / refundable) if refundable > 0.0 else 1.0

    def _leasable(self, now, own):
        """Return the rate and capacity to divide among the nodes of the zone."""
        rate, cap = self._expected_total()
        lent_rate, lent_cap = self._kept_for_loans()
        refundable = sum(each.refundable for each in own)
        refundable = min(refundable, MAX_REFUND_FRACTION * self.part[1])
        cap -= lent_cap + refundable + self._cap_for_large_request(now)
        return max(0.0, rate - lent_rate), max(0.0, cap)

    def _loan_terms(self, now, lessee, ask):
        """Return the rate, capacity and credit to lend: what the zone doesn't need."""
        part_rate, part_cap = self.part
        if part_rate <= 0.0:
            return 0.0, 0.0, 0.0
        if ask.demand >= POOL_DEMAND:
            self._pooled_by = (ask.asker_zone, now + POOL_LOAN_S)
            return part_rate, part_cap, self.level
        if ask.asker_zone == self.pooling_zone(now):
            self._pooled_by = ("", now)
        others = sum(
            min(each.demand, each.max_held()[0])
            for each in self._lessees.values()
            if each.is_loan and each is not lessee
        )
        spare = part_rate - OWN_HEADROOM * self.own_demand() - others
        rate = max(0.0, min(ask.demand, spare))
        fraction = rate / part_rate
        credit = self.level * fraction
        if not self.shortfall(now):
            credit = max(credit, min(ask.want, LENT_FRACTION * self.level))
        return rate, max(part_cap * fraction, credit), credit

    def _duration_s(self, ask, lessee):
        """Return the duration of a lease; a loan outlasts the leases that it backs."""
        if not lessee.is_loan:
            return POOLED_NODE_LEASE_S if self.is_pooling else NODE_LEASE_S
        return POOL_LOAN_S if ask.demand >= POOL_DEMAND else LOAN_S

    def _fits_without_loans(self):
        rate, cap = self._total_held()
        return rate <= self.part[0] and cap <= self.part[1]

    def _kept_for_loans(self):
        """Return the rate and capacity to keep free for loans to other zones."""
        part_rate, part_cap = self.part
        if part_rate <= 0.0:
            return 0.0, 0.0
        requested = sum(each.demand for each in self._lessees.values() if each.is_loan)
        held = sum(
            each.max_held()[0] for each in self._lessees.values() if each.is_loan
        )
        spare = max(0.0, part_rate - OWN_HEADROOM * self.own_demand())
        rate = max(held, min(requested, spare))
        return rate, part_cap * rate / part_rate

    def _cap_for_large_request(self, now):
        amount, until = self._large_request
        return amount if now < until else 0.0

    def _total_held(self, without=None):
        rate = cap = 0.0
        for lessee in self._lessees.values():
            if lessee is not without:
                lessee_rate, lessee_cap = lessee.max_held()
                rate += lessee_rate
                cap += lessee_cap
        return rate, cap

    def _total(self, until=None):
        rate, cap = self.part
        for loan in self.loans.values():
            if until is None or loan.lapse_at >= until:
                rate += loan.rate
                cap += loan.cap
        return rate, cap

    def _expected_total(self):
        """Return the total after the smaller loans on offer replace the held ones."""
        rate, cap = self.part
        for zone, loan in self.loans.items():
            offered = self.offered_loans.get(zone, loan)
            rate += min(loan.rate, offered.rate)
            cap += min(loan.cap, offered.cap)
        return rate, cap

    def _free(self, until=None, lessee=None):
        """Return the rate and capacity left if ``lessee`` held nothing."""
        total = self._total(until)
        held = self._total_held(lessee)
        return total[0] - held[0], total[1] - held[1]

    def _drop_ended_loans(self, now):
        for zone in [z for z, loan in self.loans.items() if loan.lapse_at <= now]:
            del self.loans[zone]
            self.offered_loans.pop(zone, None)

    def _clip_level(self, now):
        _, cap = self._free()
        if self.recovering(now):
            cap = 0.0
        self.level = max(0.0, min(self.level, cap))


def _demand_fraction(demand, all_demand, nodes):
    return demand / all_demand if all_demand > 0.0 else 1.0 / max(1, nodes)
