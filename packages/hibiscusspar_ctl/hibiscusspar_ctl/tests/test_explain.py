"""Tests of ``hibiscussparctl explain`` with log lines of a played day."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from typer.testing import CliRunner

from hibiscusspar_ctl.cli import app
from hibiscusspar_ctl.exit_codes import ExitCode
from hibiscusspar_ctl.log_report import parse_line

# Lines as the users' bench prints them, without fields that don't count.
LINES = """\
built in 16.6 s; 32096 lines in 280 files
   0.0651 front-c-8 {"request":"21","route":"r1","target":"i-8",\
"message_type":"call.sent"}
   0.1045 front-b-3 {"request":"21","late":false,"message_type":"call.answered"}
   0.9045 front-b-3 {"request":"22","late":true,"message_type":"call.answered"}
   0.9545 front-b-3 {"request":"28","late":false,"paused":true,\
"message_type":"call.answered"}
   1.0000 front-b-3 {"request":"23","route":"r2","status":503,"reason":"busy",\
"waited_s":1.5,"message_type":"call.refused"}
   1.0000 front-b-3 {"request":"24","status":404,"reason":"no route","waited_s":0.0,\
"message_type":"call.refused"}
   2.1584 front-c-1 {"operation":"load","result":"accepted",\
"message_type":"node.adapter_ordered"}
   2.1584 front-c-1 {"operation":"unload","result":"done",\
"message_type":"node.adapter_ordered"}
   2.2584 front-c-1 {"operation":"load","result":"lost",\
"message_type":"node.adapter_ordered"}
   2.3000 front-b-3 {"request":"25","status":503,"reason":"busy","waited_s":0.5,\
"message_type":"call.refused"}
   2.4000 front-b-3 {"request":"21","status":502,"reason":"read: reset",\
"message_type":"call.broken"}
   2.5000 front-b-3 {"request":"27","message_ty
"""


class TestExplain(TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = Path(folder.name) / "nodes.log"
        self.log.write_text(LINES)

    def run_command(self, *arguments, code=ExitCode.OK):
        result = CliRunner().invoke(app, ["--output", "json", "explain", *arguments])
        self.assertEqual(result.exit_code, code, result.output)
        return result

    def test_outcomes_are_counted_by_time_and_cause(self):
        data = json.loads(self.run_command(str(self.log)).stdout)
        first, second = data["steps"]
        self.assertEqual(first["second"], 0.0)
        names = ("sent", "in time", "late", "refused", "broken", "loads")
        self.assertEqual([first[name] for name in names], [1, 1, 1, 1, 0, 0])
        self.assertEqual([second[name] for name in names], [0, 0, 0, 1, 1, 1])
        self.assertEqual(second["failed loads"], 1)
        [cause] = data["refused"]
        self.assertEqual((cause["count"], cause["reason"]), (2, "busy"))
        self.assertEqual(cause["median_wait_s"], 1.0)

    def test_a_stream_that_paused_too_long_does_not_count_as_in_time(self):
        data = json.loads(self.run_command(str(self.log)).stdout)
        self.assertEqual([row["paused"] for row in data["steps"]], [1, 0])

    def test_outcomes_are_counted_by_route(self):
        # An answer and a broken request have the route of the line about the send.
        data = json.loads(self.run_command(str(self.log), "--routes").stdout)
        rows = {(row["second"], row["route"]): row for row in data["steps"]}
        self.assertEqual(rows[0.0, "r1"]["sent"], 1)
        self.assertEqual(rows[0.0, "r1"]["in time"], 1)
        self.assertEqual(rows[0.0, "r2"]["refused"], 1)
        self.assertEqual(rows[2.0, "r1"]["broken"], 1)
        [cause] = data["broken"]
        self.assertEqual((cause["status"], cause["reason"]), (502, "read: reset"))

    def test_step_of_time_can_be_chosen(self):
        found = self.run_command(str(self.log), "--step", "0.5")
        self.assertEqual(len(json.loads(found.stdout)["steps"]), 4)

    def test_text_has_both_tables(self):
        result = CliRunner().invoke(app, ["explain", str(self.log)])
        self.assertIn("in time", result.output)
        self.assertIn("busy", result.output)

    def test_log_without_requests_is_bad_input(self):
        self.log.write_text("built in 16.6 s\n")
        self.run_command(str(self.log), code=ExitCode.BAD_INPUT)

    def test_line_of_a_node_counts_from_its_timestamp(self):
        line = '{"timestamp":1771810041.5,"message_type":"call.sent"}'
        at, event = parse_line(line)
        self.assertEqual((at, event["message_type"]), (1771810041.5, "call.sent"))
