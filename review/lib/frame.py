"""Frame of a case: stand-ins, nodes, the record and the exit code."""

import os
import signal
import sys
import tempfile
import traceback
from pathlib import Path

from client import configuration
from fleet import STORE, Fleet, Record, free_network
from store import Store

__all__ = ["TROUBLE", "CaseError", "run_case"]

# Code that run.sh turns into 1.
_BROKEN_EXIT = 11
# Breaks of the rule that the record shows.
_SHOWN = 8

# Whether the disruption takes place.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case couldn't run."""


class Deployment:
    """Store, replicas and nodes of one run."""

    def __init__(self, network, folder, record):
        self.network = network
        self.record = record
        self.store = Store((f"{network}.2", STORE))
        self.store.put("config", "main", configuration())
        self.replicas = []
        self.fleet = Fleet(network, folder, record)
        self._hosts = 50

    @property
    def nodes(self):
        """Nodes of the system."""
        return self.fleet.nodes

    def add(self, kind, target_id, service, zone, **options):
        """Start a replica and return it."""
        address = (f"{self.network}.{self._hosts}", 8080)
        self._hosts += 1
        replica = kind(
            self.store, self.record, target_id, service, zone, address, **options
        )
        self.replicas.append(replica)
        return replica

    def start_nodes(self):
        """Start the nodes and wait until all are ready."""
        if not self.fleet.start():
            raise CaseError("the nodes aren't ready")
        self.record("all nodes are ready")


def _stop(number, frame):
    """End the case and its nodes, as the limit of run.sh asks; once."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit(2)


def run_case(folder, run):
    """Run a case and exit: 1 if its rule was broken, 0 if not, 2 without a result.

    Parameters
    ----------
    folder : str or Path
        Folder of the case, for ``record.txt``.
    run : callable
        Called with a ``Deployment``; returns lines about how the rule was broken.
    """
    signal.signal(signal.SIGTERM, _stop)
    record = Record(Path(folder) / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    deployment, code = None, 2
    with tempfile.TemporaryDirectory() as temporary:
        logs = Path(os.environ.get("CASE_LOGS") or temporary)
        try:
            deployment = Deployment(free_network(), logs, record)
            breaks = run(deployment)
            for line in breaks[:_SHOWN]:
                record(f"BROKEN: {line}")
            record(f"{len(breaks)} times broken")
            code = 1 if breaks else 0
        except Exception:  # noqa: BLE001
            record(traceback.format_exc())
        finally:
            if deployment is not None:
                deployment.fleet.stop()
    record({0: "the rule held", 1: "the rule was broken", 2: "no result"}[code])
    record.flush()
    sys.stdout.write((Path(folder) / "record.txt").read_text(encoding="utf-8")[-1500:])
    sys.stdout.flush()
    # Python exits with 1 after an error, so a broken rule has a code of its own.
    os._exit(_BROKEN_EXIT if code == 1 else code)
