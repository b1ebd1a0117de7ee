"""Tests of the settings of the entry process."""

import unittest

from typer.testing import CliRunner

from hibiscusspar.errors import ConfigErrorGroup
from hibiscusspar_entry.cli import EXIT_INVALID_SETTING, app
from hibiscusspar_entry.settings import SPECS, check_settings

REQUIRED = {
    "vm_id": "vm-1",
    "zone": "caerdydd",
    "platform": "127.0.0.1:9000",
    "peer_secret": "0123456789abcdef",
}


class TestCheckSettings(unittest.TestCase):
    def test_missing_settings_get_their_defaults(self):
        settings = check_settings(REQUIRED)
        self.assertEqual(settings.caller_port, 8080)
        self.assertEqual(settings.tick_s, 0.1)

    def test_all_errors_are_reported_together(self):
        invalid = REQUIRED | {"caller_port": "70000", "tick_s": "-1", "platform": "x"}
        del invalid["zone"]
        with self.assertRaises(ConfigErrorGroup) as caught:
            check_settings(invalid)
        flags = {error.key_path for error in caught.exception.exceptions}
        self.assertEqual(flags, {"--caller-port", "--tick-s", "--platform", "--zone"})

    def test_certificate_needs_its_key(self):
        raw = REQUIRED | {"tls_certificate": __file__}
        with self.assertRaises(ConfigErrorGroup):
            check_settings(raw)


class TestCommandLine(unittest.TestCase):
    def test_invalid_settings_exit_with_2_and_one_line_each(self):
        result = CliRunner().invoke(app, ["--caller-port", "x"])
        self.assertEqual(result.exit_code, EXIT_INVALID_SETTING)
        lines = result.stderr.strip().splitlines()
        self.assertEqual(len(lines), 5)
        self.assertIn("--caller-port", result.stderr)

    def test_flags_and_variables_are_documented(self):
        text = CliRunner().invoke(app, ["--help"], env={"COLUMNS": "200"}).output
        for spec in SPECS:
            self.assertIn(spec.flag, text)
            self.assertIn(spec.variable, text)

    def test_variable_sets_a_value(self):
        env = {spec.variable: "bad secret" for spec in SPECS[-1:]}
        env["HIBISCUSSPAR_ZONE"] = "not a zone"
        result = CliRunner().invoke(app, [], env=env)
        self.assertIn("--zone: expected letters", result.stderr)
