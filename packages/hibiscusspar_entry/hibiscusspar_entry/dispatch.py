"""Hooks that connect the relay of requests with placement, limits and claims."""

from hibiscusspar.config.model import Configuration
from hibiscusspar.placement.routing import RouteRequest
from hibiscusspar.scheduling.scheduler import Job
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.events import REQUEST_ENDED
from hibiscusspar_entry.refusal import RefusedError
from hibiscusspar_wire.relay_types import GrantedTarget

__all__ = ["DispatchHooks"]


class DispatchHooks:
    """Implementation of :class:`hibiscusspar_wire.relay_types.Hooks` for one VM.

    Parameters
    ----------
    zone : str
        Zone of this VM.
    config_holder : ConfigurationHolder
    target_gate : TargetGate
    systems : Systems
    claim_gate : ClaimGate
    open_requests : OpenRequests
    driver : Driver
    clock : Clock
    metrics : Metrics
    queue_timeout_s : float
        Longest wait for a target, in seconds.
    """

    def __init__(
        self,
        zone,
        config_holder,
        target_gate,
        systems,
        claim_gate,
        open_requests,
        driver,
        clock,
        metrics,
        queue_timeout_s,
    ):
        self._zone = zone
        self._config_holder = config_holder
        self._target_gate = target_gate
        self._placement = systems.placement
        self._limits = systems.limits
        self._claims = systems.requests.claims
        self._claim_gate = claim_gate
        self._open_requests = open_requests
        self._driver = driver
        self._clock = clock
        self._metrics = metrics
        self._queue_timeout_s = queue_timeout_s

    def acquire_target(self, request, excluded):
        """Wait for a target and return it as :class:`GrantedTarget`, or raise.

        ``excluded(candidates)`` returns the target names among the candidates that
        must not be used.
        """
        open_request = self._open_requests.get(request.request_id)
        admitted = open_request.admitted
        configuration = self._config_holder.configuration
        names = _targets_of(configuration, admitted.service)
        route = RouteRequest(
            request_id=request.request_id,
            service=admitted.service,
            adapter=admitted.adapter,
            version=admitted.version,
            prefix_digest=admitted.prefix_digest,
            zone=self._zone,
            excluded=tuple(sorted(excluded(names))),
        )
        deadline = min(request.deadline, self._clock() + self._queue_timeout_s)
        job = Job(route, admitted.account, admitted.tokens, deadline)
        decision = self._target_gate.acquire(job)
        spec = self._config_holder.configuration.targets.get(decision.target)
        if spec is None or open_request.revoked.is_set():
            self._target_gate.release(request.request_id, "not-run")
            raise _late_refusal(admitted.account, open_request.revoked.is_set())
        return GrantedTarget(decision.target, spec.address)

    def on_attempt_ended(self, request, granted, cause):
        """Release the grant of an attempt that ended; cause is None if it succeeded."""
        outcome = "answered" if cause is None else cause.value
        self._target_gate.release(request.request_id, outcome)

    def on_adapter_missing(self, request, granted):
        """Record that the target does not hold the adapter."""
        admitted = self._open_requests.get(request.request_id).admitted
        with self._driver.locked_systems() as (now, out):
            self._placement.adapter_missing(
                now, granted.target, admitted.adapter, admitted.version, "", out
            )

    def on_request_ended(self, request, state, target, status):
        """Settle the reservation and the claim of a request and log its end.

        ``state`` has its outcome and tokens.
        """
        open_request = self._open_requests.remove(request.request_id)
        if open_request is None:
            return
        outcome = state.outcome
        if open_request.reservation is not None:
            with self._driver.locked_systems() as (now, out):
                reservation_id = open_request.reservation.reservation_id
                self._limits.settle(now, reservation_id, state.tokens, out)
        if open_request.claim_id:
            self._claim_gate.finish(
                self._driver.locked_systems,
                self._claims,
                open_request.claim_id,
                outcome,
                status,
            )
        self._log_end(open_request, target, status, outcome.value, state.tokens)

    def _log_end(self, open_request, target, status, outcome, tokens):
        account = open_request.admitted.account
        self._metrics.requests.labels(account, outcome, str(status)).inc()
        fields = {
            "request": open_request.request_id,
            "account": account,
            "target": target,
            "status": status,
            "outcome": outcome,
            "tokens": tokens,
            "seconds": round(self._clock() - open_request.started, 4),
        }
        write_records([(REQUEST_ENDED, fields)])


def _late_refusal(account, revoked):
    """Return the refusal of a request that must not be sent to its target."""
    if revoked:
        reason = "the key was withdrawn while the request waited"
        return RefusedError(401, "key_withdrawn", reason, "schedule", account)
    reason = "the target was removed"
    return RefusedError(503, "busy", reason, "schedule", account, retry_after_s=1.0)


def _targets_of(configuration: Configuration, service):
    targets = configuration.targets.values()
    return [spec.name for spec in targets if spec.service == service]
