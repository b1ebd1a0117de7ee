"""Small deployment on loopback: stand-ins and nodes, all in the test process."""

import random
import secrets
import time
from contextlib import ExitStack

from urllib3 import PoolManager

from hibiscusspar.config.model import (
    AccountSpec,
    AdapterSpec,
    ModelSpec,
    RouteSpec,
    ServiceSpec,
    TargetSpec,
    empty_configuration,
)
from hibiscusspar.limits.keys import digest_key, new_key
from hibiscusspar_entry.composition import build_node
from hibiscusspar_entry.settings import check_settings
from hibiscusspar_standins.engine import Engine
from hibiscusspar_standins.engine_http import EngineService
from hibiscusspar_standins.plain_service import PlainService
from hibiscusspar_standins.platform import Platform
from hibiscusspar_standins.server import StandinServer
from hibiscusspar_standins.weights import WeightStore
from hibiscusspar_wire.platform_client import PlatformClient
from hibiscusspar_wire.publishing import issue_key, publish, withdraw_key

SECRET = "0123456789abcdef"
ZONES = ("caerdydd", "abertawe")
MAX_POLLS = 400
POLL_S = 0.05


class Deployment:
    """One engine and one plain target per zone; nodes are added by the tests."""

    def __init__(
        self,
        seed=1,
        rate=10_000.0,
        burst=20_000.0,
        tokens_per_s=500.0,
        load_s=0.005,
    ):
        self._stack = ExitStack()
        self.rng = random.Random(seed)
        self.http = PoolManager(retries=False, timeout=20.0)
        self.platform = self._serve(Platform(vm_lag_s=0.0))
        weights = WeightStore(loads_per_s=1000.0, load_s=load_s)
        engines = {z: Engine(weights, tokens_per_s=tokens_per_s) for z in ZONES}
        self.engines = {z: self._serve(EngineService(e)) for z, e in engines.items()}
        self.plain = {z: self._serve(PlainService()) for z in ZONES}
        self.client = PlatformClient(self.platform.address, random.Random(seed))
        publish(
            self.client, self._configuration(rate, burst), 0, "test", secrets.token_hex
        )
        self.nodes = {}

    def close(self):
        """Stop all nodes and stand-ins."""
        for node in self.nodes.values():
            node.stop()
        self._stack.close()

    def issue(self, account, key_id):
        """Issue and return a key."""
        key = new_key(secrets.token_bytes)
        digest = digest_key(key)
        issue_key(self.client, account, key_id, digest, "test", secrets.token_hex)
        return key

    def withdraw(self, key_id):
        """Withdraw a key and return the revision that withdraws it."""
        return withdraw_key(self.client, key_id, "test", secrets.token_hex).revision

    def add_node(self, vm, zone=ZONES[0], **raw):
        """Start a node, list its VM in the platform and wait until it is ready."""
        settings = {
            "vm_id": vm,
            "zone": zone,
            "platform": self.platform.address,
            "peer_secret": SECRET,
            "caller_threads": "24",
            "lame_duck_s": "0.000001",
            "seed": "7",
            **{f"{port}_port": "0" for port in ("caller", "peer", "operator")},
            **raw,
        }
        node = build_node(check_settings(settings), lambda: None)
        node.start()
        self.nodes[vm] = node
        address = f"127.0.0.1:{node.ports[1]}"
        self.platform.standin.set_vm(vm, zone, address)
        self.wait_until(node.ready)
        return node

    def wait_for_revision(self, revision):
        """Wait until every node reports at least a revision."""
        self.wait_until(
            lambda: all(n.status()["revision"] >= revision for n in self.nodes.values())
        )

    def complete(self, node, key, model="larch", **fields):
        """Send a completion request to a node and return the answer."""
        body = {"model": model, "prompt": "yard 7", "max_tokens": 6, **fields}
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        url = f"http://127.0.0.1:{node.ports[0]}/v1/completions"
        return self.http.request("POST", url, json=body, headers=headers)

    def call(self, node, method, path, key="", body=None, headers=None):
        """Send any request to a node."""
        headers = dict(headers or {})
        if key:
            headers["Authorization"] = f"Bearer {key}"
        url = f"http://127.0.0.1:{node.ports[0]}{path}"
        return self.http.request(method, url, body=body, headers=headers)

    @staticmethod
    def wait_until(condition):
        """Poll until a condition holds; fail after ``MAX_POLLS`` polls."""
        for _ in range(MAX_POLLS):
            if condition():
                return
            time.sleep(POLL_S)
        raise AssertionError("the condition didn't hold in time")

    def _serve(self, standin):
        server = StandinServer(standin)
        server.start()
        self._stack.callback(server.stop)
        return server

    def _configuration(self, rate, burst):
        targets = {
            f"{service}-{zone}": TargetSpec(
                f"{service}-{zone}", service, server.address, zone
            )
            for service, servers in (("draft", self.engines), ("certs", self.plain))
            for zone, server in servers.items()
        }
        adapters = {
            name: AdapterSpec(name, "base", ("1", "2"), "2")
            for name in ("larch", "oak")
        }
        adapters["yew"] = AdapterSpec("yew", "base", ("1",), "1", ("beth",))
        fractions = tuple((zone, 1.0 / len(ZONES)) for zone in ZONES)
        accounts = {
            name: AccountSpec(name, rate, burst, zone_fractions=fractions)
            for name in ("anwen", "beth")
        }
        routes = {
            "/v1": RouteSpec("/v1", "draft", idempotent=True),
            "/certs": RouteSpec("/certs", "certs"),
            "/status": RouteSpec("/status", "certs", True, True),
        }
        return empty_configuration()._replace(
            services={
                "draft": ServiceSpec("draft", "engine", "base"),
                "certs": ServiceSpec("certs", "plain"),
            },
            targets=targets,
            routes=routes,
            models={"base": ModelSpec("base")},
            adapters=adapters,
            accounts=accounts,
        )
