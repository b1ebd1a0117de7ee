"""Load orders of the coordinator, sent to targets by the duty holder of their zone.

The duty to send orders is held per zone. The loss of a holder thus stops loads only in
its zone, until its successor has waited out the gap between the orders of two holders.
"""

import threading
from itertools import count

from hibiscusspar.fleet.messages import OrderRequest, OrderResult
from hibiscusspar.fleet.planner import LoadOrder
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.background import BackgroundPool
from hibiscusspar_entry.fleet.events import ADAPTER_ORDERED

__all__ = ["OrderDispatcher"]

# Orders without a result yet, each of which may wait for its time-out.
_THREADS = 24
# Longest wait for another node's result, in seconds: its own time-out and the network.
_RESULT_TIMEOUT_S = 0.6


class OrderDispatcher:
    """Dispatcher of orders to this node or to the node that holds the zone's duty.

    Parameters
    ----------
    machine, start : str
    clock : callable
    elections : dict of str to Election
        Elections of the duties by zone.
    orders : TargetOrders
    send : callable
        Sends a message to an address.
    """

    def __init__(self, machine, start, clock, elections, orders, send):
        self._machine = machine
        self._start = start
        self._clock = clock
        self._elections = elections
        self._orders = orders
        self._send = send
        self._targets = {}
        self._pending_requests = {}
        self._numbers = count(1)
        self._coordinator_fence = 0
        self._pool = BackgroundPool("orders", _THREADS)

    def close(self):
        """Stop the threads of the pool."""
        self._pool.close()

    def set_targets(self, targets):
        """Replace the directory of targets."""
        self._targets = targets

    def duties(self):
        """Return the zones whose duty this node holds.

        Returns
        -------
        dict of str to (int, bool)
            Fence and whether this node may send orders now, by zone.
        """
        now = self._clock()
        return {
            zone: (election.fence, election.may_order(now))
            for zone, election in self._elections.items()
            if election.holds(now)
        }

    def dispatch(self, order, zone, address, fence):
        """Send an order of this node's coordinator, directly or through another node.

        Parameters
        ----------
        order : LoadOrder
        zone : str
        address : tuple or None
            Address of the holder of the zone's duty, None if it is this node.
        fence : int
            Fence of the coordinator.

        Returns
        -------
        str
            Result as in ``OrderOutcome``.
        """
        request = OrderRequest(
            number=next(self._numbers),
            start=self._start,
            fence=fence,
            zone=zone,
            target_id=order.target_id,
            operation=order.operation,
            model=order.model,
            adapter=order.adapter,
            version=order.version,
            expected=order.expected,
        )
        if address is None:
            return self._execute(request)
        answered = threading.Event()
        self._pending_requests[request.number] = pending = [answered, "lost"]
        self._send(address, request)
        answered.wait(_RESULT_TIMEOUT_S)
        self._pending_requests.pop(request.number, None)
        return pending[1]

    def handle_request(self, request, address):
        """Execute and answer a request of another node unless its fence is outdated."""
        if request.fence < self._coordinator_fence:
            return
        self._coordinator_fence = request.fence
        self._pool.submit(self._answer, request, address)

    def handle_result(self, message):
        """Pass the answer to a request of this node to the thread that waits for it."""
        pending = self._pending_requests.get(message.number)
        if pending is not None and message.start == self._start:
            pending[1] = message.result
            pending[0].set()

    def _answer(self, request, address):
        result = self._execute(request)
        self._send(address, OrderResult(request.number, request.start, result))

    def _execute(self, request):
        election = self._elections.get(request.zone)
        target = self._targets.get(request.target_id)
        result, fence = "refused", 0
        if target is not None and election is not None:
            fence = election.fence
            if election.may_order(self._clock()):
                order = LoadOrder(
                    request.target_id,
                    request.operation,
                    request.model,
                    request.adapter,
                    request.version,
                    request.expected,
                )
                result = self._orders.send_order(target, order, self._machine, fence)
        fields = {
            "target": request.target_id,
            "operation": request.operation,
            "adapter": f"{request.model}/{request.adapter}",
            "version": request.version,
            "expected": request.expected,
            "fence": fence,
            "result": result,
        }
        write_records([(ADAPTER_ORDERED, fields)])
        return result
