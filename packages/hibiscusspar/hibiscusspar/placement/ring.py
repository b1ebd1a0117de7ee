"""Consistent hash ring that orders the targets of a service for each label."""

from bisect import bisect

from xxhash import xxh64_intdigest

__all__ = ["EMPTY_RING", "Ring"]

POINTS_PER_NAME = 32


class Ring:
    """Consistent hash ring of names; a walk finds its start by binary search.

    Parameters
    ----------
    names : iterable of str
    """

    def __init__(self, names):
        self.names = tuple(names)
        self._known = frozenset(self.names)
        points = sorted(
            (_hash(f"{name}#{index}"), name)
            for name in self.names
            for index in range(POINTS_PER_NAME)
        )
        self._hashes = [point for point, _ in points]
        self._names_by_point = [name for _, name in points]

    def __contains__(self, name):
        return name in self._known

    def __len__(self):
        return len(self.names)

    def has_other_than(self, excluded):
        """Return whether the ring has a name that is not excluded."""
        if len(self) > len(excluded):
            return True
        return any(name not in excluded for name in self.names)

    def walk(self, label):
        """Yield every name once, in ring order from the label's hash."""
        start = bisect(self._hashes, _hash(label))
        seen = set()
        for step in range(len(self._names_by_point)):
            name = self._names_by_point[(start + step) % len(self._names_by_point)]
            if name not in seen:
                seen.add(name)
                yield name
                if len(seen) == len(self.names):
                    return


def _hash(text):
    return xxh64_intdigest(text.encode())


EMPTY_RING = Ring(())
