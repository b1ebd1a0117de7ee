"""Crashes of targets, and the quarantine of what causes them.

Nodes report the crashes that they see to the coordinator, and its views carry the
verdicts to all nodes.
"""

import threading
from contextlib import contextmanager
from functools import partial
from math import inf

from hibiscusspar.fleet.entry_rotation import EntryRotation
from hibiscusspar.fleet.messages import CrashRow, QuarantineRow
from hibiscusspar.requests.probes import Probes, find_other_causes
from hibiscusspar.requests.quarantine import (
    PART_POLICY,
    PART_SENDER,
    Quarantine,
    Verdict,
)
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import (
    QUARANTINE_LIFTED,
    QUARANTINE_PROBED,
    REQUEST_QUARANTINED,
    TARGET_CRASHED,
)
from hibiscusspar_entry.fleet.own_crash import OwnCrash
from hibiscusspar_entry.fleet.refusal_check import RefusalCheck

__all__ = ["CrashExchange"]

# Shortest delay after which a refused request may come again, in seconds.
_MIN_RETRY_S = 10.0
# Time after a broken connection at which the target is called again. A target that has
# crashed refuses connections by then.
_CHECK_DELAY_S = 0.03
# Time for which a broken connection may turn out to have been a crash.
_PENDING_S = 4.0
# Suspects of a crash that a node reports at most, those sent last.
_MAX_SUSPECTS = 64
# Crashes that a node keeps for the next coordinator, and those of a report.
_MAX_OWN_CRASHES = 64
_MAX_REPORTED = 8
# Time in seconds for which reports and views repeat that a suspect was answered, and
# answers of a report, the latest ones.
_ANSWERS_REPEATED_S = 3.0
_MAX_ANSWERS = 64
# Verdicts that a view carries at most, and suspects that may have been answered.
_MAX_VERDICTS = 16
_MAX_TOLD_SUSPECTS = 16
# Those of them that a view repeats in rotation, besides what has changed.
_ROTATED = 4
# Time in seconds since a view told a verdict after which a node asks whether it holds,
# interval between the reports that ask, and verdicts that one asks for at most.
_CONFIRMED_S = 5.0
_ASK_S = 1.0
_MAX_ASKED = 4
# Age of a suspect's last crash beyond which it isn't told any more, in seconds.
_TOLD_S = 30.0
# Interval between removals of what no longer counts, in seconds.
_EXPIRE_S = 1.0
# Crashes of a verdict that a log line lists at most.
_LOGGED_CRASHES = 8


