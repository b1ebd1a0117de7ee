"""Software versions that the directory has shown lately."""

__all__ = ["SoftwareHistory"]

# Time in seconds for which callers may take up a stream of a version that has left the
# directory; they wait for no stream that long.
_KEPT_S = 40.0


class SoftwareHistory:
    """Times at which the directory last showed each software version of a service."""

    def __init__(self):
        self._seen_at = {}

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

    def versions(self, service):
        """Return the versions that may have begun a stream of a service."""
        return {software for name, software in self._seen_at if name == service}
