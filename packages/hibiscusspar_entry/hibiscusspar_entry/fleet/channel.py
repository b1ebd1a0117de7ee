"""Datagrams between nodes.

A datagram carries a complete state, so that none needs to be repeated or reordered, and
an unreachable peer blocks no thread.
"""

import socket
import threading
from time import sleep

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
from hibiscusspar_entry.fleet.packing import pack, unpack

__all__ = ["Channel"]

_MAX_BYTES = 65_507
# Pause in seconds after a datagram that can't be received.
_FAILED_PAUSE_S = 0.02
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

    def handle_datagram(self, datagram, address):
        """Forward and hand on the message of a datagram; drop it if it is broken."""
        try:
            body = unpack(datagram)
            message = _DECODER.decode(body)
            if isinstance(message, ViewRelay):
                view = bytes(message.view)
                is_packed = body is not datagram
                forwarded = pack(view) if is_packed else view
                for other in message.addresses:
                    self.send(other, forwarded)
                message = _DECODER.decode(view)
        except (MsgspecError, ValueError) as error:
            log_failure("channel.decode", error)
            return
        self._receive(message, address)

    def _run(self):
        # Most datagrams are short, and a new buffer for the longest one costs more
        # than the rest of their reception.
        buffer = memoryview(bytearray(_MAX_BYTES))
        while True:
            try:
                size, address = self._socket.recvfrom_into(buffer)
            except OSError as error:
                log_failure("channel.receive", error)
                sleep(_FAILED_PAUSE_S)
                continue
            try:
                self.received_bytes += size
                self.handle_datagram(bytes(buffer[:size]), address)
            except Exception as error:  # noqa: BLE001
                log_failure("channel.handle", error)
