"""What the coordinator knows of the adapters and models that targets hold."""

from collections import OrderedDict
from typing import NamedTuple

__all__ = ["Copy", "Held"]


class Copy(NamedTuple):
    """One adapter at one target; ready from ``ready_at`` on."""

    version: int
    ready_at: float


class Held:
    """What the coordinator knows of one target's adapters.

    ``accepted`` is the number of orders the target has carried out, None if it
    must be asked. ``models`` maps the models it holds to the time from which they are
    ready. ``ordering`` is whether an order is on its way, ``was_queried`` whether
    the target was ever asked.
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
        """Give the new state a number, so that nodes can tell it from older ones."""
        self.number += 1
