"""Limits of all accounts on one VM: its leases and the homes that it hosts."""

from hibiscusspar.limits import events
from hibiscusspar.limits.hosted_homes import HostedHomes
from hibiscusspar.limits.messages import Ask, Grant, Handover
from hibiscusspar.limits.node_limit import NodeLimit, Reservation, Shortage
from hibiscusspar.ports import limit_home_role

__all__ = ["LimitSystem", "home_role_names"]

MAX_ASKS_PER_S = 15.0  # at one home from its zone's nodes; sets the renewal period
MIN_PERIOD_S = 1.0
MAX_PERIOD_S = 4.0
MAX_HOPS = 2
PERIOD_CHECK_S = 5.0


def home_role_names(configuration, zone):
    """Return the role names of the homes that a zone must have."""
    return [limit_home_role(account, zone) for account in configuration.accounts]


class LimitSystem:
    """Token limits of client accounts; see ``docs/design/limits.md``.

    Parameters
    ----------
    vm, zone : str
    members : Members
    roles : Roles
    rng : random.Random
        Must be seeded differently in each run of the process, as it generates the
        identifier of the run.
    """

    name = "limits"

    def __init__(self, vm, zone, members, roles, rng):
        self._vm = vm
        self._zone = zone
        self._members = members
        self._roles = roles
        self._rng = rng
        self._nonce = f"{rng.getrandbits(64):016x}"
        self._limits_made = 0
        self._specs = {}
        self._limits = {}
        self._homes = HostedHomes(vm, zone, roles, rng, self._nonce)
        self._reservations = {}
        self._last_id = 0
        self._period_s = MIN_PERIOD_S
        self._next_period_at = None

    @property
    def open_reservations(self):
        """Number of reservations not settled yet."""
        return len(self._reservations)

    @property
    def unleased_accounts(self):
        """Accounts whose home has not answered this process yet."""
        return [name for name, limit in self._limits.items() if not limit.epoch]

    def configure(self, now, configuration, out):
        """Apply the accounts of a configuration."""
        self._specs = configuration.accounts
        self._homes.configure(configuration)
        for account in self._specs:
            if account not in self._limits:
                self._limits_made += 1
                asker = f"{self._vm}/{self._nonce}/{self._limits_made}"
                self._limits[account] = NodeLimit(now, account, asker)
        for account in [name for name in self._limits if name not in self._specs]:
            del self._limits[account]
        self._homes.update(now, out)

    def reserve(self, now, account, tokens, out, retry=False):
        """Reserve tokens before a request is queued or sent.

        Parameters
        ----------
        now : float
        account : str
        tokens : float
            Upper bound of the tokens that the request can use.
        out : Outbox
        retry : bool
            Whether this retries a request that was refused here a moment ago.

        Returns
        -------
        Reservation or Shortage
        """
        limit = self._limits.get(account)
        if limit is None:
            return Shortage("unknown-account", 0.0)
        self._advance(now, limit, out)
        if not retry:
            limit.note_attempt(tokens)
        reservation = self._try_reserve(limit, tokens, out)
        if reservation is None and tokens <= self._specs[account].burst:
            limit.note_missing(now, tokens, retry)
        if limit.ask_due(now, self._period_s):
            self._send_ask(now, limit, out)
            reservation = reservation or self._try_reserve(limit, tokens, out)
        return reservation or self._refuse(now, limit, tokens, out, retry)

    def settle(self, now, reservation_id, used_tokens, out):
        """Close a reservation with the tokens used; repeated calls have no effect."""
        reservation = self._reservations.pop(reservation_id, None)
        if reservation is None:
            return
        limit = self._limits.get(reservation.account)
        if limit is None:
            return
        self._advance(now, limit, out)
        limit.settle(now, reservation, used_tokens)

    def tick(self, now, out):
        """Renew leases and loans, and advance the homes of this VM."""
        self._update_period(now)
        self._homes.update(now, out)
        for ask in self._homes.tick(now, out):
            self._route_ask(now, ask, out)
        for limit in self._limits.values():
            self._advance(now, limit, out)
            if limit.ask_due(now, self._period_s):
                self._send_ask(now, limit, out)

    def receive(self, now, sender, message, out):
        """Process an :class:`Ask`, a :class:`Grant` or a :class:`Handover`."""
        if isinstance(message, Ask):
            self._receive_ask(now, message, out)
        elif isinstance(message, Grant):
            self._receive_grant(now, sender, message, out)
        elif isinstance(message, Handover) and message.zone == self._zone:
            self._homes.keep_handover(message)

    def platform_result(self, now, result, out):
        """Process the result of a call about a zone's part of a limit."""
        self._homes.platform_result(now, result, out)

    def status(self, now):
        """Return the status shown to operators, as plain values by account."""
        return {
            name: self._limit_status(now, limit) for name, limit in self._limits.items()
        }

    def _limit_status(self, now, limit):
        bucket = limit.bucket
        status = {
            "level": bucket.level,
            "rate": bucket.rate,
            "cap": bucket.cap,
            "lease_s": max(0.0, bucket.lapse_at - now),
            "demand": limit.demand,
            "admitted_tokens": limit.admitted_tokens,
            "refusals": limit.refusals,
            "home": self._roles.holder(limit_home_role(limit.account, self._zone)),
        }
        hosted = self._homes.get(limit.account)
        if hosted is not None:
            home = hosted.home
            status["zone"] = {
                "part": list(home.part),
                "recorded": list(hosted.escrow.recorded),
                "level": home.level,
                "recovery_s": max(0.0, home.recover_until - now),
                "leases": {name: list(held) for name, held in home.leases.items()},
                "loans": {z: list(loan[:2]) for z, loan in home.loans.items()},
            }
        return status

    def _advance(self, now, limit, out):
        epoch = limit.epoch
        if limit.advance(now):
            out.log(events.LEASE_LAPSED, account=limit.account, epoch=epoch)

    def _try_reserve(self, limit, tokens, out):
        reservation = Reservation(self._last_id + 1, limit.account, tokens)
        if not limit.reserve(reservation.reservation_id, tokens):
            return None
        self._last_id = reservation.reservation_id
        self._reservations[reservation.reservation_id] = reservation
        out.log(
            events.ADMITTED,
            account=limit.account,
            reservation=reservation.reservation_id,
            tokens=tokens,
        )
        return reservation

    def _refuse(self, now, limit, tokens, out, retry):
        spec = self._specs[limit.account]
        if tokens > spec.burst:
            shortage = Shortage("larger-than-burst", 0.0)
        else:
            shortage = limit.shortage(now, tokens, self._period_s)
        if retry:
            return shortage
        limit.refusals += 1
        out.log(
            events.TOKENS_REFUSED,
            account=limit.account,
            tokens=tokens,
            reason=shortage.reason,
            retry_after_s=shortage.retry_after_s,
        )
        return shortage

    def _send_ask(self, now, limit, out):
        jitter = self._rng.uniform(0.85, 1.0)
        ask = limit.make_ask(now, self._zone, self._vm, self._period_s, jitter)
        self._route_ask(now, ask, out)

    def _route_ask(self, now, ask, out):
        role = limit_home_role(ask.account, ask.zone)
        if ask.zone == self._zone and self._roles.holds(role):
            self._receive_ask(now, ask, out)
            return
        holder = self._roles.holder(role)
        if holder and holder != self._vm:
            out.send(holder, ask, urgent=ask.want > 0.0)
        elif ask.zone != self._zone:
            peers = [member.vm for member in self._members.live(ask.zone)]
            if peers:
                out.send(self._rng.choice(peers), ask, urgent=ask.want > 0.0)

    def _receive_ask(self, now, ask, out):
        role = limit_home_role(ask.account, ask.zone)
        if ask.zone != self._zone:
            return
        if not self._roles.holds(role):
            if ask.hops < MAX_HOPS:
                self._route_ask(now, ask._replace(hops=ask.hops + 1), out)
            return
        self._homes.update(now, out)
        hosted = self._homes.get(ask.account)
        if hosted is None:
            return
        recovering = hosted.home.recovering(now)
        if not recovering and not hosted.escrow.claimed:
            return
        if self._forward_to_pool(now, hosted.home, ask, out):
            return
        nodes = len(self._members.live(self._zone))
        grant = hosted.home.answer(now, ask, nodes, self._period_s)
        if grant is None:
            return
        _log_grant(ask, grant, recovering, self._zone, out)
        if ask.reply_to == self._vm:
            self._receive_grant(now, self._vm, grant, out)
        else:
            out.send(ask.reply_to, grant, urgent=True)

    def _forward_to_pool(self, now, home, ask, out):
        """Forward a node's request to the home that pools the account's tokens."""
        zone = home.pooling_zone(now)
        if not zone or home.is_pooling or ask.asker_zone != self._zone:
            return False
        if ask.hops >= MAX_HOPS:
            return False
        forwarded = ask._replace(zone=zone, asker_zone=zone, hops=ask.hops + 1)
        self._route_ask(now, forwarded, out)
        return True

    def _receive_grant(self, now, sender, grant, out):
        limit = self._limits.get(grant.account)
        if limit is not None and limit.take_grant(now, grant):
            out.log(
                events.LEASE_TAKEN,
                account=grant.account,
                epoch=grant.epoch,
                rate=grant.rate,
                cap=grant.cap,
                credit=grant.credit,
            )
            return
        hosted = self._homes.get(grant.account)
        if hosted is None:
            return
        zone = hosted.borrower.take_grant(now, hosted.home, grant)
        if zone is not None:
            out.log(
                events.LOAN_TAKEN,
                account=grant.account,
                zone=zone,
                rate=grant.rate,
                cap=grant.cap,
                credit=grant.credit,
            )

    def _update_period(self, now):
        if self._next_period_at is not None and now < self._next_period_at:
            return
        self._next_period_at = now + PERIOD_CHECK_S
        nodes = len(self._members.live(self._zone))
        period_s = nodes / MAX_ASKS_PER_S
        self._period_s = min(MAX_PERIOD_S, max(MIN_PERIOD_S, period_s))


def _log_grant(ask, grant, recovering, zone, out):
    fields = {"account": ask.account, "asker": ask.asker, "rate": grant.rate}
    fields["cap"] = grant.cap
    if recovering:
        out.log(events.LEASE_ADOPTED, **fields)
    elif ask.asker_zone != zone:
        fields.update(zone=ask.asker_zone, credit=grant.credit)
        out.log(events.LOAN_GRANTED, **fields)
    else:
        out.log(events.LEASE_GRANTED, credit=grant.credit, **fields)
