"""Content of the store that a node gets from the coordinator's views.

The number of store calls must not grow with the number of nodes. The coordinator
therefore reads the store for all nodes, as long as they receive its views and the store
answers it.
"""

import threading
from typing import NamedTuple

from hibiscusspar.fleet.directory_copy import DirectoryCopy
from hibiscusspar.fleet.directory_names import KnownNames
from hibiscusspar.fleet.messages import adapter_key
from hibiscusspar.fleet.software_index import split_software
from hibiscusspar.fleet.targets import Target
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import DIRECTORY_AGREES, DIRECTORY_DIFFERS
from hibiscusspar_entry.fleet.store_sync import ViewOrigin

__all__ = ["AgeLimits", "RelayedState"]

# Number of reports whose time of sending is kept.
_KEPT_REPORTS = 128
# Pauses between looks whether the store must be read, in seconds.
_MIN_PAUSE_S = 0.12
_MAX_PAUSE_S = 1.0
# Targets that a log line lists at most.
_LOGGED_TARGETS = 8


class AgeLimits(NamedTuple):
    """Greatest ages, in seconds, at which data read by the coordinator is relied on.

    The coordinator may be cut off from the store while this node is not, and this node
    must act on what it could have read itself. The limits leave time to read it.
    """

    config_s: float
    directory_s: float
    evacuation_s: float = 0.0


