"""Rows in which views tell the targets of the directory."""

from hibiscusspar.fleet.messages import TargetRow

__all__ = ["target_row"]


def target_row(target):
    """Return the row of a target.

    Parameters
    ----------
    target : Target

    Returns
    -------
    TargetRow
        Equal for equal entries of the store, whichever node has read them.
    """
    return TargetRow(
        target.target_id,
        target.service,
        target.address,
        target.zone,
        target.slots,
        target.draining,
        target.born,
        target.models,
    )
