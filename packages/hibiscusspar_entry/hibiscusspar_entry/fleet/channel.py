"""Datagrams between nodes.

A datagram carries a complete state, so that none needs to be repeated or reordered, and
an unreachable peer blocks no thread.
"""

import socket
import threading

from msgspec import MsgspecError
from msgspec.json import Decoder
from msgspec.json import encode as to_json

from hibiscusspar.fleet.messages import (
    FleetView,
    NodeReport,
    OrderRequest,
    OrderResult,
    PermitGrant,
    SendNotice,
    ViewRelay,
)
from hibiscusspar_entry.fleet.background import log_failure

__all__ = ["Channel"]

_MAX_BYTES = 65_507
_DECODER = Decoder(
    NodeReport
    | FleetView
    | OrderRequest
    | OrderResult
    | PermitGrant
    | SendNotice
    | ViewRelay
)


class Channel:
    """UDP socket of one node.

    Parameters
    ----------
    ip : str
    port : int
    receive : callable
        Called with each message and the address it came from.
    """

    def __init__(self, ip, port, receive):
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, port))
        self._receive = receive
        self.sent_bytes = 0
        self.received_bytes = 0
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def address(self):
        """Bound address as ``ip:port``."""
        ip, port = self._socket.getsockname()
        return f"{ip}:{port}"

    def start(self):
        """Start the thread that receives messages."""
        self._thread.start()

    def send(self, address, message):
        """Send a message or an already encoded body to ``(ip, port)``."""
        body = message if isinstance(message, bytes) else to_json(message)
        try:
            self.sent_bytes += self._socket.sendto(body, address)
        except OSError as error:
            log_failure("channel.send", error)

    def _handle(self, message, address):
        if isinstance(message, ViewRelay):
            view = bytes(message.view)
            for other in message.addresses:
                self.send(other, view)
            message = _DECODER.decode(view)
        self._receive(message, address)

    def _run(self):
        while True:
            try:
                body, address = self._socket.recvfrom(_MAX_BYTES)
                self.received_bytes += len(body)
                self._handle(_DECODER.decode(body), address)
            except MsgspecError as error:
                log_failure("channel.decode", error)
            except OSError as error:
                log_failure("channel.receive", error)
