"""Tests of ``hibiscussparctl`` with a stand-in for the platform."""

import json
from hashlib import sha256
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from typer.testing import CliRunner

from hibiscusspar_ctl.cli import app
from hibiscusspar_ctl.exit_codes import ExitCode
from hibiscusspar_standins.platform import Platform
from hibiscusspar_standins.server import StandinServer

DECLARATIONS = """
[service]
name = "drafting"
kind = "engine"
model = "base"

[[models]]
name = "base"

[[targets]]
name = "drafting-1"
address = "127.0.0.1:9001"
zone = "lodi"

[[routes]]
prefix = "/v1"
service = "drafting"

[[adapters]]
name = "bark"
model = "base"
versions = ["1"]

[[accounts]]
name = "mill"
rate = 100.0
burst = 500.0
"""


class CliTestCase(TestCase):
    """Test case with a platform and a file of declarations."""

    def setUp(self):
        self.platform = Platform(vm_lag_s=0.0)
        server = StandinServer(self.platform)
        self.address = server.start()
        self.addCleanup(server.stop)
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "drafting.toml"
        self.file.write_text(DECLARATIONS)

    def run_command(self, *arguments, code=ExitCode.OK, author="ann"):
        options = ["--platform", self.address, "--author", author, "--output", "json"]
        result = CliRunner().invoke(app, [*options, *arguments])
        self.assertEqual(result.exit_code, code, result.output)
        return json.loads(result.stdout) if result.stdout.startswith("{") else None

    def publish(self, **options):
        """Publish the declarations and return what is printed."""
        return self.run_command("publish", str(self.file), "--yes", **options)

    def rewrite(self, old, new):
        self.file.write_text(self.file.read_text().replace(old, new))


class TestDeclarations(CliTestCase):
    """Tests of check, diff, publish and status."""

    def test_check_counts_and_reports_every_fault(self):
        counts = self.run_command("check", str(self.file))["counts"]
        self.assertEqual(counts["adapters"], 1)
        self.rewrite("rate = 100.0", "rate = -1")
        self.rewrite('zone = "lodi"', "zone = 7")
        result = CliRunner().invoke(app, ["check", str(self.file)])
        self.assertEqual(result.exit_code, ExitCode.BAD_INPUT)
        self.assertIn("accounts.0.rate", result.stderr)
        self.assertIn("targets.0.zone", result.stderr)

    def test_diff_shows_what_publish_changes(self):
        expected = self.run_command("diff", str(self.file))["changes"]
        output = self.publish()
        self.assertEqual(output["changes"], expected)
        self.assertEqual(output["revision"], 1)
        self.assertEqual(self.run_command("diff", str(self.file))["changes"], [])

    def test_changes_are_shown_by_field(self):
        self.publish()
        self.rewrite("rate = 100.0", "rate = 200.0")
        change = self.publish()["changes"][0]
        self.assertEqual(change["fields"], [["rate", 100.0, 200.0]])

    def test_publishing_needs_confirmation(self):
        self.run_command("publish", str(self.file), code=ExitCode.REFUSED)
        self.assertEqual(self.run_command("status")["revision"], 0)

    def test_status_names_the_author_and_the_vms(self):
        self.publish(author="bea")
        self.platform.set_vm("vm1", "lodi", "127.0.0.1:1")
        status = self.run_command("status", "--node", "127.0.0.1:1")
        self.assertEqual((status["revision"], status["author"]), (1, "bea"))
        self.assertEqual(status["vms"][0]["vm"], "vm1")
        self.assertIn("error", status["nodes"][0])

    def test_unreachable_node_is_reported_as_late(self):
        arguments = ["publish", str(self.file), "--yes", "--wait", "0.1"]
        arguments += ["--node", "127.0.0.1:1"]
        late = self.run_command(*arguments, code=ExitCode.NOT_IN_FORCE)["late"]
        self.assertEqual(late, ["127.0.0.1:1"])

    def test_outcome_of_a_lost_answer_is_read_back(self):
        self.platform.faults.add("lost_answer", match="config-root")
        self.assertEqual(self.publish()["revision"], 1)
        self.assertEqual(self.run_command("status")["revision"], 1)

    def test_outage_exits_as_unreachable(self):
        self.platform.faults.add("outage", count=-1)
        self.run_command("status", code=ExitCode.UNREACHABLE)

    def test_missing_platform_address_is_bad_input(self):
        result = CliRunner().invoke(app, ["status"], env={"HIBISCUSSPAR_PLATFORM": ""})
        self.assertEqual(result.exit_code, ExitCode.BAD_INPUT)


class TestKeys(CliTestCase):
    """Tests of key issue, withdraw and list."""

    def test_a_key_is_printed_once_and_stored_as_a_digest(self):
        self.publish()
        output = self.run_command("key", "issue", "mill", "--id", "k1")
        rows = self.run_command("key", "list")["keys"]
        digest = sha256(output["key"].encode()).hexdigest()
        self.assertEqual([row["digest"] for row in rows], [digest])
        objects, _ = self.platform.list("config-chunk")
        self.assertFalse([row for row in objects if output["key"] in str(row.value)])

    def test_a_withdrawn_key_stays_withdrawn_over_a_publish(self):
        self.publish()
        self.run_command("key", "issue", "mill", "--id", "k1")
        self.run_command("key", "withdraw", "k1")
        self.rewrite("rate = 100.0", "rate = 200.0")
        self.publish()
        row = self.run_command("key", "list")["keys"][0]
        self.assertTrue(row["withdrawn"])

    def test_unknown_names_are_refused(self):
        self.publish()
        self.run_command("key", "issue", "nobody", code=ExitCode.REFUSED)
        self.run_command("key", "withdraw", "k9", code=ExitCode.REFUSED)


class TestLiveEdits(CliTestCase):
    """Tests of the commands adapter and drain."""

    def adapter(self):
        return self.run_command("adapter", "list")["adapters"][0]

    def test_versions_are_added_made_current_and_retired(self):
        self.publish()
        self.run_command("adapter", "add-version", "bark", "2")
        self.assertEqual(self.adapter()["versions"], ["1", "2"])
        self.assertEqual(self.adapter()["current"], "1")
        retire = ["adapter", "retire", "bark", "--version", "1"]
        self.run_command(*retire, code=ExitCode.REFUSED)
        self.run_command("adapter", "make-current", "bark", "2")
        self.run_command(*retire)
        self.assertEqual(self.adapter()["versions"], ["2"])
        self.run_command("adapter", "retire", "bark")
        self.assertEqual(self.run_command("adapter", "list")["adapters"], [])

    def test_publishing_over_an_edit_needs_an_option(self):
        self.publish()
        self.run_command("drain", "target", "drafting-1")
        self.run_command("key", "issue", "mill")
        self.publish(code=ExitCode.REFUSED)
        self.assertEqual(self.run_command("status")["revision"], 3)
        arguments = ["publish", str(self.file), "--yes", "--over-edits"]
        self.assertEqual(self.run_command(*arguments)["revision"], 4)
        self.rewrite("rate = 100.0", "rate = 200.0")
        self.assertEqual(self.publish()["revision"], 5)

    def test_draining_a_target_can_be_undone(self):
        self.publish()
        output = self.run_command("drain", "target", "drafting-1")
        self.assertEqual(output["changes"][0]["fields"], [["draining", False, True]])
        output = self.run_command("drain", "target", "drafting-1", "--undo")
        self.assertEqual(output["changes"][0]["fields"], [["draining", True, False]])
        self.run_command("drain", "target", "nothing", code=ExitCode.REFUSED)
