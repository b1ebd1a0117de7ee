"""Configuration for admitting and routing requests."""

from typing import NamedTuple

__all__ = [
    "AccountRule",
    "EngineRule",
    "ModelRule",
    "RouteRule",
    "Ruleset",
    "ServiceRule",
    "find_route",
    "route_service",
]


class RouteRule(NamedTuple):
    """One route; times in seconds.

    ``kind`` is ``"stream"``, ``"safe"`` or ``"unsafe"``. ``first_byte_slo_s`` is the
    longest time to the first byte that earns the full credit. ``split`` holds pairs of
    a service and its weight. ``max_gap_s`` is the longest pause of a stream that counts
    as in time, 0 if not given. Priority 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    first_byte_slo_s: float
    priority: int
    split: tuple[tuple[str, float], ...]
    max_attempts: int
    public: bool
    resumable: bool
    max_gap_s: float = 0.0

    @property
    def idempotent(self):
        """Whether a request may run more than once."""
        return self.kind == "safe" or (self.kind == "stream" and self.resumable)


class ModelRule(NamedTuple):
    """A base model: size of its weights in megabytes and load time in seconds."""

    name: str
    weights_mb: float
    load_s: float


class EngineRule(NamedTuple):
    """Capacity of one engine of a service.

    ``batch`` is the number of concurrent requests, ``kv_tokens`` the size of the
    key-value cache in tokens, ``adapter_places`` the number of adapters that may be
    resident or loading, ``weights_mb`` the memory for models. ``event_steps`` is the
    number of decoding steps per event of a stream. The weight store allows
    ``loads_per_s`` loads of models over all engines. ``moves`` is whether engines can
    move a running stream to another one.
    """

    batch: int
    kv_tokens: int
    adapter_places: int
    weights_mb: float
    loads_per_s: float
    models: tuple[ModelRule, ...]
    event_steps: int = 1
    moves: bool = False


class ServiceRule(NamedTuple):
    """One service; ``engine`` is None for a plain service, which runs no models.

    Its targets are cold for ``cold_start_s`` seconds after their start and take
    ``cold_per_s`` requests a second meanwhile; they are never cold if one of both is 0.
    """

    name: str
    max_connections: int
    engine: EngineRule | None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0

    @property
    def has_cold_targets(self):
        """Whether targets of this service may be cold."""
        return self.cold_start_s > 0 and self.cold_per_s > 0


class AccountRule(NamedTuple):
    """Limit of one client account; rate 0 means no limit.

    Rate and burst are in tokens if ``counts_tokens``, else in requests.
    ``plain_tokens`` is the cost of a request without token counts. ``priority``, if not
    None, overrides that of the route.
    """

    name: str
    rate: float
    burst: float
    counts_tokens: bool
    plain_tokens: int
    priority: int | None


class Ruleset(NamedTuple):
    """One version of the configuration.

    ``routes`` maps a host to its routes, longest prefix first, ``keys`` the digest of
    an API key to the name of its account. ``requires_keys`` is whether requests on
    routes that aren't public need a key, even if there is none.
    """

    version: int
    routes: dict[str, tuple[RouteRule, ...]]
    services: dict[str, ServiceRule]
    accounts: dict[str, AccountRule]
    keys: dict[str, str]
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    requires_keys: bool


def find_route(ruleset, host, path):
    """Return the route of a host with the longest matching path prefix, or None.

    Parameters
    ----------
    ruleset : Ruleset
    host : str
    path : str
        Path without the query.
    """
    for route in ruleset.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def route_service(route, fraction):
    """Return the service for a request by the weights of its route.

    Parameters
    ----------
    route : RouteRule
    fraction : float
        Uniform in [0, 1), the same for each attempt of one request.

    Returns
    -------
    str
        Name of the service, empty if none has a weight above 0.
    """
    split = [share for share in route.split if share[1] > 0]
    remainder = fraction * sum(weight for _, weight in split)
    for service, weight in split:
        remainder -= weight
        if remainder < 0:
            return service
    return split[-1][0] if split else ""
