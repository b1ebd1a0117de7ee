"""Notices of requests sent to targets, of targets without room and of slow periods.

They are sent at once, because views show the load of a target too late to keep several
nodes from sending their prompts to the same one.
"""

import threading
from time import sleep

from msgspec.json import encode as to_json
from msgspec.structs import replace

from hibiscusspar.fleet.messages import SendNotice
from hibiscusspar.fleet.peers import notice_interval_s
from hibiscusspar_entry.fleet.address import parse_address
from hibiscusspar_entry.fleet.background import log_failure

__all__ = ["NoticeSender"]

# Slow periods that a notice tells of at most; the newest ones.
_MAX_SLOW = 8


class NoticeSender:
    """Sender of notices, with the requests that no notice has announced yet.

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
        self._full = set()
        self._slow = {}
        self._has_pending = threading.Event()
        # Number of datagrams sent, including relayed ones.
        self.sent_count = 0

    def add(self, target, tokens):
        """Queue a notice of a request that was sent to a target."""
        with self._lock:
            self._pending.append((target.target_id, tokens))
        self._has_pending.set()

    def add_full(self, target_id):
        """Queue a notice of a brittle target that turned a request away."""
        with self._lock:
            self._full.add(target_id)
        self._has_pending.set()

    def add_slow(self, target_id, born, factor):
        """Queue a notice of a slow period that has begun or ended."""
        with self._lock:
            self._slow.pop(target_id, None)
            self._slow[target_id] = (target_id, born, factor)
        self._has_pending.set()

    def run(self):
        """Send the queued notices until the process ends."""
        while True:
            self._has_pending.wait()
            self._has_pending.clear()
            try:
                self.send_pending()
            except Exception as error:  # noqa: BLE001
                log_failure("notices", error)
            sleep(notice_interval_s(self._peers.count))

    def send_pending(self):
        """Send one notice of all queued requests; return the number of datagrams."""
        with self._lock:
            sends, self._pending = self._pending, []
            full, self._full = sorted(self._full), set()
            slow, self._slow = list(self._slow.values())[-_MAX_SLOW:], {}
        if not sends and not full and not slow:
            return 0
        recipients = self._peers.notice_recipients(self._clock(), self._zone, self._rng)
        notice = SendNotice(sends, full=full, slow=slow)
        self._send(recipients.direct, notice)
        self._send(recipients.relays, replace(notice, relay=True))
        return len(recipients.direct) + len(recipients.relays)

    def relay(self, notice):
        """Relay a notice from another zone to the nodes of this zone."""
        if notice.relay:
            addresses = self._peers.direct_addresses(self._clock(), self._zone)
            relayed = SendNotice(notice.sends, full=notice.full, slow=notice.slow)
            self._send(addresses, relayed)

    def _send(self, addresses, notice):
        body = to_json(notice)
        for address in addresses:
            self._channel.send(parse_address(address), body)
            self.sent_count += 1
