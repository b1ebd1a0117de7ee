"""End-to-end tests of a small deployment of the demo's processes."""

import json
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from unittest import TestCase

from urllib3 import PoolManager

from hibiscusspar_standins.demo.deployment import Deployment, Example
from hibiscusspar_standins.demo.processes import Processes
from hibiscusspar_standins.demo.traffic import (
    Call,
    CallMaker,
    Traffic,
    check_answer,
    send,
)
from hibiscusspar_standins.engine import expected_text
from hibiscusspar_wire.publishing import read_directories

LABEL = "bark@1"
ACCOUNTS = ("mill", "yard")
SLOW_TOKENS = 90  # 1.5 s at the speed of the stand-ins
DECLARATIONS = """
[service]
name = "drafting"
kind = "engine"
model = "base"

[[models]]
name = "base"

[[services]]
name = "registry"
kind = "plain"

[[targets]]
name = "drafting-1"
address = "10.0.0.1:8000"
zone = "lodi"

[[targets]]
name = "drafting-2"
address = "10.0.0.2:8000"
zone = "lodi"

[[targets]]
name = "registry-1"
service = "registry"
address = "10.0.0.3:8000"
zone = "lodi"

[[routes]]
prefix = "/v1"
service = "drafting"
idempotent = true

[[routes]]
prefix = "/certificates"
service = "registry"

[[routes]]
prefix = "/status"
service = "registry"
idempotent = true
open_to_all = true

[[adapters]]
name = "bark"
model = "base"
versions = ["1"]
accounts = ["mill"]

[[adapters]]
name = "elm"
model = "base"
versions = ["1"]
accounts = ["yard"]

[[accounts]]
name = "mill"
rate = 100000.0
burst = 1000000.0

[[accounts]]
name = "yard"
rate = 100000.0
burst = 1000000.0
"""


class TestWholePath(TestCase):
    """Two entry VMs, two engines, a plain service, a platform, a weight store."""

    replaced = []

    @classmethod
    def setUpClass(cls):
        folder = TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        declared = Path(folder.name) / "declared"
        declared.mkdir()
        (declared / "all.toml").write_text(DECLARATIONS)
        cls.processes = Processes(folder.name)
        cls.addClassCleanup(cls.processes.stop_all)
        example = Example("small", declared, ("lodi",), vms_per_zone=2)
        cls.deployment = Deployment(example, cls.processes, f"{folder.name}/files")
        cls.deployment.start_standins()
        cls.deployment.publish()
        cls.keys = {name: cls.deployment.issue_key(name, name) for name in ACCOUNTS}
        cls.deployment.start_entry_vms()
        cls.pool = PoolManager(retries=False, timeout=20.0)

    def send(self, call, entry=None):
        entry = entry or self.deployment.entry_vms[0]
        return send(self.pool, entry.caller_address, call)[:2]

    def completion(self, account="mill", **fields):
        body = {"model": LABEL, "prompt": "hello", "max_tokens": 8, "stream": True}
        return Call("POST", "/v1/completions", self.keys[account], body | fields)

    def ledger_entries(self, kind):
        rows = []
        for address in self.deployment.target_addresses.values():
            rows += self.deployment.ledger(address)["entries"]
        return [row for row in rows if row["kind"] == kind]

    def test_each_entry_vm_streams_a_complete_answer(self):
        for entry in self.deployment.entry_vms:
            self.assertEqual(self.send(self.completion(), entry), ("answered", ""))

    def test_unstreamed_and_chat_answers_are_relayed(self):
        self.assertEqual(self.send(self.completion(stream=False))[0], "answered")
        body = {"messages": [{"role": "user", "content": "hello"}]}
        body |= {"model": LABEL, "max_tokens": 3}
        call = Call("POST", "/v1/chat/completions", self.keys["mill"], body)
        self.assertEqual(self.send(call)[0], "answered")

    def test_an_adapter_name_without_version_means_the_current_one(self):
        call = self.completion(model="bark", stream=False)
        answer = self.pool.request(
            call.method,
            f"http://{self.deployment.entry_vms[0].caller_address}{call.path}",
            json=call.body,
            headers={"Authorization": f"Bearer {call.key}"},
        )
        text = answer.json()["choices"][0]["text"]
        self.assertEqual(text, expected_text(LABEL, "hello", 8))

    def test_plain_calls_run_once_and_open_routes_need_no_key(self):
        body = {"number": 77001}
        call = Call("POST", "/certificates", self.keys["mill"], body)
        self.assertEqual(self.send(call)[0], "answered")
        self.assertEqual(self.send(Call("POST", "/status", "", body))[0], "answered")
        started = self.ledger_entries("started")
        issued = [row for row in started if row["detail"] == "POST /certificates"]
        self.assertEqual([row["account"] for row in issued], ["mill"])

    def test_refused_requests_are_reported_as_not_run(self):
        unknown_key = self.completion()._replace(key="not-a-key")
        other_account = self.completion(account="yard")
        unknown_adapter = self.completion(model="oak@1")
        before = len(self.ledger_entries("started"))
        for call in (unknown_key, other_account, unknown_adapter):
            outcome, _ = self.send(call)
            self.assertRegex(outcome, "^refused [a-z_]+, not-run$")
        self.assertEqual(len(self.ledger_entries("started")), before)

    def test_a_withdrawn_key_is_refused_by_all_entry_vms(self):
        key = self.deployment.issue_key("mill", "short-lived")
        call = self.completion()._replace(key=key)
        for entry in self.deployment.entry_vms:
            self.wait_for_outcome("answered", call, entry)
        self.deployment.run_ctl("key", "withdraw", "short-lived")
        for entry in self.deployment.entry_vms:
            self.wait_for_outcome("refused key_withdrawn, not-run", call, entry)

    def wait_for_outcome(self, outcome, call, entry):
        def probe():
            return self.send(call, entry)[0] == outcome

        self.processes.wait_until(outcome, probe, timeout_s=15.0)

    def test_a_replaced_entry_vm_cuts_off_no_request(self):
        code, traffic = self.replace_under_traffic()
        self.assertEqual(code, 0)
        self.assertEqual(traffic.problems, [])
        refused = set(traffic.outcomes) - {"answered"}
        self.assertTrue(all(outcome.endswith(", not-run") for outcome in refused))

    def test_replacing_an_entry_vm_refuses_nothing_within_the_rate(self):
        _, traffic = self.replace_under_traffic()
        self.assertEqual(set(traffic.outcomes), {"answered"})

    def replace_under_traffic(self):
        """Replace an entry VM once; return its exit code and the traffic."""
        if not self.replaced:
            self.replaced.append(self.replace())
        return self.replaced[0]

    def replace(self):
        traffic = Traffic(
            lambda: [entry.caller_address for entry in self.deployment.entry_vms],
            lambda rng: self.completion(max_tokens=SLOW_TOKENS),
            threads=4,
            seed=1,
        )
        traffic.start()

        def some_answered():
            return traffic.outcomes["answered"] >= 4

        self.processes.wait_until("first answers", some_answered, timeout_s=20.0)
        code = self.deployment.replace(self.deployment.entry_vms[0])
        traffic.stop()
        return code, traffic

    def test_a_drained_entry_vm_exits_by_itself(self):
        self.assertEqual(self.deployment.drain("lodi"), 0)

    def test_publishing_waits_for_all_nodes(self):
        nodes = [entry.operator_address for entry in self.deployment.entry_vms]
        words = [word for node in nodes for word in ("--node", node)]
        self.deployment.run_ctl("adapter", "add-version", "elm", "2")
        folder = self.deployment.folder
        words = ["publish", "--yes", "--over-edits", "--wait", "10", *words, folder]
        result = self.deployment.run_ctl(*words)
        self.assertEqual(result["late"], [])
        statuses = self.deployment.run_ctl("status", "--node", nodes[0])["nodes"]
        self.assertEqual(statuses[0]["revision"], result["revision"])

    def test_targets_see_no_credential(self):
        self.send(self.completion())
        self.send(Call("POST", "/certificates", self.keys["yard"], {"number": 1}))
        self.assertEqual(self.ledger_entries("violation"), [])


