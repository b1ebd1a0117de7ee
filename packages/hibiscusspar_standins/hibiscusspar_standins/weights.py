"""Stand-in for the weight store that all engines load adapters from."""

import json
from threading import Lock
from time import monotonic, sleep

from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from hibiscusspar_standins.faults import Faults
from hibiscusspar_standins.ledger import Ledger
from hibiscusspar_standins.server import Answer

__all__ = ["WeightStore", "WeightStoreClient"]

FETCH_TIMEOUT_S = 60.0


class WeightStore:
    """Weight store with a limited rate of transfers.

    Parameters
    ----------
    loads_per_s : float
        Rate at which transfers start; further ones wait.
    max_in_transit : int
        Number of concurrent transfers that run at full speed.
    load_s : float
        Seconds that a transfer takes at full speed.
    clock, pause : callable
        Return the time in seconds, and wait for some seconds.
    """

    def __init__(
        self,
        loads_per_s=3.0,
        max_in_transit=8,
        load_s=0.25,
        clock=monotonic,
        pause=sleep,
    ):
        self.faults = Faults()
        self.ledger = Ledger(clock)
        self._clock = clock
        self._pause = pause
        self._interval_s = 1.0 / loads_per_s
        self._max_in_transit = max_in_transit
        self._load_s = load_s
        self._lock = Lock()
        self._next_start = clock()
        self._in_transit = 0

    def fetch(self, label):
        """Transfer an adapter version; return whether it succeeded."""
        self._pause(self._start_delay_s())
        try:
            self._pause(self._transfer_s())
        finally:
            with self._lock:
                self._in_transit -= 1
        failed = self.faults.take("load_fails", label) is not None
        self.ledger.add("load", label, detail="failed" if failed else "")
        return not failed

    def handle(self, exchange):
        """Answer one HTTP request."""
        if exchange.path != "/fetch":
            return Answer(404)
        label = json.loads(exchange.read())["adapter"]
        return Answer(200 if self.fetch(label) else 502)

    def _start_delay_s(self):
        with self._lock:
            now = self._clock()
            start = max(now, self._next_start)
            self._next_start = start + self._interval_s
            return start - now

    def _transfer_s(self):
        with self._lock:
            self._in_transit += 1
            return self._load_s * max(1.0, self._in_transit / self._max_in_transit)


class WeightStoreClient:
    """Client of a weight store in another process."""

    def __init__(self, address):
        self._url = f"http://{address}/fetch"
        self._pool = PoolManager(timeout=FETCH_TIMEOUT_S, retries=False)

    def fetch(self, label):
        """Transfer an adapter version; return whether it succeeded."""
        try:
            answer = self._pool.request("POST", self._url, json={"adapter": label})
        except HTTPError:
            return False
        return answer.status == 200
