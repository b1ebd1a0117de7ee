"""Interfaces to the platform that the entry process runs on."""

from typing import Any, NamedTuple, Protocol

from hibiscusspar.fleet.stream_moves import MoveAnswer

__all__ = ["ObjectStore", "PlatformCodec", "RunMoves", "TargetOrders", "TargetState"]


class ObjectStore(Protocol):
    """Store of the platform; its errors are those of ``hibiscusspar_wire``.

    ``era`` rises each time that the store returns from an older copy, as the last
    answer told; 0 if the store doesn't tell.
    """

    era: int

    def get(self, kind: str, name: str) -> Any:
        """Return an object with ``revision`` and ``value``, or None."""

    def list(self, kind: str) -> Any:
        """Return ``objects`` of a kind and the ``revision`` of the store."""

    def watch(self, kind: str, since: int, wait_s: float) -> Any:
        """Return ``events`` after a revision and the new ``revision``."""

    def create(self, kind: str, name: str, value: Any) -> int:
        """Create an object; return its revision."""

    def update(self, kind: str, name: str, value: Any, revision: int) -> int:
        """Replace an object that still has the revision; return the new one."""

    def delete(self, kind: str, name: str, revision: int) -> None:
        """Delete an object that still has the revision."""


class PlatformCodec(Protocol):
    """Decoder of the objects that the platform keeps in its store.

    ``config_kind`` and ``config_name`` identify the configuration, ``target_kind`` the
    directory of targets, ``version_kind`` the announcements of adapter versions,
    ``evacuation_kind`` the evacuations, which are named after their zones.
    """

    config_kind: str
    config_name: str
    target_kind: str
    version_kind: str
    evacuation_kind: str

    def decode_ruleset(self, value: Any) -> Any:
        """Return a ``Ruleset``; raise ``ValueError`` if the value is invalid."""

    def decode_target(self, name: str, value: Any) -> Any:
        """Return a ``Target``, or None if the entry describes none."""

    def decode_version(self, value: Any) -> Any:
        """Return model, adapter and version, or None if the value is invalid."""


class TargetState(NamedTuple):
    """State that a target reports.

    ``adapters`` and ``pending`` hold the versions of the resident adapters and of those
    being loaded, by ``(model, adapter)``, ``models`` the version of each model, None if
    it isn't stated.
    ``busy`` is whether the target executes an order about a model.
    """

    orders_accepted: int
    adapters: dict[tuple[str, str], int]
    pending: dict[tuple[str, str], int]
    models: dict[str, int | None]
    busy: bool


class TargetOrders(Protocol):
    """Calls to targets: load orders and queries of their state."""

    def send_order(self, target: Any, order: Any, holder: str, fence: int) -> str:
        """Send an order; return ``accepted``, ``done``, ``refused`` or ``lost``."""

    def read_state(self, target: Any) -> TargetState | None:
        """Return the state of a target, or None if it can't be read."""


class RunMoves(Protocol):
    """Calls to targets that copy the states of running streams.

    They raise ``CallFailedError`` if there is no answer.
    """

    def move(
        self, source: Any, request_id: str, destination: Any, last: bool
    ) -> MoveAnswer:
        """Have the state of a run copied; with ``last`` the run stops first."""

    def free(self, source: Any, handle: str) -> None:
        """Free a copy at both ends."""
