"""The configuration that requests are admitted and routed by."""

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

    ``max_gap_s`` is the longest pause of a stream that is still in time, 0 if not told.
    ``kind`` is ``"stream"``, ``"safe"`` or ``"unsafe"``. ``split`` holds pairs of a
    service and its weight. ``first_byte_slo_s`` is the time to the first byte that
    earns the full credit. Priority 0 is the highest.
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
    """A base model: megabytes of its weights and seconds to load them."""

    name: str
    weights_mb: float
    load_s: float


class EngineRule(NamedTuple):
    """What one engine of a service can hold.

    ``batch`` is the number of requests at once, ``kv_tokens`` the memory for tokens,
    ``adapter_places`` the number of adapters that may be resident or in transit,
    ``weights_mb`` the memory for models. ``event_steps`` is the number of decoding
    steps that one event of a stream takes. The weight store allows ``loads_per_s``
    loads of models over all engines.
    """

    batch: int
    kv_tokens: int
    adapter_places: int
    weights_mb: float
    loads_per_s: float
    models: tuple[ModelRule, ...]
    event_steps: int = 1


class ServiceRule(NamedTuple):
    """One service; ``engine`` is None for plain services."""

    name: str
    max_connections: int
    engine: EngineRule | None


class AccountRule(NamedTuple):
    """Limit of one client account; rate 0 means none.

    Rate and burst are tokens if ``counts_tokens``, else requests. ``plain_tokens``
    is what a request without token counts takes. ``priority`` overrides that of
    the route if it is not None.
    """

    name: str
    rate: float
    burst: float
    counts_tokens: bool
    plain_tokens: int
    priority: int | None


class Ruleset(NamedTuple):
    """One version of the configuration.

    ``routes`` maps a host to its routes, longest prefix first; ``keys`` maps the
    digest of a key to the name of its account.
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


def find_route(ruleset, host, path):
    """Return the route of a host with the longest prefix of a path, or None.

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
    """Return the service that a request goes to.

    Parameters
    ----------
    route : RouteRule
    fraction : float
        Uniform in [0, 1), the same for each attempt of one request.

    Returns
    -------
    str
        Empty if the route leads nowhere.
    """
    total = sum(weight for _, weight in route.split)
    mark = fraction * total
    for service, weight in route.split:
        mark -= weight
        if mark < 0:
            return service
    return route.split[-1][0] if route.split else ""
