"""The way of a request: authenticate, resolve, route, dispatch, relay."""

import hashlib
from typing import NamedTuple

from msgspec import MsgspecError, Struct, json

from hibiscusspar.config.lookup import find_adapter, find_route
from hibiscusspar.config.model import RouteSpec
from hibiscusspar.requests.claims import Earlier, Mismatch, Won
from hibiscusspar.requests.quarantine import body_digest
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.events import REQUEST_ENDED, REQUEST_REFUSED
from hibiscusspar_wire.callers import Answer, bearer_key, error_answer
from hibiscusspar_wire.relay import GaveUpError, Placed, Relay, Work

__all__ = ["RequestGateway"]

ENGINE_PATHS = ("/v1/completions", "/v1/chat/completions")
RETRY_AFTER_S = 1.0
MAX_KEY_LENGTH = 255
_SECRET_HEADERS = frozenset(
    {"authorization", "cookie", "proxy-authorization", "x-api-key"}
)


class _Refusal(Exception):  # noqa: N818
    """A request that ends without an answer of a target."""

    def __init__(self, answer, account, fields):
        super().__init__(fields["code"])
        self.answer = answer
        self.account = account
        self.fields = fields


class _EngineBody(Struct):
    model: str
    max_tokens: int | None = None
    stream: bool = False


class _Resolved(NamedTuple):
    account: str
    route: RouteSpec
    service: str
    label: str
    stream: bool
    body: bytes


class _Open(NamedTuple):
    """A request that is with the relay; ``claim_id`` is empty without a claim."""

    resolved: _Resolved
    started: float
    claim_id: str


