"""Messages between the VMs about limits of client accounts."""

from typing import NamedTuple

__all__ = ["MESSAGES", "Ask", "Grant", "Handover", "HeldLease"]


class Ask(NamedTuple):
    """Asks the home of an account's limit in ``zone`` for a lease.

    ``asker`` names one process life, ``reply_to`` its VM and ``asker_zone`` its
    zone; a home that borrows for its zone asks a home of another one.
    ``held_epoch`` and ``held_seq`` name the lease that the asker holds, with its
    ``held_rate`` and ``held_cap``; ``held_seq`` is 0 if it holds none, and rate
    and capacity are 0 if a successor of the giver may not go on with the lease.
    The asker has already lowered the capacity of the lease to ``kept_cap``.
    ``level`` is its balance, ``refundable`` what open reservations may bring back,
    ``demand`` the tokens per second it sees and ``typical`` the tokens of a usual
    request. ``want`` are tokens needed at once. ``returned`` are tokens that the
    asker has already debited. ``hops`` counts how often the message was forwarded.
    """

    account: str
    zone: str
    asker: str
    reply_to: str
    asker_zone: str
    seq: int
    held_epoch: str
    held_seq: int
    held_rate: float
    held_cap: float
    kept_cap: float
    level: float
    refundable: float
    demand: float
    typical: float
    want: float
    returned: float
    hops: int = 0


class Grant(NamedTuple):
    """A lease that answers the :class:`Ask` with the same ``asker`` and ``seq``.

    The asker may accrue ``rate`` tokens per second up to ``cap`` for
    ``duration_s``, counted from when it asked; ``credit`` tokens, debited by the
    giver, are added to its balance once. ``epoch`` names the giver. A successor
    of the giver may go on with the lease if it is ``adoptable``: all of those
    together fit in the zone's own part, without loans.
    """

    account: str
    asker: str
    seq: int
    epoch: str
    rate: float
    cap: float
    credit: float
    duration_s: float
    adoptable: bool


class HeldLease(NamedTuple):
    """One lease in a :class:`Handover`; ``remaining_s`` is at its sending."""

    asker: str
    is_loan: bool
    last_seq: int
    usual: float
    typical: float
    epoch: str
    seq: int
    rate: float
    cap: float
    remaining_s: float


class Handover(NamedTuple):
    """What a home that gave up its role leaves to its successor.

    The successor takes it if the zone's record, when it first read it, was
    written by ``epoch``, and only once: it writes the record itself before.
    """

    account: str
    zone: str
    epoch: str
    level: float
    leases: list[HeldLease]


MESSAGES = (Ask, Grant, Handover)
