"""Directory of targets as the coordinator sends it to the nodes."""

from hibiscusspar.fleet.directory_names import directory_digest
from hibiscusspar.fleet.entry_rotation import EntryRotation
from hibiscusspar.fleet.messages import TargetRow
from hibiscusspar.fleet.row_digests import join_digests, row_digest
from hibiscusspar.fleet.software_index import join_software
from hibiscusspar.fleet.targets import is_same_directory

__all__ = ["DirectoryRows"]

# Most rows of a view: some 11 KB, so that a view fits into a datagram of 64 KB.
_MAX_ROWS = 64


class DirectoryRows:
    """Rows of all targets, and the choice of those that the next view carries.

    A view names all targets with the digests of their rows, unless its receivers have
    these. It carries the rows that have changed and those that nodes lack. What is
    derived from the targets is kept until one of them changes.
    """

    def __init__(self):
        self._targets = {}
        self._rows = {}
        self._digests = {}
        self._rotation = EntryRotation(_MAX_ROWS)
        self._names = []
        self._joined_digests = b""
        self._software = join_software([])
        self._digest = 0

    @property
    def names(self):
        """Sorted names of all targets."""
        return self._names

    @property
    def joined_digests(self):
        """Digests of all rows, in the order of their names, as bytes."""
        return self._joined_digests

    @property
    def software(self):
        """Software versions, and the position of each target's version among them."""
        return self._software

    @property
    def digest(self):
        """Digest of the names and of what is aligned with them, 0 without targets."""
        return self._digest

    def start_term(self, targets):
        """Begin to send views.

        Most nodes have the rows from views of the previous coordinator, and request
        the others.
        """
        self.update(targets)
        self._rotation.assume_sent(self._rows)

    def update(self, targets):
        """Replace the directory and return the names of new and changed targets."""
        if is_same_directory(self._targets, targets):
            return []
        rows = {name: self._row(name, target) for name, target in targets.items()}
        changed = [name for name, row in rows.items() if self._rows.get(name) != row]
        digests = {name: row_digest(rows[name]) for name in changed}
        self._digests = {name: self._digests.get(name) for name in rows} | digests
        self._rows = rows
        # The caller may change its dict in place.
        self._targets = dict(targets)
        self._names = sorted(rows)
        self._joined_digests = join_digests(map(self._digests.get, self._names))
        self._software = join_software([targets[n].software for n in self._names])
        self._digest = directory_digest(
            self._names, self._joined_digests, *self._software
        )
        return changed

    def row(self, name):
        """Return the row of a target."""
        return self._rows[name]

    def request(self, names):
        """Send the named rows with the next view."""
        self._rotation.request(names)

    def due(self):
        """Return the rows that the next view carries."""
        return [self._rows[name] for name in self._rotation.due(self._rows)]

    def _row(self, name, target):
        if self._targets.get(name) is target:
            return self._rows[name]
        return TargetRow(
            target.target_id,
            target.service,
            target.address,
            target.zone,
            target.slots,
            target.draining,
            target.born,
            target.models,
        )
