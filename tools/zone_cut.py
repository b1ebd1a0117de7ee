"""Experiment on real processes: a zone is cut off, then the platform is down.

Nine entry VMs in three zones serve callers throughout. Prints the requests that each
zone answered and refused in each phase and the time that changes took. Run it with
``make experiment``. The zone is cut off from the platform and its peers, but not
from the targets.
"""

import sys
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep

from cuttable_proxy import CuttableProxy
from urllib3.exceptions import HTTPError

from hibiscusspar_standins.demo.deployment import Deployment, Example
from hibiscusspar_standins.demo.processes import Processes
from hibiscusspar_standins.demo.traffic import CallMaker, Traffic

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("piacenza", "parma", "lodi")
CUT_ZONE = "lodi"
PHASE_S = 10.0
OUTAGE_S = 30.0
MAX_WAIT_S = 60.0
THREADS = 4


class ProxiedDeployment(Deployment):
    """Deployment whose entry VMs reach the platform and peers through proxies."""

    def __init__(self, *args):
        super().__init__(*args)
        self.cut = False
        self.outage = False
        self.platform_proxies = {}
        self.peer_proxies = {}

    def set_faults(self, cut, outage):
        """Set whether the zone is cut off and whether the platform is down."""
        self.cut, self.outage = cut, outage
        for proxy in (*self.platform_proxies.values(), *self.peer_proxies.values()):
            proxy.close_disallowed()

    def status(self, entry_vm):
        """Return the status of an entry VM, or an empty dict if it doesn't answer."""
        try:
            answer = self._pool.request(
                "GET", f"http://{entry_vm.operator_address}/status"
            )
            return answer.json() if answer.status == 200 else {}
        except (HTTPError, ValueError):
            return {}

    def zone_of(self, vm):
        """Return the zone that is part of the name of a VM."""
        return vm.split("-")[1] if "-" in vm else ""

    def _start_entry_vm(self, zone):
        platform = self.platform_address
        if zone not in self.platform_proxies:
            proxy = CuttableProxy(platform, lambda _vm: self._platform_reachable(zone))
            self.platform_proxies[zone] = proxy
        self.platform_address = self.platform_proxies[zone].address
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
            proxy = CuttableProxy(
                row["address"], lambda peer: self._peer_reachable(peer, zone)
            )
            self.peer_proxies[vm] = proxy
            row = row | {"address": proxy.address}
        super()._set_vm(vm, row)

    def _platform_reachable(self, zone):
        return not self.outage and not (self.cut and zone == CUT_ZONE)

    def _peer_reachable(self, peer, zone):
        in_cut_zone = [self.zone_of(peer) == CUT_ZONE, zone == CUT_ZONE]
        return not self.cut or in_cut_zone[0] == in_cut_zone[1]


