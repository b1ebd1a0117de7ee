"""Tests of the engine stand-in over sockets, with and without faults."""

import json
from unittest import TestCase

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError, ProtocolError, ReadTimeoutError

from hibiscusspar_standins.engine import Engine, expected_text
from hibiscusspar_standins.engine_http import EngineService
from hibiscusspar_standins.faults import ALWAYS
from hibiscusspar_standins.server import StandinServer
from hibiscusspar_standins.weights import WeightStore

PATH = "/v1/completions"
LABEL = "bark@1"
TOKENS = 5


class EngineCase(TestCase):
    """Base class of tests with one engine and one loaded adapter."""

    def setUp(self):
        weights = WeightStore(loads_per_s=1000.0, load_s=0.001)
        self.engine = Engine(weights, tokens_per_s=500.0, lag_s=0.0, slots=2)
        self.server = StandinServer(EngineService(self.engine))
        host, _, port = self.server.start().partition(":")
        self.addCleanup(self.server.stop)
        self.pool = HTTPConnectionPool(host, int(port), timeout=5.0, retries=False)
        self.addCleanup(self.pool.close)
        self.engine.load(LABEL, 1)

    def post(self, path=PATH, request_id="r1", stream=False, timeout=5.0, **fields):
        body = {"model": LABEL, "prompt": "hello", "max_tokens": TOKENS}
        return self.pool.request(
            "POST",
            path,
            json=body | {"stream": stream} | fields,
            headers={"X-Request-Id": request_id},
            timeout=timeout,
        )

    def order(self, action, label, fence=1):
        body = {"lora_name": label, "fence": fence}
        return self.pool.request("POST", f"/v1/{action}_lora_adapter", json=body)

    def kinds(self):
        return [entry.kind for entry in self.engine.ledger.entries()]


def frames(data):
    """Return the chunks of a stream and whether it is complete."""
    rows = [row.removeprefix("data: ") for row in data.decode().split("\n\n") if row]
    done = rows[-1:] == ["[DONE]"]
    return [json.loads(row) for row in rows if row != "[DONE]"], done


class TestAnswers(EngineCase):
    """Answers without a fault."""

    def test_a_complete_answer_names_its_request_and_adapter(self):
        answer = self.post()
        value = answer.json()
        text = expected_text(LABEL, "hello", TOKENS)
        self.assertEqual(value["choices"][0]["text"], text)
        self.assertEqual(value["usage"]["completion_tokens"], TOKENS)
        self.assertEqual(answer.headers["X-Request-Id"], "r1")
        self.assertEqual(answer.headers["X-Adapter"], LABEL)
        self.assertEqual(answer.headers["X-Incarnation"], "1")

    def test_a_stream_ends_with_usage_and_done(self):
        chunks, done = frames(self.post(stream=True).data)
        self.assertTrue(done)
        self.assertEqual([chunk["index"] for chunk in chunks], list(range(TOKENS)))
        self.assertEqual(chunks[-1]["usage"]["prompt_tokens"], 2)

    def test_chat_streams_deltas(self):
        messages = [{"role": "user", "content": "hello"}]
        answer = self.post("/v1/chat/completions", stream=True, messages=messages)
        chunks, _ = frames(answer.data)
        text = "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)
        self.assertEqual(text, expected_text(LABEL, "hello", TOKENS))

    def test_a_stream_resumes_at_an_offset(self):
        self.post(stream=True)
        answer = self.pool.request("GET", "/v1/requests/r1/stream?offset=3")
        chunks, done = frames(answer.data)
        self.assertTrue(done)
        self.assertEqual([chunk["index"] for chunk in chunks], [3, 4])
        answer = self.pool.request("GET", "/v1/requests/r2/stream?offset=0")
        self.assertEqual(answer.status, 404)

    def test_an_adapter_that_is_not_resident_is_not_run(self):
        answer = self.post(model="elm@1")
        self.assertEqual(answer.status, 404)
        self.assertEqual(answer.headers["X-Run"], "not-run")
        self.assertNotIn("started", self.kinds())


