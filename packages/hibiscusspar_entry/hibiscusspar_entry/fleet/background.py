"""Logging of failures of background work."""

from hibiscusspar.errors import StepError
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import BACKGROUND_FAILED

__all__ = ["log_failure"]


def log_failure(task, error):
    """Log that a step of background work failed; the work continues.

    Parameters
    ----------
    task : str
    error : Exception
    """
    reason = str(error) if isinstance(error, StepError) else repr(error)
    write_records([(BACKGROUND_FAILED, {"task": task, "reason": reason})])
