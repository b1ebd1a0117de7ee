"""Crash of a target as one node saw it."""

__all__ = ["OwnCrash"]


class OwnCrash:
    """Crash that this node saw, with the report that first told the coordinator."""

    def __init__(self, target, at, suspects):
        self.target = target
        self.at = at
        self.suspects = suspects
        self.is_confirmed = False
        self.report_number = None
        self.is_acked = False
