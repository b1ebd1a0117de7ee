"""Quarantine of requests that crash the targets that run them.

A crash alone doesn't tell which of the requests at the target caused it, so all of them
are suspects, and so are the parts of their prompts. What tells them apart are further
crashes, and answers: what was answered once doesn't crash targets.
"""

from collections import Counter
from hashlib import sha256
from typing import NamedTuple

from xxhash import xxh3_64_hexdigest, xxh3_128_hexdigest

__all__ = [
    "PART_POLICY",
    "PART_SENDER",
    "Quarantine",
    "QuarantinePolicy",
    "Verdict",
    "body_digest",
    "part_suspect",
    "request_digest",
]

_DIGEST_CHARACTERS = 32
_ACCOUNT_CHARACTERS = 8
# Sender of all parts of prompts, which accounts may share.
PART_SENDER = "part"
# Difference in seconds up to which two VMs may place the same crash, as its age
# doesn't contain the time that a message took.
_AGE_TOLERANCE_S = 1.0


def body_digest(body):
    """Return the digest of a request body, 128 bits as hexadecimal digits."""
    return sha256(body).hexdigest()[:_DIGEST_CHARACTERS]


def request_digest(account, method, uri, body):
    """Return a digest of a request that doesn't depend on its id.

    It begins with a digest of the account, so that no account can choose a request
    with the digest of another account's request.

    Parameters
    ----------
    account, method, uri : str
    body : bytes
    """
    fields = "\0".join((account, method, uri)).encode() + b"\0" + body
    account_digest = xxh3_64_hexdigest(account.encode())[:_ACCOUNT_CHARACTERS]
    return f"{account_digest}-{xxh3_128_hexdigest(fields)}"


def part_suspect(name):
    """Return the suspect that stands for a part of prompts with an id."""
    return f"{PART_SENDER}-{xxh3_128_hexdigest(name.encode())}"


class QuarantinePolicy(NamedTuple):
    """Settings of the quarantine; times are in seconds.

    A suspect is quarantined after ``crashes`` crashes if one of them had at most
    ``few_suspects`` others, all with fewer crashes, and after ``shared_crashes`` unless
    a suspect that ran at all of them has more. It is refused for ``refusal_s`` since
    its last crash: the first entry holds after ``crashes`` crashes, the next ones after
    each further crash. Meanwhile one VM may let a single request try again, ``probe_s``
    since the last crash, as a sound request has no other way to be answered.

    A crash doesn't count if the suspect was answered later than ``answer_s`` before it.
    Crashes count for ``retention_s``, those of a quarantined suspect until
    ``probation_s`` after its refusal has ended. At most ``max_suspects`` suspects are
    kept, and the times of the last ``max_answers`` answers.
    """

    crashes: int = 2
    shared_crashes: int = 3
    few_suspects: int = 8
    refusal_s: tuple[float, ...] = (600.0, 3600.0, 86_400.0)
    probe_s: tuple[float, ...] = (10.0, 20.0, 3600.0, 86_400.0)
    retention_s: float = 600.0
    probation_s: float = 600.0
    answer_s: float = 10.0
    max_suspects: int = 2000
    max_answers: int = 4096


# Sound requests share parts, which run at many crashes, so a part needs more of them.
PART_POLICY = QuarantinePolicy(crashes=3, shared_crashes=4, few_suspects=1000)


class Verdict(NamedTuple):
    """Crashes of a suspect, the first and the last of them, and whether it is refused.

    A suspect that isn't refused is told to other VMs that may have answered it.
    """

    suspect: str
    crashes: int
    first_at: float
    last_at: float
    is_refused: bool = True


