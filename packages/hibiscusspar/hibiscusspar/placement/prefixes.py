"""Which target last computed a prompt prefix; a hint that may be wrong."""

from collections import OrderedDict

__all__ = ["PrefixTable"]


class PrefixTable:
    """A bounded map of prefix digests to targets, least recently used out first.

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

    def note(self, prefix, target):
        """Note that a target has the prefix in its cache now."""
        if not prefix:
            return
        self._targets[prefix] = target
        self._targets.move_to_end(prefix)
        if len(self._targets) > self._max_rows:
            self._targets.popitem(last=False)

    def event(self, target, sequence, prefix, kind):
        """Take in a cache event; after a gap nothing noted of the target is kept."""
        last = self._sequences.get(target)
        if last is not None and sequence <= last:
            return
        if last is not None and sequence > last + 1:
            self.forget(target)
        self._sequences[target] = sequence
        if kind == "stored":
            self.note(prefix, target)
        elif self.target(prefix) == target:
            del self._targets[prefix]

    def forget(self, target):
        """Forget all prefixes of a target."""
        gone = [prefix for prefix, name in self._targets.items() if name == target]
        for prefix in gone:
            del self._targets[prefix]
