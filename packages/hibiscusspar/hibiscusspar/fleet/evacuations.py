"""Evacuated zones, whose targets get no requests until the evacuation is lifted.

A node reads the list from the store, or gets it from the coordinator's views with its
age. An answer of the store applies in any case, as the watch that follows it delivers
what it lacks; a relayed list applies only if it is certainly newer.
"""

from typing import NamedTuple

__all__ = [
    "Evacuation",
    "EvacuationTable",
    "LineLimit",
    "evacuated_services",
    "mark_evacuated",
    "targets_in",
]

# Shortest time in seconds between two log lines about one zone, and most lines at a
# time. Objects may be written and removed ten times a second, under any names.
_LINE_GAP_S = 1.0
_MAX_LINES = 16


class Evacuation(NamedTuple):
    """Evacuation of a zone: when this node learned of it, and from which source."""

    since: float
    source: str


class EvacuationTable:
    """Last known list of evacuated zones, and its age."""

    def __init__(self):
        self._rows = {}
        self._known_at = None
        # Time at which the last answer of the store arrived.
        self._answered_at = float("-inf")
        self._relayed_at = float("-inf")
        self._relayed_by = ""

    @property
    def rows(self):
        """Evacuations by zone."""
        return self._rows

    @property
    def zones(self):
        """Names of the evacuated zones."""
        return frozenset(self._rows)

    @property
    def is_known(self):
        """Whether the list was ever known."""
        return self._known_at is not None

    def age_s(self, now):
        """Return the seconds since the list was certainly the newest."""
        return float("inf") if self._known_at is None else now - self._known_at

    def relayed_age_s(self, now):
        """Return the age in seconds of the list that views relay."""
        return now - self._relayed_at

    def apply_listing(self, now, at, zones):
        """Apply a listing of the store.

        Parameters
        ----------
        now : float
        at : float
            Time at which the listing was certainly the newest.
        zones : iterable of str
        """
        self._answered_at = now
        self._replace(now, at, zones, "store")

    def apply_changes(self, now, at, changes):
        """Apply changes of the store in their order.

        Parameters
        ----------
        now : float
        at : float
            Time at which the list with these changes was certainly the newest.
        changes : iterable of (str, bool)
            Zones, and whether each is evacuated from then on.
        """
        self._answered_at = now
        zones = set(self._rows)
        for zone, is_evacuated in changes:
            if is_evacuated:
                zones.add(zone)
            else:
                zones.discard(zone)
        self._replace(now, at, zones, "store")

    def apply_relayed(self, now, at, zones, sender, start):
        """Apply the list of a view, unless a newer one may be known.

        Parameters
        ----------
        now : float
        at : float
            Time at which the list was certainly the newest.
        zones : iterable of str
        sender, start : str
            Coordinator that sent the view, and its process.

        Returns
        -------
        bool
            Whether the list was applied.
        """
        # The order of its views orders the lists of one coordinator; its times may go
        # back, since a view may answer the same report as the last.
        if start != self._relayed_by and at < self._relayed_at:
            return False
        self._relayed_by = start
        self._relayed_at = max(self._relayed_at, at)
        # The store may have made its answer at any time until it arrived.
        if at < self._answered_at:
            return False
        self._replace(now, at, zones, sender)
        return True

    def _replace(self, now, at, zones, source):
        evacuation = Evacuation(now, source)
        self._rows = {zone: self._rows.get(zone, evacuation) for zone in zones}
        if self._known_at is None or at > self._known_at:
            self._known_at = at


class LineLimit:
    """Limit of the log lines about zones whose state changes often."""

    def __init__(self):
        self._changes = {}
        self._logged_at = {}

    def record(self, zones):
        """Count a change of each of some zones."""
        for zone in zones:
            self._changes[zone] = self._changes.get(zone, 0) + 1

    def due(self, now):
        """Return the zones to log now, and their changes since their last line."""
        self._logged_at = {
            zone: at for zone, at in self._logged_at.items() if now < at + _LINE_GAP_S
        }
        zones = sorted(self._changes.keys() - self._logged_at.keys())
        due = zones[: max(0, _MAX_LINES - len(self._logged_at))]
        self._logged_at.update(dict.fromkeys(due, now))
        return {zone: self._changes.pop(zone) for zone in due}


def targets_in(targets, zones):
    """Return the sorted ids of the targets of some zones.

    Parameters
    ----------
    targets : dict of str to Target
    zones : set of str
    """
    return sorted(name for name, target in targets.items() if target.zone in zones)


def mark_evacuated(targets, zones):
    """Return the targets, with those of evacuated zones marked as draining.

    Like a draining target, an evacuated one gets nothing new and ends what it runs.

    Parameters
    ----------
    targets : dict of str to Target
    zones : set of str
    """
    if not zones:
        return targets
    marked = {t: targets[t]._replace(draining=True) for t in targets_in(targets, zones)}
    return {**targets, **marked}


def evacuated_services(targets, zones):
    """Return the services that have targets, all of which are evacuated or leave.

    A service whose targets leave without an evacuation isn't among them.

    Parameters
    ----------
    targets : dict of str to Target
    zones : set of str
    """
    if not zones:
        return frozenset()
    evacuated, open_services = set(), set()
    for target in targets.values():
        if target.zone in zones:
            evacuated.add(target.service)
        elif not target.draining:
            open_services.add(target.service)
    return frozenset(evacuated - open_services)
