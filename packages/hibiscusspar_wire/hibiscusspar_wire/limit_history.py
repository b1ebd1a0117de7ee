"""Idle limits of which callers may know."""

from math import inf
from typing import NamedTuple

__all__ = ["LimitHistory"]


class _EarlierLimit(NamedTuple):
    """Limit that holds for connections that become idle up to a time."""

    ends_at: float
    seconds: float


class LimitHistory:
    """Limits of the idle time of connections, and until when each was in force.

    A connection is kept for the longest limit of which its caller may have known since
    it became idle.

    Parameters
    ----------
    limit_s : float
    notice_s : float
        Time in seconds after a change until which callers may know the earlier limit
        only.
    """

    def __init__(self, limit_s, notice_s):
        self._notice_s = notice_s
        self._current = _EarlierLimit(inf, limit_s)
        self._earlier = []

    @property
    def current_s(self):
        """Newest limit in seconds."""
        return self._current.seconds

    def change(self, now, limit_s):
        """Record that another limit is in force from ``now`` on."""
        if limit_s == self.current_s:
            return
        self._earlier.append(_EarlierLimit(now + self._notice_s, self.current_s))
        self._current = _EarlierLimit(inf, limit_s)
        longest_s = max(limit.seconds for limit in self._limits)
        # Connections that are idle since then are overdue by any limit.
        self._earlier = [
            limit for limit in self._earlier if limit.ends_at > now - longest_s
        ]

    def keep_until(self, idle_since):
        """Return the time until which a connection is kept that is idle since then."""
        return idle_since + max(
            limit.seconds for limit in self._limits if limit.ends_at >= idle_since
        )

    @property
    def _limits(self):
        return [*self._earlier, self._current]
