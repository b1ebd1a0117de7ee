"""Targets that are cold for some time after their start, or again later."""

from math import inf
from typing import NamedTuple

__all__ = ["ColdChange", "ColdPolicy", "ColdRow", "ColdStatement", "ColdTable"]


class ColdStatement(NamedTuple):
    """What a target says about how long it stays cold, in seconds.

    ``remaining_s`` is None if the statement can't be used, for the reason ``fault``.
    """

    remaining_s: float | None
    fault: str = ""


class ColdPolicy(NamedTuple):
    """Settings of the table; times in seconds.

    An entry that states a time counts for ``entry_interval_s`` longer, until the next
    one, because the time of a cold target passes only while it gets requests. A
    relayed statement that a target is warm counts as ``transit_s`` older than it says,
    as its datagram may have been delayed. Others are told for ``told_s`` that a target
    is warm. The row of a target that left the directory is kept for ``kept_s``, since
    all entries expire in an outage of the store and come back after it.
    """

    entry_interval_s: float = 1.5
    transit_s: float = 0.5
    told_s: float = 10.0
    kept_s: float = 120.0


class ColdChange(NamedTuple):
    """Change of one target; ``again`` is whether its incarnation was warm before."""

    target_id: str
    cold_s: float
    again: bool


class ColdRow(NamedTuple):
    """Incarnation of a target and the time until which it is cold.

    ``at`` is the time of the statement, minus infinity for an assumption that any
    statement replaces. Others are told of it while it is cold and until
    ``told_until``. ``is_listed`` is whether the directory has shown the incarnation.
    """

    born: int
    until: float
    at: float
    source: str
    told_until: float
    is_listed: bool


class ColdTable:
    """Last statement about each target, or what is assumed of it.

    Parameters
    ----------
    policy : ColdPolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or ColdPolicy()
        self._rows = {}
        self._gone_at = {}
        self._revisions = {}
        self._faults = {}
        self._is_listed = False
        self._ends_at = -inf

    @property
    def rows(self):
        """Rows by target."""
        return self._rows

    @property
    def has_gone(self):
        """Whether rows of targets that have left the directory are still kept."""
        return bool(self._gone_at)

    def is_idle(self, now):
        """Return whether no target is cold."""
        return now >= self._ends_at

    def remaining_s(self, now, target_id):
        """Return the seconds for which a target stays cold, or 0."""
        row = self._rows.get(target_id)
        return max(0.0, row.until - now) if row is not None else 0.0

    def cold(self, now):
        """Return the seconds for which targets stay cold, for those that are."""
        if self.is_idle(now):
            return {}
        return {t: row.until - now for t, row in self._rows.items() if now < row.until}

    def set_targets(self, now, starts, presumes=True):
        """Record the directory; return the targets that are presumed cold.

        An incarnation that is seen for the first time is presumed cold unless a
        statement about it is known.

        Parameters
        ----------
        now : float
        starts : dict of str to tuple of (int, float)
            Start of the incarnation and ``cold_start_s`` by target.
        presumes : bool, optional
            Whether new incarnations are presumed cold, which they aren't in the first
            listing.
        """
        presumed = []
        for target_id, (born, start_s) in starts.items():
            self._gone_at.pop(target_id, None)
            row = self._rows.get(target_id)
            if row is not None and row.born == born:
                if not row.is_listed:
                    self._rows[target_id] = row._replace(is_listed=True)
            elif row is None or row.is_listed or born > row.born:
                until = now + start_s if presumes else -inf
                self._rows[target_id] = ColdRow(
                    born, until, -inf, "first sight", -inf, True
                )
                if presumes:
                    presumed.append(target_id)
        self._drop_gone(now, starts)
        self._is_listed = True
        self._update_end()
        return presumed

    def record(self, now, target_id, born, remaining_s, at, source):
        """Record a statement unless a later one is known.

        Parameters
        ----------
        now : float
        target_id : str
        born : int
            Start of the incarnation that it is about.
        remaining_s : float
            Seconds from now for which the target stays cold, 0 if it is warm.
        at : float
            Time of the statement.
        source : str

        Returns
        -------
        ColdChange or None
            None if the target is as cold or warm as before.
        """
        row = self._rows.get(target_id)
        is_known = row is not None and row.born == born
        if row is not None and (born < row.born or (is_known and at < row.at)):
            return None
        was_cold = is_known and now < row.until
        is_cold = remaining_s > 0
        is_changed = is_cold != was_cold or (not is_known and self._is_listed)
        told_until = row.told_until if is_known else -inf
        if is_changed:
            told_until = now + self._policy.told_s
        self._rows[target_id] = ColdRow(
            born,
            now + remaining_s,
            at,
            source,
            told_until,
            is_known and row.is_listed,
        )
        if is_cold:
            self._ends_at = max(self._ends_at, now + remaining_s)
        elif was_cold:
            self._update_end()
        if not is_changed:
            return None
        return ColdChange(target_id, remaining_s, is_cold and is_known)

    def record_entry(self, now, target_id, born, remaining_s, revision, at):
        """Record the statement of a directory entry, once for each revision.

        ``at`` is the time at which the entry was asked for; ``revision`` is None if it
        isn't known.
        """
        if revision is not None:
            if self._revisions.get(target_id) == revision:
                return None
            self._revisions[target_id] = revision
        if remaining_s > 0:
            remaining_s += self._policy.entry_interval_s
            # The entry may have been written after a later statement was made.
            at = now
        return self.record(now, target_id, born, remaining_s, at, "entry")

    def record_fault(self, now, target_id, born, start_s, source):
        """Presume a target cold after an unusable statement, once an incarnation.

        Returns whether it is the first one of the incarnation.
        """
        if self._faults.get(target_id) == born:
            return False
        self._faults[target_id] = born
        self.record(now, target_id, born, start_s, now, source)
        return True

    def record_relayed(self, now, target_id, born, remaining_s, age_s, source):
        """Record the statement of a view or report, ``age_s`` seconds old."""
        if remaining_s <= 0:
            age_s += self._policy.transit_s
        return self.record(now, target_id, born, remaining_s, now - age_s, source)

    def presume(self, now, starts, source):
        """Presume targets cold, whatever older statements say; return their ids.

        Parameters
        ----------
        now : float
        starts : dict of str to tuple of (int, float)
            As for ``set_targets``.
        source : str
        """
        for target_id, (born, start_s) in starts.items():
            self.record(now, target_id, born, start_s, now, source)
        return list(starts)

    def statements(self, now):
        """Return what others are told: start of the incarnation, seconds and age."""
        return {
            target_id: (
                row.born,
                round(max(0.0, row.until - now), 3),
                round(now - row.at, 3),
            )
            for target_id, row in self._rows.items()
            if row.at > -inf and (now < row.until or now < row.told_until)
        }

    def _drop_gone(self, now, starts):
        for target_id in self._rows.keys() - starts.keys():
            gone_at = self._gone_at.setdefault(target_id, now)
            if now > gone_at + self._policy.kept_s:
                for table in (
                    self._rows,
                    self._gone_at,
                    self._revisions,
                    self._faults,
                ):
                    table.pop(target_id, None)

    def _update_end(self):
        self._ends_at = max((row.until for row in self._rows.values()), default=-inf)
