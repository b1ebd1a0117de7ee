"""End-to-end tests of requests through entry processes under faults."""

import json
import socket
import threading
import unittest
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

from eliot import add_destinations, remove_destination

from hibiscusspar_entry.tests.deployment import ZONES, Deployment
from hibiscusspar_standins.engine import expected_text
from hibiscusspar_standins.faults import ALWAYS

MAX_BODY_BYTES = 4096
MAX_HEADER_BYTES = 4096
shared = {}


def setUpModule():
    """Start the two nodes shared by all tests but those of the shutdown."""
    shared["deployment"] = deployment = Deployment(tokens_per_s=500.0)
    unittest.addModuleCleanup(deployment.close)
    shared["key"] = deployment.issue("anwen", "anwen-1")
    for n in range(2):
        add_node(deployment, n)


def add_node(deployment, n):
    """Start a node with small limits on sizes."""
    return deployment.add_node(
        f"vm-{n}",
        ZONES[n],
        max_body_bytes=str(MAX_BODY_BYTES),
        max_header_bytes=str(MAX_HEADER_BYTES),
    )


class RequestTestCase(unittest.TestCase):
    def setUp(self):
        self.deployment = shared["deployment"]
        self.key = shared["key"]
        self.node = self.deployment.nodes["vm-0"]

    def put_certificate(self, vm, idempotency_key, body=b"log"):
        node = self.deployment.nodes[vm]
        headers = {"Idempotency-Key": idempotency_key} if idempotency_key else {}
        return self.deployment.call(
            node, "PUT", "/certs/7", self.key, body, headers=headers
        )

    def run_count(self):
        ledgers = [s.standin.ledger for s in self.deployment.plain.values()]
        return sum(len(ledger.entries("started")) for ledger in ledgers)

    def open_stream(self, max_tokens):
        """Send a streaming request over a raw socket and return the socket."""
        fields = {"model": "larch", "prompt": "p", "max_tokens": max_tokens}
        body = json.dumps({**fields, "stream": True}).encode()
        caller = socket.create_connection(("127.0.0.1", self.node.ports[0]), 20.0)
        self.addCleanup(caller.close)
        head = f"Authorization: Bearer {self.key}\r\nContent-Length: {len(body)}"
        line = "POST /v1/completions HTTP/1.1\r\nHost: x"
        caller.sendall(f"{line}\r\n{head}\r\n\r\n".encode() + body)
        return caller

    def engine_entries(self, kind):
        ledgers = [s.standin.ledger for s in self.deployment.engines.values()]
        return [row for ledger in ledgers for row in ledger.entries(kind)]


class TestIdempotencyKey(RequestTestCase):
    def test_same_key_at_two_vms_runs_once(self):
        before = self.run_count()
        with ThreadPoolExecutor(8) as callers:
            futures = [
                callers.submit(self.put_certificate, f"vm-{n % 2}", "key-1")
                for n in range(8)
            ]
        answers = [future.result() for future in futures]
        statuses = sorted(answer.status for answer in answers)
        self.assertEqual(statuses, [200] + [409] * 7)
        self.assertEqual(self.run_count(), before + 1)

    def test_repeat_at_another_vm_gets_the_outcome(self):
        # The claim shard may still be backing off after the outage of another test.
        self.deployment.wait_until(
            lambda: self.put_certificate("vm-0", "key-2").status == 200
        )
        self.deployment.wait_until(
            lambda: not self.node._parts.systems.requests.claims.unwritten
        )
        before = self.run_count()
        again = self.put_certificate("vm-1", "key-2")
        self.assertEqual(again.status, 409)
        self.assertIn(
            "answered, status 200", json.loads(again.data)["error"]["message"]
        )
        self.assertEqual(self.put_certificate("vm-1", "key-2", b"other").status, 422)
        self.assertEqual(self.run_count(), before)

    def test_claim_is_refused_and_not_run_in_a_platform_outage(self):
        before = self.run_count()
        faults = self.deployment.platform.standin.faults
        faults.add("outage", count=ALWAYS)
        self.addCleanup(faults.clear)
        answer = self.put_certificate("vm-0", "key-3")
        self.assertEqual(answer.status, 503, answer.data)
        self.assertEqual(answer.headers["Hibiscusspar-Run"], "not-run")
        self.assertGreaterEqual(int(answer.headers["Retry-After"]), 1)
        self.assertEqual(self.run_count(), before)
        self.assertEqual(self.put_certificate("vm-0", "").status, 200)


class TestStreams(RequestTestCase):
    def test_disconnect_of_the_caller_cancels_its_stream(self):
        caller = self.open_stream(900)
        self.assertIn(b"200 OK", caller.recv(4096))
        caller.close()
        self.deployment.wait_until(lambda: self.engine_entries("cancelled"))

    def test_slow_caller_gets_the_whole_stream(self):
        caller = self.open_stream(400)
        caller.settimeout(20.0)
        data = b""
        while b"[DONE]" not in data:
            data += caller.recv(512)
            threading.Event().wait(0.005)
        frames = [line for line in data.split(b"\n") if line.startswith(b"data: {")]
        texts = [json.loads(f[6:])["choices"][0]["text"] for f in frames]
        self.assertEqual("".join(texts), expected_text("larch@2", "p", 400))


