"""Probes: single requests that try whether quarantined suspects are sound."""

from collections import Counter
from math import inf
from typing import NamedTuple

__all__ = ["ProbePolicy", "Probes", "find_other_causes"]

# Crashes from which on a suspect may explain those of another one.
_REPEATED = 2
# Crashes of a suspect that nothing else needs to explain.
_MAX_UNEXPLAINED = 1


class ProbePolicy(NamedTuple):
    """Settings of probes; times are in seconds.

    A probe may take ``probe_s``, then the next one may start. One that tells a suspect
    apart from the others of its crashes starts earlier, ``early_s`` after the last
    crash and ``early_gap_s`` after the last probe, but only ``max_early`` times.
    """

    probe_s: float = 10.0
    early_s: float = 1.0
    early_gap_s: float = 2.0
    max_early: int = 2


class Probes:
    """Probes that one VM has started.

    Parameters
    ----------
    policy : ProbePolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or ProbePolicy()
        self._started_at = {}
        # Number of early probes by suspect.
        self._early = Counter()

    def is_due(self, now, verdict, regular_s):
        """Return whether a probe of a suspect may start.

        Parameters
        ----------
        now : float
        verdict : Verdict
        regular_s : float
            Seconds until one is due by the number of crashes.
        """
        started_at = self._started_at.get(verdict.suspect, -inf)
        return regular_s <= 0 and now >= started_at + self._policy.probe_s

    def is_early_due(self, now, verdict):
        """Return whether a probe may start that tells a suspect apart."""
        policy = self._policy
        started_at = self._started_at.get(verdict.suspect, -inf)
        return (
            self._early[verdict.suspect] < policy.max_early
            and now >= verdict.last_at + policy.early_s
            and now >= started_at + policy.early_gap_s
        )

    def start(self, now, verdicts, early):
        """Record a probe.

        Parameters
        ----------
        now : float
        verdicts : iterable of Verdict
            Verdicts on the suspects that the request has.
        early : iterable of Verdict
            Those of them on which no probe was due otherwise.
        """
        self._started_at |= {v.suspect: now for v in verdicts}
        self._early.update(v.suspect for v in early)

    def expire(self, now, is_refused):
        """Forget old probes, and the early ones of suspects that aren't refused.

        Parameters
        ----------
        now : float
        is_refused : callable
            Returns whether a suspect is refused.
        """
        self._started_at = {
            suspect: at
            for suspect, at in self._started_at.items()
            if now < at + self._policy.probe_s
        }
        early = {s: count for s, count in self._early.items() if is_refused(s)}
        self._early = Counter(early)


def find_other_causes(requested, crashes, counts):
    """Return the other suspects that may have caused the crashes of a suspect.

    They ran repeatedly, explain the crashes, all but one, and the request has none of
    them, so it tells them apart from the suspect. Those that ran at all of the crashes
    can't be told apart, so the request may have them.

    Parameters
    ----------
    requested : set of str
        Suspects that the request has.
    crashes : sequence of set of str
        Suspects that ran at each crash of the suspect.
    counts : mapping of str to int
        Crashes of each of them.

    Returns
    -------
    set of str
        Empty if they don't explain the crashes, or the request has one of them.
    """
    if not crashes:
        return set()
    repeated = {s for ran in crashes for s in ran if counts[s] >= _REPEATED}
    always = set.intersection(*map(set, crashes))
    others = repeated - requested
    unexplained = sum(others.isdisjoint(ran) for ran in crashes)
    if requested & (repeated - always) or unexplained > _MAX_UNEXPLAINED:
        return set()
    return others
