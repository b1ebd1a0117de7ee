"""Jobs that stand for admitted requests in the scheduler."""

from hibiscusspar.fleet.waiting import Job

__all__ = ["make_job"]


def make_job(admitted, state, now, wait_s):
    """Return the job of the next attempt of a request.

    Parameters
    ----------
    admitted : Admitted
    state : RequestState
    now : float
    wait_s : float
        Longest wait for a target, if the time of the request allows it.

    Returns
    -------
    Job
    """
    route = admitted.route
    return Job(
        request_id=admitted.call.request_id,
        service=admitted.service,
        key=(admitted.call.model, admitted.call.adapter),
        priority=admitted.priority,
        prompt_tokens=admitted.prompt_tokens,
        arrived=admitted.first_arrived,
        first_byte_slo_s=route.first_byte_slo_s,
        give_up_at=min(now + wait_s, admitted.ends_at),
        fraction=admitted.fraction,
        max_gap_s=route.max_gap_s if admitted.is_engine else 0.0,
        event_steps=admitted.event_steps,
        excluded=state.excluded,
        software=state.origin.software if state.origin else None,
        broken_at=state.broken_at,
        attempts=state.attempts,
        returned_s=admitted.arrived - admitted.first_arrived,
        account=admitted.account,
        digest="" if route.kind == "stream" else admitted.digest,
        ends_at=admitted.ends_at,
    )
