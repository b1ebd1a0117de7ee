"""Decision of a node to send a request, let it wait or refuse it.

Under overload each further request would make all late, and some requests need an
adapter that is still loading. A request is sent if a target can deliver its
first byte in time, waits while that may still become possible, and is refused as soon
as it can't.
"""

from math import inf
from typing import NamedTuple

from hibiscusspar.fleet.routing import ChoicePolicy, backlog_s, choose_target, pause_s

__all__ = [
    "Job",
    "Refuse",
    "Send",
    "Wait",
    "WaitPolicy",
    "decide",
    "job_sort_key",
    "wait_for_open_target",
]


class WaitPolicy(NamedTuple):
    """Settings of the decision; times in seconds.

    ``slo_share`` is the share of the time left until the first byte is late that the
    estimated time to the first byte may take; the rest allows for estimation errors.
    ``late_s`` is the estimate up to which a late request is still sent. ``retry_s`` is
    the shortest retry delay, ``retry_spread_s`` the jitter added to it.
    ``gap_share`` is the share of the longest pause that prompts and the steps of one
    event may fill; where the steps can't fill the pause, ``max_backlog_s`` is the
    backlog up to which a target gets more prompts, about half of a usual first-byte
    objective. The estimate assumes ``usual_prompt_tokens`` for every prompt.
    Streams begin at targets with a factor above ``max_factor`` only if no other is
    left: at 3 times the usual steps the longest ones end near their callers' deadlines.
    """

    slo_share: float = 0.85
    late_s: float = 0.25
    retry_s: float = 0.3
    retry_spread_s: float = 0.7
    usual_prompt_tokens: int = 1200
    gap_share: float = 0.75
    max_backlog_s: float = 0.45
    max_factor: float = 3.0


class Job(NamedTuple):
    """A request that needs a target.

    ``key`` is its model and adapter, empty strings if it names none. ``give_up_at`` is
    the time at which it is refused if it found no target. ``max_gap_s`` is the longest
    pause that the streams of its service may have, 0 if there is no limit, and
    ``event_steps`` the number of decoding steps per event. ``excluded`` holds the
    targets that it must not be sent to again, unless no other remains and
    ``has_fallback`` is true. ``software`` is the version of the target's software that
    began its stream, None if any target may run the job.
    ``broken_at`` holds the targets at which that stream broke off; they may have
    restarted with other software than the directory shows. ``attempts`` is the number
    of earlier attempts at targets, and ``returned_s`` the time since the caller first
    sent the request, 0 if it wasn't refused before. ``is_admitted`` is whether it is
    within the shares of its priority and account (see
    ``hibiscusspar.fleet.admission``). ``account`` is empty if it has none. ``digest``
    identifies a plain call, whose deadline doesn't tell when it was first sent; it is
    empty for streams. ``ends_at`` is the time by which the caller needs the answer.
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
    software: str | None = None
    broken_at: frozenset[str] = frozenset()
    attempts: int = 0
    returned_s: float = 0.0
    is_admitted: bool = True
    account: str = ""
    digest: str = ""
    ends_at: float = inf
    has_fallback: bool = True


class Send(NamedTuple):
    """The request is sent; ``first_byte_s`` is the expected time to the first byte."""

    target_id: str
    first_byte_s: float


class Wait(NamedTuple):
    """The request waits for the given reason."""

    reason: str


class Refuse(NamedTuple):
    """The request is refused and did not run."""

    reason: str
    retry_after_s: float


def job_sort_key(now, job, policy=None):
    """Return the sort key of a waiting job; the smallest one is next.

    Under overload, first-come first-served order makes all jobs late. So jobs that can
    still be in time go first, by priority and arrival; the others get what is left.
    """
    policy = policy or WaitPolicy()
    is_late = now > job.arrived + job.first_byte_slo_s * policy.slo_share
    return (is_late, job.priority, job.arrived)


def decide(now, job, candidates, zone, choice=None, policy=None):
    """Decide whether a request is sent, waits or is refused.

    Parameters
    ----------
    now : float
    job : Job
    candidates : list of Candidate
        Targets that hold the model and adapter of the job.
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
    suitable = [
        row for row in candidates if _keeps_streams_in_time(choice, policy, job, row)
    ]
    pauses_s = None
    if job.max_gap_s and any(row.factor != 1.0 for row in candidates):
        pauses_s = {
            row.target_id: pause_s(choice, row, job.prompt_tokens, job.event_steps)
            for row in suitable
        }
        suitable = _steady(policy, job, suitable, pauses_s) or suitable
    best = choose_target(
        choice, suitable, zone, job.prompt_tokens, job.fraction, pauses_s
    )
    remaining_s = job.arrived + job.first_byte_slo_s - now
    wait_s = job.give_up_at - now
    if best is not None:
        candidate, time_s = best
        # The estimate assumes the usual prompt size for every request, so that large
        # requests, which earn more, get the same share of the engines as others.
        time_s += (
            (policy.usual_prompt_tokens - job.prompt_tokens)
            / (choice.prompt_tokens_s)
            * candidate.factor
        )
        if time_s <= max(remaining_s * policy.slo_share, policy.late_s):
            return Send(candidate.target_id, time_s)
        # A backlog shrinks by at most a second per second.
        if time_s - wait_s > policy.late_s:
            return _refuse(policy, job, "busy", time_s - policy.late_s)
    if wait_s <= 0:
        reason = "busy" if candidates else "no target"
        return _refuse(policy, job, reason, policy.retry_s)
    return Wait("busy" if candidates else "adapter not resident")


def wait_for_open_target(now, job, open_in_s, policy=None):
    """Decide on a request whose targets all have a limit or rest.

    Parameters
    ----------
    now : float
    job : Job
    open_in_s : float or None
        Expected seconds until one of them takes a further request; None if there are
        other targets.
    policy : WaitPolicy, optional

    Returns
    -------
    Wait or Refuse
        A refusal if the request could not be sent in time.
    """
    if open_in_s is None or now + open_in_s <= job.give_up_at:
        return Wait("limited")
    return _refuse(policy or WaitPolicy(), job, "limited", open_in_s)


def _keeps_streams_in_time(choice, policy, job, candidate):
    """Return whether the streams of a target stay in time if it gets the job.

    An engine processes simultaneous prompts one after the other between the decoding
    steps of running streams, which all pause meanwhile. A prompt that is too large by
    itself goes to a target without a prompt backlog.
    """
    if not job.max_gap_s or not candidate.running:
        return True
    factor = candidate.factor
    backlog = backlog_s(choice, candidate)
    if job.event_steps * choice.chunk_s * factor < job.max_gap_s:
        return backlog <= policy.max_backlog_s
    steps_s = job.event_steps * (
        choice.step_s + choice.step_request_s * candidate.running
    )
    available_s = job.max_gap_s * policy.gap_share - steps_s * factor
    prompt_s = job.prompt_tokens / choice.prompt_tokens_s * factor
    return backlog <= max(0.0, available_s - prompt_s)


def _steady(policy, job, candidates, pauses_s):
    """Return the candidates whose streams stay in time even while the prompt is read.

    Where targets differ in speed, a prompt that is too large for a slow one by itself
    fits a faster one.
    """
    longest_s = job.max_gap_s * policy.gap_share
    return [
        row
        for row in candidates
        if row.factor <= policy.max_factor
        and (not row.running or pauses_s[row.target_id] <= longest_s)
    ]


def _refuse(policy, job, reason, wait_s):
    spread_s = policy.retry_spread_s * job.fraction
    return Refuse(reason, max(policy.retry_s, wait_s) + spread_s)
