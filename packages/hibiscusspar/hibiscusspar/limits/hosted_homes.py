"""Homes hosted by one VM: start, parts, loans and end."""

from hibiscusspar.limits import events
from hibiscusspar.limits.division import zone_part
from hibiscusspar.limits.escrow import Escrow
from hibiscusspar.limits.home import Home
from hibiscusspar.limits.loans import Borrower
from hibiscusspar.ports import limit_home_role

__all__ = ["HostedHome", "HostedHomes"]

IDLE_CHECK_S = 5.0


class HostedHome:
    """Home with its record and loans, for one term of this VM in the role."""

    def __init__(self, now, account, zone, epoch, number, rng):
        self.number = number
        self.home = Home(now, account, zone, epoch)
        self.escrow = Escrow(now, account, zone, epoch, rng)
        self.borrower = Borrower(account, zone, f"home/{zone}/{epoch}")
        self.next_idle_check = now


class HostedHomes:
    """Homes on one VM by account.

    Parameters
    ----------
    vm, zone : str
    roles : Roles
    rng : random.Random
    nonce : str
        Identifies this run of the process.
    """

    def __init__(self, vm, zone, roles, rng, nonce):
        self._vm = vm
        self._zone = zone
        self._roles = roles
        self._rng = rng
        self._nonce = nonce
        self._specs = {}
        self._zones = ()
        self._revision = 0
        self._table = {}
        self._leaving = {}
        self._arrived = {}

    def get(self, account):
        """Return the home of an account, or None if another VM hosts it."""
        return self._table.get(account)

    def configure(self, configuration):
        """Apply the accounts of a configuration."""
        self._specs = configuration.accounts
        self._revision = configuration.revision
        targets = configuration.targets.values()
        self._zones = tuple(sorted({target.zone for target in targets}))

    def update(self, now, out):
        """Start and end homes to match the roles of this VM."""
        for account, office in list(self._table.items()):
            role = limit_home_role(account, self._zone)
            same = office.number == self._roles.number(role)
            if account in self._specs and same and self._roles.holds(role):
                continue
            self._end(now, account, office, out)
        for account in self._specs:
            role = limit_home_role(account, self._zone)
            if account not in self._table and self._roles.holds(role):
                self._start(now, account, self._roles.number(role), out)

    def tick(self, now, out):
        """Advance all homes; return the loan requests that are due."""
        self._send_handovers(out)
        asks = []
        for office in self._table.values():
            asks += self._tick_office(now, office, out)
        return asks

    def keep_handover(self, message):
        """Keep a predecessor's handover until the account's home can use it."""
        self._arrived[message.account] = message

    def platform_result(self, now, result, out):
        """Pass the result of a call to the record that made it."""
        for office in self._table.values():
            if office.escrow.result(now, result):
                self._use_part(now, office, out)
                return

    def _start(self, now, account, number, out):
        epoch = f"{number}/{self._nonce}/{self._rng.getrandbits(32):08x}"
        office = HostedHome(now, account, self._zone, epoch, number, self._rng)
        self._table[account] = office
        out.log(
            events.HOME_STARTED,
            account=account,
            epoch=epoch,
            recovery_s=office.home.recover_until - now,
        )

    def _end(self, now, account, office, out):
        del self._table[account]
        handover = office.home.handover(now)
        if handover is not None:
            self._leaving[account] = handover
        out.log(events.HOME_ENDED, account=account, epoch=office.home.epoch)

    def _send_handovers(self, out):
        """Send the handovers of ended homes whose successor is known."""
        for account, handover in list(self._leaving.items()):
            role = limit_home_role(account, self._zone)
            if self._roles.holds(role):
                self._arrived[account] = self._leaving.pop(account)
                continue
            holder = self._roles.holder(role)
            if holder and holder != self._vm:
                del self._leaving[account]
                out.send(holder, handover)

    def _tick_office(self, now, office, out):
        home = office.home
        home.advance(now)
        if now >= office.next_idle_check:
            office.next_idle_check = now + IDLE_CHECK_S
            home.forget_idle(now)
        spec = self._specs[home.account]
        limit = (spec.rate, spec.burst)
        target = zone_part(spec, self._zone, self._zones)
        office.escrow.configure(now, self._revision, limit, target)
        self._use_part(now, office, out)
        self._inherit(now, office, out)
        office.escrow.tick(
            now, lambda part: not home.recovering(now) and home.fits(part), out
        )
        zones = [zone for zone, _ in spec.zone_fractions] or self._zones
        others = [zone for zone in zones if zone != self._zone]
        return office.borrower.asks(now, self._vm, home, others)

    def _use_part(self, now, office, out):
        home = office.home
        if office.escrow.first_home:
            home.end_recovery(now)
        part = office.escrow.usable
        if part == home.part:
            return
        home.set_part(now, part)
        out.log(
            events.PART_CHANGED,
            account=home.account,
            rate=part[0],
            cap=part[1],
            revision=self._revision,
        )

    def _inherit(self, now, office, out):
        """Use the predecessor's handover if the record names its epoch as writer."""
        home = office.home
        handover = self._arrived.get(home.account)
        if handover is None or not office.escrow.claimed:
            return
        del self._arrived[home.account]
        if not home.recovering(now) or handover.epoch != office.escrow.predecessor:
            return
        home.inherit(now, handover)
        out.log(
            events.HOME_INHERITED,
            account=home.account,
            epoch=home.epoch,
            level=home.level,
            leases=len(handover.leases),
        )
