"""Whether a request is sent, waits or is refused: a node's decision.

Load patterns: more requests than engines can read in time, where each further one
would make all late; and requests for adapters that are on their way. A request is
sent where its first byte still comes within its aim, waits while that can become
true, and is refused as soon as it can't.
"""

from typing import NamedTuple

from hibiscusspar.fleet.routing import ChoicePolicy, backlog_s, choose_target

__all__ = ["Job", "Refuse", "Send", "Wait", "WaitPolicy", "decide", "job_sort_key"]


class WaitPolicy(NamedTuple):
    """Settings of waiting; times in seconds.

    ``aim_share`` is the part of the time left to the aim that a first byte may
    take by estimate; the rest is for errors of the estimate. ``late_s`` is the
    estimate up to which a request past its aim is still sent. ``retry_s`` is the
    shortest time to come back, ``retry_spread_s`` spreads those who were refused
    together. ``gap_share`` is the part of the longest pause that prompts and the steps
    of one event may fill; where the steps can't fill it, ``most_backlog_s`` is the
    backlog up to which it gets more, about half an aim. Each request is judged as if
    its prompt had ``usual_prompt_tokens``.
    """

    aim_share: float = 0.85
    late_s: float = 0.25
    retry_s: float = 0.3
    retry_spread_s: float = 0.7
    usual_prompt_tokens: int = 1200
    gap_share: float = 0.75
    most_backlog_s: float = 0.45


class Job(NamedTuple):
    """A request that needs a target.

    ``key`` is its model and adapter, empty texts if it names none. ``give_up_at``
    is when it is refused if it found no target. ``max_gap_s`` is the longest pause that
    the streams of its service may make, 0 if they have none, and ``event_steps`` the
    decoding steps of one event. ``excluded`` holds the targets it must not go to
    again.
    """

    request_id: str
    service: str
    key: tuple[str, str]
    priority: int
    prompt_tokens: int
    arrived: float
    first_byte_slo_s: float
    give_up_at: float
    fraction: float
    max_gap_s: float = 0.0
    event_steps: int = 1
    excluded: frozenset[str] = frozenset()


class Send(NamedTuple):
    """The request goes to a target; ``first_byte_s`` is the estimate."""

    target_id: str
    first_byte_s: float


class Wait(NamedTuple):
    """The request waits; ``reason`` tells for what."""

    reason: str


class Refuse(NamedTuple):
    """The request is refused and did not run."""

    reason: str
    retry_after_s: float


def job_sort_key(now, job, policy=None):
    """Return the sorting key of waiting jobs, the next one first.

    Load pattern: when more comes than can be served, first come first served makes
    all late. Jobs that can still be in time go first, by priority and arrival;
    the others take what is left.
    """
    policy = policy or WaitPolicy()
    is_late = now > job.arrived + job.first_byte_slo_s * policy.aim_share
    return (is_late, job.priority, job.arrived)


def decide(now, job, candidates, zone, choice=None, policy=None):
    """Decide about one request.

    Parameters
    ----------
    now : float
    job : Job
    candidates : list of Candidate
        Targets that hold what the job needs.
    zone : str
        Zone of the node.
    choice : ChoicePolicy, optional
    policy : WaitPolicy, optional

    Returns
    -------
    Send, Wait or Refuse
    """
    choice = choice or ChoicePolicy()
    policy = policy or WaitPolicy()
    gentle = [row for row in candidates if _keeps_pace(choice, policy, job, row)]
    best = choose_target(choice, gentle, zone, job.prompt_tokens, job.fraction)
    left_s = job.arrived + job.first_byte_slo_s - now
    wait_s = job.give_up_at - now
    if best is not None:
        candidate, time_s = best
        # Large requests earn more; they get the same part of the engines as others.
        time_s += (policy.usual_prompt_tokens - job.prompt_tokens) / (
            choice.prompt_tokens_s
        )
        if time_s <= max(left_s * policy.aim_share, policy.late_s):
            return Send(candidate.target_id, time_s)
        # A backlog shrinks by at most a second in a second.
        if time_s - wait_s > policy.late_s:
            return _refuse(policy, job, "busy", time_s - policy.late_s)
    if wait_s <= 0:
        reason = "busy" if candidates else "no target"
        return _refuse(policy, job, reason, policy.retry_s)
    return Wait("busy" if candidates else "adapter not resident")


def _keeps_pace(choice, policy, job, candidate):
    """Return whether the streams of a target still keep their pace beside a job.

    Load pattern: prompts that come at once are read one after the other between the
    steps of running streams, which all pause meanwhile. A prompt that is too large by
    itself goes where no other one waits.
    """
    if not job.max_gap_s or not candidate.running:
        return True
    backlog = backlog_s(choice, candidate)
    if job.event_steps * choice.piece_s < job.max_gap_s:
        return backlog <= policy.most_backlog_s
    steps_s = job.event_steps * (
        choice.step_s + choice.step_request_s * candidate.running
    )
    room_s = job.max_gap_s * policy.gap_share - steps_s
    own_s = job.prompt_tokens / choice.prompt_tokens_s
    return backlog <= max(0.0, room_s - own_s)


def _refuse(policy, job, reason, wait_s):
    spread_s = policy.retry_spread_s * job.fraction
    return Refuse(reason, max(policy.retry_s, wait_s) + spread_s)
