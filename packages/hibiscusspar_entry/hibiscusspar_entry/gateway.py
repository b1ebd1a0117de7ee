"""Processing of callers' requests: admit, reserve, claim, schedule, relay, settle."""

import threading
from time import sleep

from msgspec.json import encode as to_json

from hibiscusspar.limits.keys import still_valid
from hibiscusspar.limits.node_limit import Reservation
from hibiscusspar.requests.claim_types import Away, Earlier, Mismatch, Won
from hibiscusspar.requests.quarantine import body_digest
from hibiscusspar_entry.admission import admit
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.events import REQUEST_REFUSED
from hibiscusspar_entry.open_requests import OpenRequest
from hibiscusspar_entry.refusal import RefusedError
from hibiscusspar_wire.callers import Answer
from hibiscusspar_wire.relay_types import GaveUpError, RelayRequest

__all__ = ["RequestGateway"]

RETRY_AFTER_SHUTDOWN_S = 1.0
MIN_TOKEN_WAIT_S = 0.02
LEASE_REQUESTED_WAIT_S = 0.05
IDEMPOTENCY_HEADER = "idempotency-key"


class RequestGateway:
    """Handler of the requests of callers on one VM.

    Parameters
    ----------
    config_holder : ConfigurationHolder
    systems : Systems
    claim_gate : ClaimGate
    relay : Relay
    open_requests : OpenRequests
    driver : Driver
    rng : random.Random
        Generator of request ids.
    clock : Clock
    metrics : Metrics
    token_wait_s : float
        Longest wait for tokens of the account's limit, in seconds.
    """

    def __init__(
        self,
        config_holder,
        systems,
        claim_gate,
        relay,
        open_requests,
        driver,
        rng,
        clock,
        metrics,
        token_wait_s,
    ):
        self._config_holder = config_holder
        self._limits = systems.limits
        self._claims = systems.requests.claims
        self._placement = systems.placement
        self._claim_gate = claim_gate
        self._relay = relay
        self._open_requests = open_requests
        self._driver = driver
        self._rng = rng
        self._clock = clock
        self._metrics = metrics
        self._token_wait_s = token_wait_s
        self._closed = threading.Event()

    def close(self):
        """Refuse all new requests."""
        self._closed.set()

    def handle(self, call):
        """Process a request of a caller and return its answer."""
        request_id = f"{self._rng.getrandbits(128):032x}"
        account = ""
        try:
            admitted = self._admit(call)
            account = admitted.account
            return self._run(request_id, call, admitted)
        except RefusedError as error:
            return self._answer_refusal(request_id, error)
        except GaveUpError as error:
            return self._answer_refusal(request_id, _refusal_of(error, account))

    def _admit(self, call):
        if self._closed.is_set():
            reason = "this VM is shutting down"
            raise RefusedError(
                503, "draining", reason, "admit", retry_after_s=RETRY_AFTER_SHUTDOWN_S
            )
        config_holder = self._config_holder
        return admit(
            config_holder.configuration,
            call,
            config_holder.age_s,
            self._serving_version,
        )

    def _serving_version(self, adapter):
        with self._driver.locked_systems() as (now, out):
            return self._placement.serving_version(now, adapter, out)

    def _run(self, request_id, call, admitted):
        reservation = self._reserve(admitted)
        open_request = OpenRequest(
            request_id, admitted, reservation, self._clock(), threading.Event()
        )
        claim_id = ""
        try:
            claim_id = self._claim(call, admitted)
            self._open_requests.add(open_request._replace(claim_id=claim_id))
        except BaseException:
            self._settle_unused(reservation)
            raise
        self._revoke_if_withdrawn(open_request)
        request = _relay_request(open_request, self._config_holder.configuration)
        answer = self._relay.run(request)
        self._metrics.latency.observe(self._clock() - open_request.started)
        headers = (*answer.headers, ("X-Request-Id", request_id))
        body = answer.body
        if not isinstance(body, bytes):
            body = _RevocableBody(body, open_request.revoked)
        return Answer(answer.status, headers, body)

    def _revoke_if_withdrawn(self, open_request):
        """Revoke a request whose key was withdrawn before it was in the table.

        A withdrawal revokes only the open requests in the table, so it misses one
        that is admitted but not yet added.
        """
        admitted = open_request.admitted
        if not admitted.key_digest:
            return
        configuration = self._config_holder.configuration
        if not still_valid(configuration, admitted.key_digest, admitted.account):
            open_request.revoked.set()

    def _reserve(self, admitted):
        if not admitted.account:
            return None
        deadline = self._clock() + self._token_wait_s
        retry = False
        while True:
            with self._driver.locked_systems() as (now, out):
                result = self._limits.reserve(
                    now, admitted.account, admitted.tokens, out, retry
                )
            if isinstance(result, Reservation):
                return result
            wait_s = max(MIN_TOKEN_WAIT_S, result.retry_after_s)
            if result.lease_requested:
                wait_s = LEASE_REQUESTED_WAIT_S
            if not result.retry_after_s or self._clock() + wait_s > deadline:
                raise _limit_refusal(admitted.account, result)
            sleep(wait_s)
            retry = True

    def _settle_unused(self, reservation):
        if reservation is None:
            return
        with self._driver.locked_systems() as (now, out):
            self._limits.settle(now, reservation.reservation_id, 0, out)

    def _claim(self, call, admitted):
        key = call.header(IDEMPOTENCY_HEADER)
        if admitted.idempotent or not key:
            return ""
        request_line = f"{admitted.method} {admitted.uri}\n"
        body = body_digest(request_line.encode() + admitted.body)
        claim_id, verdict = self._claim_gate.claim(
            self._driver.locked_systems, self._claims, admitted.account, key, body
        )
        if not isinstance(verdict, Won):
            raise _claim_refusal(verdict, admitted.account)
        return claim_id

    def _answer_refusal(self, request_id, error):
        self._metrics.requests.labels(error.account, error.ran, error.code).inc()
        record = {"request": request_id, **error.fields()}
        write_records([(REQUEST_REFUSED, record)])
        return error.answer()


