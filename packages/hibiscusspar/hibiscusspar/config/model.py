"""Declared entities: services, targets, routes, models, adapters, accounts."""

from typing import NamedTuple

__all__ = [
    "AccountSpec",
    "AdapterSpec",
    "Configuration",
    "KeySpec",
    "ModelSpec",
    "RouteSpec",
    "ServiceSpec",
    "TargetSpec",
    "WeightStoreSpec",
    "empty_configuration",
]


class ServiceSpec(NamedTuple):
    """A group of model engines or a plain HTTP service.

    ``kind`` is ``"engine"`` or ``"plain"``; ``model`` is empty for a plain service.
    """

    name: str
    kind: str
    model: str = ""


class TargetSpec(NamedTuple):
    """One replica of a service.

    ``address`` is ``"IP:port"``, ``slots`` the number of adapters that fit,
    ``concurrency`` the number of requests that run at a time.
    """

    name: str
    service: str
    address: str
    zone: str
    checks_fencing: bool = False
    slots: int = 8
    concurrency: int = 16
    draining: bool = False


class RouteSpec(NamedTuple):
    """A path prefix and the service that answers it.

    Requests on ``open_to_all`` routes need no key. ``deadline_s`` is in seconds.
    """

    prefix: str
    service: str
    idempotent: bool = False
    open_to_all: bool = False
    deadline_s: float = 30.0


class ModelSpec(NamedTuple):
    """A base model; ``bytes_per_token`` is the lowest number of bytes per token."""

    name: str
    bytes_per_token: float = 1.0
    max_tokens: int = 1024


class AdapterSpec(NamedTuple):
    """A LoRA adapter; ``current`` is the version used if a request names none.

    ``accounts`` lists the client accounts that may use it; empty means all.
    """

    name: str
    model: str
    versions: tuple[str, ...]
    current: str
    accounts: tuple[str, ...] = ()


class AccountSpec(NamedTuple):
    """A client account and its limit.

    ``rate`` is in tokens per second and ``burst`` in tokens, for the whole
    fleet. ``zone_fractions`` holds pairs (zone, fraction); the fractions sum to 1.
    ``routes`` lists allowed prefixes; empty means all. ``stale_bound_s`` is the
    age of the configuration in seconds above which requests of the account are
    refused; 0 means never.
    """

    name: str
    rate: float
    burst: float
    weight: float = 1.0
    zone_fractions: tuple[tuple[str, float], ...] = ()
    routes: tuple[str, ...] = ()
    stale_bound_s: float = 0.0


class KeySpec(NamedTuple):
    """An issued key, stored only as its SHA-256 digest in hexadecimal."""

    digest: str
    account: str
    key_id: str
    withdrawn: bool = False


class WeightStoreSpec(NamedTuple):
    """Limits of the weight store from which all targets load adapters."""

    loads_per_s: float = 3.0
    max_in_transit: int = 8


class Configuration(NamedTuple):
    """All declared entities at one revision, in tables keyed by name."""

    revision: int
    services: dict[str, ServiceSpec]
    targets: dict[str, TargetSpec]
    routes: dict[str, RouteSpec]
    models: dict[str, ModelSpec]
    adapters: dict[str, AdapterSpec]
    accounts: dict[str, AccountSpec]
    keys: dict[str, KeySpec]
    weight_store: WeightStoreSpec


def empty_configuration():
    """Return a configuration at revision 0 with nothing declared."""
    return Configuration(0, {}, {}, {}, {}, {}, {}, {}, WeightStoreSpec())
