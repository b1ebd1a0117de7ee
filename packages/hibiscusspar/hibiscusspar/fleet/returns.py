"""Times at which refused callers are told to return.

Callers who are all told to return after the time that a queue needs now come back
together. So each is told the first step of time in which there is room left for its
prompt, beside those that others were told to bring.
"""

from itertools import zip_longest

__all__ = ["STEP_S", "ReturnBook", "add_steps", "first_free_step", "shift_steps"]

# Length of a step in seconds: coarse enough for the age of views in a large fleet.
STEP_S = 0.5
# Steps for which returns are counted. Callers with deadlines of some 15 s rarely
# return later.
_STEPS = 16


def first_free_step(room_per_s, booked, tokens, ahead=0.0, position=0.0, first=0):
    """Return the index of the first step with room for a caller.

    Each node learns late what others have announced. So the callers of one moment
    are spread over the room for all of them. An empty step takes a prompt of any size.

    Parameters
    ----------
    room_per_s : float
        Prompt tokens a second that returning callers may bring.
    booked : sequence of float
        Tokens that they were told to bring, by step.
    tokens : int
        Size of the prompt of the caller.
    ahead : float, optional
        Tokens that all nodes are expected to announce before their counts meet.
    position : float, optional
        Position of the caller among those, in [0, 1).
    first : int, optional
        First step that may be chosen.

    Returns
    -------
    int
        If there isn't room for all, the last step is followed by the first again.
    """
    room = room_per_s * STEP_S
    steps = range(min(first, _STEPS - 1), _STEPS)
    before = ahead * position
    for step in steps:
        taken = before + (booked[step] if step < len(booked) else 0.0)
        if taken + tokens <= room or (taken <= 0.0 < room):
            return step
        before = max(0.0, taken - room)
    return steps[int(position * len(steps))]


class ReturnBook:
    """Returns that one node has announced, until their time is over."""

    def __init__(self):
        self._rows = []

    def record(self, now, return_at, tokens):
        """Record that a caller was told at ``now`` to return."""
        self._rows = [row for row in self._rows if row[1] > now]
        self._rows.append((now, return_at, tokens))

    def steps(self, now, since=None):
        """Return the tokens announced by steps from now on.

        Parameters
        ----------
        now : float
        since : float, optional
            Time up to which announcements are left out.

        Returns
        -------
        list of int
            Without the steps of 0 at the end.
        """
        steps = [0] * _STEPS
        for announced_at, return_at, tokens in self._rows:
            if return_at > now and (since is None or announced_at > since):
                steps[min(_STEPS - 1, int((return_at - now) / STEP_S))] += tokens
        while steps and not steps[-1]:
            steps.pop()
        return steps


def shift_steps(steps, elapsed_s):
    """Return steps as counted ``elapsed_s`` later, a step split between two."""
    whole, part = divmod(max(0.0, elapsed_s) / STEP_S, 1.0)
    rest = [*steps[int(whole) :], 0]
    return [
        rest[index] * (1.0 - part) + rest[index + 1] * part
        for index in range(len(rest) - 1)
    ]


def add_steps(*rows):
    """Return the sums of several lists of steps."""
    return [sum(step) for step in zip_longest(*rows, fillvalue=0)]
