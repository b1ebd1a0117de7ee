"""Pending requests of a node, and the targets that they are assigned to."""

import threading
from typing import NamedTuple

__all__ = ["Placement", "Ticket"]


class Placement(NamedTuple):
    """Assignment of a request to a target.

    ``estimate_s`` is the estimated time to the first byte of the answer. ``permitted``
    is whether the request has a permit for a cold target. ``is_reserved`` is whether
    the scheduler counts the request at the target, so that it must be released.
    """

    target: object
    key: tuple[str, str]
    version: int
    prompt_tokens: int
    estimate_s: float
    permitted: bool = False
    is_reserved: bool = True


class Ticket:
    """Pending request, and the decision about it once there is one.

    ``waits_for`` is the reason for which it waits.
    """

    def __init__(self, job):
        self.job = job
        self.waits_for = ""
        self.decision = None
        self.placement = None
        self.decided = threading.Event()

    def resolve(self, decision, placement=None):
        """Store the decision and wake the thread of the request.

        That thread may look at the decision before it is woken.
        """
        self.placement = placement
        self.decision = decision
        self.decided.set()
