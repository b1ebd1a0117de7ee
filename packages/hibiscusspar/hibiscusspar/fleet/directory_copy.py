"""Copy of the coordinator's directory of targets on a node."""

from hibiscusspar.fleet.row_digests import row_digest, split_digests

__all__ = ["DirectoryCopy"]

# Rows that a node requests with one report; it requests the others with the next ones.
_MAX_REQUESTED = 32


class DirectoryCopy:
    """Rows that views have carried so far, compared with the digests of the last view.

    The loss of views may leave rows missing or out of date; the digests show which.
    """

    def __init__(self):
        self._rows = {}
        self._digests = {}
        self._directory = []
        self._differing = []
        # Names and digests of the last view.
        self._state = None
        self._revision = 0

    @property
    def differing(self):
        """Names of the targets whose rows are missing or out of date."""
        return self._differing

    @property
    def requested(self):
        """Names of the rows to request from the coordinator now."""
        return self._differing[:_MAX_REQUESTED]

    @property
    def rows(self):
        """Rows of all targets, or None unless all agree with the last view."""
        if self._differing:
            return None
        return [self._rows[name] for name in self._directory]

    @property
    def revision(self):
        """Number that grows whenever the rows or their order may have changed."""
        return self._revision

    def apply_view(self, view):
        """Apply the directory, the digests and the rows of a view."""
        state = (view.directory, view.row_digests)
        if not view.rows and state == self._state:
            return
        self._state = None
        self._revision += 1
        for row in view.rows:
            self._rows[row.target_id] = row
            self._digests[row.target_id] = row_digest(row)
        # Without digests, as older builds send views, no row can be known to agree.
        digests = split_digests(view.row_digests) or [b""] * len(view.directory)
        expected = dict(zip(view.directory, digests, strict=True))
        self._rows = {n: row for n, row in self._rows.items() if n in expected}
        self._digests = {n: d for n, d in self._digests.items() if n in expected}
        self._directory = view.directory
        self._differing = [
            name
            for name, digest in expected.items()
            if self._digests.get(name) != digest
        ]
        self._state = state
