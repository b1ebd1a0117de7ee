"""Targets as registered in the platform's directory."""

from operator import is_
from typing import NamedTuple

from hibiscusspar.fleet.cold_targets import ColdStatement

__all__ = ["RETURN_GRACE_S", "Target", "TargetDirectory", "is_same_directory"]

# After an outage of the store, live targets restore their expired entries within about
# two seconds.
RETURN_GRACE_S = 2.5


class Target(NamedTuple):
    """Directory entry of one target.

    ``orders_accepted`` counts the orders that the target has carried out since its
    start at ``born`` (Unix milliseconds). ``adapters`` maps ``(model, adapter)`` to the
    version that was resident when the entry was written, ``models`` maps each model to
    its version. ``software`` is the version of the target's own software. ``cold`` is
    what the entry says about how long the target stays cold, None if the entry itself
    isn't known. ``remaining_s`` is for how many seconds the entry says that the target
    still runs, None if it doesn't.
    """

    target_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    born: int
    orders_accepted: int
    models: dict[str, int]
    adapters: dict[tuple[str, str], int]
    software: str = ""
    cold: ColdStatement | None = None
    remaining_s: float | None = None


class TargetDirectory:
    """Table of targets that survives an outage of the store.

    Entries expire during an outage, and live targets register again by themselves
    afterwards. So an entry that is missing after an outage is kept for a grace period;
    one deleted at any other time is removed at once. A target that drains never stops
    to, so one that an older copy of the store shows as ready goes on draining.
    """

    def __init__(self):
        self._rows = {}
        self._missing_since = {}
        self._returned_at = None
        self._is_older = False

    @property
    def rows(self):
        """All known targets by id."""
        return self._rows

    @property
    def has_missing(self):
        """Whether entries are kept that the store no longer lists."""
        return bool(self._missing_since)

    def replace(self, now, targets):
        """Replace the table by a full listing of the directory."""
        listed = {t.target_id: self._with_drain(now, t) for t in targets}
        for target_id in self._rows.keys() - listed.keys():
            self._missing_since.setdefault(target_id, now)
        kept = {i: self._rows[i] for i in self._missing_since if i in self._rows}
        self._rows = {**kept, **listed}
        for target_id in listed:
            self._missing_since.pop(target_id, None)
        self.expire(now)

    def replace_relayed(self, targets):
        """Replace the table by that of another node, which applied the grace period."""
        self._rows = {target.target_id: target for target in targets}
        self._missing_since = {}

    def put(self, target):
        """Add or replace an entry."""
        self._rows[target.target_id] = target
        self._missing_since.pop(target.target_id, None)

    def remove(self, now, target_id):
        """Remove a deleted entry; in the grace period only mark it as missing."""
        if self._in_grace(now) and target_id in self._rows:
            self._missing_since.setdefault(target_id, now)
        else:
            self._rows.pop(target_id, None)
            self._missing_since.pop(target_id, None)

    def store_returned(self, now, is_older=False):
        """Start the grace period: the store answers again after an outage.

        Parameters
        ----------
        now : float
        is_older : bool, optional
            Whether the store has an older copy.
        """
        self._returned_at, self._is_older = now, is_older

    def expire(self, now):
        """Drop missing entries once the grace period is over."""
        if self._in_grace(now):
            return
        for target_id in self._missing_since:
            self._rows.pop(target_id, None)
        self._missing_since = {}

    def _with_drain(self, now, target):
        """Return a target that drains if it is known to drain since the same start."""
        known = self._rows.get(target.target_id)
        if known is None or not (self._is_older and self._in_grace(now)):
            return target
        if known.draining and known.born == target.born:
            return target._replace(draining=True)
        return target

    def _in_grace(self, now):
        return self._returned_at is not None and (
            now < self._returned_at + RETURN_GRACE_S
        )


def is_same_directory(known, targets):
    """Return whether two directories have the same rows, the very same objects.

    Rows stay the same objects until their entries change, so this takes microseconds.

    Parameters
    ----------
    known, targets : dict of str to Target
    """
    return known is targets or (
        known.keys() == targets.keys()
        and all(map(is_, known.values(), targets.values()))
    )
