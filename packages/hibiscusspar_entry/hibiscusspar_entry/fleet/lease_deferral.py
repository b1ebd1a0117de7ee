"""Duties whose leases a node leaves to others for now."""

from hibiscusspar.fleet.fanout import coordinator_silent_s
from hibiscusspar.fleet.store_reads import duty_wait_s
from hibiscusspar.fleet.takeover import poll_delay_s

__all__ = ["LeaseDeferral"]

# Silence of the coordinator after which the leases of the zones' duties are read. It is
# far longer than the election of a successor takes.
_DUTY_SILENT_S = 2.5
# Time after the start of a process in which it reads the unheld duty of its own zone
# within its jitter, also in a large fleet. It may have held it before all nodes lost
# power, and then takes it without the waits that another machine needs.
_OWN_DUTY_S = 5.0
# Zone that stands for the coordinator's duty.
_COORDINATOR = ""


class LeaseDeferral:
    """Holders of duties as views tell, and how long their leases need not be read.

    Parameters
    ----------
    clock : callable
    election : Election
        That of the coordinator.
    applicant : callable
        Returns this process as an ``Applicant`` for the duty of a zone.
    view_age_s : callable
        Returns the age of the last view, None before the first.
    nodes : callable
        Returns the size of the fleet.
    """

    def __init__(self, clock, election, applicant, view_age_s, nodes):
        self._clock = clock
        self._election = election
        self._applicant = applicant
        self._view_age_s = view_age_s
        self._nodes = nodes
        self._started_at = clock()
        self._is_leased = False
        self._held = frozenset()
        self._unheld_since = {}

    @property
    def has_active_coordinator(self):
        """Whether a coordinator with a valid lease sent a view lately."""
        return self.silent_in_s > 0 and self._is_leased

    @property
    def silent_in_s(self):
        """Seconds until the coordinator counts as silent, at most 0 if it does."""
        age_s = self._view_age_s()
        return 0.0 if age_s is None else coordinator_silent_s(self._nodes()) - age_s

    def all_held(self, zones):
        """Return whether the duties of all these zones have holders."""
        return self._held.issuperset(zones)

    def apply_view(self, view):
        """Apply the holders that a view names; return whether they have changed."""
        held = frozenset(view.held)
        is_changed = (view.leased, held) != (self._is_leased, self._held)
        self._is_leased, self._held = view.leased, held
        return is_changed

    def skips_coordinator(self):
        """Return whether the coordinator's lease need not be read now."""
        return self._defers(_COORDINATOR, self.has_active_coordinator)

    def skips_duty(self, zone):
        """Return whether the lease of a zone's duty need not be read now."""
        return self._defers(zone, self._has_holder(zone))

    def _has_holder(self, zone):
        age_s = self._view_age_s()
        if age_s is None:
            wait_s = duty_wait_s(self._election.is_renewed)
            return self._clock() < self._started_at + wait_s
        return age_s < _DUTY_SILENT_S and zone in self._held

    def _defers(self, zone, has_holder):
        now = self._clock()
        if has_holder:
            self._unheld_since.pop(zone, None)
            return True
        since = self._unheld_since.setdefault(zone, now)
        applicant = self._applicant(zone)
        delay_s = poll_delay_s(applicant, self._nodes())
        is_own_duty = zone != _COORDINATOR and not applicant.in_other_zone
        if is_own_duty and now < self._started_at + _OWN_DUTY_S:
            delay_s = min(delay_s, applicant.jitter_s)
        return now < since + delay_s
