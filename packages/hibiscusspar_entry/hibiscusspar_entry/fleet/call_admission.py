"""Admission of requests: route, account, cost and deadline of each."""

from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from hibiscusspar.fleet.rules import RouteRule, find_route, route_service
from hibiscusspar.limits.keys import digest_key
from hibiscusspar.requests.quarantine import request_digest
from hibiscusspar_entry.fleet.ended_by import EndedBy
from hibiscusspar_entry.fleet.refusal import RefusedError

__all__ = ["Admission", "AdmissionPolicy", "Admitted"]

_HASH_RANGE = float(2**64)


class AdmissionPolicy(NamedTuple):
    """Settings of admission; times in seconds.

    ``answer_margin_s`` is the part of a request's time that is reserved for sending
    the answer back. ``starting_retry_s`` is sent as ``Retry-After`` while the
    configuration is missing or may be outdated. A request that is refused because
    too many are open is told to return after ``excess_retry_s`` and a part of
    ``excess_spread_s``.
    """

    answer_margin_s: float = 0.05
    starting_retry_s: float = 0.5
    excess_retry_s: float = 0.3
    excess_spread_s: float = 0.7


class Admitted(NamedTuple):
    """Request that may run, with the rules that apply to it.

    ``digest`` is the same for repetitions of a request under other ids.
    """

    call: object
    head: object
    body: bytes
    route: RouteRule
    service: str
    is_engine: bool
    event_steps: int
    rule: object
    account: str
    key_digest: str
    cost: float
    prompt_tokens: int
    priority: int
    fraction: float
    arrived: float
    first_arrived: float
    ends_at: float
    version: int
    digest: str = ""

    @property
    def shared_parts(self):
        """Ids of the parts of the prompt that other requests may share.

        The last part belongs to the request or to its session.
        """
        return tuple(name for name, _ in self.call.prefix[:-1])

    @property
    def resumes_stream(self):
        """Whether the request takes up a stream of which the caller has events."""
        return self.route.resumable and self.call.last_event is not None


class Admission:
    """Check of requests against the configuration in force.

    Parameters
    ----------
    config : ConfigSync
    dialect : Dialect
    key_age_limit_s : float
        Age of the configuration, in seconds, beyond which no key is accepted; 0 for no
        limit.
    policy : AdmissionPolicy, optional
    """

    def __init__(self, config, dialect, key_age_limit_s, policy=None):
        self._config = config
        self._dialect = dialect
        self._key_age_limit_s = key_age_limit_s
        self._policy = policy or AdmissionPolicy()

    def admit(self, inbound, arrived):
        """Return an admitted request.

        Raises
        ------
        RefusedError, BadRequestError
            If the request may not run.
        """
        policy = self._policy
        ruleset = self._config.ruleset
        if ruleset is None:
            inbound.read_body()
            raise RefusedError(503, "no configuration yet", policy.starting_retry_s)
        body = inbound.read_body(ruleset.max_body_bytes)
        head = inbound.head
        try:
            call = self._dialect.call_head(head)
        except ValueError as error:
            raise RefusedError(400, f"malformed header: {error}") from error
        if not call.request_id:
            raise RefusedError(400, "the request has no id")
        route = find_route(ruleset, call.host, call.path)
        if route is None:
            raise RefusedError(404, "no route")
        account, digest = self._account(ruleset, route, call)
        # A request that takes up a stream goes to the service that began it.
        first_id = call.resumes or call.request_id
        fraction = xxh3_64_intdigest(first_id.encode()) / _HASH_RANGE
        if inbound.is_excess:
            retry_s = policy.excess_retry_s + policy.excess_spread_s * fraction
            raise RefusedError(503, "too many open requests", retry_s)
        service = route_service(route, fraction)
        rule = ruleset.services.get(service)
        if rule is None:
            raise RefusedError(503, "no such service", policy.starting_retry_s)
        account_rule = ruleset.accounts.get(account)
        tokens = call.tokens or (0, 0)
        timeout_s = route.timeout_s
        if call.deadline_s is not None:
            timeout_s = min(timeout_s, call.deadline_s)
        priority = route.priority
        if account_rule is not None and account_rule.priority is not None:
            priority = account_rule.priority
        return Admitted(
            call=call,
            head=head,
            body=body,
            route=route,
            service=service,
            is_engine=rule.engine is not None,
            event_steps=rule.engine.event_steps if rule.engine else 1,
            rule=account_rule,
            account=account,
            key_digest=digest,
            cost=_cost(account_rule, call),
            prompt_tokens=tokens[0],
            priority=priority,
            fraction=fraction,
            arrived=arrived,
            first_arrived=_first_arrival(arrived, route, call),
            ends_at=arrived + timeout_s - policy.answer_margin_s,
            version=ruleset.version,
            digest=request_digest(account, head.method, head.uri, body),
        )

    def _account(self, ruleset, route, call):
        """Return the account of a request and the digest of its API key."""
        if route.public or not ruleset.requires_keys:
            return "", ""
        self._check_freshness()
        digest = digest_key(call.key)
        account = ruleset.keys.get(digest) if call.key else None
        if account is None:
            raise RefusedError(401, "unknown key")
        return account, digest

    def _check_freshness(self):
        """Refuse all keys if a withdrawal could have gone unnoticed."""
        limit_s = self._key_age_limit_s
        if limit_s and self._config.age_s > limit_s:
            raise RefusedError(
                503,
                "the configuration may be outdated",
                self._policy.starting_retry_s,
                EndedBy.KEY,
            )

    def recheck_key(self, admitted, state):
        """Refuse a request if its key was withdrawn while it waited.

        An answer that has begun is continued: the caller sent the request while the
        key held.
        """
        ruleset = self._config.ruleset
        if not admitted.key_digest or state.answer_begun:
            return
        if not ruleset.requires_keys:
            return
        self._check_freshness()
        if ruleset.keys.get(admitted.key_digest) != admitted.account:
            raise RefusedError(401, "the key was withdrawn", by=EndedBy.KEY)


def _first_arrival(arrived, route, call):
    """Return when the caller first sent a request that may be a retry.

    A retry carries what is left of the original deadline.
    """
    if route.kind != "stream" or call.deadline_s is None:
        return arrived
    return arrived - max(0.0, route.timeout_s - call.deadline_s)


def _cost(rule, call):
    if rule is None or not rule.counts_tokens:
        return 1.0
    return float(sum(call.tokens)) if call.tokens else float(rule.plain_tokens)
