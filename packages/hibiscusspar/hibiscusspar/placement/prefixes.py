"""Map of prompt prefixes to the targets that last computed them, as a hint."""

from collections import OrderedDict

__all__ = ["PrefixTable"]


class PrefixTable:
    """Bounded LRU map of prefix digests to targets; entries may be out of date.

    Parameters
    ----------
    max_rows : int
    """

    def __init__(self, max_rows=4096):
        self._max_rows = max_rows
        self._targets = OrderedDict()
        self._sequences = {}

    def target(self, prefix):
        """Return the target that last had the prefix; empty if none is known."""
        return self._targets.get(prefix, "")

    def record(self, prefix, target):
        """Record that a target now has the prefix in its cache."""
        if not prefix:
            return
        self._targets[prefix] = target
        self._targets.move_to_end(prefix)
        if len(self._targets) > self._max_rows:
            self._targets.popitem(last=False)

    def event(self, target, sequence, prefix, kind):
        """Process a cache event; a gap in the sequence removes the target's entries."""
        last = self._sequences.get(target)
        if last is not None and sequence <= last:
            return
        if last is not None and sequence > last + 1:
            self.forget(target)
        self._sequences[target] = sequence
        if kind == "stored":
            self.record(prefix, target)
        elif self.target(prefix) == target:
            del self._targets[prefix]

    def forget(self, target):
        """Remove all prefixes of a target."""
        gone = [prefix for prefix, name in self._targets.items() if name == target]
        for prefix in gone:
            del self._targets[prefix]
