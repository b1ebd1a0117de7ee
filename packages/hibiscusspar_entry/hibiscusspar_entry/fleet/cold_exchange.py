"""Cold targets as this node knows them from the directory, answers and other nodes."""

import threading

from hibiscusspar.fleet.cold_targets import ColdPolicy, ColdTable
from hibiscusspar.fleet.entry_rotation import EntryRotation
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import TARGET_COLD_BAD, TARGETS_COLD

__all__ = ["ColdExchange"]

# Time in seconds for which reports repeat what this node has learned itself.
_REPORTED_S = 2.0
# Most targets of a view or report.
_MAX_ROWS = 64
# Targets that a log line lists at most.
_LOGGED_TARGETS = 8
# Lines about unusable statements in one listing or change of the directory.
_MAX_FAULT_LINES = 8
# Time by which an entry may come later than the interval of entries, in seconds.
_ENTRY_DELAY_S = 0.3


class ColdExchange:
    """Table of cold targets, shared by the scheduler and the coordinator of a node.

    Parameters
    ----------
    clock : callable
    heartbeat_s : float, optional
        Interval in which targets renew their entries.
    """

    def __init__(self, clock, heartbeat_s=1.2):
        self._clock = clock
        self._lock = threading.Lock()
        policy = ColdPolicy(entry_interval_s=heartbeat_s + _ENTRY_DELAY_S)
        self._table = ColdTable(policy)
        self._rules = {}
        self._targets = {}
        self._has_listing = False
        self._view_is_full = False
        self._learned_at = {}
        self._rotation = EntryRotation(_MAX_ROWS)
        # Called when a target that was warm has become cold again.
        self.on_cold_again = lambda: None

    @property
    def is_idle(self):
        """Whether no target is cold."""
        return self._table.is_idle(self._clock())

    @property
    def rates(self):
        """Requests a second by target, for the targets that are cold."""
        with self._lock:
            cold = self._table.cold(self._clock())
        rates = {target_id: self.per_s(target_id) for target_id in cold}
        return {t: per_s for t, per_s in rates.items() if per_s is not None}

    def per_s(self, target_id):
        """Return the requests a second that a cold target takes; None for others."""
        if self.remaining_s(target_id) <= 0:
            return None
        target = self._targets.get(target_id)
        rule = self._rules.get(target.service) if target is not None else None
        return None if rule is None else rule.cold_per_s

    def remaining_s(self, target_id):
        """Return the seconds for which a target stays cold, or 0."""
        now = self._clock()
        if self._table.is_idle(now):
            return 0.0
        return self._table.remaining_s(now, target_id)

    def is_cold(self, target_id):
        """Return whether a target is cold now."""
        return self.per_s(target_id) is not None

    def configure(self, ruleset):
        """Record which services have cold targets, and for how long."""
        with self._lock:
            known = self._rules.keys()
            self._rules = {
                name: rule
                for name, rule in ruleset.services.items()
                if rule.has_cold_targets
            }
            added = self._rules.keys() - known
            targets = [t for t in self._targets.values() if t.service in added]
            records = self._record_entries(
                [(target, None) for target in targets], self._clock()
            )
            if targets:
                self._table.set_targets(
                    self._clock(), self._starts(self._targets), presumes=False
                )
        write_records(records)

    def set_targets(self, targets):
        """Replace the directory of targets; presume new incarnations cold."""
        with self._lock:
            presumes = self._has_listing or self._view_is_full
            self._has_listing = True
            is_same = targets is self._targets
            self._targets = targets
            if not self._rules or (is_same and not self._table.has_gone):
                return
            presumed = self._table.set_targets(
                self._clock(), self._starts(targets), presumes
            )
            records = self._records(True, presumed, "first sight", 0.0)
        write_records(records)

    def record_entries(self, entries, sent_at):
        """Record what entries of the directory state, before ``set_targets``.

        Parameters
        ----------
        entries : list of tuple of (Target, int)
            Targets as their entries describe them, and the revisions of the entries.
        sent_at : float
            Time at which the call to the store was sent.
        """
        with self._lock:
            records = self._record_entries(entries, sent_at)
        write_records(records)

    def record_answer(self, target, statement, sent_at):
        """Record the statement in an answer of a target.

        Parameters
        ----------
        target : Target
        statement : ColdStatement
        sent_at : float
            Time at which the request was sent.
        """
        rule = self._rules.get(target.service)
        if rule is None:
            return
        with self._lock:
            if statement.remaining_s is None:
                records = self._record_faults([(target, statement)], "answer")
            else:
                now, cold_s = self._clock(), statement.remaining_s
                # The answer that a target is warm may have been made just before it
                # became cold.
                change = self._table.record(
                    now,
                    target.target_id,
                    target.born,
                    cold_s,
                    now if cold_s > 0 else sent_at,
                    "answer",
                )
                self._learned_at[target.target_id] = now
                records = self._change_records(
                    [change], "answer", sent_at, self.on_cold_again
                )
        write_records(records)

    def presume_cold(self, target_ids):
        """Presume targets cold from now on, whatever older entries state."""
        with self._lock:
            targets = {t: self._targets[t] for t in target_ids if t in self._targets}
            now, source = self._clock(), "presumed"
            presumed = self._table.presume(now, self._starts(targets), source)
            self._learned_at |= dict.fromkeys(presumed, now)
            records = self._records(True, presumed, source, 0.0)
        write_records(records)

    def apply_view(self, view):
        """Record the cold targets of a view; to be called before its rows are used."""
        rows = view.cold or {}
        self._view_is_full = len(rows) >= _MAX_ROWS
        # All nodes have the view, so none of them needs to tell it at once.
        self._apply_rows(rows, view.node, lambda: None)

    def apply_rows(self, rows, source):
        """Record what the report of another node tells.

        Parameters
        ----------
        rows : dict of str to tuple
            Start of the incarnation, seconds for which it stays cold, and age, by
            target.
        source : str
            Name of the node, for the log.
        """
        self._apply_rows(rows, source, self.on_cold_again)

    def _apply_rows(self, rows, source, on_cold_again):
        if not rows:
            return
        with self._lock:
            now = self._clock()
            changes = [
                self._table.record_relayed(now, t, *row, source)
                for t, row in rows.items()
            ]
            oldest_s = max(age_s for _, _, age_s in rows.values())
            records = self._change_records(
                changes, source, now - oldest_s, on_cold_again
            )
        write_records(records)

    def view_rows(self, number):
        """Return the statements that the view of a number carries."""
        with self._lock:
            rows = self._table.statements(self._clock())
            # The states change only with the statements, not as their age grows.
            states = {t: (born, cold_s > 0) for t, (born, cold_s, _) in rows.items()}
            due = self._rotation.due(states, number, _MAX_ROWS)
        return {target_id: rows[target_id] for target_id in due}

    def report_rows(self):
        """Return what this node has learned lately by itself."""
        if not self._learned_at:
            return {}
        with self._lock:
            now = self._clock()
            self._learned_at = {
                t: at for t, at in self._learned_at.items() if now < at + _REPORTED_S
            }
            rows = self._table.statements(now)
            latest = sorted(self._learned_at, key=self._learned_at.get, reverse=True)
        return {t: rows[t] for t in latest[:_MAX_ROWS] if t in rows}

    def _starts(self, targets):
        return {
            target_id: (target.born, self._rules[target.service].cold_start_s)
            for target_id, target in targets.items()
            if target.service in self._rules
        }

    def _record_entries(self, entries, sent_at):
        """Record entries of services with cold targets; return the log records."""
        now = self._clock()
        changes, faulty = [], []
        for target, revision in entries:
            if target.service not in self._rules or target.cold is None:
                continue
            if target.cold.remaining_s is None:
                faulty.append((target, target.cold))
                continue
            change = self._table.record_entry(
                now,
                target.target_id,
                target.born,
                target.cold.remaining_s,
                revision,
                sent_at,
            )
            if change is not None:
                self._learned_at[target.target_id] = now
            changes.append(change)
        records = self._record_faults(faulty, "entry")
        return records + self._change_records(
            changes, "entry", sent_at, self.on_cold_again
        )

    def _record_faults(self, faulty, source):
        now, records = self._clock(), []
        for target, statement in faulty:
            start_s = self._rules[target.service].cold_start_s
            if self._table.record_fault(
                now, target.target_id, target.born, start_s, source
            ):
                self._learned_at[target.target_id] = now
                fields = {
                    "target": target.target_id,
                    "born": target.born,
                    "fault": statement.fault,
                    "source": source,
                    "presumed_s": start_s,
                }
                records.append((TARGET_COLD_BAD, fields))
        return records[:_MAX_FAULT_LINES]

    def _change_records(self, changes, source, at, on_cold_again):
        changes = [change for change in changes if change is not None]
        if any(change.again for change in changes):
            on_cold_again()
        cold_s = {c.target_id: c.cold_s for c in changes}
        cold = [t for t, seconds in cold_s.items() if seconds > 0]
        warm = [t for t, seconds in cold_s.items() if seconds <= 0]
        age_s = self._clock() - at
        return self._records(True, cold, source, age_s) + self._records(
            False, warm, source, age_s
        )

    def _records(self, is_cold, target_ids, source, age_s):
        """Return a log record for targets that have become cold or warm, if any."""
        if not target_ids:
            return []
        now = self._clock()
        longest_s = max(self._table.remaining_s(now, t) for t in target_ids)
        fields = {
            "is_cold": is_cold,
            "count": len(target_ids),
            "targets": sorted(target_ids)[:_LOGGED_TARGETS],
            "cold_s": round(longest_s, 3),
            "source": source,
            "age_s": round(age_s, 3),
        }
        return [(TARGETS_COLD, fields)]
