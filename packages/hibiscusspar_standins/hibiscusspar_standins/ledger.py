"""Record of what a stand-in did: runs, loads, evictions, violations and counts."""

from collections import Counter, deque
from threading import Lock
from typing import NamedTuple

__all__ = ["Ledger", "LedgerEntry"]

MAX_ENTRIES = 200_000


class LedgerEntry(NamedTuple):
    """Entry of a ledger; ``at`` is in seconds of the stand-in's clock.

    ``kind`` is ``"started"``, ``"finished"``, ``"cancelled"``, ``"crashed"``,
    ``"load"``, ``"evict"`` or ``"violation"``.
    """

    at: float
    kind: str
    request: str = ""
    adapter: str = ""
    version: str = ""
    account: str = ""
    detail: str = ""


class Ledger:
    """Entries in the order of their times; the oldest are dropped when it is full."""

    def __init__(self, clock):
        self._clock = clock
        self._lock = Lock()
        self._entries = deque(maxlen=MAX_ENTRIES)
        self._counts = Counter()

    def add(self, kind, label="", **fields):
        """Add an entry; ``label`` is ``adapter@version``."""
        adapter, _, version = label.partition("@")
        entry = LedgerEntry(
            self._clock(), kind, adapter=adapter, version=version, **fields
        )
        with self._lock:
            self._entries.append(entry)
            self._counts[kind] += 1

    def count(self, name):
        """Increase a counter without adding an entry."""
        with self._lock:
            self._counts[name] += 1

    def counts(self):
        """Return the count of each kind."""
        with self._lock:
            return dict(self._counts)

    def entries(self, kind=""):
        """Return the entries of a kind, or all."""
        with self._lock:
            rows = list(self._entries)
        return [entry for entry in rows if not kind or entry.kind == kind]

    def report(self):
        """Return the ledger as a dict for JSON."""
        rows = self.entries()
        return {
            "counts": self.counts(),
            "entries": [entry._asdict() for entry in rows],
            "violations": [e._asdict() for e in rows if e.kind == "violation"],
        }
