"""Reports that a node has sent, until a view answers one of them."""

from collections import deque

__all__ = ["SentReports"]

# Number of sent reports that are kept until a view acknowledges one of them.
_KEPT_REPORTS = 64


class SentReports:
    """Loads and tokens used in the last reports of a node."""

    def __init__(self):
        self._rows = deque(maxlen=_KEPT_REPORTS)
        self.number = 0

    def add(self, loads, used):
        """Record what the next report tells and return its number."""
        self.number += 1
        self._rows.append((self.number, loads, used))
        return self.number

    def answered(self, view, node):
        """Return loads and tokens used of the report of a node that a view answers."""
        number = view.acked.get(node, 0)
        for sent_number, loads, used in self._rows:
            if sent_number == number:
                return loads, used
        return {}, {}
