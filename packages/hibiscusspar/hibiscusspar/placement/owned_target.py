"""State of one target kept by its owner."""

from math import inf

from hibiscusspar.placement.demand import HALF_LIFE_S, DemandTable
from hibiscusspar.placement.ledger import Ledger
from hibiscusspar.placement.planner import load_backoff_s
from hibiscusspar.placement.residency import Row

__all__ = ["SETTLE_S", "STATE_LAG_S", "OwnedTarget"]

DEMAND_ROWS = 512
PRESSURE_STEP = 0.25
SETTLE_S = 2.0
STATE_LAG_S = 2.0
MINOR_PUBLISH_S = 5.0
CHANGE_PUBLISH_S = 1.0


class OwnedTarget:
    """State of a target kept by its owner.

    Parameters
    ----------
    spec : TargetSpec
    term : (int, int)
        Number and life of this owner.
    now : float
        Time at which this node took over the role.
    spare : int
        Units granted beyond what a node wants.
    """

    def __init__(self, spec, term, now, spare=1):
        self.spec = spec
        self.term = term
        self.owned_since = now
        self.ledger = Ledger(spec.name, term, spec.concurrency, spare)
        self.demand = DemandTable(HALF_LIFE_S, DEMAND_ROWS)
        self.resident = {}
        self.incarnation = ""
        self.reachable = True
        self.order = None
        self.order_at = 0.0
        self.retry_at = 0.0
        self.permit_store = ""
        self.evicting = ""
        self.evicting_since = 0.0
        self.fenced = False
        self.fence_raised = False
        self.unconfirmed = set()
        self._confirmed_from = now + SETTLE_S + STATE_LAG_S
        self.waiting_since = {}
        self.evict_not_before = {}
        self.early_wants = {}
        self.inquired_at = {}
        self.sequence = 0
        self._failures = {}
        self._evicted_at = {}
        self._past_incarnations = set()
        self._minor = None
        self._major = None
        self._published_at = -inf

    @property
    def number(self):
        """Number of the owner's role, sent as the fencing token of every order."""
        return self.term[0]

    @property
    def may_order(self):
        """Whether the target is up and takes orders of this owner for new work."""
        return (
            bool(self.incarnation)
            and self.reachable
            and not self.fenced
            and not self.spec.draining
        )

    @property
    def must_raise_fence(self):
        """Whether the target would still accept orders of an earlier owner."""
        if not self.spec.checks_fencing or self.fence_raised:
            return False
        return self.number > 1 and bool(self.resident)

    @property
    def wants_permit(self):
        """Whether a load waits for a permit, or the target's fence must be raised."""
        if self.order is not None or self.permit_store or not self.may_order:
            return False
        return bool(self.waiting_since) or self.must_raise_fence

    def settled(self, now):
        """Return whether no order of an earlier owner can still take effect."""
        if now - self.owned_since < SETTLE_S:
            return False
        return not self.must_raise_fence

    def grantable(self, now):
        """Return a predicate that tells whether a (label, node) may have units."""
        settled = self.settled(now)

        def is_grantable(label, node):
            if label not in self.resident or label == self.evicting:
                return False
            if self.spec.draining or self.fenced:
                return False
            share = self.ledger.shares[label, node]
            return share.level > 0 or (settled and label not in self.unconfirmed)

        return is_grantable

    def not_before(self, label):
        """Return the time from which a label may be loaded after failures."""
        return self._failures.get(label, (0, 0.0))[1]

    def record_failure(self, now, label):
        """Record a failed load and return the back-off in seconds."""
        failures, _ = self._failures.get(label, (0, 0.0))
        delay = load_backoff_s(failures)
        self._failures[label] = (failures + 1, now + delay)
        return delay

    def start_eviction(self, now, label):
        """Stop granting a label that is about to be evicted."""
        if self.evicting != label:
            self.evicting = label
            self.evicting_since = now
            self.ledger.mark_dirty()

    def record_fence_raised(self, now):
        """Record that the target now refuses orders of earlier owners.

        They may have evicted labels since the last report, so units of the resident
        labels are granted to further nodes only after a new report of the target.
        """
        if self.fence_raised:
            return
        self.fence_raised = True
        if self.number > 1:
            self.unconfirmed = set(self.resident)
            self._confirmed_from = now + STATE_LAG_S

    def record_load(self, now, label):
        """Record that a label is resident."""
        self.unconfirmed.discard(label)
        self.resident[label] = now
        self._raise_demand(now, label)
        self._failures.pop(label, None)
        self.waiting_since.pop(label, None)
        self.ledger.mark_dirty()

    def _raise_demand(self, now, label):
        """Raise the demand to the estimated use by all nodes on any target."""
        missing = self.ledger.estimated_use(label) - self.demand.value(now, label)
        if missing > 0:
            self.demand.add(now, label, missing)

    def record_eviction(self, now, label):
        """Record that a label was evicted by an order of this owner."""
        self._evicted_at[label] = now
        self.remove(label)

    def remove(self, label):
        """Record that a label is no longer resident."""
        self.resident.pop(label, None)
        self.unconfirmed.discard(label)
        if self.evicting == label:
            self.evicting = ""
        self.evict_not_before.pop(label, None)
        self.ledger.mark_dirty()

    def update_incarnation(self, incarnation):
        """Clear the residency if the target restarted; return whether it did."""
        before = self.incarnation
        if incarnation in self._past_incarnations or incarnation == before:
            return False
        self.incarnation = incarnation
        if not before:
            return False
        self._past_incarnations.add(before)
        self.resident.clear()
        self.evicting = ""
        self.evict_not_before.clear()
        self.ledger.mark_dirty()
        return True

    def apply_report(self, now, asked_at, resident):
        """Update the residency from a report requested at ``asked_at``.

        The report may be up to :data:`STATE_LAG_S` older than that, so it is ignored
        for labels that were loaded or evicted since then.
        """
        before = asked_at - STATE_LAG_S
        self._evicted_at = {k: t for k, t in self._evicted_at.items() if t >= before}
        if self.unconfirmed and asked_at >= self._confirmed_from:
            self.unconfirmed -= set(resident)
            self.ledger.mark_dirty()
        for label in resident:
            if label in self.resident or label in self._evicted_at:
                continue
            self.record_load(now, label)
            if asked_at < self._confirmed_from:
                self.unconfirmed.add(label)
        reported = set(resident)
        for label, since in list(self.resident.items()):
            if label not in reported and since < before:
                self.remove(label)

    def row(self, now, owner):
        """Return the :class:`Row` to publish, or None if none is due."""
        major = (
            self.incarnation if self.reachable else "",
            tuple(k for k in self.resident if k != self.evicting),
        )
        minor = (self._saturated(), self._pressure(now), self._pending())
        if now - self._published_at < self._publish_after_s(major, minor):
            return None
        self._major, self._minor = major, minor
        self._published_at = now
        self.sequence += 1
        return Row(self.spec.name, *self.term, self.sequence, owner, *major, *minor)

    def _publish_after_s(self, major, minor):
        """Return the minimum time between the last row and the next.

        Rows with a newly resident label or another incarnation are published at once.
        """
        if (major, minor) == (self._major, self._minor):
            return inf
        before = self._major or ("", ())
        if major[0] != before[0] or not set(major[1]) <= set(before[1]):
            return 0.0
        if major != self._major or minor[0] != self._minor[0]:
            return CHANGE_PUBLISH_S
        return MINOR_PUBLISH_S

    def _saturated(self):
        wants = self.ledger.wanted_units()
        levels = {}
        for (label, _), share in self.ledger.shares.items():
            levels[label] = levels.get(label, 0) + share.level
        step = max(1, self.spec.concurrency // 4)
        return tuple(
            label
            for label, want in sorted(wants.items())
            if label in self.resident and want >= levels.get(label, 0) + step
        )

    def _pressure(self, now):
        if len(self.resident) < self.spec.slots:
            return 0.0
        least = min(self.demand.value(now, label) for label in self.resident)
        return round(least / PRESSURE_STEP) * PRESSURE_STEP

    def _pending(self):
        wants = self.ledger.wanted_units()
        return sum(1 for label in wants if label not in self.resident)
