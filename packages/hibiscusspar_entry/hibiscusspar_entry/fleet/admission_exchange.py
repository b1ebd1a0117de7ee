"""Exchange of demand and admission levels between the nodes and the coordinator."""

from math import inf

from hibiscusspar.fleet.account_shares import account_weights
from hibiscusspar.fleet.admission import FleetAdmission, NodeDemand, service_goals
from hibiscusspar.fleet.node_admission import NodeAdmission
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.load_events import ACCOUNT_SHARES, ADMISSION_LEVEL

__all__ = ["AdmissionExchange", "AdmissionGate", "AdmissionLevels"]

# Number of reports whose time of sending is kept.
_KEPT_REPORTS = 64
# Change of a share that is logged.
_LOGGED_CHANGE = 0.1
# Shortest time in seconds between two lines about the accounts of a service.
_LOG_INTERVAL_S = 1.0


class AdmissionExchange:
    """Admission at one node: its gate, and the levels if it is the coordinator.

    Parameters
    ----------
    clock : callable
    metrics : FleetMetrics
    is_enabled : bool
        Whether priorities decide who is served by a service without enough room.
    """

    def __init__(self, clock, metrics, is_enabled):
        self._clock = clock
        self.gate = AdmissionGate()
        self.levels = AdmissionLevels()
        self._is_enabled = is_enabled
        metrics.sources.append(self.gate.gauges)
        metrics.account_shares.append(self.account_shares)

    def configure(self, ruleset, lock):
        """Set the services with several priorities, and the weights of accounts.

        Parameters
        ----------
        ruleset : Ruleset
        lock : threading.Lock
            Lock that guards the gate.
        """
        goals = service_goals(ruleset) if self._is_enabled else {}
        with lock:
            self.gate.configure(goals)
        self.levels.configure(goals, account_weights(ruleset))

    def account_shares(self):
        """Return the shares of limited accounts by service, as they apply now."""
        now, found = self._clock(), {}
        for service in self.gate.known_levels:
            level = self.gate.level(now, service)
            if level is not None:
                found[service] = level.account_shares
        return found


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
            "admission_returns_recognized": self.recognized_returns,
        }

    def complete_report(self, now, report, busy_jobs):
        """Add the counts of this node, and what waits for room, to its report."""
        report.asked, report.booked = self.asked(), self.booked(now)
        report.waiting = self.waiting(busy_jobs)
        report.asked_by_account = self.asked_by_account(now)
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
        self._logged_accounts = {}

    def configure(self, goals, weights=None):
        """Set the services with several priorities and the weights of accounts."""
        self._fleet.configure(goals, weights)

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
            self._log_changes(now, levels)
        return levels

    def _log_changes(self, now, levels):
        """Log levels that begin, end, or have a share that changed clearly."""
        records = []
        for service, inputs in self._fleet.inputs.items():
            level = levels.get(service)
            records.extend(self._account_records(now, service, level))
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

    def _account_records(self, now, service, level):
        """Return a line if shares of accounts have begun, ended or changed clearly."""
        shares = level.account_shares if level is not None else {}
        logged_at, logged = self._logged_accounts.get(service, (-inf, {}))
        has_ended = bool(logged) and not shares
        if not has_ended and not _differ(shares, logged):
            return []
        # Accounts near their parts may pass them several times a second.
        if now < logged_at + _LOG_INTERVAL_S:
            return []
        self._logged_accounts[service] = (now, shares)
        inputs = self._fleet.inputs[service]
        fields = {
            "service": service,
            "account_shares": shares,
            "asked_refused": inputs.by_account,
            "age_s": inputs.age_s,
        }
        return [(ACCOUNT_SHARES, fields)]


def _demand(record):
    report = record.report
    return NodeDemand(
        report.node,
        report.start,
        record.received_at,
        report.asked,
        report.booked,
        report.waiting,
        report.asked_by_account,
    )


def _differ(shares, logged):
    """Return whether shares differ from those logged last by a stated amount."""
    if shares is None or logged is None:
        return shares is not logged
    return any(
        abs(shares.get(key, 1.0) - logged.get(key, 1.0)) >= _LOGGED_CHANGE
        for key in shares.keys() | logged.keys()
    )
