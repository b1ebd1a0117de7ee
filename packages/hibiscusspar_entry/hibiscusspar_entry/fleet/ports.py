"""What the process needs of a platform, as interfaces."""

from typing import Any, NamedTuple, Protocol

__all__ = ["ObjectStore", "PlatformCodec", "TargetOrders", "TargetState"]


class ObjectStore(Protocol):
    """The platform's store; errors are those of ``hibiscusspar_wire``."""

    def get(self, kind: str, name: str) -> Any:
        """Return an object with ``revision`` and ``value``, or None."""

    def list(self, kind: str) -> Any:
        """Return ``objects`` of a kind and the ``revision`` of the store."""

    def watch(self, kind: str, since: int, wait_s: float) -> Any:
        """Return ``events`` after a revision and the new ``revision``."""

    def create(self, kind: str, name: str, value: Any) -> int:
        """Create an object; return its revision."""

    def update(self, kind: str, name: str, value: Any, revision: int) -> int:
        """Replace an object that still has a revision; return the new one."""


class PlatformCodec(Protocol):
    """Decodes the content of the platform's own objects.

    ``config_kind`` and ``config_name`` name the configuration, ``target_kind`` the
    directory, ``version_kind`` the announcements of adapter versions.
    """

    config_kind: str
    config_name: str
    target_kind: str
    version_kind: str

    def ruleset(self, value: Any) -> Any:
        """Return a ``Ruleset``; raise ``ValueError`` if it can't be read."""

    def target(self, name: str, value: Any) -> Any:
        """Return a ``Target``, or None if the entry names none."""

    def version(self, value: Any) -> Any:
        """Return model, adapter and version, or None."""


class TargetState(NamedTuple):
    """What a target reports; versions by ``(model, adapter)``.

    ``busy`` is whether it carries out an order about a model.
    """

    orders_accepted: int
    adapters: dict[tuple[str, str], int]
    pending: dict[tuple[str, str], int]
    models: tuple[str, ...]
    busy: bool


class TargetOrders(Protocol):
    """Orders to targets and their reports."""

    def order(self, target: Any, order: Any, holder: str, fence: int) -> str:
        """Give an order; return ``accepted``, ``done``, ``refused`` or ``lost``."""

    def state(self, target: Any) -> TargetState | None:
        """Return what a target holds, or None if it can't be told."""
