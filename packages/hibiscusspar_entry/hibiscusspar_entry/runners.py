"""Runners of the platform calls and of the orders that the systems request."""

from hibiscusspar.errors import StepError
from hibiscusspar.outbox import PlatformResult
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.events import PLATFORM_FAILED
from hibiscusspar_wire.platform_errors import (
    ConflictError,
    MissingError,
    UnknownOutcomeError,
)

__all__ = ["OrderRunner", "PlatformRunner"]


class PlatformRunner:
    """Runner of :class:`~hibiscusspar.outbox.PlatformCall` entries.

    Parameters
    ----------
    platform : Platform
    metrics : Metrics
    """

    def __init__(self, platform, metrics):
        self._platform = platform
        self._metrics = metrics

    def __call__(self, call):
        """Run a call and return its :class:`~hibiscusspar.outbox.PlatformResult`."""
        result = self._run(call)
        self._metrics.platform_calls.labels(call.operation, result.outcome).inc()
        return result

    def _run(self, call):
        try:
            return self._result(call)
        except ConflictError as error:
            return PlatformResult(call.call_id, "conflict", version=error.version)
        except MissingError:
            return PlatformResult(call.call_id, "missing")
        except UnknownOutcomeError as error:
            _log_failure(error)
            return PlatformResult(call.call_id, "unknown")
        except StepError as error:
            _log_failure(error)
            return PlatformResult(call.call_id, "refused")

    def _result(self, call):
        platform = self._platform
        match call.operation:
            case "get":
                stored = platform.get(call.kind, call.name)
                if stored is None:
                    return PlatformResult(call.call_id, "missing")
                return PlatformResult(call.call_id, "ok", stored.value, stored.version)
            case "list":
                listed = platform.list(call.kind)
                return PlatformResult(call.call_id, "ok", listed.items, listed.version)
            case "vms":
                listed = platform.vms()
                return PlatformResult(call.call_id, "ok", listed.vms, listed.version)
            case "create":
                version = platform.create(call.kind, call.name, call.value)
            case "update":
                version = platform.update(
                    call.kind, call.name, call.value, call.version
                )
            case "delete":
                platform.delete(call.kind, call.name, call.version)
                version = 0
            case _:
                raise ValueError(f"unknown operation {call.operation!r}")
        return PlatformResult(call.call_id, "ok", version=version)


class OrderRunner:
    """Runner of :class:`~hibiscusspar.outbox.Order` entries.

    Parameters
    ----------
    target_control : TargetControl
    placement : PlacementSystem
    """

    def __init__(self, target_control, placement):
        self._target_control = target_control
        self._placement = placement

    def __call__(self, order, locked_systems):
        """Run an order and report its result to placement.

        Parameters
        ----------
        order : Order
        locked_systems : callable
            :meth:`~hibiscusspar_entry.driver.Driver.locked_systems` of the driver.
        """
        ok, reason, incarnation = self._target_control.send_order(order)
        with locked_systems() as (now, out):
            self._placement.order_result(now, order, ok, reason, incarnation, out)


def _log_failure(error):
    write_records([(PLATFORM_FAILED, {"step": error.step, "reason": error.reason})])