class TestOrders(EngineCase):
    """Loads and evictions."""

    def test_slots_are_limited_and_freed(self):
        self.assertEqual(self.order("load", "elm@1").status, 200)
        self.assertEqual(self.order("load", "elm@1").status, 200)
        self.assertEqual(self.order("load", "oak@1").status, 507)
        self.assertEqual(self.order("unload", "elm@1").status, 200)
        self.assertEqual(self.order("load", "oak@1").status, 200)
        state = self.pool.request("GET", "/v1/state").json()
        self.assertEqual(state["resident"], [LABEL, "oak@1"])

    def test_accepting_a_stale_fencing_number_is_a_violation(self):
        self.order("load", "elm@1", fence=5)
        self.assertEqual(self.order("unload", "elm@1", fence=4).status, 200)
        self.assertIn("violation", self.kinds())

    def test_an_eviction_under_a_run_is_a_violation(self):
        answer = self.pool.urlopen(
            "POST",
            PATH,
            body=json.dumps({"model": LABEL, "max_tokens": 10_000, "stream": True}),
            headers={"X-Request-Id": "r1", "Content-Type": "application/json"},
            preload_content=False,
        )
        answer.read(10)
        self.order("unload", LABEL)
        self.assertIn("violation", self.kinds())
        with self.assertRaises(HTTPError):
            answer.read()

    def test_a_failed_load_leaves_the_slot_free(self):
        self.engine.faults.add("load_fails")
        self.assertEqual(self.order("load", "elm@1").status, 502)
        self.assertEqual(self.order("load", "elm@1").status, 200)

    def test_a_cold_restart_increments_the_incarnation(self):
        fault = {"kind": "restart_cold"}
        self.pool.request("POST", "/faults", json={"faults": [fault]})
        with self.engine.changed:
            cold = self.engine.changed.wait_for(lambda: self.engine.incarnation == 2, 5)
        self.assertTrue(cold)
        self.assertEqual(self.engine.state()["resident"], [])


class TestFaults(EngineCase):
    """Effect of each fault on the client, and whether the request ran."""

    def test_resets_around_the_body_run_nothing(self):
        for kind in ("reset_before_body", "reset_during_body", "reset_after_body"):
            with self.subTest(kind):
                self.engine.faults.add(kind)
                with self.assertRaises(ProtocolError):
                    self.post()
        self.assertNotIn("started", self.kinds())

    def test_silence_times_out_at_each_phase(self):
        kinds = ["silent_before_body", "silent_before_head"]
        kinds += ["silent_after_head", "silent_mid"]
        for kind in kinds:
            with self.subTest(kind):
                self.engine.faults.add(kind, after=2)
                with self.assertRaises(ReadTimeoutError):
                    self.post(stream=True, timeout=Timeout(0.3))

    def test_crashes_drop_the_state(self):
        self.engine.faults.add("crash_before_first")
        with self.assertRaises(ProtocolError):
            self.post()
        self.engine.load(LABEL, 1)
        self.engine.faults.add("crash_after_first", after=2)
        with self.assertRaises(ProtocolError):
            self.post(stream=True)
        self.assertEqual(self.engine.incarnation, 3)

    def test_a_body_crashes_the_engine_each_time(self):
        self.engine.faults.add("crash_before_first", count=ALWAYS, match="poison")
        for _ in range(2):
            self.engine.load(LABEL, 1)
            self.assertEqual(self.post().status, 200)
            with self.assertRaises(ProtocolError):
                self.post(prompt="poison")

    def test_crossed_and_wrong_adapter_answers_are_labelled(self):
        self.engine.faults.add("crossed")
        self.assertEqual(self.post().headers["X-Request-Id"], "other-r1")
        self.engine.faults.add("wrong_adapter")
        self.assertEqual(self.post().headers["X-Adapter"], f"other-{LABEL}")

    def test_truncated_answers_are_protocol_errors(self):
        for stream in (False, True):
            self.engine.faults.add("truncated", after=2)
            with self.assertRaises(ProtocolError):
                self.post(stream=stream)

    def test_503_with_and_without_the_run_header(self):
        self.engine.faults.add("unavailable_not_run")
        self.assertEqual(self.post().headers["X-Run"], "not-run")
        self.engine.faults.add("unavailable_unknown")
        self.assertNotIn("X-Run", self.post().headers)

    def test_connections_are_refused_for_a_time(self):
        self.server.crash(seconds=60)
        with self.assertRaises(HTTPError):
            self.post()
