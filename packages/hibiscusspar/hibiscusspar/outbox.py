"""What a system decided: messages, log events, platform calls and target orders.

A system never acts; it appends to an :class:`Outbox`, and whoever drives the
system (the entry process, a test, a bench) carries the entries out.
"""

from typing import Any, NamedTuple

__all__ = ["LogRecord", "Order", "Outbox", "PlatformCall", "PlatformResult", "Send"]


class Send(NamedTuple):
    """A typed message due to one peer VM."""

    peer: str
    message: Any


class LogRecord(NamedTuple):
    """One log line: its kind and the values of its fields."""

    kind: Any
    fields: dict


class PlatformCall(NamedTuple):
    """One call of the platform's object API.

    ``operation`` is ``"get"``, ``"list"``, ``"create"``, ``"update"`` or
    ``"delete"``; ``version`` is the version a conditional call expects.
    The result goes back to ``system`` under the same ``call_id``.
    """

    system: str
    call_id: str
    operation: str
    kind: str
    name: str
    value: Any = None
    version: int = 0


class PlatformResult(NamedTuple):
    """Outcome of a :class:`PlatformCall`.

    ``outcome`` is ``"ok"``, ``"conflict"``, ``"missing"``, ``"refused"`` (surely
    without effect) or ``"unknown"`` (the answer was lost).
    """

    call_id: str
    outcome: str
    value: Any = None
    version: int = 0


class Order(NamedTuple):
    """One order to a target, always safe to repeat.

    ``action`` is ``"load"`` or ``"evict"``; ``fence`` is the owner's number.
    """

    target: str
    action: str
    adapter: str
    version: str
    fence: int


class Outbox:
    """Entries that a system wants carried out, in order."""

    def __init__(self):
        self.sends = []
        self.records = []
        self.calls = []
        self.orders = []
        self.urgent = set()

    def send(self, peer, message, urgent=False):
        """Queue a message for a peer VM; messages to one peer travel together.

        An urgent one doesn't wait for the next tick, and takes the others along.
        """
        self.sends.append(Send(peer, message))
        if urgent:
            self.urgent.add(peer)

    def log(self, kind, **fields):
        """Queue a log event; field names must be those of its kind."""
        self.records.append(LogRecord(kind, fields))

    def call(self, call):
        """Queue a :class:`PlatformCall`."""
        self.calls.append(call)

    def order(self, order):
        """Queue an :class:`Order`."""
        self.orders.append(order)
