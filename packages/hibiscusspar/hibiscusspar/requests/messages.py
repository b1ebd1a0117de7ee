"""Messages between VMs about requests."""

from typing import NamedTuple

__all__ = ["MESSAGES", "BodyCrash"]


class BodyCrash(NamedTuple):
    """A target crashed while running a request whose body has this digest.

    ``age_s`` is the age of the crash at the time of sending; an age is sent because
    the clocks of different VMs can't be compared.
    """

    digest: str
    target: str
    age_s: float


MESSAGES = (BodyCrash,)