class _RevocableBody:
    """Frames of a stream, ended by an error frame once its key is withdrawn."""

    def __init__(self, frames, revoked):
        self._frames = frames
        self._revoked = revoked
        self._ended = False

    def __iter__(self):
        return self

    def __next__(self):
        if self._ended:
            raise StopIteration
        if self._revoked.is_set():
            self._ended = True
            self.close()
            return _REVOKED_FRAME
        return next(self._frames)

    def close(self):
        """Close the stream; an incomplete one ends its request."""
        self._frames.close()


def _relay_request(open_request, configuration):
    admitted = open_request.admitted
    headers = dict(admitted.headers)
    headers["x-request-id"] = open_request.request_id
    headers.pop("x-client-account", None)
    if admitted.account:
        spec = configuration.accounts.get(admitted.account)
        headers["x-client-account"] = admitted.account
        headers["x-priority"] = str(round(spec.weight if spec else 1.0))
    return RelayRequest(
        request_id=open_request.request_id,
        method=admitted.method,
        uri=admitted.uri,
        headers=headers,
        body=admitted.body,
        label=admitted.label,
        stream=admitted.stream,
        idempotent=admitted.idempotent,
        deadline=open_request.started + admitted.deadline_s,
        tokens=admitted.tokens,
        digest=body_digest(admitted.body),
    )


def _limit_refusal(account, shortage):
    if not shortage.retry_after_s:
        reason = f"the request can never run: {shortage.reason}"
        return RefusedError(413, "over_burst", reason, "reserve", account)
    return RefusedError(
        429,
        "over_rate",
        f"the account is over its rate: {shortage.reason}",
        "reserve",
        account,
        retry_after_s=shortage.retry_after_s,
    )


def _claim_refusal(verdict, account):
    match verdict:
        case Earlier(state=state, status=status):
            reason = f"the Idempotency-Key was used before: {state}, status {status}"
            return RefusedError(
                409, "key_used", reason, "claim", account, ran="unknown"
            )
        case Mismatch():
            reason = "the Idempotency-Key was used before for another request"
            return RefusedError(422, "key_reused", reason, "claim", account)
        case Away(retry_after_s=retry_after_s):
            reason = "the Idempotency-Key can't be claimed now"
            return RefusedError(
                503,
                "claims_away",
                reason,
                "claim",
                account,
                retry_after_s=retry_after_s,
            )
    raise TypeError(f"unexpected verdict {verdict!r}")


def _refusal_of(error, account):
    return RefusedError(
        error.status,
        error.code,
        error.reason,
        error.step,
        account,
        error.ran,
        error.retry_after_s,
    )


_REVOKED_FRAME = (
    b"event: error\ndata: "
    + to_json(
        {
            "error": {
                "code": "key_withdrawn",
                "message": "the key was withdrawn while the answer was sent",
                "step": "stream",
                "ran": "unknown",
            }
        }
    )
    + b"\n\n"
)
