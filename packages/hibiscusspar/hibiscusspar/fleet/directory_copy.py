"""Copy of the coordinator's directory of targets on a node."""

from itertools import islice

from hibiscusspar.fleet.directory_names import lacks_names
from hibiscusspar.fleet.row_digests import row_digest, split_digests

__all__ = ["DirectoryCopy"]

# Rows that a node requests with one report; it requests the others with the next ones.
_MAX_REQUESTED = 32


class DirectoryCopy:
    """Rows that views have carried so far, compared with the digests of the last view.

    The loss of views may leave rows missing or out of date; the digests show which. All
    rows are compared only if the names or digests differ from those of the last view,
    otherwise only those that the view carries.
    """

    def __init__(self):
        self._rows = {}
        self._digests = {}
        self._directory = []
        self._expected = {}
        # Names as keys, in the order of the directory.
        self._differing = {}
        # Names and digests of the last view, None if its receiver lacks them.
        self._state = None
        self._revision = 0

    @property
    def agrees(self):
        """Whether all rows are known to be those of the last view."""
        return self._state is not None and not self._differing

    @property
    def differing(self):
        """Names of the targets whose rows are missing or out of date."""
        return list(self._differing)

    @property
    def requested(self):
        """Names of the rows to request from the coordinator now."""
        return list(islice(self._differing, _MAX_REQUESTED))

    @property
    def rows(self):
        """Rows of all targets, or None unless all agree with the last view."""
        if not self.agrees:
            return None
        return [self._rows[name] for name in self._directory]

    @property
    def revision(self):
        """Number that grows whenever the rows or their order may have changed."""
        return self._revision

    def apply_view(self, view):
        """Apply the directory, the digests and the rows of a view.

        A view whose names the receiver lacks leaves its copy as it is, in doubt until
        the next view with names.
        """
        changed = [row.target_id for row in view.rows if self._put(row)]
        if lacks_names(view):
            self._state = None
            return
        state = (view.directory, view.row_digests)
        if state == self._state:
            self._compare_changed(changed)
        else:
            self._compare_all(state)

    def _put(self, row):
        """Record a row; return whether it differs from the known one."""
        if self._rows.get(row.target_id) == row:
            return False
        self._rows[row.target_id] = row
        self._digests[row.target_id] = row_digest(row)
        return True

    def _compare_changed(self, names):
        self._revision += bool(names)
        for name in names:
            if name not in self._expected:
                del self._rows[name], self._digests[name]
            elif self._digests[name] == self._expected[name]:
                self._differing.pop(name, None)
            else:
                self._differing[name] = None

    def _compare_all(self, state):
        directory, row_digests = state
        # Without digests, as older builds send views, no row can be known to agree.
        digests = split_digests(row_digests) or [b""] * len(directory)
        expected = dict(zip(directory, digests, strict=True))
        self._revision += 1
        self._rows = {n: row for n, row in self._rows.items() if n in expected}
        self._digests = {n: d for n, d in self._digests.items() if n in expected}
        self._directory = directory
        self._expected = expected
        self._differing = {
            name: None
            for name, digest in expected.items()
            if self._digests.get(name) != digest
        }
        self._state = state
