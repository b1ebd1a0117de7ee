"""Client that sends orders to targets and polls the state of owned targets."""

import threading
from concurrent.futures import ThreadPoolExecutor

from msgspec import MsgspecError, Struct, json
from urllib3 import Timeout
from urllib3.exceptions import HTTPError as TransportError

from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.events import TARGET_UNREACHABLE
from hibiscusspar_wire.strict_http import strict_pool_manager

__all__ = ["TargetControl"]

POLL_THREADS = 4
ORDER_TIMEOUT_S = 30.0
STATE_TIMEOUT_S = 1.0
_ORDER_PATHS = {"load": "/v1/load_lora_adapter", "evict": "/v1/unload_lora_adapter"}
_FAILURE_REASONS = {409: "fenced", 507: "no_slot", 502: "failed"}


class _TargetState(Struct):
    incarnation: str | int = ""
    resident: list[str] = []
    running: int = 0
    queued: int = 0


class _OrderResult(Struct):
    incarnation: str | int = ""


class TargetControl:
    """Client for the orders to targets and for their state.

    Parameters
    ----------
    address_of : callable
        Maps the name of a target to its address, or None if it isn't declared.
    connect_timeout_s : float
    """

    def __init__(self, address_of, connect_timeout_s):
        self._address_of = address_of
        self._connect_timeout_s = connect_timeout_s
        self._pool = strict_pool_manager(num_pools=256, maxsize=4, retries=False)
        self._pollers = ThreadPoolExecutor(POLL_THREADS, "state")
        self._polling = set()
        self._lock = threading.Lock()

    def send_order(self, order):
        """Send an order once; an order is idempotent and can be sent again.

        Parameters
        ----------
        order : Order

        Returns
        -------
        ok : bool
        reason : str
            Empty if the target carried it out, else ``"fenced"``, ``"no_slot"``,
            ``"failed"`` or ``"unknown"``.
        incarnation : str
            Incarnation of the target; empty if unknown.
        """
        address = self._address_of(order.target)
        if address is None:
            return False, "failed", ""
        body = {"lora_name": f"{order.adapter}@{order.version}", "fence": order.fence}
        url = f"http://{address}{_ORDER_PATHS[order.action]}"
        try:
            answer = self._request("POST", url, ORDER_TIMEOUT_S, json=body)
            incarnation = str(json.decode(answer.data, type=_OrderResult).incarnation)
        except (TransportError, MsgspecError):
            return False, "unknown", ""
        if answer.status == 200:
            return True, "", incarnation
        return False, _FAILURE_REASONS.get(answer.status, "unknown"), incarnation

    def poll(self, targets, on_state, on_unreachable):
        """Start to read the state of targets in background threads.

        Parameters
        ----------
        targets : sequence of str
        on_state : callable
            Called with target, incarnation, resident adapters and the numbers of
            running and queued requests.
        on_unreachable : callable
            Called with the name of a target that doesn't answer.
        """
        for target in targets:
            with self._lock:
                if target in self._polling:
                    continue
                self._polling.add(target)
            self._pollers.submit(self._poll_one, target, on_state, on_unreachable)

    def stop(self):
        """Stop the polling threads."""
        self._pollers.shutdown(wait=True, cancel_futures=True)

    def _poll_one(self, target, on_state, on_unreachable):
        try:
            state = self._read_state(target)
        except (TransportError, MsgspecError) as error:
            fields = {"target": target, "reason": type(error).__name__}
            write_records([(TARGET_UNREACHABLE, fields)])
            on_unreachable(target)
        else:
            if state is not None:
                on_state(target, *state)
        finally:
            with self._lock:
                self._polling.discard(target)

    def _read_state(self, target):
        address = self._address_of(target)
        if address is None:
            return None
        url = f"http://{address}/v1/state"
        answer = self._request("GET", url, STATE_TIMEOUT_S)
        state = json.decode(answer.data, type=_TargetState)
        resident = tuple(state.resident)
        return str(state.incarnation), resident, state.running, state.queued

    def _request(self, method, url, read_timeout_s, **fields):
        timeout = Timeout(connect=self._connect_timeout_s, read=read_timeout_s)
        return self._pool.request(method, url, timeout=timeout, **fields)
