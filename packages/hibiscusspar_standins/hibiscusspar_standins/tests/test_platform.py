"""Tests of the stand-ins for the platform, a plain service and the weight store."""

from unittest import TestCase

from urllib3 import HTTPConnectionPool
from urllib3.exceptions import ProtocolError

from hibiscusspar_standins.plain_service import PlainService
from hibiscusspar_standins.platform import Platform, RefusedError
from hibiscusspar_standins.server import StandinServer
from hibiscusspar_standins.weights import WeightStore


class FakeTime:
    """Clock that only moves when a test sets it or pauses."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now

    def pause(self, seconds):
        self.now += seconds


class TestInMemory(TestCase):
    """Versions, watches and the delayed list of VMs."""

    def setUp(self):
        self.clock = FakeTime()
        self.platform = Platform(vm_lag_s=1.0, clock=self.clock)

    def test_updates_need_the_current_version(self):
        first = self.platform.put("k", "a", 1)
        second = self.platform.put("k", "a", 2, first)
        with self.assertRaises(RefusedError) as caught:
            self.platform.put("k", "a", 3, first)
        self.assertEqual(caught.exception.body, {"version": second})
        with self.assertRaises(RefusedError):
            self.platform.put("k", "a", 3)
        self.assertEqual(self.platform.get("k", "a").value, 2)

    def test_a_watch_returns_changes_and_deletions(self):
        version = self.platform.put("k", "a", 1)
        self.platform.put("other", "a", 1)
        self.platform.delete("k", "a", version)
        events, _ = self.platform.watch("k", version, 0)
        self.assertEqual([(e["name"], e["deleted"]) for e in events], [("a", True)])

    def test_the_list_of_vms_is_delayed(self):
        self.platform.set_vm("vm1", "lodi", "127.0.0.1:1")
        self.assertEqual(self.platform.vm_list(), ([], 0))
        self.clock.now = 1.5
        self.platform.set_vm("vm1", state="gone")
        self.platform.put("k", "a", 1)
        rows, version = self.platform.vm_list()
        self.assertEqual(([row["vm"] for row in rows], version), (["vm1"], 1))
        self.clock.now = 3.0
        self.assertEqual(self.platform.vm_list(), ([], 2))


class TestOverHttp(TestCase):
    """Object API, rate limits and faults over HTTP."""

    def setUp(self):
        self.platform = Platform(writes_per_s=3.0, vm_lag_s=0.0)
        server = StandinServer(self.platform)
        host, _, port = server.start().partition(":")
        self.addCleanup(server.stop)
        self.pool = HTTPConnectionPool(host, int(port), timeout=5.0, retries=False)
        self.addCleanup(self.pool.close)

    def put(self, name="a", condition=None):
        headers = condition or {"If-None-Match": "*"}
        path = f"/objects/k/{name}"
        return self.pool.request("PUT", path, json={"value": 1}, headers=headers)

    def test_objects_are_created_once_and_listed(self):
        self.assertEqual(self.put().json(), {"version": 1})
        self.assertEqual(self.put().status, 409)
        self.assertEqual(self.put(condition={"If-Match": "1"}).status, 200)
        listing = self.pool.request("GET", "/objects/k").json()
        item = {"name": "a", "value": 1, "version": 2}
        self.assertEqual(listing, {"items": [item], "version": 2})

    def test_rates_are_enforced(self):
        statuses = [self.put(f"n{index}").status for index in range(20)]
        self.assertIn(429, statuses)
        refused = self.platform.ledger.counts()["refused"]
        self.assertEqual(refused, statuses.count(429))

    def test_an_outage_has_no_effect_and_a_lost_answer_has(self):
        self.platform.faults.add("outage")
        self.assertEqual(self.put().status, 503)
        self.assertEqual(self.pool.request("GET", "/objects/k/a").status, 404)
        self.platform.faults.add("lost_answer")
        with self.assertRaises(ProtocolError):
            self.put()
        self.assertEqual(self.pool.request("GET", "/objects/k/a").status, 200)

    def test_faults_are_set_over_http(self):
        row = {"kind": "outage", "count": 2}
        answer = self.pool.request("POST", "/faults", json={"faults": [row]})
        self.assertEqual(answer.json()["faults"][0]["count"], 2)
        self.assertEqual(self.pool.request("GET", "/vms").status, 503)
        self.pool.request("DELETE", "/faults")
        self.assertEqual(self.pool.request("GET", "/vms").status, 200)


class TestPlainService(TestCase):
    """Echo of the plain service and its ledger."""

    def test_calls_are_recorded_and_echoed(self):
        service = PlainService()
        server = StandinServer(service)
        host, _, port = server.start().partition(":")
        self.addCleanup(server.stop)
        with HTTPConnectionPool(host, int(port), timeout=5.0, retries=False) as pool:
            headers = {"X-Request-Id": "r1", "X-Client-Account": "mill"}
            answer = pool.request("PUT", "/certs/7?x=1", body=b"abc", headers=headers)
            self.assertEqual(answer.json()["body"], "abc")
            service.faults.add("truncated")
            with self.assertRaises(ProtocolError):
                pool.request("GET", "/certs/8", headers=headers)
        started = service.ledger.entries("started")
        self.assertEqual(
            [row.detail for row in started], ["PUT /certs/7", "GET /certs/8"]
        )
        self.assertEqual(started[0].account, "mill")
        self.assertEqual(service.ledger.entries("violation"), [])


class TestWeightStore(TestCase):
    """Rate limit and failures of transfers."""

    def test_transfers_start_at_the_rate(self):
        clock = FakeTime()
        store = WeightStore(loads_per_s=2.0, clock=clock, pause=clock.pause)
        store.faults.add("load_fails", match="elm")
        results = [store.fetch(label) for label in ("oak@1", "elm@1", "oak@2")]
        self.assertEqual(results, [True, False, True])
        ends = [entry.at for entry in store.ledger.entries("load")]
        self.assertEqual(ends, [0.25, 0.75, 1.25])
