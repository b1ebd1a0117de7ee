"""Experiment over real processes: a zone is cut off, then the platform is down.

Nine entry VMs in three zones serve callers throughout. Prints what each zone
served and refused in each phase, and how long things took. Run it with
``make experiment``. Targets are not cut off: only the platform and the peers
refuse the zone.
"""

import sys
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep

from gates import Gate
from urllib3.exceptions import HTTPError

from hibiscusspar_standins.demo.deployment import Deployment, Example
from hibiscusspar_standins.demo.processes import Processes
from hibiscusspar_standins.demo.traffic import CallMaker, Traffic

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("piacenza", "parma", "lodi")
CUT_ZONE = "lodi"
STEP_S = 10.0
OUTAGE_S = 30.0
LIMIT_S = 60.0
THREADS = 4


class GatedDeployment(Deployment):
    """A deployment whose entry VMs reach platform and peers through gates."""

    def __init__(self, *args):
        super().__init__(*args)
        self.cut = False
        self.outage = False
        self.platform_gates = {}
        self.peer_gates = {}

    def set_faults(self, cut, outage):
        """Cut the zone off or not, and the platform from all VMs or not."""
        self.cut, self.outage = cut, outage
        for gate in (*self.platform_gates.values(), *self.peer_gates.values()):
            gate.recheck()

    def status(self, entry):
        """Return the status that an entry VM reports, or an empty dict."""
        try:
            answer = self._pool.request(
                "GET", f"http://{entry.operator_address}/status"
            )
            return answer.json() if answer.status == 200 else {}
        except (HTTPError, ValueError):
            return {}

    def zone_of(self, vm):
        """Return the zone in the name of a VM."""
        return vm.split("-")[1] if "-" in vm else ""

    def _start_entry_vm(self, zone):
        platform = self.platform_address
        if zone not in self.platform_gates:
            gate = Gate(platform, lambda _vm: self._platform_admits(zone))
            self.platform_gates[zone] = gate
        self.platform_address = self.platform_gates[zone].address
        try:
            return super()._start_entry_vm(zone)
        finally:
            self.platform_address = platform

    def _entry_vm_flags(self, zone):
        own = [e.peer_address for e in self.entry_vms if e.zone == zone]
        return ["--peers", ",".join(own)] if own else []

    def _set_vm(self, vm, row):
        if row["state"] == "live":
            zone = row["zone"]
            gate = Gate(row["address"], lambda peer: self._peer_admits(peer, zone))
            self.peer_gates[vm] = gate
            row = row | {"address": gate.address}
        super()._set_vm(vm, row)

    def _platform_admits(self, zone):
        return not self.outage and not (self.cut and zone == CUT_ZONE)

    def _peer_admits(self, peer, zone):
        sides = [self.zone_of(peer) == CUT_ZONE, zone == CUT_ZONE]
        return not self.cut or sides[0] == sides[1]


