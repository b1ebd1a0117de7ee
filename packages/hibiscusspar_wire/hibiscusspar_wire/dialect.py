"""Interface to the HTTP headers of one platform."""

from typing import NamedTuple, Protocol

from hibiscusspar.fleet.run_weights import RunWeights

__all__ = ["AnswerHead", "CallHead", "CopyHandle", "Dialect", "Forwarding"]


class CallHead(NamedTuple):
    """Decoded head of a caller's request.

    ``model`` and ``adapter`` are empty if none is named. ``tokens`` holds the prompt
    tokens and the maximum output tokens, None if not given. ``prefix`` lists the
    parts of the prompt in order, each with its tokens. ``deadline_s`` is how long
    the caller waits, None if not given. ``last_event`` is the number of the last
    event that the caller received, None if not given. ``resumes`` is the id of the
    request that brought the first event of the stream, empty if not given.
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
    resumes: str = ""


class CopyHandle(NamedTuple):
    """Copy of the state of a run that was stopped.

    ``address`` is that of the target that stopped it, ``handle`` the name of the copy
    there. ``weights`` are those that made the state, None if not known.
    """

    address: str
    handle: str
    weights: RunWeights | None = None


class Forwarding(NamedTuple):
    """Values that the system sends a target in addition to the caller's headers.

    ``left_s`` is the time in seconds until the caller's deadline. ``copy`` is that of
    the state from which the target continues the run, None if it begins one.
    """

    target_id: str
    account: str
    left_s: float
    urgency: int
    last_event: int | None
    version: int
    copy: CopyHandle | None = None


class AnswerHead(NamedTuple):
    """Decoded head of a target's answer.

    ``not_run`` is whether the target states that it did not run the request,
    ``sealed`` whether the answer has the platform's seal. ``limit_per_s`` is the
    number of requests a second that the target takes from all nodes together, None if
    it names no limit. ``rest_s`` is for how many seconds it wants no requests of the
    node that it answers, None if it doesn't say so. ``leaving`` is whether it says that
    it leaves, ``brittle`` whether it says that it fails if it must turn many requests
    away. ``cold`` is what it says about how long it stays cold (a ``ColdStatement``),
    None if it says nothing. ``model_version`` is the version of the model that answers,
    also if the request names an adapter, None if it isn't stated.
    """

    request_id: str
    target_id: str
    not_run: bool
    sealed: bool
    limit_per_s: float | None = None
    rest_s: float | None = None
    leaving: bool = False
    brittle: bool = False
    cold: object = None
    model_version: int | None = None


class Dialect(Protocol):
    """Decoder and encoder of the headers of one platform."""

    def call_head(self, head) -> CallHead:
        """Decode the head of a request; raise ``ValueError`` if it is malformed."""

    def target_headers(self, head, call, forwarding) -> list[tuple[str, str]]:
        """Return the headers of a request to a target."""

    def answer_head(self, status, headers) -> AnswerHead:
        """Decode the head of a target's answer."""

    def answer_headers(self, headers) -> list[tuple[str, str]]:
        """Return the headers of an answer that are passed on to the caller."""

    def event_version(self, events) -> int | None:
        """Return the version of the model that events state last, or None."""

    def holds_answer(self, body, is_first_call, is_end=True) -> bool:
        """Return whether the head of another answer stands in a body.

        ``is_first_call`` is whether its connection certainly carried no call before,
        ``is_end`` whether the body ends here; the head may be cut off there.
        """
