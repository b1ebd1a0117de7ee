"""Choice of the streams that move because their target is slow.

A stream at a target that became several times slower would be ended by its caller's
deadline. Factors of targets may be wrong, and short slow periods are usual, so a target
must have been slow for a while, and only a part of its streams leaves at a time.
"""

from collections import Counter
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

__all__ = ["RecentPace", "ReliefPolicy", "ReliefRow", "StreamRelief"]

_HASH_RANGE = 2.0**64
# Time in seconds over which the pace of a stream is taken, and between its samples.
_PACE_S = 1.0
_MARK_S = 0.2


class ReliefPolicy(NamedTuple):
    """Settings of the choice; times in seconds.

    A target is slow once its factor has been ``min_factor`` or more for ``lasting_s``,
    which is longer than usual slow periods (0.6 s). A stream is late if it would end
    after ``deadline_share`` of the time that its caller gives it. The factor of a
    destination is at most ``destination_share`` of that of the source. A factor that
    is older than ``max_age_s`` isn't used.

    A node moves ``moves_per_s`` streams of a target in a second. At most
    ``leaving_share`` of a target's streams leave in a second. As nodes choose
    independently, each stream that is late leaves with the probability ``slot_share``
    in each ``slot_s``, any other one with ``calm_share``, and none does once views show
    that so many have left.

    Nothing moves while more than ``max_slow_share`` of the targets of a service have a
    factor of ``slow_factor``, from which on the usual speed is that of a possible
    destination. ``min_left_s`` is the time that a stream must still need,
    as a call for a copy takes up to 0.5 s.
    """

    min_factor: float = 3.0
    lasting_s: float = 1.0
    deadline_share: float = 0.9
    destination_share: float = 0.5
    max_age_s: float = 1.5
    moves_per_s: int = 2
    leaving_share: float = 0.5
    slot_s: float = 0.25
    slot_share: float = 0.125
    calm_share: float = 0.03
    max_slow_share: float = 0.25
    slow_factor: float = 2.0
    min_left_s: float = 0.5


class ReliefRow(NamedTuple):
    """Running stream that hasn't been moved for relief yet.

    Priority 0 is the highest. ``expected_events`` is None if it isn't known, ``gap_s``
    is the mean time between its events in seconds, ``recent_gap_s`` that between the
    ones of the last second; both are None if they aren't known.
    ``attempt_s`` is the time for which it has run at its target, ``arrived`` the time
    of its request and ``ends_at`` the deadline of its caller.
    """

    key: object
    request_id: str
    target_id: str
    priority: int
    events: int
    expected_events: int | None
    gap_s: float | None
    recent_gap_s: float | None
    attempt_s: float
    arrived: float
    ends_at: float

    def left_s(self, gap_s):
        """Return the seconds that it still needs at a pace, None if unknown."""
        if self.expected_events is None or gap_s is None:
            return None
        left = self.expected_events - self.events
        # A stream that is longer than expected may have any length.
        return left * gap_s if left > 0 else None


