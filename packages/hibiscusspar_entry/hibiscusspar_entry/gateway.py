"""The way of a request: authenticate, resolve, route, dispatch, relay."""

import hashlib
from typing import NamedTuple

from msgspec import MsgspecError, Struct, json

from hibiscusspar.config.lookup import find_adapter, find_route
from hibiscusspar.errors import StepError
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.events import REQUEST_ENDED, REQUEST_REFUSED
from hibiscusspar_wire.callers import Answer, bearer_key, error_answer
from hibiscusspar_wire.target_client import TargetError

__all__ = ["RequestGateway"]

ENGINE_PATHS = ("/v1/completions", "/v1/chat/completions")
RETRY_AFTER_S = 1.0
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
    service: str
    label: str
    stream: bool
    body: bytes


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
    """

    def __init__(self, configuration, targets, rng, clock, metrics):
        self._configuration = configuration
        self._targets = targets
        self._rng = rng
        self._clock = clock
        self._metrics = metrics

    def handle(self, call):
        """Answer one request of a caller."""
        request_id = f"{self._rng.getrandbits(128):032x}"
        started = self._clock()
        try:
            resolved = self._resolve(call)
            target = self._choose(resolved)
            answer = self._send(request_id, call, resolved, target)
        except _Refusal as refusal:
            return self._refused(request_id, refusal)
        self._metrics.latency.observe(self._clock() - started)
        return self._relay(request_id, resolved, target, answer, started)

    def _resolve(self, call):
        configuration = self._configuration()
        route = find_route(configuration, call.path)
        if route is None:
            raise _refusal(404, "no_route", "no route has this path", "route")
        account = self._authenticate(configuration, call, route)
        service = configuration.services[route.service]
        if service.kind == "plain":
            return _Resolved(account, service.name, "", False, call.body)
        return self._resolve_engine(configuration, call, account, service)

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

    def _resolve_engine(self, configuration, call, account, service):
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
        return _Resolved(account, service.name, found.label, body.stream, encoded)

    def _choose(self, resolved):
        targets = [
            target
            for target in self._configuration().targets.values()
            if target.service == resolved.service and not target.draining
        ]
        if not targets:
            reason = "the service has no target"
            account = resolved.account
            raise _refusal(
                503, "no_target", reason, "place", account, retry_after_s=RETRY_AFTER_S
            )
        return self._rng.choice(targets)

    def _send(self, request_id, call, resolved, target):
        headers = _forwarded(call, request_id, resolved)
        uri = f"{call.path}?{call.query}" if call.query else call.path
        try:
            answer = self._targets.send(
                target.address, call.method, uri, headers, resolved.body
            )
            if answer.status == 404 and resolved.label:
                self._load(target, resolved.label)
                answer = self._targets.send(
                    target.address, call.method, uri, headers, resolved.body
                )
        except TargetError as error:
            raise _target_refusal(error, resolved) from error
        return answer

    def _load(self, target, label):
        body = json.encode({"lora_name": label, "fence": 1})
        headers = {"Content-Type": "application/json"}
        path = "/v1/load_lora_adapter"
        answer = self._targets.send(target.address, "POST", path, headers, body)
        self._targets.read(target.address, answer)

    def _relay(self, request_id, resolved, target, answer, started):
        headers = tuple(
            (name, answer.headers[name])
            for name in ("Content-Type", "X-Adapter")
            if name in answer.headers
        )
        headers += (("X-Request-Id", request_id),)
        body = self._body(request_id, resolved, target, answer, started)
        if resolved.stream:
            return Answer(answer.status, headers, body)
        try:
            return Answer(answer.status, headers, b"".join(body))
        except TargetError as error:
            return self._refused(request_id, _target_refusal(error, resolved))

    def _body(self, request_id, resolved, target, answer, started):
        outcome = "unknown"
        try:
            yield from self._targets.stream(target.address, answer)
            outcome = "answered"
        finally:
            self._ended(request_id, resolved, target, answer, outcome, started)

    def _ended(self, request_id, resolved, target, answer, outcome, started):
        account = resolved.account
        self._metrics.requests.labels(account, outcome, str(answer.status)).inc()
        fields = {
            "request": request_id,
            "account": account,
            "target": target.name,
            "status": answer.status,
            "outcome": outcome,
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


def _target_refusal(error: StepError, resolved):
    return _refusal(
        502,
        "target_failed",
        "the target did not answer",
        error.step,
        resolved.account,
        error.ran,
        RETRY_AFTER_S,
    )


def _forwarded(call, request_id, resolved):
    headers = {
        name: value for name, value in call.headers if name not in _SECRET_HEADERS
    }
    headers["x-request-id"] = request_id
    if resolved.account:
        headers["x-client-account"] = resolved.account
    return headers
