"""Log line about a coordinator that is silent."""

from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import COORDINATOR_LOST

__all__ = ["CoordinatorLoss"]

# Silence after which the coordinator is logged as lost.
_LOST_S = 1.5


class CoordinatorLoss:
    """Log line for each time that the views of the coordinator stop.

    Parameters
    ----------
    election : Election
    """

    def __init__(self, election):
        self._election = election
        self._is_logged = False

    def record_view(self):
        """Record that a view has arrived."""
        self._is_logged = False

    def check(self, age_s):
        """Log the loss once if the last view is too old; None if there was none."""
        if age_s is None or age_s <= _LOST_S or self._is_logged:
            return
        self._is_logged = True
        record = self._election.record
        fields = {
            "machine": record.machine if record else "",
            "silent_s": round(age_s, 3),
        }
        write_records([(COORDINATOR_LOST, fields)])
