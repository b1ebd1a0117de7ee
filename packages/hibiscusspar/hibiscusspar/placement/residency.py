"""Table of the state of all targets, built from rows published by their owners."""

from typing import NamedTuple

from xxhash import xxh64_intdigest

__all__ = ["ResidencyTable", "Row"]


class Row(NamedTuple):
    """State of one target as last published by its owner.

    ``saturated`` are the resident labels whose demand exceeds their units,
    ``pressure`` is the demand of the label that would be evicted next, and
    ``pending`` the number of labels waiting to be loaded.
    """

    target: str
    number: int
    life: int
    sequence: int
    owner: str
    incarnation: str
    resident: tuple[str, ...] = ()
    saturated: tuple[str, ...] = ()
    pressure: float = 0.0
    pending: int = 0

    @property
    def version(self):
        """Version by which the rows of one target are ordered."""
        return (self.number, self.life, self.sequence)


class ResidencyTable:
    """Rows by target, with an index by label and a digest of all versions."""

    def __init__(self):
        self.rows = {}
        self.digest = 0
        self._targets_by_label = {}

    def targets_with(self, label):
        """Return the targets on which a label is known to be resident."""
        return self._targets_by_label.get(label, ())

    def labels(self):
        """Return all labels that are resident anywhere."""
        return self._targets_by_label.keys()

    def adopt(self, row):
        """Store a row if it is newer than the one known; return whether it was."""
        known = self.rows.get(row.target)
        if known is not None:
            if row.version <= known.version:
                return False
            self._unlink(known)
        self._link(row)
        return True

    def forget(self, target):
        """Remove the row of a target that is no longer declared."""
        row = self.rows.get(target)
        if row is not None:
            self._unlink(row)
            del self.rows[target]

    def drop_label(self, target, label):
        """Remove a label from a target's row until a newer row arrives."""
        row = self.rows.get(target)
        if row is None or label not in row.resident:
            return
        resident = tuple(name for name in row.resident if name != label)
        self._unlink(row)
        self._link(row._replace(resident=resident))

    def versions(self):
        """Return (target, number, life, sequence) for all rows."""
        return tuple((r.target, *r.version) for r in self.rows.values())

    def newer_than(self, versions):
        """Return the rows that are newer than the given versions."""
        theirs = {target: tuple(rest) for target, *rest in versions}
        return [
            row
            for row in self.rows.values()
            if row.version > theirs.get(row.target, (0, 0, 0))
        ]

    def _link(self, row):
        self.rows[row.target] = row
        self.digest ^= _version_hash(row)
        for label in row.resident:
            self._targets_by_label.setdefault(label, set()).add(row.target)

    def _unlink(self, row):
        self.digest ^= _version_hash(row)
        for label in row.resident:
            targets = self._targets_by_label.get(label)
            if targets is None:
                continue
            targets.discard(row.target)
            if not targets:
                del self._targets_by_label[label]


def _version_hash(row):
    text = f"{row.target}|{row.number}|{row.life}|{row.sequence}"
    return xxh64_intdigest(text.encode())
