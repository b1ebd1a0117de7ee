"""The coordinator's record of the adapters and models that targets hold."""

from collections import OrderedDict
from typing import NamedTuple

__all__ = ["Copy", "Held"]


class Copy(NamedTuple):
    """Copy of an adapter at a target, usable from ``ready_at`` on."""

    version: int
    ready_at: float


class Held:
    """The coordinator's record of one target's adapters and models.

    ``accepted`` is the number of orders that the target has carried out, None if it
    must be queried. ``models`` maps each model that it holds to the time from which
    it is ready. ``ordering`` is whether an order is in progress and ``purpose`` the
    adapter that it makes available; ``was_queried`` is whether the target was ever
    queried. ``warm`` lists adapters that it held recently, the latest last. ``number``
    is the revision of ``copies``.
    """

    def __init__(self, born):
        self.born = born
        self.copies = {}
        self.models = {}
        self.accepted = None
        self.ordering = False
        self.purpose = None
        self.was_queried = False
        self.ask_at = 0.0
        self.warm = OrderedDict()
        self.last_used = {}
        self.number = 0

    def changed(self):
        """Increment the revision, by which nodes discard older states."""
        self.number += 1
