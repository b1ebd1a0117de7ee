"""Functions for reading targets, permit stores and roles from the configuration."""

from hibiscusspar.placement.permits import store_specs
from hibiscusspar.ports import target_owner_role

__all__ = ["engine_targets", "longest_deadline", "owned_specs", "role_names"]


def engine_targets(configuration):
    """Return the targets of all engine services by name."""
    services = configuration.services
    return {
        name: spec
        for name, spec in configuration.targets.items()
        if spec.service in services and services[spec.service].kind == "engine"
    }


def owned_specs(configuration):
    """Return everything that has an owner: engine targets and permit stores."""
    engines = engine_targets(configuration)
    if not engines:
        return {}
    zones = [spec.zone for spec in engines.values()]
    return {**engines, **store_specs(configuration, zones)}


def role_names(configuration, zone):
    """Return the roles that must be held by the nodes of a zone."""
    specs = owned_specs(configuration)
    return sorted(
        target_owner_role(n) for n, spec in specs.items() if spec.zone == zone
    )


def longest_deadline(configuration):
    """Return the longest deadline of any route in seconds."""
    return max((r.deadline_s for r in configuration.routes.values()), default=30.0)
