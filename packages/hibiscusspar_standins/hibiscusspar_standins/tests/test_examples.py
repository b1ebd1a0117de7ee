"""Tests of the declarations of the examples."""

import importlib.util
from pathlib import Path
from unittest import TestCase

from hibiscusspar_wire.publishing import read_directories

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"
ZONES = {
    "pryce-daughters": {"caerdydd", "abertawe", "wrecsam"},
    "valtrebbia": {"piacenza", "parma", "lodi"},
}


class TestExamples(TestCase):
    """Validity and sizes of the declarations of both examples."""

    def test_sizes(self):
        for name, zones in ZONES.items():
            with self.subTest(name):
                configuration = read_directories([EXAMPLES / name])
                targets = configuration.targets.values()
                self.assertEqual({target.zone for target in targets}, zones)
                self.assertEqual(len(targets), 9)
                self.assertEqual(len(configuration.adapters), 3000)
                self.assertEqual(len(configuration.accounts), 5)

    def test_adapter_files_are_those_of_the_script(self):
        script = EXAMPLES / "make_adapters.py"
        spec = importlib.util.spec_from_file_location("make_adapters", script)
        module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        for user in module.USERS:
            written = (EXAMPLES / user.file).read_text()
            self.assertEqual(written, module.adapters_toml(user))