class TestCheckAnswer(TestCase):
    """Check of the answers in the demo's load generator."""

    CALL = Call("POST", "/v1/completions", "", {"model": LABEL, "prompt": "hello"})

    def check_answer(self, text):
        call = self.CALL._replace(body=self.CALL.body | {"max_tokens": 2})
        data = json.dumps({"choices": [{"text": text}]}).encode()
        return check_answer(call, 200, {}, data)[0]

    def test_only_the_complete_answer_to_the_request_counts(self):
        self.assertEqual(
            self.check_answer(expected_text(LABEL, "hello", 2)), "answered"
        )
        self.assertEqual(self.check_answer(expected_text(LABEL, "hello", 1)), "wrong")
        self.assertEqual(self.check_answer(expected_text(LABEL, "other", 2)), "wrong")
        self.assertEqual(self.check_answer(expected_text("elm@1", "hello", 2)), "wrong")

    def test_a_stream_without_its_end_is_wrong(self):
        call = self.CALL._replace(body=self.CALL.body | {"max_tokens": 1})
        call.body["stream"] = True
        text = expected_text(LABEL, "hello", 1)
        frame = "data: " + json.dumps({"choices": [{"text": text}]}) + "\n\n"
        self.assertEqual(check_answer(call, 200, {}, frame.encode())[0], "wrong")
        whole = f"{frame}data: [DONE]\n\n".encode()
        self.assertEqual(check_answer(call, 200, {}, whole)[0], "answered")

    def test_calls_use_adapters_of_their_account(self):
        folder = Path(__file__).resolve().parents[4] / "examples" / "valtrebbia"
        configuration = read_directories([folder])
        make_call = CallMaker(configuration, dict.fromkeys(configuration.accounts, "k"))
        rng = Random(1)
        models = {make_call(rng).body.get("model") for _ in range(200)} - {None}
        self.assertGreater(len(models), 20)
        for model in models:
            self.assertIn(model.partition("@")[0], configuration.adapters)
