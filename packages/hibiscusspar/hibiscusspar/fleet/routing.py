"""Choice of the target for a request, from shared and own counts.

A load spike fills targets within a second. A request goes to the target with the
earliest expected first byte; a node adds the requests that it sent since the last
view to the counts of the view.
"""

from typing import NamedTuple

__all__ = [
    "Candidate",
    "ChoicePolicy",
    "backlog_s",
    "choose_target",
    "first_byte_s",
    "pause_s",
    "reported_backlog_s",
    "running_limit",
]


# The fractional parts of its multiples are evenly spread over [0, 1).
_GOLDEN_RATIO = 0.618


class ChoicePolicy(NamedTuple):
    """Settings of the choice.

    ``prompt_tokens_s`` is the rate at which an engine processes prompts, ``step_s`` the
    time of one decoding step; each running request adds ``request_s`` to a first byte
    and ``step_request_s`` to a step. All are from the users' data sheets. ``chunk_s``
    is the longest step that processes a chunk of a prompt: in replayed days no stream
    of two steps per event paused for longer than twice that. ``other_zone_s`` is the
    time that a target in another zone must save: most of a prompt, because nodes are
    notified at once only of sends to the targets of their own zone. ``max_running`` is
    the number of running requests at which an engine that continuously processes
    prompts still ends the longest streams of the data sheets in time. ``count_lag_s``
    is the average age of counts, of a report and a view; they still include the prompts
    processed since. ``connect_s`` is the time for a new connection: a round trip and
    the time in which the target accepts it.
    """

    prompt_tokens_s: float = 19_200.0
    step_s: float = 0.0095
    request_s: float = 0.002
    step_request_s: float = 0.00007
    chunk_s: float = 0.125
    other_zone_s: float = 0.06
    max_running: int = 44
    count_lag_s: float = 0.15
    connect_s: float = 0.004
    pause_weight: float = 0.1


class Candidate(NamedTuple):
    """A target that could run a request, with its load.

    ``queued_prompt_tokens`` comes from reports, ``queued_s`` is the time to process the
    prompts of which nodes sent notices. ``is_connected`` is whether the node has an
    idle connection to the target. ``factor`` is the factor on the usual times of the
    target's service: above 1 for a slow target.
    """

    target_id: str
    zone: str
    slots: int
    running: int
    queued_prompt_tokens: int
    queued_s: float = 0.0
    is_connected: bool = True
    factor: float = 1.0


def backlog_s(policy, candidate):
    """Return the seconds that a target needs to process its queued prompts.

    Reports cover all nodes but are late; notices are fast but may be lost.
    """
    prompt_s = candidate.queued_prompt_tokens / policy.prompt_tokens_s
    prompt_s *= candidate.factor
    return max(candidate.queued_s, prompt_s - policy.count_lag_s)


def reported_backlog_s(policy, queued_prompt_tokens, factor):
    """Return the part of ``backlog_s`` that reports show, 0 if they show none."""
    prompt_s = queued_prompt_tokens / policy.prompt_tokens_s
    return max(0.0, prompt_s * factor - policy.count_lag_s)


def first_byte_s(policy, candidate, prompt_tokens):
    """Return the expected seconds until a request's first byte from a target."""
    factor = candidate.factor
    own_prompt_s = prompt_tokens / policy.prompt_tokens_s * factor
    prompt_s = backlog_s(policy, candidate) + own_prompt_s
    step_s = policy.step_s * factor
    return prompt_s + step_s + policy.request_s * candidate.running * factor


def pause_s(policy, candidate, prompt_tokens, event_steps):
    """Return the pause of a target's streams if it reads a prompt between two events.

    The prompts that it has queued are read in the same pause.
    """
    step_s = policy.step_s + policy.step_request_s * candidate.running
    own_s = event_steps * step_s + prompt_tokens / policy.prompt_tokens_s
    return backlog_s(policy, candidate) + own_s * candidate.factor


def running_limit(policy, candidate):
    """Return the number of running requests at which a target gets no more.

    A slow target takes longer for each step, so it ends fewer streams in time.
    """
    if candidate.factor == 1.0:
        return min(candidate.slots, policy.max_running)
    return min(candidate.slots, max(1, int(policy.max_running / candidate.factor)))


def choose_target(
    policy, candidates, zone, prompt_tokens, tie_break=0.0, pauses_s=None
):
    """Return the best candidate and its time to the first byte, or None.

    Many nodes see the same idle targets; ties are broken by ``tie_break`` so that they
    don't all choose the first one.

    Parameters
    ----------
    policy : ChoicePolicy
    candidates : iterable of Candidate
    zone : str
        Zone of the node.
    prompt_tokens : int
    tie_break : float, optional
        Number in [0, 1) that spreads requests over equal targets.
    pauses_s : dict of str to float, optional
        Pauses of the running streams by target; by default they don't matter.

    Returns
    -------
    tuple of (Candidate, float) or None
        None if there is no candidate with a free slot.
    """
    best = None
    for index, candidate in enumerate(candidates):
        if candidate.running >= running_limit(policy, candidate):
            continue
        time_s = first_byte_s(policy, candidate, prompt_tokens)
        cost = time_s if candidate.zone == zone else time_s + policy.other_zone_s
        cost += 0.0 if candidate.is_connected else policy.connect_s
        if pauses_s is not None:
            paused_s = candidate.running * pauses_s[candidate.target_id]
            cost += policy.pause_weight * paused_s
        rank = (cost, (tie_break + index * _GOLDEN_RATIO) % 1.0)
        if best is None or rank < best[0]:
            best = (rank, candidate, time_s)
    return None if best is None else (best[1], best[2])
