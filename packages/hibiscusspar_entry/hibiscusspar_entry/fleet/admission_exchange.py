"""Exchange of demand and admission levels between the nodes and the coordinator."""

from hibiscusspar.fleet.admission import FleetAdmission, NodeDemand
from hibiscusspar.fleet.node_admission import NodeAdmission
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import ADMISSION_LEVEL

__all__ = ["AdmissionGate", "AdmissionLevels"]

# Number of reports whose time of sending is kept.
_KEPT_REPORTS = 64
# Change of a share that is logged.
_LOGGED_CHANGE = 0.1


class AdmissionGate(NodeAdmission):
    """Admission of the requests of one node, from the levels in views.

    It is guarded by the lock of the scheduler that uses it.
    """

    def __init__(self):
        super().__init__()
        self._reported_at = {}

    def gauges(self):
        """Return the values of the metrics by name."""
        return {
            "admission_refusals": self.refusals,
            "admission_services_limited": len(self.known_levels),
        }

    def complete_report(self, now, report, busy_jobs):
        """Add the counts of this node, and what waits for room, to its report."""
        report.asked, report.booked = self.asked(), self.booked(now)
        report.waiting = self.waiting(busy_jobs)
        self._reported_at[report.number] = now
        self._reported_at.pop(report.number - _KEPT_REPORTS, None)

    def apply_view(self, now, view, node):
        """Apply the levels of a view."""
        counted_at = self._reported_at.get(view.acked.get(node, 0))
        self.apply_levels(now, view.admission, counted_at)


class AdmissionLevels:
    """Levels that the coordinator derives from the last reports of all nodes."""

    def __init__(self):
        self._fleet = FleetAdmission()
        self._logged = {}

    def configure(self, goals):
        """Set the services with several priorities; see ``service_goals``."""
        self._fleet.configure(goals)

    def update(self, now, records):
        """Return the levels for a view.

        Parameters
        ----------
        now : float
        records : list of NodeRecord
            Records of the nodes whose reports are not stale.

        Returns
        -------
        dict of str to AdmissionLevel or None
        """
        levels = self._fleet.update(now, [_demand(record) for record in records])
        if levels is not None:
            self._log_changes(levels)
        return levels

    def _log_changes(self, levels):
        """Log levels that begin, end, or have a share that changed clearly."""
        records = []
        for service, inputs in self._fleet.inputs.items():
            level = levels.get(service)
            shares = level.shares if level is not None else None
            if not _differ(shares, self._logged.get(service)):
                continue
            self._logged[service] = shares
            fields = {
                "service": service,
                "shares": shares,
                "asked_per_s": inputs.asked_per_s,
                "capacity_per_s": inputs.capacity_per_s,
                "missing": inputs.missing,
                "room_per_s": level.room_per_s if level is not None else None,
                "age_s": inputs.age_s,
            }
            records.append((ADMISSION_LEVEL, fields))
        write_records(records)


def _demand(record):
    report = record.report
    return NodeDemand(
        report.node,
        report.start,
        record.received_at,
        report.asked,
        report.booked,
        report.waiting,
    )


def _differ(shares, logged):
    """Return whether shares differ from those logged last by a stated amount."""
    if shares is None or logged is None:
        return shares is not logged
    return any(
        abs(shares.get(priority, 1.0) - logged.get(priority, 1.0)) >= _LOGGED_CHANGE
        for priority in shares.keys() | logged.keys()
    )
