"""Exact oracle that checks the limit of an account over every interval.

An ideal token bucket has the whole limit. Each request debits the tokens it used at
the time of its admission; the level must never fall below zero.
"""

TOLERANCE = 1e-6


class Oracle:
    """Ideal bucket of one account over the whole fleet."""

    def __init__(self, limit):
        self._limits = [(0.0, *limit)]
        self._admitted = {}

    def set_limit(self, now, limit):
        if self._limits[-1][1:] != limit:
            self._limits.append((now, *limit))

    def admit(self, key, now, tokens):
        self._admitted[key] = (now, tokens)

    def settle(self, key, used):
        self._admitted[key] = (self._admitted[key][0], used)

    @property
    def total(self):
        return sum(tokens for _, tokens in self._admitted.values())

    def lowest(self):
        """Return the lowest level of the ideal bucket so far."""
        events = [(at, 1, tokens, 0.0) for at, tokens in self._admitted.values()]
        events += [(at, 0, rate, cap) for at, rate, cap in self._limits]
        rate, cap, level, last = 0.0, float("inf"), None, 0.0
        lowest = float("inf")
        for at, is_admission, first, second in sorted(events):
            if level is not None:
                level = min(cap, level + rate * (at - last))
            last = at
            if is_admission:
                level -= first
                lowest = min(lowest, level)
            else:
                rate, cap = first, second
                level = cap if level is None else min(cap, level)
        return lowest
