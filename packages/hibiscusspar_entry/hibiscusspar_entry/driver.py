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
URGENT_EXCHANGE_S = 0.02


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
    run_call : callable
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
        run_call,
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
        self._run_call = run_call
        self._run_order = run_order
        self._clock = clock
        self._metrics = metrics
        self._exchange_s = exchange_s
        self._after_decision = _nothing
        self._lock = threading.RLock()
        self._due = defaultdict(list)
        self._busy_peers = set()
        self._last_exchange = {}
        self._stopped = False
        self._exchangers = ThreadPoolExecutor(EXCHANGE_THREADS, "exchange")
        self._callers = ThreadPoolExecutor(2, "platform")
        self._orderers = ThreadPoolExecutor(4, "order")

    def call_after_decisions(self, after):
        """Set the function ``after(now, out)``, called before each unlock."""
        self._after_decision = after

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
            self._after_decision(now, out)
            self._queue_sends(out)
        self._start_work(out)

    def tick(self):
        """Tick every system and start the exchanges that are due."""
        for name, system in self._systems.items():
            self._guarded(name, self._tick_one, system)
        self._start_exchanges()

    def receive(self, data):
        """Handle an encoded exchange and return the messages due to its sender."""
        self._metrics.exchange_bytes.labels("in").inc(len(data))
        incoming = self._codec.decode(data)
        self._take_in(incoming)
        answer = self._codec.encode(self._vm, self._take_due(incoming.sender))
        self._metrics.exchanges.labels("in", "ok").inc()
        self._metrics.exchange_bytes.labels("out").inc(len(answer))
        return answer

    def stop(self):
        """Send the messages still due and stop the worker threads."""
        self._start_exchanges(tuple(self._due), 0.0)
        self._stopped = True
        self._exchangers.shutdown(wait=True)
        self._callers.shutdown(wait=True)
        self._orderers.shutdown(wait=True, cancel_futures=True)

    def _queue_sends(self, out):
        for peer, message in out.sends:
            queue = self._due[peer]
            if len(queue) < MAX_QUEUED_MESSAGES:
                queue.append(message)

    def _start_work(self, out):
        write_records(out.records)
        for call in out.calls:
            self._callers.submit(self._guarded, call.system, self._finish_call, call)
        for order in out.orders:
            task = self._run_order, order, self.locked_systems
            self._orderers.submit(self._guarded, "placement", *task)
        if out.urgent and not self._stopped:
            self._start_exchanges(out.urgent, URGENT_EXCHANGE_S)

    def _guarded(self, system, action, *args):
        """Run an action and log its errors, so that they stop nothing else."""
        try:
            action(*args)
        except Exception as error:  # noqa: BLE001
            write_records([(SYSTEM_FAILED, _fault(system, error))])

    def _tick_one(self, system):
        with self.locked_systems() as (now, out):
            system.tick(now, out)

    def _finish_call(self, call):
        result = self._run_call(call)
        with self.locked_systems() as (now, out):
            self._systems[call.system].platform_result(now, result, out)

    def _take_in(self, incoming):
        for message in incoming.messages:
            kind = self._codec.kind(message)
            self._metrics.messages.labels(kind).inc()
            name = kind.partition(".")[0]
            self._guarded(name, self._receive_one, name, incoming.sender, message)

    def _receive_one(self, name, sender, message):
        with self.locked_systems() as (now, out):
            self._systems[name].receive(now, sender, message, out)

    def _take_due(self, peer):
        with self._lock:
            return self._due.pop(peer, [])

    def _start_exchanges(self, peers=None, interval_s=None):
        """Start the due exchanges with the given peers, by default with all."""
        interval_s = self._exchange_s if interval_s is None else interval_s
        now = self._clock()
        with self._lock:
            ready = [
                peer
                for peer in (self._due if peers is None else peers)
                if peer in self._due
                and peer not in self._busy_peers
                and now >= self._last_exchange.get(peer, -interval_s) + interval_s
            ]
            self._busy_peers.update(ready)
        for peer in ready:
            self._last_exchange[peer] = now
            self._exchangers.submit(self._guarded, "driver", self._exchange, peer)

    def _exchange(self, peer):
        try:
            self._exchange_once(peer)
        except StepError as error:
            self._metrics.exchanges.labels("out", "failed").inc()
            write_records([(PEER_FAILED, {"peer": peer, "reason": error.reason})])
            self._note_exchange(peer, ok=False)
        finally:
            with self._lock:
                self._busy_peers.discard(peer)

    def _note_exchange(self, peer, ok):
        with self._lock:
            self._systems["members"].record_exchange(peer, ok)

    def _exchange_once(self, peer):
        messages = self._take_due(peer)
        address = self._address_of(peer)
        if not messages or address is None:
            return
        data = self._codec.encode(self._vm, messages)
        self._metrics.exchange_bytes.labels("out").inc(len(data))
        answer = self._peers.exchange(address, data)
        self._note_exchange(peer, ok=True)
        self._metrics.exchanges.labels("out", "ok").inc()
        self._metrics.exchange_bytes.labels("in").inc(len(answer))
        self._take_in(self._codec.decode(answer))


def _nothing(_now, _out):
    """Do nothing; default of :meth:`Driver.call_after_decisions`."""


def _fault(system, error):
    return {"system": system, "reason": f"{type(error).__name__}: {error}"}
