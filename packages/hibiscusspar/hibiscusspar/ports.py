"""Interfaces between the decisions and whoever drives them."""

from typing import Any, Protocol

from hibiscusspar.outbox import Outbox, PlatformResult

__all__ = ["Clock", "Platform", "System"]


class Clock(Protocol):
    """A monotonic clock in seconds; wall-clock time is never used to decide."""

    def __call__(self) -> float:
        """Return the current time in seconds."""


class Platform(Protocol):
    """The platform's object API and its list of VMs.

    Every method raises :class:`~hibiscusspar.errors.StepError` if the platform
    can't be reached or refuses; a lost answer of a write is told apart from a
    refusal by the type of the error.
    """

    def get(self, kind: str, name: str) -> Any:
        """Return the object with its version, or None if there is none."""

    def list(self, kind: str) -> Any:
        """Return the objects of a kind and the version of the listing."""

    def create(self, kind: str, name: str, value: Any) -> int:
        """Create an object and return its version."""

    def update(self, kind: str, name: str, value: Any, version: int) -> int:
        """Replace an object whose version is still ``version``."""

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object whose version is still ``version``."""

    def watch(self, kind: str, since: int, timeout_s: float) -> Any:
        """Wait for changes of a kind after the version ``since``."""

    def vms(self) -> Any:
        """Return the lagging list of live and leaving VMs."""


class System(Protocol):
    """A system with tables of its own, driven by ticks, messages and results."""

    name: str

    def tick(self, now: float, out: Outbox) -> None:
        """Run over the tables; ``now`` is in seconds of a monotonic clock."""

    def receive(self, now: float, sender: str, message: Any, out: Outbox) -> None:
        """Take in one message of the VM ``sender``."""

    def platform_result(self, now: float, result: PlatformResult, out: Outbox) -> None:
        """Take in the result of a platform call that this system asked for."""
