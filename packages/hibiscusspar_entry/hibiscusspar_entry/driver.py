"""Driver of the systems: ticks, message exchanges, platform calls and orders."""

import threading
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

from hibiscusspar.errors import StepError
from hibiscusspar.outbox import Outbox
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.events import PEER_FAILED, SYSTEM_FAILED

__all__ = ["Driver"]

EXCHANGE_THREADS = 4
MAX_QUEUED_MESSAGES = 10_000
URGENT_EXCHANGE_INTERVAL_S = 0.02


class Driver:
    """Driver that runs the systems under one lock and carries out their outputs.

    Parameters
    ----------
    vm : str
        Id of this VM.
    systems : sequence of System
    codec : MessageCodec
    peers : PeerClient
    address_of : callable
        Maps a VM id to the address of its peer port, or None.
    run_platform_call : callable
        Runs a platform call and returns its result; called in a worker thread.
    run_order : callable
        Runs an order to a target; called with the order and :meth:`locked_systems`
        in a worker thread.
    clock : Clock
    metrics : Metrics
    exchange_s : float
        Minimum seconds between two exchanges with one peer, unless a message is
        urgent.
    """

    def __init__(
        self,
        vm,
        systems,
        codec,
        peers,
        address_of,
        run_platform_call,
        run_order,
        clock,
        metrics,
        exchange_s,
    ):
        self._vm = vm
        self._systems = {system.name: system for system in systems}
        self._codec = codec
        self._peers = peers
        self._address_of = address_of
        self._run_platform_call = run_platform_call
        self._run_order = run_order
        self._clock = clock
        self._metrics = metrics
        self._exchange_s = exchange_s
        self._before_unlock = _do_nothing
        self._lock = threading.RLock()
        self._queued_messages = defaultdict(list)
        self._busy_peers = set()
        self._last_exchange = {}
        self._stopped = False
        self._exchange_pool = ThreadPoolExecutor(EXCHANGE_THREADS, "exchange")
        self._platform_pool = ThreadPoolExecutor(2, "platform")
        self._order_pool = ThreadPoolExecutor(4, "order")

    def set_before_unlock(self, before_unlock):
        """Set the function ``before_unlock(now, out)``, called before each unlock."""
        self._before_unlock = before_unlock

    @contextmanager
    def locked_systems(self):
        """Hold the lock of the systems; the outbox is processed after the release.

        Yields
        ------
        now : float
            Seconds of the monotonic clock.
        out : Outbox
        """
        out = Outbox()
        with self._lock:
            now = self._clock()
            yield now, out
            self._before_unlock(now, out)
            self._queue_messages(out)
        self._start_work(out)

    def tick(self):
        """Tick every system and start the exchanges that are due."""
        for name, system in self._systems.items():
            self._run_guarded(name, self._tick_one, system)
        self._start_exchanges()

    def receive(self, data):
        """Handle an encoded exchange and return the messages due to its sender."""
        self._metrics.exchange_bytes.labels("in").inc(len(data))
        incoming = self._codec.decode(data)
        self._handle_messages(incoming)
        answer = self._codec.encode(self._vm, self._take_messages(incoming.sender))
        self._metrics.exchanges.labels("in", "ok").inc()
        self._metrics.exchange_bytes.labels("out").inc(len(answer))
        return answer

    def stop(self):
        """Send the messages still due and stop the worker threads."""
        self._start_exchanges(tuple(self._queued_messages), 0.0)
        self._stopped = True
        self._exchange_pool.shutdown(wait=True)
        self._platform_pool.shutdown(wait=True)
        self._order_pool.shutdown(wait=True, cancel_futures=True)

    def _queue_messages(self, out):
        for peer, message in out.sends:
            queue = self._queued_messages[peer]
            if len(queue) < MAX_QUEUED_MESSAGES:
                queue.append(message)

    def _start_work(self, out):
        write_records(out.records)
        for call in out.calls:
            self._platform_pool.submit(
                self._run_guarded, call.system, self._finish_call, call
            )
        for order in out.orders:
            task = self._run_order, order, self.locked_systems
            self._order_pool.submit(self._run_guarded, "placement", *task)
        if out.urgent and not self._stopped:
            self._start_exchanges(out.urgent, URGENT_EXCHANGE_INTERVAL_S)

    def _run_guarded(self, system, action, *args):
        """Run an action and log its errors, so that they stop nothing else."""
        try:
            action(*args)
        except Exception as error:  # noqa: BLE001
            write_records([(SYSTEM_FAILED, _error_fields(system, error))])

    def _tick_one(self, system):
        with self.locked_systems() as (now, out):
            system.tick(now, out)

    def _finish_call(self, call):
        result = self._run_platform_call(call)
        with self.locked_systems() as (now, out):
            self._systems[call.system].platform_result(now, result, out)

    def _handle_messages(self, incoming):
        for message in incoming.messages:
            kind = self._codec.kind(message)
            self._metrics.messages.labels(kind).inc()
            name = kind.partition(".")[0]
            self._run_guarded(name, self._receive_one, name, incoming.sender, message)

    def _receive_one(self, name, sender, message):
        with self.locked_systems() as (now, out):
            self._systems[name].receive(now, sender, message, out)

    def _take_messages(self, peer):
        with self._lock:
            return self._queued_messages.pop(peer, [])

    def _start_exchanges(self, peers=None, interval_s=None):
        """Start the due exchanges with the given peers, by default with all."""
        interval_s = self._exchange_s if interval_s is None else interval_s
        now = self._clock()
        with self._lock:
            ready = [
                peer
                for peer in (self._queued_messages if peers is None else peers)
                if peer in self._queued_messages
                and peer not in self._busy_peers
                and now >= self._last_exchange.get(peer, -interval_s) + interval_s
            ]
            self._busy_peers.update(ready)
        for peer in ready:
            self._last_exchange[peer] = now
            self._exchange_pool.submit(
                self._run_guarded, "driver", self._exchange, peer
            )

    def _exchange(self, peer):
        try:
            self._exchange_once(peer)
        except StepError as error:
            self._metrics.exchanges.labels("out", "failed").inc()
            write_records([(PEER_FAILED, {"peer": peer, "reason": error.reason})])
            self._record_exchange(peer, ok=False)
        finally:
            with self._lock:
                self._busy_peers.discard(peer)

    def _record_exchange(self, peer, ok):
        with self._lock:
            self._systems["members"].record_exchange(peer, ok)

    def _exchange_once(self, peer):
        messages = self._take_messages(peer)
        address = self._address_of(peer)
        if not messages or address is None:
            return
        data = self._codec.encode(self._vm, messages)
        self._metrics.exchange_bytes.labels("out").inc(len(data))
        answer = self._peers.exchange(address, data)
        self._record_exchange(peer, ok=True)
        self._metrics.exchanges.labels("out", "ok").inc()
        self._metrics.exchange_bytes.labels("in").inc(len(answer))
        self._handle_messages(self._codec.decode(answer))


def _do_nothing(_now, _out):
    """Do nothing; default of :meth:`Driver.set_before_unlock`."""


def _error_fields(system, error):
    return {"system": system, "reason": f"{type(error).__name__}: {error}"}