class Experiment:
    """The phases, one after another, with traffic on each zone."""

    def __init__(self, deployment, processes):
        self.deployment = deployment
        self.processes = processes
        self.keys = {}
        self.traffics = {}

    def start(self):
        """Start everything and the traffic."""
        deployment = self.deployment
        deployment.start_standins()
        deployment.publish()
        accounts = sorted(deployment.configuration.accounts)
        self.keys = {a: deployment.issue_key(a, f"key-{a}") for a in accounts}
        self.keys["short"] = deployment.issue_key(accounts[0], "short")
        deployment.start_entry_vms()
        calls = CallMaker(deployment.configuration, {a: self.keys[a] for a in accounts})
        for seed, zone in enumerate(ZONES):
            traffic = Traffic(lambda z=zone: self.callers(z), calls, THREADS, seed)
            self.traffics[zone] = traffic
            traffic.start()

    def callers(self, zone):
        """Return the addresses for callers of a zone's VMs."""
        return [e.caller_address for e in self.deployment.entry_vms if e.zone == zone]

    def phase(self, name, seconds=STEP_S):
        """Let traffic run for a time and print its outcomes by zone."""
        before = {z: Counter(t.outcomes) for z, t in self.traffics.items()}
        sleep(seconds)
        for zone, traffic in self.traffics.items():
            counts = dict(traffic.outcomes - before[zone])
            print(f"{name} | {zone} | {counts}", flush=True)

    def until(self, what, probe):
        """Print how long it took until a probe holds, up to a limit."""
        started = monotonic()
        while monotonic() - started < LIMIT_S:
            if probe():
                print(f"{what}: {monotonic() - started:.2f} s", flush=True)
                return
            sleep(0.02)
        print(f"{what}: not within {LIMIT_S:g} s", flush=True)

    def revisions(self, zones):
        """Return the revisions that the VMs of some zones report."""
        rows = [e for e in self.deployment.entry_vms if e.zone in zones]
        return [self.deployment.status(e).get("revision", 0) for e in rows]

    def double_roles(self):
        """Return the roles that more than one VM says it holds."""
        held = Counter()
        for entry in self.deployment.entry_vms:
            held.update(self.deployment.status(entry).get("roles", []))
        return [role for role, count in held.items() if count > 1], len(held)

    def run(self):
        """Run all phases."""
        deployment = self.deployment
        rest = [zone for zone in ZONES if zone != CUT_ZONE]
        self.phase("all well")
        print("roles held twice, roles:", self.double_roles())
        deployment.set_faults(cut=True, outage=False)
        self.phase(f"{CUT_ZONE} cut off")
        done = deployment.run_ctl("key", "withdraw", "short")
        revision = done["revision"]
        self.until(
            "key withdrawn, in force in the rest after",
            lambda: min(self.revisions(rest)) >= revision,
        )
        print("revisions in the cut zone:", self.revisions([CUT_ZONE]))
        self.replace_in_cut_zone()
        self.phase(f"{CUT_ZONE} cut off, one VM replaced")
        deployment.set_faults(cut=True, outage=True)
        self.phase("platform down as well", OUTAGE_S)
        print("roles held twice, roles:", self.double_roles())
        ages = [
            deployment.status(e)["configuration_age_s"] for e in deployment.entry_vms
        ]
        print("configuration age, s:", [round(age, 1) for age in ages])
        deployment.set_faults(cut=False, outage=False)
        self.until(
            "healed, withdrawal in force everywhere after",
            lambda: min(self.revisions(ZONES)) >= revision,
        )
        self.phase("healed")
        print("roles held twice, roles:", self.double_roles())
        self.until(
            "all roles held again after a further",
            lambda: self.double_roles()[1] == self.expected_roles(),
        )

    def expected_roles(self):
        """Return the number of roles of all zones."""
        configuration = self.deployment.configuration
        return len(configuration.targets) + len(ZONES) * len(configuration.accounts)

    def replace_in_cut_zone(self):
        """Replace a VM of the cut-off zone and print how long it took."""
        old = next(e for e in self.deployment.entry_vms if e.zone == CUT_ZONE)
        started = monotonic()
        code = self.deployment.replace(old)
        print(f"VM replaced: exit code {code}, {monotonic() - started:.2f} s")

    def stop(self):
        """End the traffic and print what went wrong."""
        for traffic in self.traffics.values():
            traffic.stop()
            print("problems:", traffic.problems[:5])


def main():
    """Run the experiment."""
    with TemporaryDirectory() as folder:
        processes = Processes(folder)
        example = Example("asav", ROOT / "examples" / "valtrebbia", ZONES, 3)
        deployment = GatedDeployment(example, processes, Path(folder) / "declared")
        experiment = Experiment(deployment, processes)
        try:
            experiment.start()
            experiment.run()
        finally:
            experiment.stop()
            processes.stop_all()


if __name__ == "__main__":
    sys.exit(main())
