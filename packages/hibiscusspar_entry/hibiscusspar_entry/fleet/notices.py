"""Tells other nodes of sends at once, so that they don't pile prompts on one target."""

import threading
from time import sleep

from msgspec.json import encode as to_json

from hibiscusspar.fleet.messages import SendNotice
from hibiscusspar.fleet.peers import notice_interval_s
from hibiscusspar_entry.fleet.address import parse_address
from hibiscusspar_entry.fleet.background import log_failure

__all__ = ["Notices"]


class Notices:
    """Sends of this node that the others have still to be told of.

    Parameters
    ----------
    clock : callable
    zone : str
    peers : PeerTable
    channel : Channel
    rng : random.Random
    """

    def __init__(self, clock, zone, peers, channel, rng):
        self._clock = clock
        self._zone = zone
        self._peers = peers
        self._channel = channel
        self._rng = rng
        self._lock = threading.Lock()
        self._pending = []
        self._added = threading.Event()
        # Datagrams sent, those passed on included.
        self.sent = 0

    def add(self, target, tokens):
        """Note a send; it is told from another thread."""
        with self._lock:
            self._pending.append((target.target_id, tokens))
        self._added.set()

    def run(self):
        """Tell of sends until the process ends."""
        while True:
            self._added.wait()
            self._added.clear()
            try:
                self.send_pending()
            except Exception as error:  # noqa: BLE001
                log_failure("notices", error)
            sleep(notice_interval_s(self._peers.count))

    def send_pending(self):
        """Tell of all pending sends; return the number of datagrams."""
        with self._lock:
            sends, self._pending = self._pending, []
        if not sends:
            return 0
        audience = self._peers.notice_recipients(self._clock(), self._zone, self._rng)
        self._send(audience.direct, SendNotice(sends))
        self._send(audience.relays, SendNotice(sends, relay=True))
        return len(audience.direct) + len(audience.relays)

    def pass_on(self, notice):
        """Tell the nodes of this zone what a node of another zone sent."""
        if notice.relay:
            near = self._peers.direct_addresses(self._clock(), self._zone)
            self._send(near, SendNotice(notice.sends))

    def _send(self, addresses, notice):
        body = to_json(notice)
        for address in addresses:
            self._channel.send(parse_address(address), body)
            self.sent += 1
