"""Tests that the documentation only names things that exist."""

import re
from pathlib import Path
from unittest import TestCase

from typer.main import get_command
from typer.testing import CliRunner

from hibiscusspar_ctl.cli import app
from hibiscusspar_ctl.exit_codes import ExitCode
from hibiscusspar_entry.settings import SPECS

ROOT = Path(__file__).resolve().parents[4]
PAGES = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *ROOT.glob("docs/**/*.md")]
_LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")
_TEST = re.compile(r"`(hibiscusspar\w*)\.([\w.]*tests\.\w+)\.(Test\w+)\.(test_\w+)`")
_COMMAND = re.compile(r"hibiscussparctl (\w+)(?: ([a-z-]+))?")


class TestPages(TestCase):
    """Links, tests, settings, commands and exit codes on the pages."""

    def test_link_targets_exist(self):
        for page in PAGES:
            for link in _LINK.findall(page.read_text()):
                if "://" not in link:
                    self.assertTrue((page.parent / link).exists(), f"{page}: {link}")

    def test_named_tests_exist(self):
        text = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
        found = _TEST.findall(text)
        self.assertGreater(len(found), 20)
        for package, module, test_class, name in found:
            file = ROOT / "packages" / package / package
            code = file.joinpath(*module.split(".")).with_suffix(".py").read_text()
            self.assertIn(f"class {test_class}(", code)
            self.assertIn(f"def {name}(", code)

    def test_settings_page_lists_every_setting(self):
        text = (ROOT / "docs" / "operators" / "settings.md").read_text()
        for spec in SPECS:
            self.assertIn(f"| `{spec.flag}` | `{spec.variable}` |", text)
            self.assertIn(spec.help, text)

    def test_commands_on_pages_exist(self):
        commands = get_command(app).commands
        for page in PAGES:
            for name, subcommand in _COMMAND.findall(page.read_text()):
                self.assertIn(name, commands, page)
                subcommands = getattr(commands[name], "commands", None)
                if subcommands is not None:
                    self.assertIn(subcommand, subcommands, page)

    def test_exit_codes_are_on_the_page_and_in_the_help(self):
        text = (ROOT / "docs" / "operators" / "command-line.md").read_text()
        help_text = CliRunner().invoke(app, ["--help"]).stdout
        for code in ExitCode:
            self.assertIn(f"| {int(code)} |", text)
            self.assertRegex(help_text, rf"\b{int(code)}\s+[a-z]+")
