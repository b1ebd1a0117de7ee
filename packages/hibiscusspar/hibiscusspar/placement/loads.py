"""Planning of the next load, recall or eviction on an owned target."""

from typing import NamedTuple

__all__ = [
    "Step",
    "after_failure",
    "next_step",
    "pick_label",
    "pick_victim",
    "raise_fence",
]

PATIENCE_S = 1.0
STUCK_S = 2.0
AVOID_STUCK_S = 10.0
BACKOFF_S = 1.0
BACKOFF_MAX_S = 60.0


class Step(NamedTuple):
    """A decision of the planner; ``action`` is ``"load"``, ``"recall"`` or ``"evict"``.

    ``candidates`` are the labels that were considered, best first.
    """

    action: str
    label: str
    candidates: tuple[str, ...]
    reason: str


def pick_label(now, owned):
    """Return the labels that wait to be loaded, the most urgent first.

    Urgency is the number of units wanted plus the seconds waited, so a label with
    little demand can't be starved by those with more.
    """
    wants = owned.ledger.wants()
    waiting = {
        label: want
        for label, want in wants.items()
        if label not in owned.resident and now >= owned.not_before(label)
    }
    for label in waiting:
        owned.waiting_since.setdefault(label, now)
    for label in [k for k in owned.waiting_since if k not in waiting]:
        del owned.waiting_since[label]

    def urgency(label):
        age = now - owned.waiting_since[label]
        return (-(waiting[label] + age), label)

    return sorted(waiting, key=urgency)


def pick_victim(now, owned, patient):
    """Return the resident labels that may be evicted, the least valuable first.

    Parameters
    ----------
    now : float
    owned : OwnedTarget
    patient : bool
        Whether to exclude labels that are wanted now.
    """
    wants = owned.ledger.wants()

    def value(label):
        return (label in wants, owned.demand.value(now, label), label)

    free = [
        label
        for label in owned.resident
        if owned.avoid.get(label, 0.0) <= now and not (patient and label in wants)
    ]
    return sorted(free, key=value)


def next_step(now, owned, all_bound):
    """Return the next :class:`Step` of a target, or None.

    Parameters
    ----------
    now : float
    owned : OwnedTarget
    all_bound : callable
        Returns whether every live node has reported its grants to this owner.
    """
    if owned.order is not None or not owned.may_order:
        return None
    waiting = pick_label(now, owned)
    if not waiting:
        _reopen(owned)
        return None
    if len(owned.resident) < owned.spec.slots:
        _reopen(owned)
        return Step("load", waiting[0], tuple(waiting[:8]), "free slot")
    if not all_bound():
        return None
    return _make_room(now, owned, waiting[0])


def raise_fence(now, owned):
    """Return a load of a resident label if the target's fence must be raised.

    Loading a resident label again has no effect except that from then on the target
    refuses the orders of earlier owners.
    """
    if not (owned.may_order and owned.must_raise_fence):
        return None
    label = max(owned.resident, key=lambda k: (owned.demand.value(now, k), k))
    return Step("load", label, (label,), "new owner")


def _make_room(now, owned, label):
    if owned.closing and now - owned.closing_at > STUCK_S:
        owned.avoid[owned.closing] = now + AVOID_STUCK_S
        _reopen(owned)
    victim = owned.closing
    candidates = ()
    if not victim:
        patient = now - owned.waiting_since[label] < PATIENCE_S
        candidates = tuple(pick_victim(now, owned, patient))
        if not candidates:
            return None
        victim = candidates[0]
    if owned.ledger.pinned(victim):
        if owned.closing:
            return None
        return Step("recall", victim, candidates, f"room for {label}")
    return Step("evict", victim, candidates or (victim,), f"room for {label}")


def _reopen(owned):
    if owned.closing:
        owned.closing = ""
        owned.ledger.touch()


def after_failure(failures):
    """Return the back-off in seconds before a failed load is retried."""
    return min(BACKOFF_MAX_S, BACKOFF_S * 2 ** min(failures, 10))
