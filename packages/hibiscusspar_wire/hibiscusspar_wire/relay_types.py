"""What goes into the relay of a request and what comes out of it."""

from typing import NamedTuple, Protocol

from hibiscusspar.errors import StepError

__all__ = ["GaveUpError", "GrantedTarget", "Hooks", "RelayRequest", "Relayed"]


class RelayRequest(NamedTuple):
    """One request as it goes to a target.

    ``label`` is ``adapter@version`` for engines, else empty. ``deadline`` is the
    time of the first byte; ``tokens`` is what was reserved; ``digest`` is that of
    the body.
    """

    request_id: str
    method: str
    uri: str
    headers: dict
    body: bytes
    label: str
    stream: bool
    idempotent: bool
    deadline: float
    tokens: int
    digest: str


class GrantedTarget(NamedTuple):
    """The target that a request was granted."""

    target: str
    address: str


class Relayed(NamedTuple):
    """An answer; ``body`` is bytes if whole, else an iterator."""

    status: int
    headers: tuple
    body: object


class Hooks(Protocol):
    """What the relay needs from the process around it."""

    def acquire_target(self, request, excluded):
        """Return a :class:`GrantedTarget`, or raise.

        ``excluded(candidates)`` returns those of some target names to avoid.
        """

    def on_attempt_ended(self, request, granted, cause):
        """Take back the grant of an attempt that ended; cause None if well."""

    def on_adapter_missing(self, request, granted):
        """Take in that the target does not hold the adapter."""

    def on_request_ended(self, request, state, target, status):
        """Take in the end of a request with its outcome and its tokens."""


class GaveUpError(StepError):
    """A request ended without an answer; ``ran`` tells what is known of it."""

    def __init__(self, step, peer, reason, code, status, ran, retry_after_s):
        super().__init__(step, peer, reason)
        self.code = code
        self.status = status
        self.ran = ran
        self.retry_after_s = retry_after_s
