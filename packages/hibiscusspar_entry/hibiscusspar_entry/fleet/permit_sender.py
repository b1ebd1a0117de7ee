"""Permits of the coordinator for targets that have a limit or are cold."""

from msgspec.json import encode as to_json

from hibiscusspar.fleet.entry_rotation import EntryRotation
from hibiscusspar.fleet.messages import PermitGrant
from hibiscusspar.fleet.permits import PermitDemand, PermitIssuer

__all__ = ["PermitSender"]

# Limits of targets that a view carries at most, and those of them in rotation.
_MAX_LIMITS = 64
_ROTATED_LIMITS = 8
# Assumed time in seconds until a target with a limit, or a cold one, takes a further
# request.
_LIMITED_TARGET_WAIT_S = 1.0


class PermitSender:
    """Sender of the permits that are due; guarded by the lock of the coordinator.

    Parameters
    ----------
    limits : LimitExchange
    cold : ColdExchange
    """

    def __init__(self, limits, cold):
        self._limits = limits
        self._cold = cold
        self._rotation = EntryRotation(_MAX_LIMITS)
        self._issuer = PermitIssuer()
        self._number = 0
        self.issued_count = 0

    def reset(self):
        """Forget all permits, at the start of a term."""
        self._issuer.reset()

    def rates(self):
        """Return the requests a second of all nodes by target, the lower of two."""
        rates = dict(self._limits.limited)
        for target_id, per_s in self._cold.rates.items():
            rates[target_id] = min(per_s, rates.get(target_id, per_s))
        return rates

    def due_grants(self, now, rates, records, available_share, fence):
        """Return the grants that are due, as addresses and encoded messages.

        Parameters
        ----------
        now : float
        rates : dict of str to float
        records : list of NodeRecord
            Reports that still count.
        available_share : float
            Share of the rates that is not left to silent nodes.
        fence : int
        """
        demands = [
            PermitDemand(r.report.node, r.received_at, r.report.permit_demand)
            for r in records
            if r.report.permit_demand
        ]
        issued = self._issuer.issue(now, rates, demands, available_share)
        self.issued_count += sum(map(len, issued.values()))
        self._number += 1
        grants = []
        for record in records:
            target_ids = issued.get(record.report.node)
            if target_ids:
                grant = PermitGrant(
                    record.report.start, fence, target_ids, self._number
                )
                grants.append((record.address, to_json(grant)))
        return grants

    def due_limits(self, number, waiting):
        """Return limit, its age and the waiting requests for some targets of a view."""
        rows = self._limits.rows()
        states = {target_id: per_s for target_id, (per_s, _) in rows.items()}
        due = self._rotation.due(states, number, _ROTATED_LIMITS)
        return {t: (*rows[t], waiting[t]) for t in due}

    def due_cold(self, number):
        """Return what a view tells of cold targets."""
        return self._cold.view_rows(number)

    def waits(self):
        """Return the assumed wait in seconds of a request for limited targets."""
        limited = dict.fromkeys(self._limits.confirmed, _LIMITED_TARGET_WAIT_S)
        return limited | dict.fromkeys(self._cold.rates, _LIMITED_TARGET_WAIT_S)
