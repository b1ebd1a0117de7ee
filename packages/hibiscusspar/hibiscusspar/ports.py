"""Interfaces between the decision logic and the code that drives it."""

from typing import Any, NamedTuple, Protocol

from hibiscusspar.outbox import Outbox, PlatformResult

__all__ = [
    "Clock",
    "Member",
    "Members",
    "Platform",
    "Roles",
    "System",
    "limit_home_role",
    "target_owner_role",
]


class Clock(Protocol):
    """A monotonic clock in seconds; decisions never use wall-clock time."""

    def __call__(self) -> float:
        """Return the current time in seconds."""


class Platform(Protocol):
    """The platform's object API and its list of VMs.

    Every method raises :class:`~hibiscusspar.errors.StepError` if the platform
    can't be reached or refuses. The type of the error distinguishes a write whose
    answer was lost from one that was refused.
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
        """Return the list of live and leaving VMs, which may be out of date."""


class System(Protocol):
    """A component with its own tables, driven by ticks, messages and results."""

    name: str

    def tick(self, now: float, out: Outbox) -> None:
        """Process the tables; ``now`` is in seconds of a monotonic clock."""

    def receive(self, now: float, sender: str, message: Any, out: Outbox) -> None:
        """Handle a message from the VM ``sender``."""

    def platform_result(self, now: float, result: PlatformResult, out: Outbox) -> None:
        """Handle the result of a platform call that this system requested."""


class Member(NamedTuple):
    """A VM known to this node; ``address`` is ``"IP:port"`` of its peer port."""

    vm: str
    zone: str
    address: str


class Members(Protocol):
    """The VMs known to this node. Suspicion of a VM affects only routing."""

    vm: str
    zone: str

    def live(self, zone: str = "") -> list[Member]:
        """Return the VMs of a zone, or of all, that are not known to have left."""

    def suspected(self, vm: str) -> bool:
        """Return whether the VM seems unreachable, has left or was never known."""


class Roles(Protocol):
    """Exclusive roles of this zone and their holders.

    Roles are named by :func:`limit_home_role` and :func:`target_owner_role`. The number
    of a role grows with each change of its holder, so that a later holder has a higher
    one.
    """

    def require(self, names: list[str]) -> None:
        """Replace the list of roles of this zone that need a holder."""

    def holder(self, name: str) -> str:
        """Return the VM last known to hold the role; empty if none is known."""

    def number(self, name: str) -> int:
        """Return the last known number of the role; 0 if none is known."""

    def holds(self, name: str) -> bool:
        """Return whether this VM holds the role and may exercise it now."""


def limit_home_role(account, zone):
    """Return the name of the role that divides a zone's share of an account's limit."""
    return f"limit-home/{zone}/{account}"


def target_owner_role(target):
    """Return the name of the role whose holder alone orders loads on a target."""
    return f"target-owner/{target}"
