"""Which target runs a request: a node's decision from shared and own counts.

Load pattern: targets fill up within a second of a crowd's arrival. A request goes
where its first byte comes soonest; nodes count what they sent since the last view
on top of it.
"""

from typing import NamedTuple

__all__ = [
    "Candidate",
    "ChoicePolicy",
    "backlog_s",
    "choose_target",
    "first_byte_s",
]


# Multiples of it lie far apart modulo one.
_GOLDEN_RATIO = 0.618


class ChoicePolicy(NamedTuple):
    """Settings of the choice.

    ``prompt_tokens_s`` is how fast an engine reads prompts, ``step_s`` the time of
    one decoding step; each running request adds ``request_s`` to a first byte and
    ``step_request_s`` to a step. All are from the users' sheets. ``piece_s`` is the
    longest step that reads a piece of a prompt: in played days no stream of two steps
    an event paused for longer than twice that. ``zone_s`` is what
    crossing to another zone must save: most of a prompt, because nodes are told at once
    only of what goes to the targets of their own zone. ``max_running`` is the number
    of running requests at which an engine that reads prompts all the while still ends
    the longest streams of the sheets in time. ``count_lag_s`` is how old counts are on
    average, a report and a view; what an engine read meanwhile is still in them.
    """

    prompt_tokens_s: float = 19_200.0
    step_s: float = 0.0095
    request_s: float = 0.002
    step_request_s: float = 0.00007
    piece_s: float = 0.125
    zone_s: float = 0.06
    max_running: int = 44
    count_lag_s: float = 0.15


class Candidate(NamedTuple):
    """A target that could run a request, with the load counted for it.

    ``queued_prompt_tokens`` are from reports, ``queued_s`` is the time to read what
    all nodes told that they sent.
    """

    target_id: str
    zone: str
    slots: int
    running: int
    queued_prompt_tokens: int
    queued_s: float = 0.0


def backlog_s(policy, candidate):
    """Return the seconds in which a target reads the prompts that it has.

    Reports tell of all nodes, but late; notices are soon there, but may be lost.
    """
    read_s = candidate.queued_prompt_tokens / policy.prompt_tokens_s
    return max(candidate.queued_s, read_s - policy.count_lag_s)


def first_byte_s(policy, candidate, prompt_tokens):
    """Return the seconds until a request's first byte at a target."""
    read_s = backlog_s(policy, candidate) + prompt_tokens / policy.prompt_tokens_s
    return read_s + policy.step_s + policy.request_s * candidate.running


def choose_target(policy, candidates, zone, prompt_tokens, turn=0.0):
    """Return the best candidate and its time to the first byte, or None.

    Load pattern: many nodes see the same idle targets, and would all take the first.

    Parameters
    ----------
    policy : ChoicePolicy
    candidates : iterable of Candidate
    zone : str
        Zone of the node.
    prompt_tokens : int
    turn : float, optional
        Number in [0, 1) that spreads requests over targets that are equal.

    Returns
    -------
    tuple of (Candidate, float) or None
        None if there is no candidate with a free slot.
    """
    best = None
    for index, candidate in enumerate(candidates):
        if candidate.running >= min(candidate.slots, policy.max_running):
            continue
        time_s = first_byte_s(policy, candidate, prompt_tokens)
        cost = time_s if candidate.zone == zone else time_s + policy.zone_s
        rank = (cost, (turn + index * _GOLDEN_RATIO) % 1.0)
        if best is None or rank < best[0]:
            best = (rank, candidate, time_s)
    return None if best is None else (best[1], best[2])
