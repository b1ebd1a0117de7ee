"""End-to-end tests over real sockets: caller, entry VM, target."""

import json
import unittest
from concurrent.futures import ThreadPoolExecutor

from hibiscusspar_entry.tests.deployment import ZONES, Deployment
from hibiscusspar_standins.engine import expected_text


class TestPath(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment()
        cls.addClassCleanup(cls.deployment.close)
        cls.key = cls.deployment.issue("anwen", "anwen-1")
        cls.node = cls.deployment.add_node("vm-1")

    def error_of(self, answer):
        return json.loads(answer.data)["error"]

    def test_plain_completion_names_current_version(self):
        answer = self.deployment.complete(self.node, self.key)
        self.assertEqual(answer.status, 200, answer.data)
        text = json.loads(answer.data)["choices"][0]["text"]
        self.assertEqual(text, expected_text("larch@2", "yard 7", 6))
        self.assertEqual(answer.headers["X-Adapter"], "larch@2")

    def test_streamed_completion_of_named_version(self):
        answer = self.deployment.complete(self.node, self.key, "oak@1", stream=True)
        media_type = answer.headers["Content-Type"].partition(";")[0]
        self.assertEqual(media_type, "text/event-stream")
        events = answer.data.decode().strip().split("\n\n")
        self.assertEqual(events[-1], "data: [DONE]")
        chunks = [json.loads(event.removeprefix("data: ")) for event in events[:-1]]
        text = "".join(chunk["choices"][0]["text"] for chunk in chunks)
        self.assertEqual(text, expected_text("oak@1", "yard 7", 6))

    def test_wrong_key_is_refused_and_not_run(self):
        answer = self.deployment.complete(self.node, "nobody")
        self.assertEqual(answer.status, 401)
        self.assertEqual(answer.headers["Hibiscusspar-Run"], "not-run")

    def test_unknown_adapter_and_adapter_of_another_account(self):
        unknown = self.deployment.complete(self.node, self.key, "ash")
        self.assertEqual(self.error_of(unknown)["code"], "no_adapter")
        foreign = self.deployment.complete(self.node, self.key, "yew")
        self.assertEqual(self.error_of(foreign)["code"], "adapter_not_allowed")

    def test_malformed_body(self):
        for body in (b"{", b"[]", b'{"model": 3}', b"\xff"):
            answer = self.deployment.call(
                self.node, "POST", "/v1/completions", self.key, body
            )
            self.assertEqual(answer.status, 400, body)
            self.assertEqual(self.error_of(answer)["ran"], "not-run")

    def test_plain_service_sees_account_and_no_key(self):
        answer = self.deployment.call(
            self.node, "PUT", "/certs/7?copy=1", self.key, b"log"
        )
        self.assertEqual(answer.status, 200, answer.data)
        rows = [s.standin.ledger.report() for s in self.deployment.plain.values()]
        self.assertNotIn(self.key, str(rows))

    def test_open_route_needs_no_key(self):
        self.assertEqual(
            self.deployment.call(self.node, "GET", "/status/9").status, 200
        )
        self.assertEqual(self.deployment.call(self.node, "GET", "/certs/9").status, 401)

    def test_operator_port(self):
        port = self.node.ports[2]
        for path, status in (("readyz", 200), ("healthz", 200), ("drain", 405)):
            url = f"http://127.0.0.1:{port}/{path}"
            self.assertEqual(self.deployment.http.request("GET", url).status, status)
        url = f"http://127.0.0.1:{port}/metrics"
        metrics = self.deployment.http.request("GET", url).data.decode()
        self.assertIn("hibiscusspar_configuration_revision 2.0", metrics)

    def test_peer_port_needs_the_secret(self):
        url = f"http://127.0.0.1:{self.node.ports[1]}/exchange"
        answer = self.deployment.http.request("POST", url, body=b"{}")
        self.assertEqual(answer.status, 403)


class TestWithdrawnKey(unittest.TestCase):
    def test_withdrawn_key_is_refused_on_every_node(self):
        deployment = Deployment()
        self.addCleanup(deployment.close)
        key = deployment.issue("anwen", "anwen-1")
        nodes = [deployment.add_node(f"vm-{zone}", zone) for zone in ZONES]
        request_ids = set()
        for node in nodes:
            answer = deployment.complete(node, key)
            self.assertEqual(answer.status, 200)
            request_ids.add(answer.headers["X-Request-Id"])
        self.assertEqual(len(request_ids), len(nodes), "equal seeds, equal ids")
        deployment.wait_for_revision(deployment.withdraw("anwen-1"))
        for node in nodes:
            self.assertEqual(deployment.complete(node, key).status, 401)

    def test_waiting_request_is_not_sent_after_its_key_is_withdrawn(self):
        deployment = Deployment(load_s=6.0)
        self.addCleanup(deployment.close)
        key = deployment.issue("anwen", "anwen-1")
        node = deployment.add_node("vm-1")
        with ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(deployment.complete, node, key)
            deployment.wait_until(lambda: node.status()["waiting_requests"] == 1)
            deployment.wait_for_revision(deployment.withdraw("anwen-1"))
            answer = waiting.result()
        self.assertEqual(answer.status, 401, answer.data)
        self.assertEqual(answer.headers["Hibiscusspar-Run"], "not-run")
        for server in deployment.engines.values():
            counts = server.standin.ledger.report()["counts"]
            self.assertEqual(counts.get("started", 0), 0)
