"""The coordinator's record of the adapters and models that targets hold."""

from collections import OrderedDict
from typing import NamedTuple

from hibiscusspar.fleet.messages import adapter_label

__all__ = ["AdapterCopy", "TargetHoldings"]


class AdapterCopy(NamedTuple):
    """Copy of an adapter at a target, usable from ``ready_at`` on."""

    version: int
    ready_at: float


class TargetHoldings:
    """The coordinator's record of one target's adapters and models.

    ``orders_accepted`` is the number of orders that the target has carried out, None
    if it must be queried. ``models`` maps each model that it holds to the time from
    which it is ready. ``order_in_progress`` is whether an order to it has no result
    yet, ``pending_adapter`` the adapter for which that order was given.
    ``was_queried`` is whether the target was ever queried, ``query_in_progress``
    whether a query has no result yet, and ``failed_queries`` how many in a row had
    none. ``warm`` lists adapters that it held recently, the latest last. ``number`` is
    the revision of ``copies``. ``draining`` is whether the target leaves.

    Parameters
    ----------
    born : int
        Start of the target, in Unix milliseconds.
    revisions : iterator of int
        Increasing numbers, which all records of a planner share.
    """

    def __init__(self, born, revisions):
        self.born = born
        self._revisions = revisions
        self.copies = {}
        self.models = {}
        self.orders_accepted = None
        self.order_in_progress = False
        self.pending_adapter = None
        self.was_queried = False
        self.query_in_progress = False
        self.failed_queries = 0
        self.next_query_at = 0.0
        self.warm = OrderedDict()
        self.last_used = {}
        self.number = 0
        self.draining = False

    def increment_revision(self):
        """Take the next revision, by which nodes discard older states."""
        self.number = next(self._revisions)

    def residency_rows(self, now):
        """Return the copies as in a view: label, version and seconds until ready."""
        return [
            (adapter_label(key), copy.version, round(max(0.0, copy.ready_at - now), 3))
            for key, copy in self.copies.items()
        ]