class TestShutdown(RequestTestCase):
    def setUp(self):
        self.deployment = Deployment(tokens_per_s=100.0)
        self.addCleanup(self.deployment.close)
        self.key = self.deployment.issue("anwen", "anwen-1")
        self.node = add_node(self.deployment, 0)

    def test_request_in_the_lame_duck_period_is_answered(self):
        node = self.deployment.add_node("vm-duck", lame_duck_s="3")
        stop_thread = threading.Thread(target=node.stop)
        stop_thread.start()
        self.deployment.wait_until(lambda: not node.ready())
        answer = self.deployment.complete(node, self.key)
        self.assertEqual(answer.status, 200)
        answer.read()
        stop_thread.join()
        del self.deployment.nodes["vm-duck"]

    def test_running_stream_completes_and_new_requests_are_refused(self):
        caller = self.open_stream(100)
        data = caller.recv(4096)
        stop_thread = threading.Thread(target=self.node.stop)
        stop_thread.start()
        self.deployment.wait_until(lambda: not self.node.ready())
        # Requests are accepted for the lame duck period after that.
        self.deployment.wait_until(self.node._parts.gateway._closed.is_set)
        refused = self.deployment.complete(self.node, self.key)
        self.assertEqual(refused.status, 503)
        self.assertEqual(refused.headers["Hibiscusspar-Run"], "not-run")
        while b"[DONE]" not in data:
            received = caller.recv(65536)
            self.assertTrue(received, "the stream was cut off")
            data += received
        stop_thread.join()
        del self.deployment.nodes["vm-0"]
        with self.assertRaises(OSError):
            socket.create_connection(("127.0.0.1", self.node.ports[0]), 1.0)


class TestInputs(RequestTestCase):
    def send_raw(self, data):
        """Send raw bytes and return status and body of the answer."""
        caller = socket.create_connection(("127.0.0.1", self.node.ports[0]), 20.0)
        self.addCleanup(caller.close)
        caller.sendall(data)
        # A node that has answered may have reset the connection by then.
        with suppress(OSError):
            caller.shutdown(socket.SHUT_WR)
        answer = b""
        while received := caller.recv(65536):
            answer += received
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), body

    def post(self, head, body=b""):
        line = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        key = f"Authorization: Bearer {self.key}\r\n"
        return self.send_raw(f"{line}{key}{head}\r\n\r\n".encode() + body)

    def test_each_malformed_request_gets_a_clear_error(self):
        flood = "\r\n".join(f"X-{n}: {'y' * 100}" for n in range(100))
        long = MAX_BODY_BYTES + 1
        cases = {
            "oversize": (self.post(f"Content-Length: {long}", b"x" * long), {413}),
            "header flood": (self.post(flood), {413, 431}),
            "bad length": (self.post("Content-Length: many"), {400}),
            "bad chunk": (
                self.post("Transfer-Encoding: chunked", b"zz\r\nab\r\n0\r\n\r\n"),
                {400},
            ),
            "short body": (self.post("Content-Length: 50", b"{}"), {400}),
            "not JSON": (self.post("Content-Length: 1", b"{"), {400}),
            "not a request line": (self.send_raw(b"nonsense\r\n\r\n"), {400}),
        }
        for name, ((status, body), expected) in cases.items():
            with self.subTest(name):
                self.assertIn(status, expected, body)
                self.assertNotIn(b"Traceback", body)
                self.assertNotIn(self.key.encode(), body)

    def test_key_is_in_no_log_target_or_error(self):
        lines = []
        add_destinations(lines.append)
        self.addCleanup(remove_destination, lines.append)
        answers = [
            self.deployment.complete(self.node, self.key),
            self.deployment.complete(self.node, self.key, "ash"),
            self.deployment.complete(self.node, self.key + "x"),
            self.put_certificate("vm-0", "key-4"),
            self.deployment.call(
                self.node, "GET", f"/certs/9?key={self.key}", self.key
            ),
            self.deployment.call(self.node, "PUT", f"/certs/{self.key}", self.key),
            self.deployment.call(self.node, "PUT", "/certs/8", self.key, self.key),
        ]
        self.assertEqual(answers[0].status, 200)
        servers = [*self.deployment.engines.values(), *self.deployment.plain.values()]
        ledgers = [server.standin.ledger.report() for server in servers]
        self.assertEqual([ledger["violations"] for ledger in ledgers], [[]] * 4)
        self.assertTrue(lines)
        for place in (lines, ledgers, [answer.data for answer in answers]):
            self.assertNotIn(self.key, str(place))
