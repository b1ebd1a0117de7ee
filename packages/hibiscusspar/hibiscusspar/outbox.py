"""Outputs of a system: messages, log events, platform calls and target orders.

A system does no I/O. It appends to an :class:`Outbox`, and the code that drives the
system (the entry process, a test, a benchmark) carries out the entries.
"""

from typing import Any, NamedTuple

__all__ = ["LogRecord", "Order", "Outbox", "PlatformCall", "PlatformResult", "Send"]


class Send(NamedTuple):
    """A typed message to one peer VM."""

    peer: str
    message: Any


class LogRecord(NamedTuple):
    """One log line: kind of the event and values of its fields."""

    kind: Any
    fields: dict


class PlatformCall(NamedTuple):
    """One call of the platform's object API.

    ``operation`` is ``"get"``, ``"list"``, ``"create"``, ``"update"`` or
    ``"delete"``; ``version`` is the version that a conditional call expects.
    The result is returned to ``system`` with the same ``call_id``.
    """

    system: str
    call_id: str
    operation: str
    kind: str
    name: str
    value: Any = None
    version: int = 0


class PlatformResult(NamedTuple):
    """Result of a :class:`PlatformCall`.

    ``outcome`` is ``"ok"``, ``"conflict"``, ``"missing"``, ``"refused"`` (certainly
    without effect) or ``"unknown"`` (the answer was lost).
    """

    call_id: str
    outcome: str
    value: Any = None
    version: int = 0


class Order(NamedTuple):
    """One idempotent order to a target.

    ``action`` is ``"load"`` or ``"evict"``; ``fence`` is the number of the owner role.
    """

    target: str
    action: str
    adapter: str
    version: str
    fence: int


class Outbox:
    """Actions that a system requests, in order."""

    def __init__(self):
        self.sends = []
        self.records = []
        self.calls = []
        self.orders = []
        self.urgent = set()

    def send(self, peer, message, urgent=False):
        """Queue a message for a peer VM; messages to one peer are sent together.

        An urgent message is sent at once, along with the others for its peer.
        """
        self.sends.append(Send(peer, message))
        if urgent:
            self.urgent.add(peer)

    def log(self, kind, **fields):
        """Queue a log event; ``fields`` must have the field names of its kind."""
        self.records.append(LogRecord(kind, fields))

    def call(self, call):
        """Queue a :class:`PlatformCall`."""
        self.calls.append(call)

    def order(self, order):
        """Queue an :class:`Order`."""
        self.orders.append(order)
