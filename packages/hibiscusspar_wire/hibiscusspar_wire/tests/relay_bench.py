"""Test bench: a relay to stand-in targets over real sockets."""

import threading
from contextlib import ExitStack, contextmanager
from random import Random
from time import monotonic

from msgspec import json

from hibiscusspar.outbox import Outbox
from hibiscusspar.requests.quarantine import body_digest
from hibiscusspar.requests.system import RequestSystem
from hibiscusspar.requests.tests.fakes import FakeMembers
from hibiscusspar_standins.engine import Engine, prompt_tokens
from hibiscusspar_standins.engine_http import EngineService
from hibiscusspar_standins.plain_service import PlainService
from hibiscusspar_standins.server import StandinServer
from hibiscusspar_standins.weights import WeightStore
from hibiscusspar_wire.relay import Relay
from hibiscusspar_wire.relay_types import GaveUpError, GrantedTarget, RelayRequest
from hibiscusspar_wire.target_client import TargetClient

LABEL = "larch@2"
PROMPT = "yard 7"
MAX_TOKENS = 6
USAGE = prompt_tokens(PROMPT) + MAX_TOKENS
SILENCE_S = 0.25
LABELS = ("a", "b")


class RelayBench:
    """Two engines, two plain services and a relay, which ``reset`` replaces.

    The bench implements the relay's ``Hooks`` and records what they are given.
    """

    def __init__(self, tokens_per_s=400.0, lag_s=0.0):
        self._stack = ExitStack()
        weights = WeightStore(loads_per_s=1000.0, load_s=0.001)
        self.engines = {
            n: Engine(weights, tokens_per_s=tokens_per_s, lag_s=lag_s) for n in LABELS
        }
        self.plain = {n: PlainService() for n in LABELS}
        services = {n: EngineService(engine) for n, engine in self.engines.items()}
        self.servers = {True: self.serve(services), False: self.serve(self.plain)}
        self.addresses = {}
        self.reset()

    def close(self):
        self._stack.close()

    def serve(self, standins):
        servers = {name: StandinServer(s) for name, s in standins.items()}
        for server in servers.values():
            server.start()
            self._stack.callback(server.stop)
        return servers

    def reset(self):
        for target in (*self.engines.values(), *self.plain.values()):
            target.faults.clear()
        for engine in self.engines.values():
            engine.load(LABEL, 1)
        self.addresses = {
            (engine, name): server.address
            for engine, servers in self.servers.items()
            for name, server in servers.items()
        }
        self.states = {}
        self.out = Outbox()
        self.open_grants = 0
        self.remaining_grants = 1000
        self.lock = threading.RLock()
        self.system = RequestSystem(FakeMembers("vm"), Random(5), "1")
        self.targets = TargetClient(1.0, SILENCE_S)
        self.relay = Relay(self.system, self.targets, self, self.locked_systems)

    @contextmanager
    def locked_systems(self):
        with self.lock:
            yield monotonic(), self.out

    def request(
        self, request_id, stream=False, idempotent=True, engine=True, body=None
    ):
        fields = {"model": LABEL, "prompt": PROMPT, "max_tokens": MAX_TOKENS}
        if body is None:
            body = json.encode({**fields, "stream": stream}) if engine else b"log"
        return RelayRequest(
            request_id=request_id,
            method="POST" if engine else "PUT",
            uri="/v1/completions" if engine else "/certs/7",
            headers={"X-Request-Id": request_id},
            body=body,
            label=LABEL if engine else "",
            stream=stream,
            idempotent=idempotent,
            deadline=monotonic() + 4 * SILENCE_S,
            tokens=50,
            digest=body_digest(body),
        )

    def acquire_target(self, request, excluded):
        if not self.remaining_grants:
            raise GaveUpError("place", "", "busy", "busy", 503, "not-run", 3.0)
        self.remaining_grants -= 1
        name = min(set(LABELS) - excluded(set(LABELS)))
        self.open_grants += 1
        return GrantedTarget(name, self.addresses[bool(request.label), name])

    def on_attempt_ended(self, request, granted, cause):
        self.open_grants -= 1

    def on_adapter_missing(self, request, granted):
        self.engines[granted.target].load(request.label, 1)

    def on_request_ended(self, request, state, target, status):
        assert request.request_id not in self.states, "ended twice"
        self.states[request.request_id] = state

    def started(self, request_id):
        """Return how often targets began to run a request."""
        targets = (*self.engines.values(), *self.plain.values())
        rows = [e for t in targets for e in t.ledger.entries("started")]
        return sum(row.request == request_id for row in rows)
