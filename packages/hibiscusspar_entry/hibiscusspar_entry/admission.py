"""Admission of requests: routing, authentication, access checks and credentials."""

from typing import NamedTuple

from msgspec import MsgspecError, Struct, json
from xxhash import xxh3_64_hexdigest

from hibiscusspar.config.lookup import find_adapter, find_route
from hibiscusspar.limits.keys import (
    KeyRefusal,
    authenticate,
    bearer_key,
    check_access,
    contains_key,
    digest_key,
    strip_credentials,
)
from hibiscusspar_entry.refusal import RefusedError

__all__ = ["Admitted", "admit"]

ENGINE_PATHS = ("/v1/completions", "/v1/chat/completions")
PREFIX_BYTES = 256
RETRY_AFTER_STALE_S = 30.0
PLAIN_CALL_TOKENS = 1
_KEY_ERRORS = {
    "missing": (401, "bad_key", "the request carries no key"),
    "unknown": (401, "bad_key", "the key is unknown"),
    "withdrawn": (401, "key_withdrawn", "the key was withdrawn"),
    "no-account": (401, "bad_key", "the key's account is not declared"),
    "route": (403, "route_not_allowed", "the account may not use this route"),
    "adapter": (403, "adapter_not_allowed", "the account may not use this adapter"),
    "stale-configuration": (
        503,
        "stale_configuration",
        "the configuration is older than the account allows",
    ),
}


class Admitted(NamedTuple):
    """A request that may run.

    ``account`` is empty on a route open to all, ``adapter`` and ``version`` for a
    plain service. ``tokens`` is an upper bound of the tokens that the request uses.
    ``uri``, ``headers`` and ``body`` are forwarded to the target.
    """

    account: str
    key_digest: str
    route: str
    service: str
    idempotent: bool
    deadline_s: float
    adapter: str
    version: str
    stream: bool
    tokens: int
    prefix_digest: str
    method: str
    uri: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def label(self):
        """Name of the adapter version sent to targets; empty for plain services."""
        return f"{self.adapter}@{self.version}" if self.adapter else ""


class _EngineBody(Struct):
    model: str
    max_tokens: int | None = None
    stream: bool = False


class _EngineCall(NamedTuple):
    adapter: str = ""
    version: str = ""
    stream: bool = False
    tokens: int = PLAIN_CALL_TOKENS
    body: bytes = b""


def admit(configuration, call, age_s, serving_version):
    """Check a request and resolve its route, account and adapter.

    Parameters
    ----------
    configuration : Configuration
    call : CallerRequest
    age_s : float
        Seconds since the configuration was confirmed as the newest.
    serving_version : callable
        Returns the version to use for an adapter named without a version.

    Returns
    -------
    Admitted

    Raises
    ------
    RefusedError
        If the request may not run; it has not been sent to a target.
    """
    route = find_route(configuration, call.path)
    if route is None:
        raise RefusedError(404, "no_route", "no route has this path", "route")
    key = bearer_key(call.header("authorization"))
    account = _account_of(configuration, route, key)
    service = configuration.services[route.service]
    engine = _EngineCall(body=call.body)
    if service.kind == "engine":
        _check_engine_path(call, account)
        engine = _engine_call(configuration, call, account, service, serving_version)
    if account:
        refusal = check_access(
            configuration, account, route.prefix, engine.adapter, age_s
        )
        _raise_if_refused(refusal, account)
    headers, query = strip_credentials(call.headers, call.query, key)
    uri = f"{call.path}?{query}" if query else call.path
    if contains_key(uri.encode(), key) or contains_key(call.body, key):
        reason = "the path or the body contains the key"
        raise RefusedError(400, "key_in_request", reason, "admit", account)
    return Admitted(
        account=account,
        key_digest=digest_key(key) if account else "",
        route=route.prefix,
        service=service.name,
        idempotent=route.idempotent,
        deadline_s=route.deadline_s,
        adapter=engine.adapter,
        version=engine.version,
        stream=engine.stream,
        tokens=engine.tokens,
        prefix_digest=xxh3_64_hexdigest(call.body[:PREFIX_BYTES]),
        method=call.method,
        uri=uri,
        headers=tuple(headers),
        body=engine.body,
    )


def _account_of(configuration, route, key):
    if route.open_to_all:
        return ""
    found = authenticate(configuration, key)
    _raise_if_refused(found, "")
    return found


def _raise_if_refused(found, account):
    if not isinstance(found, KeyRefusal):
        return
    status, code, reason = _KEY_ERRORS[found.reason]
    retry_after_s = RETRY_AFTER_STALE_S if status == 503 else None
    raise RefusedError(
        status, code, reason, "authenticate", account, retry_after_s=retry_after_s
    )


def _check_engine_path(call, account):
    if call.method != "POST" or call.path not in ENGINE_PATHS:
        reason = f"engines answer POST on {' and '.join(ENGINE_PATHS)}"
        raise RefusedError(404, "no_such_call", reason, "route", account)


def _engine_call(configuration, call, account, service, serving_version):
    try:
        body = json.decode(call.body, type=_EngineBody)
        fields = json.decode(call.body)
    except (MsgspecError, UnicodeDecodeError) as error:
        raise RefusedError(400, "bad_body", str(error), "parse", account) from error
    found = find_adapter(configuration, body.model)
    if found is None or configuration.adapters[found.adapter].model != service.model:
        reason = "no such adapter or version"
        raise RefusedError(404, "no_adapter", reason, "resolve", account)
    if "@" not in body.model:
        found = found._replace(version=serving_version(found.adapter))
    model = configuration.models[service.model]
    max_tokens = body.max_tokens or model.max_tokens
    if not 0 < max_tokens <= model.max_tokens:
        reason = f"max_tokens must be from 1 to {model.max_tokens}"
        raise RefusedError(400, "bad_body", reason, "parse", account)
    fields["model"] = found.label
    fields["max_tokens"] = max_tokens
    prompt_tokens = int(len(call.body) / model.bytes_per_token) + 1
    return _EngineCall(
        found.adapter,
        found.version,
        body.stream,
        prompt_tokens + max_tokens,
        json.encode(fields),
    )
