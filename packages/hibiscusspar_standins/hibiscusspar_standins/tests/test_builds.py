"""Tests of processes that run the code of another checkout."""

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from hibiscusspar_standins.builds import python_path
from hibiscusspar_standins.demo.deployment import Deployment, Example
from hibiscusspar_standins.demo.processes import Processes

PRINT_FOLDER = 'print(__file__.rpartition("/")[0])'


class TestOldBuild(TestCase):
    """Code that processes run and choice of the build of entry VMs."""

    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name).resolve()
        self.processes = Processes(self.folder)
        self.addCleanup(self.processes.stop_all)

    def make_checkout(self):
        for package in ("packages/a", "platform"):
            (self.folder / package).mkdir(parents=True)
        entry_point = self.folder / "packages" / "a" / "hibiscusspar_entry.py"
        entry_point.write_text(PRINT_FOLDER)
        return self.folder

    def test_a_process_imports_from_the_checkout(self):
        path = python_path(self.make_checkout())
        process = self.processes.start("p", "hibiscusspar_entry", python_path=path)
        lines = self.processes.wait_for_output(process, lambda lines: lines)
        self.assertEqual(lines, [str(self.folder / "packages" / "a")])

    def start_entry_vms(self, old_build=None):
        example = Example("small", self.folder, ("lodi",))
        deployment = Deployment(example, self.processes, self.folder, old_build)
        started = [deployment._start_entry_vm("lodi") for _ in range(4)]
        return [process.python_path for _, _, process in started]

    def test_entry_vms_alternate_between_the_builds(self):
        checkout = self.make_checkout()
        path = python_path(checkout)
        paths = self.start_entry_vms(checkout)
        self.assertEqual(paths, [None, path, None, path])

    def test_without_another_checkout_all_run_the_current_build(self):
        self.assertEqual(self.start_entry_vms(), [None] * 4)