class CrashExchange:
    """Crashes that this node sees, and the verdicts of the whole fleet.

    Parameters
    ----------
    clock : callable
    refuses_connections : callable
        Returns whether a target, and not the path to it, refuses connections.
    call_later : callable
        Calls a function after a delay in seconds.
    may_probe : callable
        Returns whether this node is the one that may send a quarantined request.
    """

    def __init__(self, clock, refuses_connections, call_later, may_probe):
        self._clock = clock
        self._refusal_check = RefusalCheck(refuses_connections, call_later)
        self._requests = Quarantine()
        self._parts = Quarantine(PART_POLICY)
        # Suspects that views have told, and those of them that were to be refused.
        self._told = set()
        self._told_refused = set()
        # Times at which views told the verdicts.
        self._confirmed_at = {}
        self._asked_at = -inf
        self._asked_count = 0
        self._lock = threading.Lock()
        # Callbacks to call once the lock is free.
        self._due_calls = []
        self._may_probe = may_probe
        self._probes = Probes()
        self._own = {}
        self._reporters = {}
        # Times since which answers are told, and of the answers themselves.
        self._answered = {}
        self._coordinator = None
        self._verdict_rotation = EntryRotation(_MAX_VERDICTS)
        self._suspect_rotation = EntryRotation(_MAX_TOLD_SUSPECTS)
        self._expired_at = clock()
        # Number of crashes that this node saw, and of requests that it refused.
        self.crash_count = 0
        self.refused_count = 0
        self.on_quarantined = lambda: None
        self.on_verdict = lambda: None
        self.request_report = lambda: None

    @property
    def quarantined_count(self):
        """Number of quarantined suspects."""
        with self._lock:
            return len(self._quarantined(self._clock()))

    def refused_for(self, request, parts=()):
        """Return for how many more seconds a request is refused, or 0.

        Parameters
        ----------
        request : str
            Its digest.
        parts : sequence of str, optional
            Suspects that stand for parts of its prompt.
        """
        with self._locked() as now:
            return max(
                self._requests.refused_for(now, request),
                self._parts.refused_together(now, parts),
            )

    def retry_in_s(self, request, parts=()):
        """Return the seconds after which a refused request may come again."""
        with self._locked() as now:
            left_s = max(
                self._requests.refused_for(now, request),
                self._parts.refused_together(now, parts),
            )
            probes = [
                self._table(s).probe_in_s(now, s)
                for s in self._refused(now, request, parts)
            ]
            return min(left_s, max([_MIN_RETRY_S, *probes]))

    def start_probe(self, request, parts=()):
        """Return whether a quarantined request may be sent to see if it is sound.

        Only one node may send it, and one request at a time.
        """
        if not self._may_probe():
            return False
        with self._locked() as now:
            requested = {request, *parts}
            refused = self._refused(now, request, parts)
            verdicts = [self._table(s).verdict(s) for s in refused]
            early = []
            for verdict in verdicts:
                suspect = verdict.suspect
                regular_s = self._table(suspect).probe_in_s(now, suspect)
                if self._probes.is_due(now, verdict, regular_s):
                    continue
                if not self._probes.is_early_due(now, verdict):
                    return False
                if not self._is_told_apart(suspect, requested):
                    return False
                early.append(verdict)
            self._probes.start(now, verdicts, early)
            fields = {"suspects": refused}
            write_records([(QUARANTINE_PROBED, fields)])
            return True

    def was_quarantined(self, suspects):
        """Return whether one of some suspects is or was quarantined lately."""
        with self._lock:
            return any(self._table(s).verdict(s) is not None for s in suspects)

    def record_break(self, target, suspects):
        """Record that a connection ended while a target ran a request.

        Parameters
        ----------
        target : Target
        suspects : iterable of str
        """
        if target.draining:
            return
        crash = _crash_id(target)
        with self._locked() as now:
            own = self._own.get(crash)
            if own is not None:
                known = dict.fromkeys([*own.suspects, *suspects])
                own.suspects = list(known)[-_MAX_SUSPECTS:]
                if own.is_confirmed:
                    self._confirm(now, own, "known")
                return
            own = self._own[crash] = OwnCrash(target, now, [*suspects])
        self._check(_CHECK_DELAY_S, own)

    def record_refused_connection(self, target):
        """Record that a target refused a connection, perhaps because it crashed."""
        with self._lock:
            own = self._own.get(_crash_id(target))
        if own is not None and not own.is_confirmed:
            self._check(0.0, own)

    def set_targets(self, targets):
        """Check broken connections against the directory of targets."""
        with self._locked() as now:
            for own in self._own.values():
                known = targets.get(own.target.target_id)
                is_gone = known is None or known.born != own.target.born
                if is_gone and not own.is_confirmed:
                    self._confirm(now, own, "directory")

    def record_answer(self, suspects):
        """Record that a target answered a request, or began to."""
        with self._locked() as now:
            for suspect in suspects:
                self._record_answer(now, suspect, "answer", 0.0)

    def complete_report(self, report):
        """Add what the coordinator doesn't know yet to a report of this node."""
        with self._locked() as now:
            self._expire(now)
            unacked = [
                own
                for own in self._own.values()
                if own.is_confirmed and not own.is_acked
            ]
            for own in unacked[:_MAX_REPORTED]:
                if own.report_number is None:
                    own.report_number = report.number
                row = CrashRow(
                    own.target.target_id,
                    own.target.born,
                    round(now - own.at, 3),
                    own.suspects,
                )
                report.crashes.append(row)
            answers = list(self._recent_answers(now).items())
            report.answered = dict(answers[-_MAX_ANSWERS:])
            report.refused = self._unconfirmed(now)

    def apply_report(self, report):
        """Record the crashes that another node reports to this coordinator."""
        if not report.crashes and not report.answered and not report.refused:
            return
        with self._locked() as now:
            for row in report.crashes:
                crash = (row.target_id, row.born)
                self._record(now, crash, row.suspects, row.age_s, report.node)
                self._tell_answered(now, dict.fromkeys(row.suspects, now))
            for suspect, age_s in report.answered.items():
                self._record_answer(now, suspect, report.node, age_s)
            crashed_at = {s: now - age_s for s, age_s in report.refused.items()}
            self._tell_answered(now, crashed_at)

    def due_verdicts(self, number):
        """Return the verdicts that the view with a number carries."""
        with self._locked() as now:
            verdicts = {v.suspect: v for v in self._quarantined(now)}
            self._lift_explained(now, verdicts)
            answers = self._recent_answers(now)
            lifted = {s: age_s for s, age_s in answers.items() if s in self._told}
            states = {s: v.crashes for s, v in verdicts.items() if s not in lifted}
            states |= dict.fromkeys(lifted, 0)
            due = self._verdict_rotation.due(states, number, _ROTATED)
            suspected = {
                v.suspect: v
                for v in self._parts.suspected()
                if now < v.last_at + _TOLD_S
            }
            states = {s: v.crashes for s, v in suspected.items() if s not in lifted}
            due += self._suspect_rotation.due(states, number, _ROTATED)
            verdicts |= suspected
            self._told &= verdicts.keys() | lifted.keys()
            self._told |= set(due)
            return [
                QuarantineRow(suspect, 0, lifted[suspect], lifted[suspect])
                if suspect in lifted
                else _row(now, verdicts[suspect])
                for suspect in due
            ]

    def apply_view(self, view, node):
        """Record the verdicts of a view, and which crashes its sender knows."""
        with self._locked() as now:
            coordinator = (view.node, view.start)
            if coordinator != self._coordinator:
                self._coordinator = coordinator
                for own in self._own.values():
                    own.report_number, own.is_acked = None, False
            acked = view.acked.get(node, 0)
            for own in self._own.values():
                if own.report_number is not None and own.report_number <= acked:
                    own.is_acked = True
            for row in view.quarantined:
                if row.crashes and row.refused:
                    self._confirmed_at[row.suspect] = now
                self._apply_row(now, row, view.node)

    def apply_verdicts(self, rows, source):
        """Record verdicts that were stored."""
        with self._locked() as now:
            for row in rows:
                self._apply_row(now, row, source)

    def verdict_rows(self):
        """Return the verdicts in force, the latest ones last."""
        with self._lock:
            now = self._clock()
            rows = [_row(now, verdict) for verdict in self._quarantined(now)]
        return sorted(rows, key=lambda row: -row.last_age_s)

    @contextmanager
    def _locked(self):
        """Hold the lock and yield the time, then make the callbacks that are due."""
        with self._lock:
            yield self._clock()
            calls, self._due_calls = self._due_calls, []
        for call in dict.fromkeys(calls):
            call()

    def _apply_row(self, now, row, source):
        table = self._table(row.suspect)
        was_refused = table.refused_for(now, row.suspect) > 0
        if row.crashes == 0:
            table.record_answer(now - row.last_age_s, row.suspect)
            if was_refused:
                write_records([(QUARANTINE_LIFTED, _lifted(row.suspect, source))])
            return
        verdict = Verdict(
            row.suspect,
            row.crashes,
            now - row.first_age_s,
            now - row.last_age_s,
            row.refused,
        )
        if not table.adopt(now, verdict):
            self._tell_answer(now, row.suspect)
        elif not was_refused and table.refused_for(now, row.suspect) > 0:
            self._announce(now, row.suspect, source)

    def _check(self, delay_s, own):
        """Find out whether a target whose connection ended still listens."""
        on_refused = partial(self._confirm_refused, own)
        self._refusal_check.request(delay_s, own.target, on_refused)

    def _confirm_refused(self, own):
        with self._locked() as now:
            if not own.is_confirmed:
                self._confirm(now, own, "refused")

    def _confirm(self, now, own, evidence):
        """Record that a broken connection was a crash of its target."""
        if not own.is_confirmed:
            self.crash_count += 1
            fields = {
                "target": own.target.target_id,
                "born": own.target.born,
                "evidence": evidence,
                "age_s": round(now - own.at, 3),
                "suspects": own.suspects[:_LOGGED_CRASHES],
            }
            write_records([(TARGET_CRASHED, fields)])
        own.is_confirmed = True
        own.report_number, own.is_acked = None, False
        crash = _crash_id(own.target)
        self._record(now, crash, own.suspects, now - own.at, "")
        self._due_calls.append(self.request_report)

    def _table(self, suspect):
        is_part = suspect.partition("-")[0] == PART_SENDER
        return self._parts if is_part else self._requests

    def _refused(self, now, request, parts):
        """Return the suspects for which a request is refused."""
        return [s for s in (request, *parts) if self._is_refused(now, s)]

    def _is_refused(self, now, suspect):
        return self._table(suspect).refused_for(now, suspect) > 0

    def _is_told_apart(self, suspect, requested):
        """Return whether a request tells a suspect apart from other likely causes.

        Each request with a fatal part may have run repeatedly, so requests alone are no
        likely cause of the crashes of a part that was never answered.
        """
        table = self._table(suspect)
        crashes = [
            self._requests.suspects_at(crash) | self._parts.suspects_at(crash)
            for crash in table.crashes_of(suspect)
        ]
        counts = {s: self._table(s).count(s) for s in frozenset().union(*crashes)}
        others = find_other_causes(requested, crashes, counts)
        if table.answered_at(suspect) is not None:
            return bool(others)
        return any(self._table(other) is table for other in others)

    def _quarantined(self, now):
        return self._requests.quarantined(now) + self._parts.quarantined(now)

    def _record(self, now, crash, suspects, age_s, node):
        self._reporters.setdefault(crash, set()).add(node)
        verdicts = []
        for table in (self._requests, self._parts):
            accused = [s for s in suspects if self._table(s) is table]
            verdicts += table.record_crash(now, crash, accused, age_s)
        for verdict in verdicts:
            self._announce(now, verdict.suspect, node or "answer")
        if verdicts:
            self._due_calls.append(self.on_verdict)

    def _record_answer(self, now, suspect, source, age_s):
        table = self._table(suspect)
        was_refused = table.refused_for(now, suspect) > 0
        if table.record_answer(now - age_s, suspect):
            self._tell_answer(now, suspect)
            if was_refused:
                write_records([(QUARANTINE_LIFTED, _lifted(suspect, source))])

    def _lift_explained(self, now, verdicts):
        """Lift the verdicts that later crashes explain otherwise."""
        for suspect in self._told_refused - verdicts.keys():
            if self._table(suspect).verdict(suspect) is None:
                self._answered.setdefault(suspect, (now, now))
        self._told_refused = set(verdicts)

    def _tell_answer(self, now, suspect):
        self._answered.pop(suspect, None)
        self._answered[suspect] = now, now
        self._due_calls.append(self.request_report)

    def _tell_answered(self, now, times):
        """Tell in the next views which suspects of others have been answered.

        Parameters
        ----------
        now : float
        times : dict of str to float
            Suspects, with the time of a crash that their answers must explain.
        """
        for suspect, at in times.items():
            table = self._table(suspect)
            # A crash that counts here isn't explained.
            if table.was_answered(suspect, at) and not table.count(suspect):
                self._told.add(suspect)
                self._answered[suspect] = now, table.answered_at(suspect)

    def _unconfirmed(self, now):
        """Return the age of the last crash of verdicts that no view has told lately.

        They may have been lifted while this node was out of reach.
        """
        if now < self._asked_at + _ASK_S:
            return {}
        self._asked_at = now
        verdicts = [
            verdict
            for verdict in self._quarantined(now)
            if now > self._confirmed_at.get(verdict.suspect, -inf) + _CONFIRMED_S
        ]
        first = self._asked_count % max(1, len(verdicts))
        self._asked_count += _MAX_ASKED
        asked = (verdicts[first:] + verdicts[:first])[:_MAX_ASKED]
        return {v.suspect: round(now - v.last_at, 3) for v in asked}

    def _announce(self, now, suspect, source):
        """Log a verdict and wake the requests that wait."""
        table = self._table(suspect)
        crashes = sorted(table.crashes_of(suspect).items())
        fields = {
            "suspect": suspect,
            "crashes": table.count(suspect),
            "seen": [
                (key[0], round(now - at, 3), sorted(self._reporters.get(key, ())))
                for key, at in crashes[:_LOGGED_CRASHES]
            ],
            "source": source,
            "refused_s": round(table.refused_for(now, suspect), 1),
        }
        write_records([(REQUEST_QUARANTINED, fields)])
        self._due_calls.append(self.on_quarantined)

    def _recent_answers(self, now):
        """Return the suspects that were answered lately, with the age in seconds."""
        self._answered = {
            suspect: times
            for suspect, times in self._answered.items()
            if now < times[0] + _ANSWERS_REPEATED_S
        }
        return {s: round(now - at, 3) for s, (_, at) in self._answered.items()}

    def _expire(self, now):
        if now < self._expired_at + _EXPIRE_S:
            return
        self._expired_at = now
        for table in (self._requests, self._parts):
            table.expire(now)
        self._own = {
            crash: own
            for crash, own in self._own.items()
            if own.is_confirmed or now < own.at + _PENDING_S
        }
        self._probes.expire(now, partial(self._is_refused, now))
        self._confirmed_at = {
            suspect: at
            for suspect, at in self._confirmed_at.items()
            if now < at + _CONFIRMED_S
        }
        while len(self._own) > _MAX_OWN_CRASHES:
            del self._own[next(iter(self._own))]
        while len(self._reporters) > _MAX_OWN_CRASHES:
            del self._reporters[next(iter(self._reporters))]


def _crash_id(target):
    return (target.target_id, target.born)


def _lifted(suspect, source):
    return {"suspect": suspect, "source": source}


def _row(now, verdict):
    return QuarantineRow(
        verdict.suspect,
        verdict.crashes,
        round(now - verdict.first_at, 3),
        round(now - verdict.last_at, 3),
        verdict.is_refused,
    )