class RequestGateway:
    """Answers the callers of one VM.

    Parameters
    ----------
    configuration : callable
        Returns the :class:`~hibiscusspar.config.model.Configuration` in force.
    targets : TargetClient
    rng : random.Random
        Source of request ids and of routing choices.
    clock : Clock
    metrics : Metrics
    requests : RequestSystem
    gate : ClaimGate
    decide : callable
        :meth:`Driver.decide`.
    """

    def __init__(
        self, configuration, targets, rng, clock, metrics, requests, gate, decide
    ):
        self._configuration = configuration
        self._targets = targets
        self._rng = rng
        self._clock = clock
        self._metrics = metrics
        self._requests = requests
        self._gate = gate
        self._relay = Relay(requests, targets, self, decide)
        self._open = {}
        self.draining = False

    @property
    def running(self):
        """Number of requests that are not answered yet."""
        return len(self._open)

    def drain(self):
        """Refuse new requests from now on; those taken go on."""
        self.draining = True

    def handle(self, call):
        """Answer one request of a caller."""
        request_id = f"{self._rng.getrandbits(128):032x}"
        started = self._clock()
        try:
            relayed = self._run(request_id, call, started)
        except _Refusal as refusal:
            return self._refused(request_id, refusal)
        self._metrics.latency.observe(self._clock() - started)
        headers = (*relayed.headers, ("X-Request-Id", request_id))
        return Answer(relayed.status, headers, relayed.body)

    def _run(self, request_id, call, started):
        if self.draining:
            reason = "this VM is shutting down"
            raise _refusal(
                503, "draining", reason, "accept", retry_after_s=RETRY_AFTER_S
            )
        resolved = self._resolve(call)
        work = self._work(request_id, call, resolved, started)
        claim_id = self._claim(call, resolved, work)
        self._open[request_id] = _Open(resolved, started, claim_id)
        try:
            return self._relay.run(work)
        except GaveUpError as error:
            raise _gave_up(error, resolved) from error

    def _work(self, request_id, call, resolved, started):
        return Work(
            request_id,
            call.method,
            f"{call.path}?{call.query}" if call.query else call.path,
            _forwarded(call, request_id, resolved),
            resolved.body,
            resolved.label,
            resolved.stream,
            resolved.route.idempotent,
            started + resolved.route.deadline_s,
            0,
            body_digest(resolved.body),
        )

    def _claim(self, call, resolved, work):
        """Claim the Idempotency-Key of a request that must not run twice."""
        key = call.header("idempotency-key")
        if not key or work.idempotent:
            return ""
        if len(key) > MAX_KEY_LENGTH:
            reason = f"the Idempotency-Key is longer than {MAX_KEY_LENGTH} characters"
            raise _refusal(400, "bad_idempotency_key", reason, "claim")
        digest = body_digest(f"{work.method} {work.uri}\n".encode() + work.body)
        claim_id, verdict = self._gate.claim(
            self._requests.claims, resolved.account, key, digest
        )
        if not isinstance(verdict, Won):
            raise _claim_refusal(verdict, resolved.account)
        return claim_id

    def _resolve(self, call):
        configuration = self._configuration()
        route = find_route(configuration, call.path)
        if route is None:
            raise _refusal(404, "no_route", "no route has this path", "route")
        account = self._authenticate(configuration, call, route)
        service = configuration.services[route.service]
        if service.kind == "plain":
            return _Resolved(account, route, service.name, "", False, call.body)
        return self._resolve_engine(configuration, call, account, route)

    def _authenticate(self, configuration, call, route):
        if route.open_to_all:
            return ""
        digest = hashlib.sha256(bearer_key(call).encode()).hexdigest()
        key = configuration.keys.get(digest)
        if key is None or key.withdrawn:
            reason = "the key is missing, unknown or withdrawn"
            raise _refusal(401, "bad_key", reason, "authenticate")
        spec = configuration.accounts[key.account]
        if spec.routes and route.prefix not in spec.routes:
            reason = f"the account may not use {route.prefix}"
            raise _refusal(403, "route_not_allowed", reason, "route", key.account)
        return key.account

    def _resolve_engine(self, configuration, call, account, route):
        if call.path not in ENGINE_PATHS or call.method != "POST":
            reason = f"engines answer POST on {' and '.join(ENGINE_PATHS)}"
            raise _refusal(404, "no_such_call", reason, "route", account)
        try:
            body = json.decode(call.body, type=_EngineBody)
            fields = json.decode(call.body)
        except MsgspecError as error:
            raise _refusal(400, "bad_body", str(error), "parse", account) from error
        found = find_adapter(configuration, body.model)
        if found is None:
            reason = "no such adapter or version"
            raise _refusal(404, "no_adapter", reason, "resolve", account)
        allowed = configuration.adapters[found.adapter].accounts
        if allowed and account not in allowed:
            reason = "the account may not use this adapter"
            raise _refusal(403, "adapter_not_allowed", reason, "resolve", account)
        fields["model"] = found.label
        encoded = json.encode(fields)
        service = route.service
        return _Resolved(account, route, service, found.label, body.stream, encoded)

    def place(self, work, excluded):
        """Choose a target of the request's service."""
        resolved = self._open[work.request_id].resolved
        targets = {
            target.name: target
            for target in self._configuration().targets.values()
            if target.service == resolved.service and not target.draining
        }
        names = sorted(set(targets) - excluded(set(targets)))
        if not names:
            reason = "the service has no target"
            account = resolved.account
            raise _refusal(
                503, "no_target", reason, "place", account, retry_after_s=RETRY_AFTER_S
            )
        name = self._rng.choice(names)
        return Placed(name, targets[name].address)

    def left(self, work, placed, cause):
        """Take back the grant of an attempt that ended."""

    def missing(self, work, placed):
        """Load the adapter that a target was found not to hold."""
        body = json.encode({"lora_name": work.label, "fence": 1})
        headers = {"Content-Type": "application/json"}
        path = "/v1/load_lora_adapter"
        answer = self._targets.send(placed.address, "POST", path, headers, body)
        self._targets.read(placed.address, answer)

    def ended(self, work, life, target, status):
        """Count a request that ended, log it and free or keep its claim."""
        resolved, started, claim_id = self._open.pop(work.request_id)
        if claim_id:
            self._gate.finish(self._requests.claims, claim_id, life.outcome, status)
        outcome = life.outcome.value
        self._metrics.requests.labels(resolved.account, outcome, str(status)).inc()
        fields = {
            "request": work.request_id,
            "account": resolved.account,
            "target": target,
            "status": status,
            "outcome": outcome,
            "tokens": life.tokens,
            "seconds": round(self._clock() - started, 4),
        }
        write_records([(REQUEST_ENDED, fields)])

    def _refused(self, request_id, refusal):
        fields = refusal.fields
        self._metrics.requests.labels(
            refusal.account, fields["ran"], fields["code"]
        ).inc()
        record = {"request": request_id, "account": refusal.account, **fields}
        write_records([(REQUEST_REFUSED, record)])
        return refusal.answer


def _refusal(status, code, reason, step, account="", ran="not-run", retry_after_s=None):
    answer = error_answer(status, code, reason, step, ran, retry_after_s)
    fields = {"code": code, "step": step, "reason": reason, "ran": ran}
    return _Refusal(answer, account, fields)


def _gave_up(error, resolved):
    return _refusal(
        error.status,
        error.code,
        error.reason,
        error.step,
        resolved.account,
        error.ran,
        error.retry_after_s,
    )


def _claim_refusal(verdict, account):
    if isinstance(verdict, Mismatch):
        reason = "the Idempotency-Key was used for another request"
        return _refusal(422, "key_reused", reason, "claim", account)
    if isinstance(verdict, Earlier):
        reason = f"a request with this Idempotency-Key is {verdict.state}"
        if verdict.status:
            reason += f" with status {verdict.status}"
        return _refusal(409, f"key_{verdict.state}", reason, "claim", account)
    reason = "the Idempotency-Key could not be claimed in the platform"
    return _refusal(
        503,
        "claim_unavailable",
        reason,
        "claim",
        account,
        retry_after_s=verdict.retry_after_s,
    )


def _forwarded(call, request_id, resolved):
    headers = {
        name: value for name, value in call.headers if name not in _SECRET_HEADERS
    }
    headers["x-request-id"] = request_id
    if resolved.account:
        headers["x-client-account"] = resolved.account
    return headers
