"""Ejection of targets after consecutive failures; a probe decides on their return."""

from typing import NamedTuple

from hibiscusspar.requests.events import (
    TARGET_EJECTED,
    TARGET_PROBED,
    TARGET_RETURNED,
)

__all__ = ["EjectionPolicy", "EjectionRow", "EjectionTable"]


class EjectionPolicy(NamedTuple):
    """Settings of ejection; times are in seconds.

    A target is ejected after ``failures`` consecutive failures, for ``base_s`` at
    first, doubled with each failed probe up to ``cap_s``. ``max_fraction`` is the
    largest fraction of the candidates that may be excluded.
    """

    failures: int = 3
    base_s: float = 1.0
    cap_s: float = 30.0
    max_fraction: float = 0.5
    probe_timeout_s: float = 10.0


class EjectionRow(NamedTuple):
    """Failures of one target; ``probe_at`` is the start of the last probe."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    probe_at: float | None = None

    @property
    def ejected(self):
        """Whether the target is ejected until a probe succeeds."""
        return self.ejections > 0


class EjectionTable:
    """Consecutive failures of targets as seen by this VM."""

    def __init__(self, policy=None, rng=None):
        self._policy = policy or EjectionPolicy()
        self._rng = rng
        self._rows = {}

    @property
    def rows(self):
        """Rows of the targets that failed since they last answered, keyed by id."""
        return dict(self._rows)

    @property
    def is_empty(self):
        """Whether all targets answered last."""
        return not self._rows

    def excluded(self, now, candidates):
        """Return the candidates that must not get a new request now.

        At most ``max_fraction`` of the candidates are excluded, never all: if more
        are ejected, those whose ejection ends first are admitted. Few targets fail, so
        ``candidates``, a collection of ids, is only looked up.
        """
        ejected = [
            t for t in self._rows if t in candidates and self._is_excluded(now, t)
        ]
        ejected.sort(key=lambda t: (-self._rows[t].ejected_until, t))
        max_excluded = int(len(candidates) * self._policy.max_fraction)
        return frozenset(ejected[:max_excluded])

    def _is_excluded(self, now, target):
        row = self._rows.get(target)
        if row is None or not row.ejected:
            return False
        if now < row.ejected_until:
            return True
        if row.probe_at is None:
            return False
        return now < row.probe_at + self._policy.probe_timeout_s

    def record_attempt(self, now, target, out):
        """Record that a request is sent to a target, as a probe if it is ejected."""
        row = self._rows.get(target)
        if row is None or not row.ejected or now < row.ejected_until:
            return
        self._rows[target] = row._replace(probe_at=now)
        out.log(TARGET_PROBED, target=target)

    def succeeded(self, target, out):
        """Record that a target answered, which ends its ejection."""
        row = self._rows.pop(target, None)
        if row is not None and row.ejected:
            out.log(TARGET_RETURNED, target=target)

    def failed(self, now, target, out):
        """Record a failed request; eject the target if the limit is reached."""
        row = self._rows.get(target, EjectionRow())
        row = row._replace(failures=row.failures + 1)
        probe_failed = row.ejected and row.probe_at is not None
        first_time = not row.ejected and row.failures >= self._policy.failures
        if probe_failed or first_time:
            row = self._eject(now, target, row, out)
        self._rows[target] = row

    def retain(self, targets):
        """Remove the targets that are no longer declared."""
        self._rows = {t: row for t, row in self._rows.items() if t in targets}

    def _eject(self, now, target, row, out):
        ceiling = min(self._policy.cap_s, self._policy.base_s * 2**row.ejections)
        duration = self._rng.uniform(ceiling / 2, ceiling) if self._rng else ceiling
        out.log(
            TARGET_EJECTED, target=target, failures=row.failures, duration_s=duration
        )
        return EjectionRow(row.failures, row.ejections + 1, now + duration)
