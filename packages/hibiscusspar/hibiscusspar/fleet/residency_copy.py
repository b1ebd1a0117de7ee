"""A node's copy of which adapters targets hold."""

from hibiscusspar.fleet.lacked_residency import LackedResidency
from hibiscusspar.fleet.messages import adapter_key

__all__ = ["ResidencyCopy"]

# Fence and number for a target whose state no view has carried yet.
_NO_STATE = (0, -1)


class ResidencyCopy:
    """Adapters of each target as views and notices of loads have told.

    A copy of an adapter is a pair of its version and the time from which it is usable.
    """

    def __init__(self):
        self._rows = {}
        # Targets by adapter; tuples, as most adapters have one copy.
        self._holders = {}
        self._lacked = LackedResidency()

    @property
    def lacked(self):
        """Targets whose state in the last view differs from this copy."""
        return self._lacked.names

    def apply_view(self, now, view):
        """Apply the states that a view carries, unless newer ones are known."""
        changed = {}
        for target_id, (number, rows) in view.residency.items():
            state = (view.fence, number)
            known, known_copies = self._rows.get(target_id, (_NO_STATE, {}))
            if state > known:
                copies = {
                    adapter_key(label): (version, now + ready_in_s)
                    for label, version, ready_in_s in rows
                }
                self._rows[target_id] = (state, copies)
                self._index(target_id, known_copies, copies)
                changed[target_id] = number
        self._lacked.apply_view(view, lambda: self._numbers(view.fence), changed)

    def apply_load(self, now, load):
        """Add an adapter that a target has begun to load.

        The next state of that target replaces it.

        Parameters
        ----------
        now : float
        load : AdapterLoad
        """
        row = self._rows.get(load.target_id)
        if row is not None:
            copy = (load.version, now + load.ready_in_s)
            key = adapter_key(load.adapter)
            if key not in row[1]:
                self._index(load.target_id, {}, {key})
            row[1][key] = copy

    def has_state(self, target_id):
        """Return whether any view has told what a target holds."""
        return target_id in self._rows

    def find(self, target_id, key):
        """Return a target's copy of an adapter, or None."""
        row = self._rows.get(target_id)
        return None if row is None else row[1].get(key)

    def holders(self, key):
        """Return the targets with a copy of an adapter."""
        return self._holders.get(key, ())

    def _numbers(self, fence):
        """Return the known numbers of a coordinator's term, by target."""
        return {
            target_id: number
            for target_id, ((known_fence, number), _) in self._rows.items()
            if known_fence == fence
        }

    def _index(self, target_id, before, after):
        """Update the index by adapter for a target whose copies were replaced."""
        for key in before:
            if key not in after:
                others = tuple(t for t in self._holders[key] if t != target_id)
                if others:
                    self._holders[key] = others
                else:
                    del self._holders[key]
        for key in after:
            if key not in before:
                self._holders[key] = (*self._holders.get(key, ()), target_id)
