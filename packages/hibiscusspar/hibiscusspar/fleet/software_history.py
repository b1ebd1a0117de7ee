"""Software versions that the directory has shown lately."""

from math import inf

__all__ = ["SoftwareHistory"]

# Time in seconds for which callers may take up a stream of a version that has left the
# directory; they wait for no stream that long.
_KEPT_S = 40.0


class SoftwareHistory:
    """Times at which the directory last showed each software version of a service.

    Parameters
    ----------
    began_at : float, optional
        Time since which the directory is known. Versions that left it before are
        missing for some time then; by default none is.
    """

    def __init__(self, began_at=-inf):
        self._seen_at = {}
        self._complete_at = began_at + _KEPT_S

    def is_complete(self, now):
        """Return whether all versions are known that may have begun a stream."""
        return now >= self._complete_at

    def record(self, now, targets):
        """Record the versions that the directory shows.

        Parameters
        ----------
        now : float
        targets : dict of str to Target
        """
        for target in targets.values():
            self._seen_at[target.service, target.software] = now
        self._seen_at = {
            row: at for row, at in self._seen_at.items() if now < at + _KEPT_S
        }

    def restore(self, now, versions):
        """Add the versions that were known to the processes before.

        Parameters
        ----------
        now : float
        versions : dict of str to list of str
            Versions by service.
        """
        for service, names in versions.items():
            for software in names:
                self._seen_at[service, software] = now
        self._complete_at = now

    def versions(self, service):
        """Return the versions that may have begun a stream of a service."""
        return {software for name, software in self._seen_at if name == service}

    def all_versions(self):
        """Return the versions by service, in the order of their names."""
        found = {}
        for service, software in sorted(self._seen_at):
            found.setdefault(service, []).append(software)
        return found
