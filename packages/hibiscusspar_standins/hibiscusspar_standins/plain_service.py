"""Stand-in for a plain service that records every request that it ran."""

from time import monotonic

from hibiscusspar_standins.faults import Faults
from hibiscusspar_standins.ledger import Ledger
from hibiscusspar_standins.server import Answer

__all__ = ["PlainService"]


class PlainService:
    """Service that answers any method and path with an echo of the request.

    Parameters
    ----------
    seconds : float
        Time that a request takes.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(self, seconds=0.0, clock=monotonic):
        self.faults = Faults()
        self.ledger = Ledger(clock)
        self._seconds = seconds

    def handle(self, exchange):
        """Answer one HTTP request."""
        headers = exchange.headers
        request_id = headers.get("X-Request-Id", "")
        account = headers.get("X-Client-Account", "")
        if headers.get("Authorization"):
            detail = "credential reached the target"
            self.ledger.add("violation", request=request_id, detail=detail)
        body = exchange.read().decode(errors="replace")
        refusal = self._injected_refusal(exchange, body)
        if refusal is not None:
            return refusal
        fields = {"request": request_id, "account": account}
        fields["detail"] = f"{exchange.method} {exchange.path}"
        self.ledger.add("started", **fields)
        exchange.apply_pending_fault("crash_before_first", text=body)
        self._delay(exchange, body)
        self.ledger.add("finished", **fields)
        return self._answer(exchange, request_id, account, body)

    def _injected_refusal(self, exchange, body):
        if self.faults.take("unavailable_not_run", exchange.path, body):
            return Answer(503, {"error": "busy"}, {"X-Run": "not-run"})
        if self.faults.take("unavailable_unknown", exchange.path, body):
            return Answer(503, {"error": "failed"})
        return None

    def _delay(self, exchange, body):
        late = self.faults.take("late", exchange.path, body)
        exchange.wait(self._seconds + (late.seconds if late else 0.0))

    def _answer(self, exchange, request_id, account, body):
        if self.faults.take("crossed", exchange.path, body):
            request_id = f"other-{request_id}"
        headers = {"X-Request-Id": request_id}
        value = {"method": exchange.method, "path": exchange.path, "body": body}
        value |= {"request": request_id, "account": account}
        if self.faults.take("truncated", exchange.path, body):
            return Answer(200, _truncated_body(exchange), headers)
        return Answer(200, value, headers)


def _truncated_body(exchange):
    yield b'{"method": '
    exchange.reset()
