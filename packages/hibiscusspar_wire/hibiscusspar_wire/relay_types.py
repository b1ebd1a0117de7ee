"""Inputs, results and callbacks of the relay of requests."""

from typing import NamedTuple, Protocol

from hibiscusspar.errors import StepError

__all__ = ["GaveUpError", "GrantedTarget", "Hooks", "RelayRequest", "RelayedAnswer"]


class RelayRequest(NamedTuple):
    """Request to relay to a target.

    ``label`` is ``adapter@version`` for engines, else empty. ``deadline`` is the
    latest time of the answer's first byte, ``tokens`` the number of reserved tokens
    and ``digest`` the digest of the body.
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
    """Target that was granted to a request, with its address."""

    target: str
    address: str


class RelayedAnswer(NamedTuple):
    """Answer of a target; ``body`` is bytes, or an iterator if it is streamed."""

    status: int
    headers: tuple
    body: object


class Hooks(Protocol):
    """Callbacks of the relay."""

    def acquire_target(self, request, excluded):
        """Wait for a target and return it as :class:`GrantedTarget`, or raise.

        ``excluded(candidates)`` returns the target names among the candidates that
        must not be used.
        """

    def on_attempt_ended(self, request, granted, cause):
        """Release the grant of an attempt that ended; cause is None if it succeeded."""

    def on_adapter_missing(self, request, granted):
        """Record that the target does not hold the adapter."""

    def on_request_ended(self, request, state, target, status):
        """Handle the end of a request; ``state`` has its outcome and tokens."""


class GaveUpError(StepError):
    """A request failed without an answer of a target.

    ``ran`` is ``"not-run"`` if it certainly did not run, else ``"unknown"``.
    """

    def __init__(self, step, peer, reason, code, status, ran, retry_after_s):
        super().__init__(step, peer, reason)
        self.code = code
        self.status = status
        self.ran = ran
        self.retry_after_s = retry_after_s
