"""Sending of the coordinator's views to all nodes."""

from msgspec.structs import replace

from hibiscusspar.fleet.directory_names import needs_names, without
from hibiscusspar.fleet.fanout import view_groups
from hibiscusspar_entry.fleet.view_encoder import ViewEncoder

__all__ = ["ViewSender"]


class ViewSender:
    """Sender of views, each in up to two forms: with the names of all targets, or not.

    Parameters
    ----------
    send : callable
        Sends a body to an address.
    """

    def __init__(self, send):
        self._send = send
        self._digest = 0
        self._changed_at = float("-inf")

    def send_view(self, now, view, records):
        """Send a view to all nodes.

        Parameters
        ----------
        now : float
        view : FleetView
            View with the names, which acknowledges no report.
        records : list of NodeRecord
            Those that should forward views first.
        """
        if view.directory_digest != self._digest:
            self._digest, self._changed_at = view.directory_digest, now
        encoders = {}
        for group in view_groups(records, _group):
            named = needs_names(now, self._digest, self._changed_at, group)
            if named not in encoders:
                sent = view if named else replace(view, **without(view))
                encoders[named] = ViewEncoder(sent)
            acked = {record.report.node: record.report.number for record in group}
            first, *others = [record.address for record in group]
            packed = group[0].report.reads_packed
            self._send(first, encoders[named].message(acked, others, packed))


def _group(record):
    """Return what the nodes of a group have in common.

    Nodes of older builds can't read packed views or need the names in each of them.
    """
    report = record.report
    return report.zone, report.reads_packed, report.reads_directory_changes
