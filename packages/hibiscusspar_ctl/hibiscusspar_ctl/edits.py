"""Edits that operators make to the configuration in force from the command line."""

from hibiscusspar.errors import StepError

__all__ = ["add_version", "drain_target", "make_current", "retire"]


def add_version(configuration, name, version, current):
    """Return the configuration with a version added to an adapter.

    Parameters
    ----------
    configuration : Configuration
    name, version : str
    current : bool
        Whether to make it the current one, which is used if a request names none.

    Returns
    -------
    Configuration

    Raises
    ------
    StepError
        If the adapter is not declared or already has the version.
    """
    spec = _find_adapter(configuration, name, "adapter.add-version")
    if version in spec.versions:
        raise StepError("adapter.add-version", name, f"already has version {version}")
    changed = spec._replace(versions=(*spec.versions, version))
    if current:
        changed = changed._replace(current=version)
    return _with_adapter(configuration, changed)


def make_current(configuration, name, version):
    """Return the configuration with another current version of an adapter."""
    spec = _find_adapter(configuration, name, "adapter.make-current")
    if version not in spec.versions:
        raise StepError("adapter.make-current", name, f"has no version {version}")
    return _with_adapter(configuration, spec._replace(current=version))


def retire(configuration, name, version=""):
    """Return the configuration without an adapter, or without one version of it.

    Raises
    ------
    StepError
        If the adapter or the version does not exist, or the version is the current one.
    """
    spec = _find_adapter(configuration, name, "adapter.retire")
    if not version:
        others = {k: row for k, row in configuration.adapters.items() if k != name}
        return configuration._replace(adapters=others)
    if version not in spec.versions:
        raise StepError("adapter.retire", name, f"has no version {version}")
    if version == spec.current:
        reason = f"version {version} is current; make another one current first"
        raise StepError("adapter.retire", name, reason)
    versions = tuple(kept for kept in spec.versions if kept != version)
    return _with_adapter(configuration, spec._replace(versions=versions))


def drain_target(configuration, name, draining):
    """Return the configuration with a target set to draining or not draining."""
    spec = configuration.targets.get(name)
    if spec is None:
        raise StepError("drain.target", name, "target is not declared")
    targets = configuration.targets | {name: spec._replace(draining=draining)}
    return configuration._replace(targets=targets)


def _find_adapter(configuration, name, step):
    spec = configuration.adapters.get(name)
    if spec is None:
        raise StepError(step, name, "adapter is not declared")
    return spec


def _with_adapter(configuration, spec):
    adapters = configuration.adapters | {spec.name: spec}
    return configuration._replace(adapters=adapters)
