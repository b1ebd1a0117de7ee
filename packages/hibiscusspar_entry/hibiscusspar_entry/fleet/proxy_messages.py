"""Requests that a node without a path sends to its proxy, and the answers.

The body of the request for the target is the body of the request to the proxy; all else
is in one header. The answer of the target comes back in the same way, so no header of
callers or targets can be taken for one of the proxy.
"""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from typing import NamedTuple

from msgspec import MsgspecError
from msgspec.json import decode as from_json
from msgspec.json import encode as to_json

__all__ = [
    "ANSWER_HEADER",
    "BAD_TOKEN",
    "BUSY",
    "CALL_HEADER",
    "LEAVING",
    "NO_PATH",
    "PEER_REASONS",
    "PROXY_URI",
    "REFUSAL_HEADER",
    "UNREACHABLE",
    "ProxyAnswer",
    "ProxyCall",
    "decode_header",
    "encode_header",
]

PROXY_URI = "/proxy"
CALL_HEADER = "Proxy-Call"
ANSWER_HEADER = "Proxy-Answer"
# Reason for which the proxy has not sent the request.
REFUSAL_HEADER = "Proxy-Refusal"
# Reasons that concern the proxy, and not only the target of the request.
BAD_TOKEN = "no valid token"
BUSY = "busy"
LEAVING = "this VM leaves"
NO_PATH = "no path"
PEER_REASONS = frozenset({BAD_TOKEN, BUSY, LEAVING, NO_PATH})
# Reason of a proxy that can't connect to the target.
UNREACHABLE = "unreachable"


class ProxyCall(NamedTuple):
    """Head of a request that a proxy sends.

    ``token`` is that of the proxy's offer, ``remaining_s`` the time until the deadline.
    ``suspects`` holds what is reported as the cause if the target crashes.
    ``permitted`` is whether the sender has used a permit for a cold target; nodes of
    older builds have none.
    """

    token: str
    target_id: str
    request_id: str
    method: str
    uri: str
    headers: list[tuple[str, str]]
    remaining_s: float
    suspects: list[str]
    permitted: bool = False


class ProxyAnswer(NamedTuple):
    """Head of a target's answer."""

    status: int
    headers: list[tuple[str, str]]


def encode_header(message):
    """Return a message as the value of a header."""
    return b64encode(to_json(message)).decode("ascii")


def decode_header(text, message_type):
    """Return the message in a header.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    try:
        return from_json(b64decode(text, validate=True), type=message_type)
    except (Base64Error, MsgspecError) as error:
        raise ValueError(str(error)) from error
