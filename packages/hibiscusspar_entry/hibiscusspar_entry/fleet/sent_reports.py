"""Reports of one node that the coordinator may not have answered yet."""

from collections import deque
from itertools import count

__all__ = ["SentReports"]

# Number of sent reports that are kept until a view acknowledges one of them.
_KEPT_REPORTS = 64


class SentReports:
    """Loads and used tokens of the last reports, by number."""

    def __init__(self):
        self._numbers = count(1)
        self._reports = deque(maxlen=_KEPT_REPORTS)

    def add(self, loads, used):
        """Keep a report that is sent now and return its number."""
        number = next(self._numbers)
        self._reports.append((number, loads, used))
        return number

    def find(self, number):
        """Return loads and tokens used of a report, empty ones if it isn't kept."""
        for sent_number, loads, used in self._reports:
            if sent_number == number:
                return loads, used
        return {}, {}
