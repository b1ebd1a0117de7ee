"""Names of the directory, which views leave out for nodes that have them.

The digest that tells whether a node has them covers the names and what is aligned with
them and seldom changes: the digests of the rows and the software versions. So a view
without names leaves these out as well, and nothing that has changed goes unnoticed.
"""

from xxhash import xxh3_64_intdigest

__all__ = ["KnownNames", "directory_digest", "lacks_names", "needs_names", "without"]

# Age of a report, in seconds, beyond which its node needs no names: by then it relies
# on no view, since the ages in views count from its last report that was answered.
_SILENT_S = 5.0


def directory_digest(names, row_digests, software, software_index):
    """Return the digest of a directory, 0 if it is empty.

    Parameters
    ----------
    names : list of str
    row_digests : bytes
    software : list of str
    software_index : bytes
    """
    if not names:
        return 0
    parts = ("\0".join(names).encode(), row_digests, software_index)
    lengths = ",".join(str(len(part)) for part in parts).encode()
    versions = "\0".join(software).encode()
    return xxh3_64_intdigest(b"\0".join((lengths, *parts, versions))) or 1


def without(view):
    """Return the fields of a view that differ if it leaves the names out, as a dict."""
    software = [] if view.software is not None else None
    return {
        "directory": [],
        "row_digests": b"",
        "software": software,
        "software_index": b"",
    }


def lacks_names(view):
    """Return whether a view leaves out names that its receiver lacks."""
    return view.directory_digest != 0 and not view.directory


def needs_names(now, digest, changed_at, records):
    """Return whether a view to some nodes must contain the names.

    Parameters
    ----------
    now : float
    digest : int
        Digest of the directory, 0 if views must always contain it.
    changed_at : float
        Time from which the directory has this digest. Reports received before don't
        count, as a directory may become what it was.
    records : iterable of NodeRecord
        Last reports of the nodes, with the times at which they were received.
    """
    return digest == 0 or any(
        not record.report.reads_directory_changes
        or (
            now <= record.received_at + _SILENT_S
            and (
                record.received_at < changed_at
                or record.report.directory_digest != digest
            )
        )
        for record in records
    )


class KnownNames:
    """Names of the last view that contained them, and what is aligned with them."""

    def __init__(self):
        self._digest = 0
        self._fields = ()
        # Views that left the names out, and those of them whose names weren't known.
        self.left_out = 0
        self.lacked = 0

    @property
    def digest(self):
        """Digest of the known directory, 0 if none or if its sender told none."""
        return self._digest

    def complete(self, view):
        """Add to a view what it leaves out, if it is known.

        The added objects stay the same until a view contains names again.
        """
        if not lacks_names(view):
            self._digest = view.directory_digest
            self._fields = (
                view.directory,
                view.row_digests,
                view.software,
                view.software_index,
            )
            return
        self.left_out += 1
        if view.directory_digest == self._digest:
            (
                view.directory,
                view.row_digests,
                view.software,
                view.software_index,
            ) = self._fields
        else:
            self.lacked += 1
