"""Processes of the demo, each started and stopped through its own handle."""

import json
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
    """Started process and the file that holds its output."""

    name: str
    popen: Popen
    output: Path


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
        self._ended = False

    def start(self, name, module, *words):
        """Start ``python -m module`` and return its :class:`Process`."""
        if self._ended:
            raise DemoError(f"{name} not started: time limit exceeded")
        output = self._folder / f"{name}.out"
        with output.open("wb") as stream:
            popen = Popen(
                [sys.executable, "-m", module, *map(str, words)],
                stdin=DEVNULL,
                stdout=stream,
                stderr=STDOUT,
            )
        process = Process(name, popen, output)
        self._running.append(process)
        return process

    def command(self, module, *words):
        """Run ``python -m module`` to its end and return the JSON it prints."""
        done = run(
            [sys.executable, "-m", module, *map(str, words)],
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )
        if done.returncode:
            raise DemoError(f"{module} {words} exited {done.returncode}: {done.stderr}")
        return json.loads(done.stdout)

    def stop(self, process, timeout_s=STOP_TIMEOUT_S):
        """Terminate a process, or kill it after a time; return its exit code."""
        self._running.remove(process)
        process.popen.terminate()
        return _wait(process, timeout_s)

    def wait_for_end(self, process, timeout_s=STOP_TIMEOUT_S):
        """Return the exit code of a process that ends by itself."""
        try:
            code = process.popen.wait(timeout_s)
        except TimeoutExpired:
            raise DemoError(f"{process.name} did not exit in time") from None
        self._running.remove(process)
        return code

    def stop_all(self):
        """End all processes, the last started first, and refuse to start others."""
        self._ended = True
        running, self._running = self._running[::-1], []
        for process in running:
            process.popen.terminate()
        for process in running:
            _wait(process, STOP_TIMEOUT_S)

    def wait_for_output(self, process, read, timeout_s=STOP_TIMEOUT_S):
        """Return ``read(lines)`` of the output of a process once it is true."""
        return self.wait_until(
            process.name, lambda: read(_lines(process)), timeout_s, process
        )

    def wait_until(self, what, probe, timeout_s, process=None):
        """Return ``probe()`` once it is true."""
        ends_at = monotonic() + timeout_s
        while monotonic() < ends_at and not self._ended:
            found = probe()
            if found:
                return found
            if process is not None and process.popen.poll() is not None:
                raise DemoError(f"{what}: process exited: {_lines(process)[-5:]}")
            sleep(POLL_S)
        raise DemoError(f"{what}: no success in {timeout_s} s")

    def memory_mb(self, process):
        """Return the resident memory of a process in megabytes."""
        status = Path(f"/proc/{process.popen.pid}/status").read_text()
        rows = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
        return int(rows["VmRSS"].split()[0]) / 1024


def _lines(process):
    return process.output.read_text(errors="replace").splitlines()


def _wait(process, timeout_s):
    try:
        return process.popen.wait(timeout_s)
    except TimeoutExpired:
        process.popen.kill()
        return process.popen.wait()
