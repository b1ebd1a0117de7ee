"""Messages between VMs about the limits of client accounts."""

from typing import NamedTuple

__all__ = ["MESSAGES", "Ask", "Grant", "Handover", "HeldLease"]


class Ask(NamedTuple):
    """Lease request to the home of an account's limit in ``zone``.

    The requester is a node, or the home of another zone that borrows for its zone.
    ``asker`` identifies it for one run of its process, ``reply_to`` is its VM and
    ``asker_zone`` its zone. ``held_epoch`` and ``held_seq`` identify the lease that
    it holds, with rate ``held_rate`` and capacity ``held_cap``; ``held_seq`` is 0
    if it holds none, and rate and capacity are 0 if a successor of the granting
    home may not adopt the lease. The requester has already lowered the capacity of
    the lease to ``kept_cap``. ``level`` is its balance, ``refundable`` the tokens
    that open reservations may refund, ``demand`` its demand in tokens per second
    and ``typical`` the tokens of a typical request. ``want`` is the number of
    tokens needed at once, ``returned`` the number that the requester has debited
    and gives back. ``hops`` counts how often the message was forwarded.
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
    """Lease that answers the :class:`Ask` with the same ``asker`` and ``seq``.

    The requester may accrue ``rate`` tokens per second up to ``cap`` for
    ``duration_s`` from the time of its request. ``credit`` tokens, debited by the
    granting home, are added to its balance once. ``epoch`` identifies the granting
    home. Its successor may adopt the lease if it is ``adoptable``: all adoptable
    leases together fit in the zone's own part, without loans.
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
    """One lease in a :class:`Handover`; ``remaining_s`` counts from its creation."""

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
    """State that a home which gave up its role sends to its successor.

    The successor accepts it only if ``epoch`` had written the zone's record when
    the successor first read it, and only once: it writes the record itself first.
    """

    account: str
    zone: str
    epoch: str
    level: float
    leases: list[HeldLease]


MESSAGES = (Ask, Grant, Handover)
