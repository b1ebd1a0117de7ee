"""System of requests: lifecycle, retries, ejection, quarantine and claims of a VM."""

from hibiscusspar.requests.claims import Claims
from hibiscusspar.requests.crash_gossip import CrashGossip
from hibiscusspar.requests.ejection import EjectionTable
from hibiscusspar.requests.events import (
    REQUEST_ATTEMPT_FAILED,
    REQUEST_DONE,
    REQUEST_RETRIED,
)
from hibiscusspar.requests.lifecycle import Phase, Step, advance, initial_state
from hibiscusspar.requests.messages import BodyCrash
from hibiscusspar.requests.retry import RULES, Retry, RetryBudget, RetryPolicy, decide

__all__ = ["RequestSystem"]


class RequestSystem:
    """Requests in flight on this VM, and failures of targets and bodies.

    Parameters
    ----------
    members : hibiscusspar.ports.Members
    rng : random.Random
    process_id : str
        Id of this process, unique among all processes of the VM.
    retry_policy : RetryPolicy, optional
    claim_policy : ClaimPolicy, optional
    on_verdict : callable, optional
        See :class:`~hibiscusspar.requests.claims.Claims`.

    Attributes
    ----------
    claims : Claims
    ejection : EjectionTable
    quarantine : CrashGossip
    budget : RetryBudget
    """

    name = "requests"

    def __init__(
        self,
        members,
        rng,
        process_id,
        retry_policy=None,
        claim_policy=None,
        on_verdict=None,
    ):
        self.retry_policy = retry_policy or RetryPolicy()
        self.claims = Claims(
            members, rng, process_id, claim_policy, self.name, on_verdict
        )
        self.ejection = EjectionTable(rng=rng)
        self.quarantine = CrashGossip(members, rng)
        self.budget = RetryBudget(self.retry_policy)
        self._rng = rng
        self._states = {}

    @property
    def in_flight(self):
        """States of the requests that are not done, keyed by id."""
        return dict(self._states)

    def status(self, now):
        """Return the status shown to operators."""
        rows = self.ejection.rows
        return {
            "quarantined": {
                digest: round(left_s, 1)
                for digest, left_s in self.quarantine.quarantined(now)
            },
            "ejected": sorted(target for target, row in rows.items() if row.ejected),
            "unwritten_claims": self.claims.unwritten,
            "retry_budget": round(self.budget.tokens, 1),
        }

    def begin(self, request_id, idempotent):
        """Add a request whose key was accepted."""
        self.budget.deposit()
        self._states[request_id] = initial_state(request_id, idempotent)

    def step(self, request_id, step, out, tokens=0):
        """Advance a request by one step.

        Returns
        -------
        RequestState
            With the outcome and the tokens to settle if the request is done.

        Raises
        ------
        StepError
            If the step is illegal in the request's phase.
        """
        state = advance(self._states[request_id], step, tokens)
        if state.phase is Phase.DONE:
            self._end(state, out)
        else:
            self._states[request_id] = state
        return state

    def attempt_failed(self, now, request_id, target, cause, deadline, out, resumes=0):
        """Record a failed attempt, and decide whether to retry.

        The request returns to the queue, or stays in the phase ``FIRST_BYTE`` if its
        stream can be resumed.

        Parameters
        ----------
        now : float
        request_id, target : str
        cause : Cause
        deadline : float
        out : Outbox
        resumes : int
            Number of resumptions of the stream so far.

        Returns
        -------
        Retry or GiveUp
        """
        rule = RULES[cause]
        state = self._states[request_id]
        out.log(
            REQUEST_ATTEMPT_FAILED,
            request_id=request_id,
            target=target,
            cause=cause.value,
            may_have_run=rule.may_have_run,
        )
        if rule.counts_as_failure:
            self.ejection.failed(now, target, out)
        if not rule.resume:
            step = Step.LOSE if rule.may_have_run else Step.DISCLAIM
            state = self.step(request_id, step, out)
        attempts = resumes + 1 if rule.resume else max(state.attempts, 1)
        decision = decide(
            self.retry_policy,
            self.budget,
            self._rng,
            cause,
            state.idempotent and not rule.resume,
            attempts,
            now,
            deadline,
        )
        if isinstance(decision, Retry):
            out.log(
                REQUEST_RETRIED,
                request_id=request_id,
                cause=cause.value,
                attempt=attempts + 1,
                delay_s=decision.delay_s,
            )
        return decision

    def tick(self, now, out):
        """Remove expired crashes and start the platform calls of claims."""
        self.quarantine.tick(now, out)
        self.claims.tick(now, out)

    def receive(self, now, sender, message, out):
        """Process a message of another VM."""
        if isinstance(message, BodyCrash):
            self.quarantine.receive(now, message, out)

    def platform_result(self, now, result, out):
        """Process the result of a platform call of the claims."""
        self.claims.platform_result(now, result, out)

    def _end(self, state, out):
        del self._states[state.request_id]
        out.log(
            REQUEST_DONE,
            request_id=state.request_id,
            outcome=state.outcome.value,
            phase=state.phase.value,
            attempts=state.attempts,
            tokens=state.tokens,
        )
