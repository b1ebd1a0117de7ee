"""Decisions that end a request without an answer of a target."""

from enum import Enum

__all__ = ["EndedBy"]


class EndedBy(Enum):
    """Who or what ended a request that got no complete answer of a target."""

    TARGET = "target"
    DEADLINE = "deadline"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    QUARANTINE = "quarantine"
    SOFTWARE = "software"
    KEY = "key"
    PLACEMENT = "placement"
    CALLER = "caller"
    INTERNAL = "internal"
