"""Processes of the demo, each started and stopped through its own handle."""

import json
import os
import sys
from pathlib import Path
from subprocess import DEVNULL, STDOUT, Popen, TimeoutExpired, run
from time import monotonic, sleep
from typing import NamedTuple

__all__ = ["DemoError", "Process", "Processes"]

POLL_S = 0.05
STOP_TIMEOUT_S = 15.0
COMMAND_TIMEOUT_S = 30.0


class DemoError(Exception):
    """Exception raised when a step of the demo fails."""


class Process(NamedTuple):
    """Started process and the file that holds its output.

    ``python_path`` is the ``PYTHONPATH`` if it is that of another checkout.
    """

    name: str
    popen: Popen
    output: Path
    python_path: str | None = None


class Processes:
    """Set of processes that run Python modules.

    Parameters
    ----------
    folder : path
        Where the output of each process is written.
    """

    def __init__(self, folder):
        self._folder = Path(folder)
        self._running = []
        self._stopping = False

    def start(self, name, module, *arguments, python_path=None):
        """Start ``python -m module`` and return its :class:`Process`."""
        if self._stopping:
            raise DemoError(f"{name} not started: time limit exceeded")
        output = self._folder / f"{name}.out"
        with output.open("wb") as stream:
            popen = Popen(
                [sys.executable, "-m", module, *map(str, arguments)],
                stdin=DEVNULL,
                stdout=stream,
                stderr=STDOUT,
                env=python_path and {**os.environ, "PYTHONPATH": python_path},
            )
        process = Process(name, popen, output, python_path)
        self._running.append(process)
        return process

    def run_command(self, module, *arguments):
        """Run ``python -m module`` to its end and return the JSON it prints."""
        done = run(
            [sys.executable, "-m", module, *map(str, arguments)],
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )
        if done.returncode:
            raise DemoError(
                f"{module} {arguments} exited {done.returncode}: {done.stderr}"
            )
        return json.loads(done.stdout)

    def stop(self, process, timeout_s=STOP_TIMEOUT_S):
        """Terminate a process, or kill it after a time; return its exit code."""
        self._running.remove(process)
        process.popen.terminate()
        return _wait_or_kill(process, timeout_s)

    def wait_for_exit(self, process, timeout_s=STOP_TIMEOUT_S):
        """Return the exit code of a process that ends by itself."""
        try:
            code = process.popen.wait(timeout_s)
        except TimeoutExpired:
            raise DemoError(f"{process.name} did not exit in time") from None
        self._running.remove(process)
        return code

    def stop_all(self):
        """End all processes, the last started first, and refuse to start others."""
        self._stopping = True
        running, self._running = self._running[::-1], []
        for process in running:
            process.popen.terminate()
        for process in running:
            _wait_or_kill(process, STOP_TIMEOUT_S)

    def wait_for_output(self, process, parse, timeout_s=STOP_TIMEOUT_S):
        """Return ``parse(lines)`` of the output of a process once it is true."""
        return self.wait_until(
            process.name, lambda: parse(_output_lines(process)), timeout_s, process
        )

    def wait_until(self, description, probe, timeout_s, process=None):
        """Return ``probe()`` once it is true."""
        deadline = monotonic() + timeout_s
        while monotonic() < deadline and not self._stopping:
            found = probe()
            if found:
                return found
            if process is not None and process.popen.poll() is not None:
                raise DemoError(
                    f"{description}: process exited: {_output_lines(process)[-5:]}"
                )
            sleep(POLL_S)
        raise DemoError(f"{description}: no success in {timeout_s} s")

    def memory_mb(self, process):
        """Return the resident memory of a process in megabytes."""
        status = Path(f"/proc/{process.popen.pid}/status").read_text()
        rows = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
        return int(rows["VmRSS"].split()[0]) / 1024


def _output_lines(process):
    return process.output.read_text(errors="replace").splitlines()


def _wait_or_kill(process, timeout_s):
    try:
        return process.popen.wait(timeout_s)
    except TimeoutExpired:
        process.popen.kill()
        return process.popen.wait()
