"""Tests of ``hibiscussparctl evacuations`` with log lines of nodes."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from typer.testing import CliRunner

from hibiscusspar_ctl.cli import app

# As nodes write them and, for one node, as the users' bench prints them.
LINES = """\
{"timestamp":9.0,"vm":"n1","message_type":"node.target","target":"t1","target_zone":"a"}
{"timestamp":9.0,"vm":"n1","message_type":"node.target","target":"t2","target_zone":"b"}
{"timestamp":9.9,"vm":"n1","message_type":"call.sent","request":"1","attempt":1,"target":"t1"}
{"timestamp":10.0,"vm":"n1","message_type":"node.zone_evacuated","zone":"a","source":"store"}
{"timestamp":10.1,"vm":"n1","message_type":"call.sent","request":"2","attempt":1,"target":"t1"}
{"timestamp":10.1,"vm":"n1","message_type":"call.target_failed","request":"2","attempt":1,"step":"closed"}
{"timestamp":10.2,"vm":"n1","message_type":"call.sent","request":"2","attempt":2,"target":"t2"}
{"timestamp":10.3,"vm":"n3","message_type":"call.sent","request":"3","attempt":1,"target":"t1"}
   12.2000 n2 {"message_type":"call.sent_for_peer","request":"4","status":200,\
"target":"t1","seconds":2.0}
   10.4000 n2 {"message_type":"node.zone_evacuated","zone":"a","source":"n1"}
   10.5000 n2 {"message_type":"call.sent_for_peer","request":"5","status":0,\
"target":"t1","seconds":0.0}
{"timestamp":15.0,"vm":"n1","message_type":"node.zone_returned","zone":"a","source":"store"}
   15.2000 n2 {"message_type":"node.zone_returned","zone":"a","source":"n1"}
   15.3000 n2 {"message_type":"call.sent","request":"6","attempt":1,"target":"t1"}
{"timestamp":30.0,"vm":"n1","message_type":"node.zone_evacuated","zone":"a","source":"store"}
"""


class TestEvacuations(TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = Path(folder.name) / "nodes.log"
        self.log.write_text(LINES)

    def run_command(self, *options):
        result = CliRunner().invoke(app, [*options, "evacuations", str(self.log)])
        self.assertEqual(result.exit_code, 0, result.output)
        return result.output

    def test_each_node_is_shown_with_its_source_and_last_request(self):
        first, second = json.loads(self.run_command("--output", "json"))["evacuations"]
        self.assertEqual((first["zone"], first["begins_at"]), ("a", 10.0))
        columns = ("node", "learned", "source", "last request", "returned")
        rows = [tuple(node[name] for name in columns) for node in first["nodes"]]
        self.assertEqual(
            rows,
            [
                ("n1", 0.0, "store", -0.1, 5.0),
                ("n2", 0.4, "n1", 0.2, 5.2),
                # It sent a request and never learned of the evacuation.
                ("n3", None, "", 0.3, None),
            ],
        )
        self.assertEqual(second["begins_at"], 30.0)

    def test_text(self):
        text = self.run_command()
        self.assertIn("a from 10.000", text)
        self.assertIn("last request", text)

    def test_logs_without_evacuations(self):
        self.log.write_text("built in 16.6 s\n")
        self.assertIn("no zone was evacuated", self.run_command())
