"""Lookup of adapters by the model name of a request and of routes by path."""

from typing import NamedTuple

__all__ = ["AdapterRef", "find_adapter", "find_route"]


class AdapterRef(NamedTuple):
    """An adapter and its version that a request uses."""

    adapter: str
    version: str

    @property
    def label(self):
        """Name sent to targets, ``adapter@version``."""
        return f"{self.adapter}@{self.version}"


def find_adapter(configuration, name):
    """Resolve ``adapter`` or ``adapter@version``.

    Parameters
    ----------
    configuration : Configuration
    name : str
        Model name of a request.

    Returns
    -------
    AdapterRef or None
        None if the adapter or the version is not declared.
    """
    adapter, _, version = name.partition("@")
    spec = configuration.adapters.get(adapter)
    if spec is None:
        return None
    version = version or spec.current
    if version not in spec.versions:
        return None
    return AdapterRef(adapter, version)


def find_route(configuration, path):
    """Return the route with the longest prefix of a path, or None.

    A prefix matches whole path segments only.
    """
    prefix = path.rstrip("/")
    while prefix:
        route = configuration.routes.get(prefix)
        if route is not None:
            return route
        prefix = prefix.rpartition("/")[0]
    return configuration.routes.get("/")
