"""Errors of platform calls, classified by whether the call may have had an effect."""

from hibiscusspar.errors import StepError

__all__ = [
    "CompactedError",
    "ConflictError",
    "PlatformError",
    "MissingError",
    "RefusedError",
    "StoreReplacedError",
    "UnknownOutcomeError",
]


class PlatformError(StepError):
    """A call to the platform failed."""

    outcome = "refused"


class RefusedError(PlatformError):
    """The call certainly had no effect: refused, not sent, or a failed read."""


class ConflictError(PlatformError):
    """The object is not at the expected version, or exists already.

    ``version`` is the version that the platform reported, 0 if none.
    """

    outcome = "conflict"

    def __init__(self, step, peer, reason, version=0):
        super().__init__(step, peer, reason)
        self.version = version


class MissingError(PlatformError):
    """There is no such object."""

    outcome = "missing"


class CompactedError(PlatformError):
    """The events after the given version are no longer kept."""


class StoreReplacedError(CompactedError):
    """The store has returned from an older copy since the last listing."""


class UnknownOutcomeError(PlatformError):
    """A write was sent and its answer was lost, so it may have taken effect."""

    outcome = "unknown"