class StreamRelief:
    """Factors of targets over the last second, and the streams that leave slow ones.

    Parameters
    ----------
    policy : ReliefPolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or ReliefPolicy()
        self._targets = {}
        # Incarnation and times with factors, oldest first, by target.
        self._history = {}
        # Least factor of all targets, so that most sources need no search.
        self._least = 1.0
        self._blocked = frozenset()
        self._moved_at = {}
        # Times with the numbers of running streams of the last second, by target.
        self._running = {}

    def record(self, now, targets, speeds):
        """Record the directory and the factors that are known.

        Parameters
        ----------
        now : float
        targets : dict of str to Target
        speeds : dict of str to object
            Rows with ``born``, ``factor`` and ``as_of``, the time that the factor is
            of. Targets without a row have the usual speed.
        """
        self._targets = targets
        history = {}
        for target_id, row in speeds.items():
            target = targets.get(target_id)
            if target is None or target.born != row.born:
                continue
            born, points = self._history.get(target_id, (row.born, ()))
            if born != row.born:
                points = ()
            if not points or row.as_of > points[-1][0]:
                points = (*points, (row.as_of, row.factor))
            begins = row.as_of - self._policy.lasting_s
            # One point before the period tells the factor at its beginning.
            while len(points) > 1 and points[1][0] <= begins:
                points = points[1:]
            if now <= points[-1][0] + self._policy.max_age_s:
                history[target_id] = (row.born, points)
        self._history = history
        self._least = min([1.0, *(points[-1][1] for _, points in history.values())])
        self._running = {t: self._running[t] for t in history if t in self._running}
        self._blocked = self._blocked_services()
        self._moved_at = {
            target_id: recent
            for target_id, times in self._moved_at.items()
            if (recent := [at for at in times if at > now - 1.0])
        }

    def factor(self, target_id):
        """Return the newest factor of a target, 1 if it isn't known."""
        row = self._history.get(target_id)
        return row[1][-1][1] if row is not None else 1.0

    def lasting_factor(self, target_id):
        """Return the least factor of a target in the last second, 1 if it is newer."""
        row = self._history.get(target_id)
        if row is None:
            return 1.0
        points = row[1]
        if points[-1][0] - points[0][0] < self._policy.lasting_s:
            return 1.0
        return min(factor for _, factor in points)

    def is_slow(self, target_id):
        """Return whether all streams of a target may leave it."""
        return (
            self.lasting_factor(target_id) >= self._policy.min_factor
            and self._targets[target_id].service not in self._blocked
        )

    def unsuitable(self, target_id):
        """Return the targets that are too slow to get streams of a target."""
        limit = self.lasting_factor(target_id) * self._policy.destination_share
        return {name for name in self._targets if self.factor(name) > limit}

    def select(self, now, rows, running):
        """Return the streams to move, the most valuable ones first.

        Parameters
        ----------
        now : float
        rows : iterable of ReliefRow
        running : callable
            Returns the number of streams that run at a target, of all nodes.

        Returns
        -------
        list of ReliefRow
        """
        by_target = {}
        for row in rows:
            by_target.setdefault(row.target_id, []).append(row)
        chosen = []
        for target_id, streams in by_target.items():
            room = self._policy.moves_per_s - len(self._moved_at.get(target_id, ()))
            if room <= 0 or not self._has_destination(target_id):
                continue
            shares = self._shares(now, target_id, max(len(streams), running(target_id)))
            slot = int(now / self._policy.slot_s)
            is_slow = self.is_slow(target_id)
            leaving = [
                row
                for row in streams
                if _fraction(row.request_id, slot)
                < shares[self._is_late(now, row, is_slow)]
                and self._outlasts_a_move(row)
            ]
            chosen += sorted(leaving, key=_value)[:room]
        return sorted(chosen, key=_value)

    def record_move(self, now, target_id):
        """Record that a stream of a target is being moved."""
        self._moved_at.setdefault(target_id, []).append(now)

    def _blocked_services(self):
        slow = Counter(
            self._targets[target_id].service
            for target_id in self._history
            if self.factor(target_id) >= self._policy.slow_factor
        )
        if not slow:
            return frozenset()
        counts = Counter(target.service for target in self._targets.values())
        limit = self._policy.max_slow_share
        return frozenset(name for name, n in slow.items() if n > limit * counts[name])

    def _has_destination(self, target_id):
        source = self._targets.get(target_id)
        if source is None or source.service in self._blocked:
            return False
        limit = self.lasting_factor(target_id) * self._policy.destination_share
        return limit >= self._least and any(
            self.factor(name) <= limit
            for name, target in self._targets.items()
            if target.service == source.service and not target.draining
        )

    def _is_late(self, now, row, is_slow):
        """Return whether a stream would end too near to its caller's deadline.

        The pace of the last second shows at once that a target is slow, but at another
        target a slow period lowers it for too many streams.
        """
        left_s = row.left_s(row.recent_gap_s if is_slow else row.gap_s)
        if left_s is None or row.attempt_s < self._policy.lasting_s:
            return False
        allowed_s = (row.ends_at - row.arrived) * self._policy.deadline_share
        return now + left_s > row.arrived + allowed_s

    def _outlasts_a_move(self, row):
        left_s = row.left_s(row.recent_gap_s)
        return left_s is None or left_s >= self._policy.min_left_s

    def _shares(self, now, target_id, running):
        """Return the probabilities with which streams in time and late ones leave."""
        rows = [row for row in self._running.get(target_id, ()) if row[0] > now - 1.0]
        self._running[target_id] = [*rows, (now, running)]
        most = max(count for _, count in self._running[target_id])
        is_slow = self.is_slow(target_id)
        if most <= 1:
            return float(is_slow), 1.0
        if running - 1 < most * (1.0 - self._policy.leaving_share):
            return 0.0, 0.0
        return self._policy.calm_share * is_slow, self._policy.slot_share


class RecentPace:
    """Pace of a stream over its last second, as a target may become slow meanwhile.

    Parameters
    ----------
    now : float
    events : int
        Events so far.
    """

    def __init__(self, now, events):
        self._marks = [(now, events)]

    def gap_s(self, now, events):
        """Return the mean time between events in seconds, None before the first."""
        if now >= self._marks[-1][0] + _MARK_S:
            self._marks.append((now, events))
        while len(self._marks) > 1 and self._marks[1][0] <= now - _PACE_S:
            del self._marks[0]
        at, before = self._marks[0]
        if events > before:
            return (now - at) / (events - before)
        # Without an event for so long, the gap is at least that.
        return now - at if now >= at + _PACE_S else None


def _value(row):
    left = 0 if row.expected_events is None else row.expected_events - row.events
    return row.priority, -left


def _fraction(request_id, slot):
    """Return the number in [0, 1) that decides whether a stream leaves in a slot."""
    return xxh3_64_intdigest(f"{request_id}\0{slot}".encode()) / _HASH_RANGE