class RelayedState:
    """State of the store as relayed to one node by views.

    Parameters
    ----------
    clock : callable
    config : ConfigSync
    targets : TargetSync
    announce : callable
        Called with an adapter's key, a version and its age in seconds.
    limits : AgeLimits
    evacuations : EvacuationSync, optional
        None if no zones are evacuated.
    """

    def __init__(self, clock, config, targets, announce, limits, evacuations=None):
        self._clock = clock
        self._config = config
        self._targets = targets
        self._announce = announce
        self._limits = limits
        self._evacuations = evacuations
        self._lock = threading.Lock()
        self._report_sent_at = {}
        self._names = KnownNames()
        self._copy = DirectoryCopy()
        self._copy_as_of = None
        # Targets of the last view, and the state of the view that they were made from.
        self._view_targets = None
        # Row and target by name, so that a target stays the same object with its row.
        self._made = {}
        self._targets_state = None
        self._view = None
        self._view_as_of = None
        self._is_source = False
        self._differs_since = None

    @property
    def directory_differs(self):
        """Whether rows are missing or differ from those of the coordinator."""
        return self._differs_since is not None

    @property
    def counts(self):
        """Numbers of views without names, by name of the metric."""
        return {
            "views_without_names": self._names.left_out,
            "views_names_lacked": self._names.lacked,
        }

    @property
    def config_version(self):
        """Version of the configuration in force as the last view tells, else 0."""
        with self._lock:
            return self._view.config_version if self._view is not None else 0

    @property
    def _view_age_s(self):
        return self._clock() - self._view_as_of

    @property
    def evacuated_zones(self):
        """Number of evacuated zones."""
        return len(self._evacuations.zones) if self._evacuations is not None else 0

    def set_source(self, is_source):
        """Set whether this node reads the store for all nodes."""
        self._is_source = is_source

    def complete_report(self, report):
        """Add what this node has and lacks, and record when the report is sent."""
        with self._lock:
            report.lacked_rows = self._copy.requested
            report.reads_directory_changes = True
            report.directory_digest = self._names.digest
            self._report_sent_at[report.number] = self._clock()
            self._report_sent_at.pop(report.number - _KEPT_REPORTS, None)

    def apply_view(self, view, node):
        """Apply a view if it answers one of this node's reports.

        Adds the names that the view leaves out, if they are known.

        Returns
        -------
        bool
            Whether this node must read the store now or sooner than it had to before,
            also because the store holds a newer configuration, which views don't carry.
        """
        ends_at = self._relayed_until()
        must_read = self._apply_view(view, node)
        return must_read or self._relayed_until() < max(ends_at, self._clock())

    def _relayed_until(self):
        """Return the time at which the store must be read, in the past if it is due.

        Without further views, what the last one tells becomes too old by then.
        """
        with self._lock:
            view, as_of, copy_as_of = self._view, self._view_as_of, self._copy_as_of
        ruleset = self._config.ruleset
        if view is None or None in (as_of, copy_as_of, ruleset) or self._is_source:
            return float("-inf")
        if ruleset.version < view.config_version:
            return float("-inf")
        return min(
            as_of + self._limits.config_s - view.config_age_s,
            as_of + self._limits.directory_s - view.directory_age_s,
            copy_as_of + self._limits.directory_s,
        )

    def relayed_for_s(self):
        """Return the time after which the store may have to be read, in seconds."""
        left_s = self._relayed_until() - self._clock()
        return min(_MAX_PAUSE_S, max(_MIN_PAUSE_S, left_s))

    def _apply_view(self, view, node):
        now = self._clock()
        with self._lock:
            self._view = view
            sent_at = self._report_sent_at.get(view.acked.get(node, 0))
            # The view was built after that report arrived, so it is no older than it.
            self._view_as_of = sent_at
            self._names.complete(view)
            self._copy.apply_view(view)
            # Nodes of older builds don't send the software of targets, so the directory
            # is read from the store while one of them coordinates.
            age_s = 0.0 if sent_at is None else now - sent_at
            targets = self._relayed_targets(view, age_s)
            if targets is not None and sent_at is not None:
                self._copy_as_of = sent_at - view.directory_age_s
            records = self._log_differences(now, view)
        write_records(records)
        if self._is_source or sent_at is None:
            return False
        for label, (version, age_s) in view.versions.items():
            self._announce(adapter_key(label), version, age_s)
        origin = ViewOrigin(view.node, view.start, view.number)
        if self._evacuations is not None and view.evacuated is not None:
            at = sent_at - view.evacuation_age_s
            self._evacuations.apply_relayed(view.evacuated, at, origin)
        age_s = view.directory_age_s + now - sent_at
        if age_s < self._limits.directory_s and targets is not None:
            self._targets.apply_relayed(targets, now - age_s, origin)
        ruleset = self._config.ruleset
        known = ruleset.version if ruleset is not None else 0
        if known == view.config_version:
            self._config.confirm(min(now, sent_at) - view.config_age_s)
        return known < view.config_version

    def config_is_current(self):
        """Return whether the configuration need not be read from the store."""
        view = self._usable_view()
        ruleset = self._config.ruleset
        return (
            view is not None
            and ruleset is not None
            and view.config_age_s + self._view_age_s < self._limits.config_s
            and ruleset.version >= view.config_version
        )

    def directory_is_current(self):
        """Return whether targets need not be read from the store.

        The age counts from the last view with which all rows agreed, so a lost row
        can't be relied on for longer than the coordinator's data.
        """
        with self._lock:
            if self._is_source or self._copy_as_of is None:
                return False
            return self._clock() - self._copy_as_of < self._limits.directory_s

    def evacuations_are_current(self):
        """Return whether evacuations need not be read from the store."""
        return (
            not self._is_source
            and self._evacuations.relayed_age_s() < self._limits.evacuation_s
        )

    def versions_are_current(self):
        """Return whether versions of adapters need not be read from the store."""
        view = self._usable_view()
        return (
            view is not None
            and view.directory_age_s + self._view_age_s < self._limits.directory_s
        )

    def _relayed_targets(self, view, age_s):
        """Return the targets of a view, or None if it doesn't tell all of them.

        The list is the same object as for the last view if nothing has changed. How
        long a target still runs is told anew only if it becomes known or restarts, as
        it falls with each view.
        """
        if view.software is None or not self._copy.agrees:
            return None
        timed = {name: born for name, (born, _) in view.leaving_in.items()}
        state = (self._copy.revision, view.software, view.software_index, timed)
        if state != self._targets_state:
            software = split_software(view.software, view.software_index)
            self._targets_state = state
            self._made = {
                row.target_id: (row, self._make(row, version, view, age_s))
                for row, version in zip(self._copy.rows, software, strict=True)
            }
            self._view_targets = [target for _, target in self._made.values()]
        return self._view_targets

    def _make(self, row, software, view, age_s):
        """Return the target of a row, the same object as before if it is equal."""
        remaining_s = _remaining_s(view, row, age_s)
        known_row, target = self._made.get(row.target_id, (None, None))
        if (
            known_row is row
            and target.software == software
            and (target.remaining_s is None) == (remaining_s is None)
        ):
            return target
        return _target(row, software, remaining_s)

    def _log_differences(self, now, view):
        """Return a log line if the copy begins or ends to differ from the view.

        The line counts no targets if the names of the view aren't known.
        """
        differs = not self._copy.agrees
        fields = {"sender": view.node, "view": view.number}
        if differs and self._differs_since is None:
            differing = self._copy.differing
            self._differs_since = now
            fields["count"] = len(differing)
            fields["targets"] = differing[:_LOGGED_TARGETS]
            fields["age_s"] = round(view.directory_age_s, 3)
            return [(DIRECTORY_DIFFERS, fields)]
        if not differs and self._differs_since is not None:
            fields["differed_s"] = round(now - self._differs_since, 3)
            self._differs_since = None
            return [(DIRECTORY_AGREES, fields)]
        return []

    def _usable_view(self):
        """Return the last view, or None if it can't be relied on.

        It can't if it answers no report of this node or if this node reads the store
        for all. Callers add the age of the view to the ages in it, so that nodes that
        lose the coordinator read the store only if its successor takes longer than the
        limits allow.
        """
        with self._lock:
            if self._is_source or self._view_as_of is None:
                return None
            return self._view


def _remaining_s(view, row, age_s):
    """Return how long a target certainly still runs, None if the view doesn't tell."""
    born, left_s = view.leaving_in.get(row.target_id, (None, 0.0))
    return max(0.0, left_s - age_s) if born == row.born else None


def _target(row, software, remaining_s):
    return Target(
        target_id=row.target_id,
        service=row.service,
        address=row.address,
        zone=row.zone,
        slots=row.slots,
        draining=row.draining,
        born=row.born,
        orders_accepted=0,
        models=row.models,
        adapters={},
        software=software,
        remaining_s=remaining_s,
    )
