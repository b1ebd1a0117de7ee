"""Order of the coordinator's views that arrive at a node."""

from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import VIEW_OUT_OF_ORDER, VIEWS_MISSED

__all__ = ["ViewSequence"]

# Views in a row whose loss is logged; single ones are only counted.
_LOGGED_MISSED_VIEWS = 3


class ViewSequence:
    """Filter that accepts views in the order in which they were sent.

    Views reach a node through the heads of different groups, so an older one may arrive
    after a newer one. All of its content is out of date then. Fences order the views of
    different coordinators.

    Parameters
    ----------
    clock : callable
    """

    def __init__(self, clock):
        self._clock = clock
        self._newest = None
        self._newest_at = None
        self.received = 0
        self.missed = 0
        self.out_of_order = 0

    def accept(self, view):
        """Return whether a view is newer than all views before it."""
        now = self._clock()
        self.received += 1
        newest = self._newest
        fields = {"sender": view.node, "fence": view.fence, "view": view.number}
        if newest is not None and _order(view) <= _order(newest):
            self.out_of_order += 1
            fields["newest"] = newest.number
            fields["newest_fence"] = newest.fence
            write_records([(VIEW_OUT_OF_ORDER, fields)])
            return False
        if newest is not None and newest.start == view.start:
            missed = view.number - newest.number - 1
            self.missed += missed
            if missed >= _LOGGED_MISSED_VIEWS:
                fields["missed"] = missed
                fields["silent_s"] = round(now - self._newest_at, 3)
                write_records([(VIEWS_MISSED, fields)])
        self._newest, self._newest_at = view, now
        return True


def _order(view):
    return (view.fence, view.number)
