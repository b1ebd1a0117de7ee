"""Planning of the next load, recall or eviction on an owned target."""

from typing import NamedTuple

__all__ = [
    "Step",
    "eviction_candidates",
    "fence_step",
    "labels_to_load",
    "load_backoff_s",
    "next_step",
]

KEEP_WANTED_S = 1.0
RECALL_TIMEOUT_S = 2.0
RECALL_BACKOFF_S = 10.0
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


def labels_to_load(now, owned):
    """Return the labels that wait to be loaded, the most urgent first.

    Urgency is the number of units wanted plus the seconds waited, so a label with
    little demand can't be starved by those with more.
    """
    wants = owned.ledger.wanted_units()
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


def eviction_candidates(now, owned, keep_wanted):
    """Return the resident labels that may be evicted, the least valuable first.

    Parameters
    ----------
    now : float
    owned : OwnedTarget
    keep_wanted : bool
        Whether to exclude labels that are wanted now.
    """
    wants = owned.ledger.wanted_units()

    def value(label):
        return (label in wants, owned.demand.value(now, label), label)

    free = [
        label
        for label in owned.resident
        if owned.evict_not_before.get(label, 0.0) <= now
        and not (keep_wanted and label in wants)
    ]
    return sorted(free, key=value)


def next_step(now, owned, all_reported):
    """Return the next :class:`Step` of a target, or None.

    Parameters
    ----------
    now : float
    owned : OwnedTarget
    all_reported : callable
        Returns whether every live node has reported its grants to this owner.
    """
    if owned.order is not None or not owned.may_order:
        return None
    waiting = labels_to_load(now, owned)
    if not waiting:
        _cancel_eviction(owned)
        return None
    if len(owned.resident) < owned.spec.slots:
        _cancel_eviction(owned)
        return Step("load", waiting[0], tuple(waiting[:8]), "free slot")
    if not all_reported():
        return None
    return _eviction_step(now, owned, waiting[0])


def fence_step(now, owned):
    """Return a load of a resident label if the target's fence must be raised.

    Loading a resident label again has no effect except that from then on the target
    refuses the orders of earlier owners.
    """
    if not (owned.may_order and owned.must_raise_fence):
        return None
    label = max(owned.resident, key=lambda k: (owned.demand.value(now, k), k))
    return Step("load", label, (label,), "new owner")


def _eviction_step(now, owned, label):
    if owned.evicting and now - owned.evicting_since > RECALL_TIMEOUT_S:
        owned.evict_not_before[owned.evicting] = now + RECALL_BACKOFF_S
        _cancel_eviction(owned)
    victim = owned.evicting
    candidates = ()
    if not victim:
        keep_wanted = now - owned.waiting_since[label] < KEEP_WANTED_S
        candidates = tuple(eviction_candidates(now, owned, keep_wanted))
        if not candidates:
            return None
        victim = candidates[0]
    if owned.ledger.pinned(victim):
        if owned.evicting:
            return None
        return Step("recall", victim, candidates, f"room for {label}")
    return Step("evict", victim, candidates or (victim,), f"room for {label}")


def _cancel_eviction(owned):
    if owned.evicting:
        owned.evicting = ""
        owned.ledger.mark_dirty()


def load_backoff_s(failures):
    """Return the back-off in seconds before a failed load is retried."""
    return min(BACKOFF_MAX_S, BACKOFF_S * 2 ** min(failures, 10))
