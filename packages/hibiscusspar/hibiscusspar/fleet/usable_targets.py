"""Targets that can run a request, from the directory, residency and failures."""

from hibiscusspar.fleet.residency_copy import ResidencyCopy
from hibiscusspar.fleet.stream_origins import may_continue
from hibiscusspar.fleet.target_index import TargetIndex

__all__ = ["UsableTargets"]

# Age of a view, in seconds, beyond which the directory's entries count as well.
_VIEW_STALE_S = 1.5
# Time in seconds for which a target gets no request for an adapter after it answered
# that the adapter is not resident.
_MISSING_ADAPTER_S = 0.15


class UsableTargets:
    """Targets of the directory, and what is known of their adapters.

    A decision looks only at targets that serve the model or hold the adapter of the
    request, not at the whole directory.

    Parameters
    ----------
    ejection : EjectionTable
    version_grace_s : float
        Time for which an older version of an adapter may serve after a newer one was
        announced.
    """

    def __init__(self, ejection, version_grace_s):
        self._ejection = ejection
        self._version_grace_s = version_grace_s
        self._index = TargetIndex()
        self._residency = ResidencyCopy()
        self._view_at = None
        # Versions and times of the announcements that matter, by adapter.
        self._announced = {}
        self._missing_until = {}

    @property
    def lacked_residency(self):
        """Targets whose adapters in the last view differ from those known here."""
        return self._residency.lacked

    def set_targets(self, targets):
        """Replace the directory of targets, given as a dict by id."""
        self._index.replace(targets)

    def apply_view(self, now, view):
        """Apply the adapters of targets that a view tells."""
        self._view_at = now
        self._residency.apply_view(now, view)

    def apply_load(self, now, load):
        """Apply an ``AdapterLoad`` that has just begun."""
        self._residency.apply_load(now, load)

    def announce(self, at, key, version):
        """Record that a version of an adapter was announced at a time."""
        rows = self._announced.get(key, ())
        if rows and version <= rows[-1][0]:
            return
        # Only earlier ones exclude older copies sooner; of those whose grace is over,
        # the last one excludes them all.
        rows = [row for row in rows if row[1] < at]
        over = sum(at > known_at + self._version_grace_s for _, known_at in rows)
        self._announced[key] = (*rows[max(0, over - 1) :], (version, at))

    def record_missing(self, now, target_id, key):
        """Record that an adapter is not resident at a target that should hold it."""
        self._missing_until[target_id, key] = now + _MISSING_ADAPTER_S

    def expire(self, now):
        """Drop the records of missing adapters that no longer count."""
        if self._missing_until:
            self._missing_until = {
                row: at for row, at in self._missing_until.items() if at > now
            }

    def staying(self, service):
        """Return the targets of a service that are not leaving, by id; only read it."""
        return self._index.staying(service)

    def usable(self, now, job):
        """Return the ids of the targets that can be used for a job now."""
        staying = self._index.staying(job.service)
        usable = staying.keys() - self._ejected(now, job.service)
        if job.software is None:
            return usable - job.broken_at
        return {t for t in usable if may_continue(staying[t], job)}

    def versions(self, now, job):
        """Return the version of a job's model or adapter by usable target.

        Versions are 0 if the job names no model. Callers only read the dict.
        """
        model, adapter = job.key
        staying = self._index.staying(job.service)
        if not model:
            versions = dict.fromkeys(staying, 0)
        elif not adapter:
            versions = self._index.serving(job.service, model)
        else:
            versions = self._adapter_versions(now, staying, job.key)
        if job.software is not None:
            versions = {
                target_id: version
                for target_id, version in versions.items()
                if may_continue(staying[target_id], job)
            }
        elif job.broken_at:
            versions = {t: v for t, v in versions.items() if t not in job.broken_at}
        ejected = self._ejected(now, job.service)
        if not ejected:
            return versions
        return {t: version for t, version in versions.items() if t not in ejected}

    def _ejected(self, now, service):
        """Return the targets of a service that are ejected now."""
        if self._ejection.is_empty:
            return frozenset()
        return self._ejection.excluded(now, self._index.staying(service))

    def _adapter_versions(self, now, staying, key):
        versions = {}
        for target_id in {*self._residency.holders(key), *self._index.listing(key)}:
            target = staying.get(target_id)
            if target is not None:
                version = self._adapter_version(now, target, key)
                if version is not None:
                    versions[target_id] = version
        return versions

    def _adapter_version(self, now, target, key):
        """Return the version of an adapter that a target serves now, or None."""
        if (target.target_id, key) in self._missing_until:
            return None
        copy = self._resident_copy(now, target, key)
        if copy is None or copy[1] > now:
            return None
        is_outdated = any(
            copy[0] < version and now > announced_at + self._version_grace_s
            for version, announced_at in self._announced.get(key, ())
        )
        return None if is_outdated else copy[0]

    def _resident_copy(self, now, target, key):
        is_fresh = self._view_at is not None and now < self._view_at + _VIEW_STALE_S
        if self._residency.has_state(target.target_id):
            copy = self._residency.find(target.target_id, key)
            if copy is not None or is_fresh:
                return copy
        version = target.adapters.get(key)
        return None if version is None else (version, 0.0)
