"""Messages between VMs about the life of requests."""

from typing import NamedTuple

__all__ = ["MESSAGES", "BodyCrash"]


class BodyCrash(NamedTuple):
    """A target crashed while it ran a request whose body has this digest.

    ``age_s`` is how long ago that was when the message was sent; clocks of
    different VMs are never compared.
    """

    digest: str
    target: str
    age_s: float


MESSAGES = (BodyCrash,)
