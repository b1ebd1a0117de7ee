"""Removal of the stored origins that nodes no longer write."""

from hibiscusspar_wire.platform_errors import ConflictError, MissingError

__all__ = ["OriginSweep"]

# Time between listings in seconds, longer than origins are kept. All origins of an
# object that is the same in two listings have expired.
_LIST_S = 60.0


class OriginSweep:
    """Deletion of objects that have not changed for some time, by the coordinator.

    Parameters
    ----------
    store : ObjectStore
    kind : str
        Kind of the objects.
    leads : callable
        Returns whether this node coordinates.
    """

    def __init__(self, store, kind, leads):
        self._store = store
        self._kind = kind
        self._leads = leads
        # Whether there may be objects.
        self._is_needed = False
        self._listed_at = None
        # Revisions by name as of the last listing.
        self._listed = {}
        # Names and revisions of the objects to be deleted.
        self._unchanged = []

    @property
    def has_calls(self):
        """Whether objects wait for their deletion."""
        return bool(self._unchanged)

    def due_call(self, now, is_written):
        """Return the function that makes the store call that is due, or None.

        Parameters
        ----------
        now : float
        is_written : bool
            Whether nodes write their origins now.
        """
        self._is_needed = self._is_needed or is_written
        if not self._leads():
            self._listed_at, self._listed, self._unchanged = None, {}, []
            return None
        if not self._is_needed:
            return None
        if self._unchanged:
            return self._delete
        if self._listed_at is not None and now < self._listed_at + _LIST_S:
            return None
        return lambda: self._list(now)

    def _list(self, now):
        objects = self._store.list(self._kind).objects
        before, self._listed = self._listed, {o.name: o.revision for o in objects}
        self._listed_at = now
        self._is_needed = bool(objects)
        self._unchanged = [
            row for row in self._listed.items() if before.get(row[0]) == row[1]
        ]

    def _delete(self):
        name, revision = self._unchanged.pop()
        try:
            self._store.delete(self._kind, name, revision)
        except (ConflictError, MissingError):
            # It has been written or deleted meanwhile.
            return
