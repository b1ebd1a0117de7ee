"""Software versions that may have begun the streams which callers take up again."""

import threading
from math import inf

from hibiscusspar.fleet.software_history import SoftwareHistory

__all__ = ["SoftwareVersions"]


class SoftwareVersions:
    """Versions of the targets' software now and some time ago.

    Parameters
    ----------
    clock : callable
    began_at : float, optional
        Time at which this node began to know the directory, if processes before it may
        have known versions that it has never seen.
    """

    def __init__(self, clock, began_at=-inf):
        self._clock = clock
        self._lock = threading.Lock()
        self._history = SoftwareHistory(began_at)
        self._targets = {}
        # Returns whether the directory is new enough to show all versions.
        self.is_current = lambda: True

    def set_targets(self, targets):
        """Replace the directory of targets."""
        with self._lock:
            self._history.record(self._clock(), self._targets)
            self._targets = targets

    def versions(self, service):
        """Return the versions that may have begun a stream of a service.

        Returns
        -------
        set of str or None
            None while some of them may be unknown.
        """
        with self._lock:
            now = self._clock()
            self._history.record(now, self._targets)
            if not (self.is_current() and self._history.is_complete(now)):
                return None
            return self._history.versions(service)

    def all_versions(self):
        """Return a list of versions by service."""
        with self._lock:
            self._history.record(self._clock(), self._targets)
            return self._history.all_versions()

    def mixed_services(self):
        """Return the services of which several versions are known."""
        found = self.all_versions()
        return {service for service, names in found.items() if len(names) > 1}

    def restore(self, versions):
        """Add the versions by service that the processes before have known."""
        with self._lock:
            self._history.restore(self._clock(), versions)