class Experiment:
    """Phases of the experiment, with traffic to each zone."""

    def __init__(self, deployment, processes):
        self.deployment = deployment
        self.processes = processes
        self.keys = {}
        self.traffics = {}

    def start(self):
        """Start the deployment and the traffic."""
        deployment = self.deployment
        deployment.start_standins()
        deployment.publish()
        accounts = sorted(deployment.configuration.accounts)
        self.keys = {a: deployment.issue_key(a, f"key-{a}") for a in accounts}
        self.keys["short"] = deployment.issue_key(accounts[0], "short")
        deployment.start_entry_vms()
        calls = CallMaker(deployment.configuration, {a: self.keys[a] for a in accounts})
        for seed, zone in enumerate(ZONES):
            traffic = Traffic(
                lambda z=zone: self.caller_addresses(z), calls, THREADS, seed
            )
            self.traffics[zone] = traffic
            traffic.start()

    def caller_addresses(self, zone):
        """Return the caller addresses of the VMs of a zone."""
        return [e.caller_address for e in self.deployment.entry_vms if e.zone == zone]

    def run_phase(self, name, seconds=PHASE_S):
        """Run traffic for some seconds and print its outcomes by zone."""
        before = {z: Counter(t.outcomes) for z, t in self.traffics.items()}
        sleep(seconds)
        for zone, traffic in self.traffics.items():
            counts = dict(traffic.outcomes - before[zone])
            print(f"{name} | {zone} | {counts}", flush=True)

    def report_time_until(self, what, condition):
        """Wait until a condition holds, at most ``MAX_WAIT_S``, and print the time."""
        started = monotonic()
        while monotonic() - started < MAX_WAIT_S:
            if condition():
                print(f"{what}: {monotonic() - started:.2f} s", flush=True)
                return
            sleep(0.02)
        print(f"{what}: not within {MAX_WAIT_S:g} s", flush=True)

    def revisions(self, zones):
        """Return the revision of each VM of some zones."""
        rows = [e for e in self.deployment.entry_vms if e.zone in zones]
        return [self.deployment.status(e).get("revision", 0) for e in rows]

    def duplicate_roles(self):
        """Return the roles reported by several VMs and the number of roles held."""
        held = Counter()
        for entry_vm in self.deployment.entry_vms:
            held.update(self.deployment.status(entry_vm).get("roles", []))
        return [role for role, count in held.items() if count > 1], len(held)

    def run(self):
        """Run all phases."""
        deployment = self.deployment
        rest = [zone for zone in ZONES if zone != CUT_ZONE]
        self.run_phase("all well")
        print("roles held twice, roles:", self.duplicate_roles())
        deployment.set_faults(cut=True, outage=False)
        self.run_phase(f"{CUT_ZONE} cut off")
        done = deployment.run_ctl("key", "withdraw", "short")
        revision = done["revision"]
        self.report_time_until(
            "key withdrawn, in force in the rest after",
            lambda: min(self.revisions(rest)) >= revision,
        )
        print("revisions in the cut zone:", self.revisions([CUT_ZONE]))
        self.replace_vm_in_cut_zone()
        self.run_phase(f"{CUT_ZONE} cut off, one VM replaced")
        deployment.set_faults(cut=True, outage=True)
        self.run_phase("platform down as well", OUTAGE_S)
        print("roles held twice, roles:", self.duplicate_roles())
        ages = [
            deployment.status(e)["configuration_age_s"] for e in deployment.entry_vms
        ]
        print("configuration age, s:", [round(age, 1) for age in ages])
        deployment.set_faults(cut=False, outage=False)
        self.report_time_until(
            "healed, withdrawal in force everywhere after",
            lambda: min(self.revisions(ZONES)) >= revision,
        )
        self.run_phase("healed")
        print("roles held twice, roles:", self.duplicate_roles())
        self.report_time_until(
            "all roles held again after a further",
            lambda: self.duplicate_roles()[1] == self.expected_roles(),
        )

    def expected_roles(self):
        """Return the number of roles of all zones."""
        configuration = self.deployment.configuration
        return len(configuration.targets) + len(ZONES) * len(configuration.accounts)

    def replace_vm_in_cut_zone(self):
        """Replace a VM of the cut-off zone and print the time."""
        old = next(e for e in self.deployment.entry_vms if e.zone == CUT_ZONE)
        started = monotonic()
        code = self.deployment.replace(old)
        print(f"VM replaced: exit code {code}, {monotonic() - started:.2f} s")

    def stop(self):
        """Stop the traffic and print the first problems of each zone."""
        for traffic in self.traffics.values():
            traffic.stop()
            print("problems:", traffic.problems[:5])


def main():
    """Run the experiment."""
    with TemporaryDirectory() as folder:
        processes = Processes(folder)
        example = Example("asav", ROOT / "examples" / "valtrebbia", ZONES, 3)
        deployment = ProxiedDeployment(example, processes, Path(folder) / "declared")
        experiment = Experiment(deployment, processes)
        try:
            experiment.start()
            experiment.run()
        finally:
            experiment.stop()
            processes.stop_all()


if __name__ == "__main__":
    sys.exit(main())
