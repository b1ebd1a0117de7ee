"""Comparison of a node's residency with that of the coordinator, by numbers."""

from hibiscusspar.fleet.directory_names import lacks_names
from hibiscusspar.fleet.residency_numbers import NUMBER_BYTES, lacked_states, low_bits

__all__ = ["LackedResidency"]


class LackedResidency:
    """Targets whose residency numbers in the last view differ from the known ones.

    Most views tell the numbers of the last one, so that only those that have changed
    are compared. All are compared after a change of the names or of the coordinator.
    """

    def __init__(self):
        self._fence = None
        self._directory = []
        self._positions = {}
        self._sent = b""
        # Known number by position, and the positions that differ.
        self._known = {}
        self._lacked = set()
        self._names = []

    @property
    def names(self):
        """Names of the targets, in the order of the directory."""
        return self._names

    def apply_view(self, view, known, changed):
        """Compare the numbers of a view.

        A view whose names the receiver lacks changes nothing.

        Parameters
        ----------
        view : FleetView
        known : callable
            Returns the known numbers of this coordinator by target.
        changed : dict of str to int
            Those of them that have changed with this view.
        """
        if lacks_names(view):
            # Its numbers aren't known, so those of the next view are all compared.
            self._fence = None
            return
        sent = view.residency_numbers
        is_same = view.fence == self._fence and view.directory == self._directory
        if is_same and len(sent) == len(self._sent):
            positions = self._record(changed) | _changed_positions(self._sent, sent)
            if positions:
                self._compare(sent, positions)
        else:
            self._compare_all(view, known())
        self._sent = sent

    def _record(self, changed):
        """Record known numbers; return their positions."""
        positions = {}
        for name, number in changed.items():
            position = self._positions.get(name)
            if position is not None:
                positions[position] = number
        self._known |= positions
        return positions.keys()

    def _compare(self, sent, positions):
        for position in positions:
            number = sent[position * NUMBER_BYTES : (position + 1) * NUMBER_BYTES]
            if any(number) and low_bits(self._known.get(position, 0)) != number:
                self._lacked.add(position)
            else:
                self._lacked.discard(position)
        self._names = [self._directory[position] for position in sorted(self._lacked)]

    def _compare_all(self, view, known):
        self._fence, self._directory = view.fence, view.directory
        self._positions = {name: index for index, name in enumerate(view.directory)}
        self._known = {}
        self._record(known)
        self._names = lacked_states(view.directory, view.residency_numbers, known)
        self._lacked = {self._positions[name] for name in self._names}


def _changed_positions(before, after):
    """Return the positions at which two sequences of joined numbers differ.

    Halves that are equal are skipped, so few changes take few steps in any directory.
    """
    positions = set()
    remaining = [(0, -(-len(after) // NUMBER_BYTES))]
    while remaining:
        first, end = remaining.pop()
        part = slice(first * NUMBER_BYTES, end * NUMBER_BYTES)
        if before[part] == after[part]:
            continue
        if end - first == 1:
            positions.add(first)
        else:
            middle = (first + end) // 2
            remaining += [(first, middle), (middle, end)]
    return positions