class Quarantine:
    """Suspects with the crashes of targets that ran them.

    A suspect is a string, such as a digest of a request. The part of it before the
    first hyphen names who sent it: if there are too many suspects, the oldest one of
    the sender with most suspects is forgotten.

    Parameters
    ----------
    policy : QuarantinePolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or QuarantinePolicy()
        # Times of crashes by suspect, and suspects by crash.
        self._rows = {}
        self._suspects = {}
        # Verdicts of other VMs by suspect.
        self._adopted = {}
        self._answered_at = {}

    def __len__(self):
        return len(self._rows.keys() | self._adopted.keys())

    def record_crash(self, now, crash, suspects, age_s=0.0):
        """Record a crash of a target.

        Parameters
        ----------
        now : float
        crash : hashable
            Identifies the crash at all VMs that saw it, such as the incarnation.
        suspects : iterable of str
            Requests that ran at the target.
        age_s : float, optional

        Returns
        -------
        list of Verdict
            Suspects that are quarantined since this crash.
        """
        at = now - age_s
        suspects = [s for s in dict.fromkeys(suspects) if not self.was_answered(s, at)]
        before = {s for s in suspects if self.refused_for(now, s)}
        for suspect in suspects:
            crashes = self._rows.setdefault(suspect, {})
            crashes[crash] = max(at, crashes.get(crash, at))
            self._suspects.setdefault(crash, set()).add(suspect)
        self._evict()
        verdicts = (self.verdict(s) for s in suspects if s not in before)
        return [v for v in verdicts if v is not None and self._until(v) > now]

    def record_answer(self, now, suspect):
        """Record that a request was answered, and return whether it was a suspect.

        Its earlier crashes had another cause.
        """
        earlier = self._answered_at.pop(suspect, now)
        self._answered_at[suspect] = max(now, earlier)
        if len(self._answered_at) > self._policy.max_answers:
            del self._answered_at[next(iter(self._answered_at))]
        was_suspect = suspect in self._rows or suspect in self._adopted
        self._remove(suspect)
        return was_suspect

    def adopt(self, now, verdict):
        """Record the verdict of another VM unless an answer has disproved it.

        Returns
        -------
        bool
            False if the suspect was answered after its first crash.
        """
        suspect = verdict.suspect
        if self.was_answered(suspect, verdict.first_at):
            return False
        known = self._adopted.get(suspect)
        if known is None or (known.crashes, known.is_refused) < (
            verdict.crashes,
            verdict.is_refused,
        ):
            self._adopted[suspect] = verdict
            self._evict()
        return True

    def answered_at(self, suspect):
        """Return the time of the last known answer, None if there is none."""
        return self._answered_at.get(suspect)

    def was_answered(self, suspect, crashed_at):
        """Return whether a crash at a time doesn't count for a suspect."""
        answered_at = self._answered_at.get(suspect)
        return (
            answered_at is not None
            and answered_at >= crashed_at - self._policy.answer_s
        )

    def count(self, suspect):
        """Return the number of crashes of a suspect."""
        crashes = self._rows.get(suspect, {})
        adopted = self._adopted.get(suspect)
        if adopted is None:
            return len(crashes)
        later = adopted.last_at + _AGE_TOLERANCE_S
        added = adopted.crashes + sum(at > later for at in crashes.values())
        return max(len(crashes), added)

    def verdict(self, suspect):
        """Return the verdict on a suspect, or None if it isn't quarantined.

        It may have expired.
        """
        crashes = self._rows.get(suspect, {})
        adopted = self._adopted.get(suspect)
        is_adopted = adopted is not None and adopted.is_refused
        if not is_adopted and not self._is_to_blame(suspect, crashes):
            return None
        times = self._times(suspect)
        return Verdict(suspect, self.count(suspect), min(times), max(times))

    def refused_for(self, now, suspect):
        """Return for how many more seconds a suspect is refused, or 0."""
        if suspect not in self._rows and suspect not in self._adopted:
            return 0.0
        verdict = self.verdict(suspect)
        return 0.0 if verdict is None else max(0.0, self._until(verdict) - now)

    def probe_in_s(self, now, suspect):
        """Return the seconds until one request may try again, 0 if it may now.

        Parameters
        ----------
        now : float
        suspect : str
            A quarantined suspect.
        """
        verdict = self.verdict(suspect)
        probe_s = _entry(self._policy.probe_s, verdict.crashes - self._policy.crashes)
        return max(0.0, verdict.last_at + probe_s - now)

    def refused_together(self, now, suspects):
        """Return for how many more seconds a request with some suspects is refused.

        Suspects that ran at the same crashes can't be told apart, so they are refused
        only together. A request with one of them then tells whether it is to blame.
        """
        verdicts = [self.verdict(s) for s in suspects if self.refused_for(now, s) > 0]
        if not verdicts:
            return 0.0
        others = [v for v in self.quarantined(now) if v.suspect not in suspects]
        left_s = [
            self._until(verdict) - now
            for verdict in verdicts
            if not any(_are_alike(verdict, other) for other in others)
        ]
        return max(left_s, default=0.0)

    def suspected(self):
        """Return the suspects of known crashes that aren't quarantined."""
        return [
            Verdict(s, len(crashes), min(times), max(times), is_refused=False)
            for s, crashes in self._rows.items()
            if self.verdict(s) is None
            for times in [crashes.values()]
        ]

    def quarantined(self, now):
        """Return the verdicts in force."""
        verdicts = map(self.verdict, sorted(self._rows.keys() | self._adopted.keys()))
        return [v for v in verdicts if v is not None and now < self._until(v)]

    def crashes_of(self, suspect):
        """Return the times of the crashes of a suspect that this VM was told of."""
        return dict(self._rows.get(suspect, {}))

    def suspects_at(self, crash):
        """Return the suspects that ran at a crash."""
        return frozenset(self._suspects.get(crash, ()))

    def expire(self, now):
        """Remove what no longer counts; return the suspects that were quarantined."""
        known = self._rows.keys() | self._adopted.keys()
        removed = sorted(s for s in known if self._ends_at(s) <= now)
        quarantined = [s for s in removed if self.verdict(s) is not None]
        for suspect in removed:
            self._remove(suspect)
        return quarantined

    def _is_to_blame(self, suspect, crashes):
        count = len(crashes)
        if count < self._policy.crashes:
            return False
        others = [self._suspects[crash] - {suspect} for crash in crashes]
        if any(
            len(beside) <= self._policy.few_suspects
            and all(len(self._rows[o]) < count for o in beside)
            for beside in others
        ):
            return True
        if count < self._policy.shared_crashes:
            return False
        # One that ran at all of its crashes and at others explains them.
        always_beside = set.intersection(*others)
        return all(len(self._rows[o]) <= count for o in always_beside)

    def _until(self, verdict):
        index = verdict.crashes - self._policy.crashes
        return verdict.last_at + _entry(self._policy.refusal_s, index)

    def _ends_at(self, suspect):
        verdict = self.verdict(suspect)
        if verdict is not None:
            return self._until(verdict) + self._policy.probation_s
        return max(self._times(suspect)) + self._policy.retention_s

    def _times(self, suspect):
        times = list(self._rows.get(suspect, {}).values())
        adopted = self._adopted.get(suspect)
        if adopted is not None:
            times += adopted.first_at, adopted.last_at
        return times

    def _remove(self, suspect):
        self._adopted.pop(suspect, None)
        for crash in self._rows.pop(suspect, ()):
            self._suspects[crash].discard(suspect)
            if not self._suspects[crash]:
                del self._suspects[crash]

    def _evict(self):
        while len(self) > self._policy.max_suspects:
            known = [*self._rows, *self._adopted]
            senders = Counter(suspect.partition("-")[0] for suspect in known)
            sender, _ = senders.most_common(1)[0]
            of_sender = [s for s in known if s.partition("-")[0] == sender]
            spared = [s for s in of_sender if self.verdict(s) is None]
            self._remove((spared or of_sender)[0])


def _entry(values, index):
    """Return the entry of a tuple, the first or the last one if the index is beyond."""
    return values[max(0, min(index, len(values) - 1))]


def _are_alike(verdict, other):
    """Return whether two suspects seem to have run at the same crashes."""
    return (
        verdict.crashes == other.crashes
        and abs(verdict.first_at - other.first_at) < _AGE_TOLERANCE_S
        and abs(verdict.last_at - other.last_at) < _AGE_TOLERANCE_S
    )
