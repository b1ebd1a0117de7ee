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
        self._homes = {}
        self._outgoing_handovers = {}
        self._incoming_handovers = {}

    def get(self, account):
        """Return the home of an account, or None if another VM hosts it."""
        return self._homes.get(account)

    def configure(self, configuration):
        """Apply the accounts of a configuration."""
        self._specs = configuration.accounts
        self._revision = configuration.revision
        targets = configuration.targets.values()
        self._zones = tuple(sorted({target.zone for target in targets}))

    def update(self, now, out):
        """Start and end homes to match the roles of this VM."""
        for account, hosted in list(self._homes.items()):
            role = limit_home_role(account, self._zone)
            is_same_term = hosted.number == self._roles.number(role)
            if account in self._specs and is_same_term and self._roles.holds(role):
                continue
            self._end(now, account, hosted, out)
        for account in self._specs:
            role = limit_home_role(account, self._zone)
            if account not in self._homes and self._roles.holds(role):
                self._start(now, account, self._roles.number(role), out)

    def tick(self, now, out):
        """Advance all homes; return the loan requests that are due."""
        self._send_handovers(out)
        asks = []
        for hosted in self._homes.values():
            asks += self._tick_home(now, hosted, out)
        return asks

    def keep_handover(self, message):
        """Keep a predecessor's handover until the account's home can use it."""
        self._incoming_handovers[message.account] = message

    def platform_result(self, now, result, out):
        """Pass the result of a call to the record that made it."""
        for hosted in self._homes.values():
            if hosted.escrow.process_result(now, result):
                self._apply_part(now, hosted, out)
                return

    def _start(self, now, account, number, out):
        epoch = f"{number}/{self._nonce}/{self._rng.getrandbits(32):08x}"
        hosted = HostedHome(now, account, self._zone, epoch, number, self._rng)
        self._homes[account] = hosted
        out.log(
            events.HOME_STARTED,
            account=account,
            epoch=epoch,
            recovery_s=hosted.home.recover_until - now,
        )

    def _end(self, now, account, hosted, out):
        del self._homes[account]
        handover = hosted.home.handover(now)
        if handover is not None:
            self._outgoing_handovers[account] = handover
        out.log(events.HOME_ENDED, account=account, epoch=hosted.home.epoch)

    def _send_handovers(self, out):
        """Send the handovers of ended homes whose successor is known."""
        for account, handover in list(self._outgoing_handovers.items()):
            role = limit_home_role(account, self._zone)
            if self._roles.holds(role):
                self._incoming_handovers[account] = self._outgoing_handovers.pop(
                    account
                )
                continue
            holder = self._roles.holder(role)
            if holder and holder != self._vm:
                del self._outgoing_handovers[account]
                out.send(holder, handover)

    def _tick_home(self, now, hosted, out):
        home = hosted.home
        home.advance(now)
        if now >= hosted.next_idle_check:
            hosted.next_idle_check = now + IDLE_CHECK_S
            home.forget_idle(now)
        spec = self._specs[home.account]
        limit = (spec.rate, spec.burst)
        configured = zone_part(spec, self._zone, self._zones)
        hosted.escrow.configure(now, self._revision, limit, configured)
        self._apply_part(now, hosted, out)
        self._apply_handover(now, hosted, out)
        hosted.escrow.tick(
            now, lambda part: not home.recovering(now) and home.fits(part), out
        )
        zones = [zone for zone, _ in spec.zone_fractions] or self._zones
        others = [zone for zone in zones if zone != self._zone]
        return hosted.borrower.due_asks(now, self._vm, home, others)

    def _apply_part(self, now, hosted, out):
        home = hosted.home
        if hosted.escrow.first_home:
            home.end_recovery(now)
        part = hosted.escrow.usable
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

    def _apply_handover(self, now, hosted, out):
        """Use the predecessor's handover if the record names its epoch as writer."""
        home = hosted.home
        handover = self._incoming_handovers.get(home.account)
        if handover is None or not hosted.escrow.claimed:
            return
        del self._incoming_handovers[home.account]
        if not home.recovering(now) or handover.epoch != hosted.escrow.predecessor:
            return
        home.inherit(now, handover)
        out.log(
            events.HOME_INHERITED,
            account=home.account,
            epoch=home.epoch,
            level=home.level,
            leases=len(handover.leases),
        )
