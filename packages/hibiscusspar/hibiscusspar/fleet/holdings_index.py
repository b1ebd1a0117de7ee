"""Index of the adapters that targets hold, for the planner."""

from itertools import count

__all__ = ["HoldingsIndex"]


class HoldingsIndex:
    """Targets by adapter, updated with each change of one target's record.

    Holders are listed in the order in which their targets became known, since the
    first of equal ones is chosen.

    Parameters
    ----------
    newest : dict of tuple of str to int
        Newest announced version by adapter; the owner calls ``check`` after a change.
    """

    def __init__(self, newest):
        self._newest = newest
        self._positions = {}
        self._numbers = count()
        # Adapters of each target, by which it is removed from the other tables.
        self._rows = {}
        # Targets with a copy by adapter, and position, id and version of those whose
        # record is certain; tuples, as most adapters have one copy.
        self._copies = {}
        self._holders = {}
        self._ready_times = {}
        self._outdated = set()

    @property
    def outdated(self):
        """Adapters with copies, none of which is certainly of the newest version."""
        return self._outdated

    def put(self, target_id, row):
        """Replace what is known of a target by its ``TargetHoldings``."""
        if target_id not in self._positions:
            self._positions[target_id] = next(self._numbers)
        before = self._remove_rows(target_id)
        self._rows[target_id] = tuple(row.copies)
        position = self._positions[target_id]
        for key, copy in row.copies.items():
            self._copies[key] = (*self._copies.get(key, ()), target_id)
            if row.orders_accepted is not None:
                holder = (position, target_id, copy.version)
                holders = (*self._holders.get(key, ()), holder)
                self._holders[key] = tuple(sorted(holders))
        self._ready_times[target_id] = [copy.ready_at for copy in row.copies.values()]
        for key in {*before, *row.copies}:
            self.check(key)

    def remove(self, target_id):
        """Forget a target."""
        for key in self._remove_rows(target_id):
            self.check(key)
        self._positions.pop(target_id, None)
        self._ready_times.pop(target_id, None)

    def check(self, key):
        """Check whether an adapter is outdated."""
        newest = self._newest.get(key)
        is_outdated = (
            newest is not None
            and key in self._copies
            and all(version < newest for _, version in self.holders(key))
        )
        (self._outdated.add if is_outdated else self._outdated.discard)(key)

    def with_copy(self, key):
        """Return the targets with a copy of an adapter, also uncertain ones."""
        return self._copies.get(key, ())

    def holder_count(self, key):
        """Return the number of targets that certainly hold an adapter."""
        return len(self._holders.get(key, ()))

    def holders(self, key):
        """Return the targets that certainly hold an adapter, and their versions."""
        return [(row[1], row[2]) for row in self._holders.get(key, ())]

    def loading(self, now):
        """Return the number of adapters that a target loads, by target that loads any.

        Times that have passed are dropped, so ``now`` must not decrease.
        """
        found = {}
        for target_id, times in list(self._ready_times.items()):
            remaining = [ready_at for ready_at in times if ready_at > now]
            if remaining:
                self._ready_times[target_id] = remaining
                found[target_id] = len(remaining)
            else:
                del self._ready_times[target_id]
        return found

    def _remove_rows(self, target_id):
        """Remove a target from the tables and return the adapters that it had."""
        keys = self._rows.pop(target_id, ())
        for key in keys:
            copies = tuple(t for t in self._copies[key] if t != target_id)
            holders = self._holders.get(key, ())
            holders = tuple(row for row in holders if row[1] != target_id)
            for table, rows in ((self._copies, copies), (self._holders, holders)):
                if rows:
                    table[key] = rows
                else:
                    table.pop(key, None)
        return keys
