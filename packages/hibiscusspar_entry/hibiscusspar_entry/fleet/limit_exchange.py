"""Limits of targets as this node knows them from answers and from other nodes."""

import threading

from hibiscusspar.fleet.target_limits import LimitTable, NamedLimit
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import TARGET_LIMIT

__all__ = ["LimitExchange"]

# Time in seconds for which reports repeat what an answer told, as they may be lost.
_REPORTED_S = 2.0


class LimitExchange:
    """Table of limits, shared by the scheduler and the coordinator of a node.

    Parameters
    ----------
    clock : callable
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._table = LimitTable()
        self._answered = {}

    @property
    def is_empty(self):
        """Whether no target has a limit, or had one some seconds ago."""
        return not self._table.rows

    @property
    def limited(self):
        """Requests a second by target, for the targets that have a limit."""
        return self._table.limited

    @property
    def confirmed(self):
        """Targets of which a recent answer has named a limit."""
        return self._table.confirmed(self._clock())

    def per_s(self, target_id):
        """Return the limit of a target in requests a second, or None."""
        return self._table.per_s(target_id)

    def retain(self, target_ids):
        """Drop what is known of other targets."""
        with self._lock:
            self._table.retain(self._clock(), target_ids)

    def record_answer(self, target_id, per_s, sent_at):
        """Record the limit that an answer of a target names.

        Parameters
        ----------
        target_id : str
        per_s : float or None
            Requests a second of all nodes together, None if the answer names no limit.
        sent_at : float
            Time at which the request was sent.
        """
        now = self._clock()
        statement = NamedLimit(per_s, sent_at if per_s is None else now)
        with self._lock:
            changed = self._table.record(target_id, statement)
            if self._table.knows(target_id):
                self._answered[target_id] = (statement, now)
        if changed:
            write_records([_record(target_id, per_s, "answer", now - statement.at)])

    def report_rows(self, target_ids=()):
        """Return what recent answers have told: limit and its age by target.

        The named targets are included whenever their limits were told, as the
        coordinator may have started since then.
        """
        with self._lock:
            now = self._clock()
            self._answered = {
                target_id: row
                for target_id, row in self._answered.items()
                if now < row[1] + _REPORTED_S
            }
            known = self._table.rows
            reported = {t: known[t] for t in target_ids if t in known}
            reported |= {t: statement for t, (statement, _) in self._answered.items()}
            return {
                target_id: (statement.per_s, round(now - statement.at, 3))
                for target_id, statement in reported.items()
            }

    def rows(self):
        """Return all that is known: limit, or None for no limit, and its age."""
        with self._lock:
            now = self._clock()
            return {
                target_id: (row.per_s, round(now - row.at, 3))
                for target_id, row in self._table.rows.items()
            }

    def apply_rows(self, rows, source):
        """Record what another node knows.

        Parameters
        ----------
        rows : dict of str to tuple
            Limit and its age by target.
        source : str
            Name of the node, for the log.
        """
        now = self._clock()
        records = []
        with self._lock:
            for target_id, (per_s, age_s) in rows.items():
                if self._table.record(target_id, NamedLimit(per_s, now - age_s)):
                    records.append(_record(target_id, per_s, source, age_s))
        write_records(records)


def _record(target_id, per_s, source, age_s):
    fields = {
        "target": target_id,
        "limit_per_s": per_s,
        "source": source,
        "age_s": round(age_s, 3),
    }
    return TARGET_LIMIT, fields
