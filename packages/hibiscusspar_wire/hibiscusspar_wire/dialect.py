"""What a platform's headers say, in the product's own terms."""

from typing import NamedTuple, Protocol

__all__ = ["AnswerHead", "CallHead", "Dialect", "Forwarding"]


class CallHead(NamedTuple):
    """What the head of a caller's request says.

    ``model`` and ``adapter`` are empty if none is named. ``tokens`` holds prompt
    and most output tokens, None if not told. ``prefix`` names the parts of the
    prompt, in order, with their tokens. ``deadline_s`` is how long the caller
    waits, None if not told. ``last_event`` is the last event that the caller has.
    """

    request_id: str
    host: str
    path: str
    key: str
    deadline_s: float | None
    model: str
    adapter: str
    tokens: tuple[int, int] | None
    prefix: tuple[tuple[str, int], ...]
    last_event: int | None


class Forwarding(NamedTuple):
    """What the system itself tells a target beside the caller's own headers."""

    target_id: str
    account: str
    left_s: float
    urgency: int
    last_event: int | None
    version: int


class AnswerHead(NamedTuple):
    """What the head of a target's answer says.

    ``not_run`` is whether the target states that it did not run the request.
    """

    request_id: str
    target_id: str
    not_run: bool
    sealed: bool


class Dialect(Protocol):
    """Decodes and encodes the headers of one platform."""

    def call_head(self, head) -> CallHead:
        """Decode the head of a request; raise ``ValueError`` if it is malformed."""

    def target_headers(self, head, call, forwarding) -> list[tuple[str, str]]:
        """Return the headers that go to a target."""

    def answer_head(self, status, headers) -> AnswerHead:
        """Decode the head of a target's answer."""

    def answer_headers(self, headers) -> list[tuple[str, str]]:
        """Return the headers of an answer that go back to the caller."""
