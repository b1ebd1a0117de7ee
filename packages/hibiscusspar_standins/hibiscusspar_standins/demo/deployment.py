"""Example deployment: stand-ins, published declarations and entry VMs."""

import json
import re
from pathlib import Path
from typing import NamedTuple

from urllib3 import PoolManager

from hibiscusspar_standins.builds import python_path
from hibiscusspar_standins.demo.processes import DemoError, Process
from hibiscusspar_wire.publishing import read_directories

__all__ = ["Deployment", "EntryVm", "Example"]

READY_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 3.0
PEER_SECRET = "demo-secret-of-the-entry-vms"
TOKENS_PER_S = 60
_ADDRESS = re.compile(r"\d+\.\d+\.\d+\.\d+:\d+")


class Example(NamedTuple):
    """Folder of declarations and the zones of the entry VMs."""

    name: str
    folder: Path
    zones: tuple[str, ...]
    vms_per_zone: int = 3


class EntryVm(NamedTuple):
    """Running entry VM, with the addresses of its three ports."""

    vm: str
    zone: str
    process: Process
    caller_address: str
    peer_address: str
    operator_address: str


class Deployment:
    """Example deployment that runs as processes.

    Parameters
    ----------
    example : Example
    processes : Processes
    folder : path
        Where the declarations are written with the addresses of the stand-ins.
    old_build : path, optional
        Root of a checkout whose code every second entry VM runs. The replacement of
        an entry VM runs the other build than the entry VM that it replaces.
    """

    def __init__(self, example, processes, folder, old_build=None):
        self.example = example
        self.entry_vms = []
        self.target_addresses = {}
        self.platform_address = ""
        self.weight_store_address = ""
        self.configuration = None
        self._processes = processes
        self.folder = Path(folder)
        self._pool = PoolManager(timeout=CALL_TIMEOUT_S, retries=False)
        self._started_vms = 0
        self._old_path = python_path(old_build) if old_build else None
        self._next_path = None  # PYTHONPATH of the next entry VM; None: current build

    def start_standins(self):
        """Start the stand-ins, one process per service, and write the declarations."""
        declared = read_directories([self.example.folder]).targets.values()
        services = sorted({target.service for target in declared})
        (self.platform_address,) = self._start_process("platform", 1, "--vm-lag-s", 0.5)
        (self.weight_store_address,) = self._start_process("weights", 1)
        for service in services:
            targets = [target for target in declared if target.service == service]
            self._start_service(service, targets)
        self._write_declarations()

    def publish(self):
        """Publish the declarations and return the number of changes."""
        return len(self.run_ctl("publish", "--yes", self.folder)["changes"])

    def run_ctl(self, *arguments):
        """Run ``hibiscussparctl`` and return what it prints."""
        options = [
            "--platform",
            self.platform_address,
            "--output",
            "json",
            "--author",
            "demo",
        ]
        return self._processes.run_command("hibiscusspar_ctl", *options, *arguments)

    def issue_key(self, account, key_id):
        """Issue a key and return it."""
        return self.run_ctl("key", "issue", account, "--id", key_id)["key"]

    def start_entry_vms(self):
        """Start all entry VMs and wait until they are ready."""
        zones = self.example.zones * self.example.vms_per_zone
        started = [self._start_entry_vm(zone) for zone in zones]
        self.entry_vms = [
            self._register_vm(vm, zone, process) for vm, zone, process in started
        ]
        for entry in self.entry_vms:
            self._wait_ready(entry)

    def drain(self, zone):
        """Start an entry VM, drain it by command and return its exit code."""
        vm, zone, process = self._start_entry_vm(zone)
        entry = self._register_vm(vm, zone, process)
        self.run_ctl("drain", "vm", entry.operator_address, "--secret", PEER_SECRET)
        code = self._processes.wait_for_exit(process)
        self._set_vm(vm, {"state": "gone"})
        return code

    def replace(self, entry):
        """Replace an entry VM by a new one and return the exit code of the old one."""
        self.entry_vms.remove(entry)
        row = {"zone": entry.zone, "address": entry.peer_address, "state": "leaving"}
        self._set_vm(entry.vm, row)
        code = self._processes.stop(entry.process)
        self._set_vm(entry.vm, {"state": "gone"})
        self._next_path = self._other_path(entry.process.python_path)
        vm, zone, process = self._start_entry_vm(entry.zone)
        new = self._register_vm(vm, zone, process)
        self._wait_ready(new)
        self.entry_vms.append(new)
        return code

    def memory_mb(self, entry):
        """Return the resident memory of an entry VM in megabytes."""
        return self._processes.memory_mb(entry.process)

    def ledger(self, address):
        """Return the ledger of a stand-in."""
        return self._pool.request("GET", f"http://{address}/ledger").json()

    def _start_process(self, role, count, *flags):
        """Start a process with some stand-ins and return their addresses."""
        name = f"{self.example.name}-{role}-{len(self.target_addresses)}"
        process = self._processes.start(
            name, "hibiscusspar_standins", "--role", role, "--count", count, *flags
        )

        def addresses(lines):
            found = [line.split()[1] for line in lines if line.startswith(f"{role} ")]
            return found if len(found) == count else None

        return self._processes.wait_for_output(process, addresses)

    def _start_service(self, service, targets):
        if any(target.checks_fencing for target in targets):
            flags = ["--checks-fencing"]
        else:
            flags = []
        role = "engine" if _is_engine(self.example, service) else "plain"
        flags += [
            "--weights",
            self.weight_store_address,
            "--tokens-per-s",
            TOKENS_PER_S,
        ]
        flags += ["--slots", targets[0].slots, "--concurrency", targets[0].concurrency]
        addresses = self._start_process(role, len(targets), *flags)
        for target, address in zip(targets, addresses, strict=True):
            self.target_addresses[target.address] = address

    def _write_declarations(self):
        for file in Path(self.example.folder).rglob("*.toml"):
            copy = self.folder / file.relative_to(self.example.folder)
            copy.parent.mkdir(parents=True, exist_ok=True)
            text = _ADDRESS.sub(
                lambda m: self.target_addresses[m.group()], file.read_text()
            )
            copy.write_text(text)
        self.configuration = read_directories([self.folder])

    def _start_entry_vm(self, zone):
        self._started_vms += 1
        vm = f"{self.example.name}-{zone}-{self._started_vms}"
        process = self._processes.start(
            vm,
            "hibiscusspar_entry",
            *("--vm-id", vm, "--zone", zone),
            *("--caller-port", 0, "--peer-port", 0, "--operator-port", 0),
            *("--platform", self.platform_address, "--peer-secret", PEER_SECRET),
            *("--caller-threads", 64, "--silence-timeout-s", 10),
            *self._entry_vm_flags(zone),
            python_path=self._next_path,
        )
        self._next_path = self._other_path(self._next_path)
        return vm, zone, process

    def _other_path(self, path):
        return self._old_path if path is None else None

    def _entry_vm_flags(self, _zone):
        """Return further flags of an entry VM."""
        return []

    def _register_vm(self, vm, zone, process):
        """Wait until an entry VM listens, and add it to the platform's list of VMs."""
        line = self._processes.wait_for_output(
            process, _parse_addresses, READY_TIMEOUT_S
        )
        ports = line["caller"], line["peer"], line["operator"]
        entry = EntryVm(vm, zone, process, *ports)
        self._set_vm(vm, {"zone": zone, "address": entry.peer_address, "state": "live"})
        return entry

    def _wait_ready(self, entry):
        url = f"http://{entry.operator_address}/readyz"

        def ready():
            return self._pool.request("GET", url).status == 200

        self._processes.wait_until(
            f"readiness of {entry.vm}", ready, READY_TIMEOUT_S, entry.process
        )

    def _set_vm(self, vm, row):
        url = f"http://{self.platform_address}/vms/{vm}"
        answer = self._pool.request("PUT", url, json=row)
        if answer.status != 200:
            raise DemoError(f"the platform refused the VM {vm}: {answer.status}")


def _is_engine(example, service):
    return read_directories([example.folder]).services[service].kind == "engine"


def _parse_addresses(lines):
    for line in lines:
        try:
            row = json.loads(line)
        except ValueError:
            continue
        if "caller" in row and "operator" in row:
            return row
    return None
