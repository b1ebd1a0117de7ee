"""Small deployment: a store, three replicas of one service and three nodes."""

import os
import signal
import sys
import tempfile
import threading
import time
from contextlib import contextmanager
from pathlib import Path
from traceback import print_exception
from typing import NamedTuple

from nodes import Node, Record, free_network, wait_ready
from platform_store import Store

__all__ = ["TROUBLE", "Deployment", "config", "deployment", "route"]

# Whether a script brings about its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
# Time in seconds in which the nodes find each other.
_SETTLE_S = 4.0
_NUMBERS = (1, 2, 3)


class Deployment(NamedTuple):
    """Running parts of a deployment, and the record of what they do."""

    record: Record
    store: Store
    replicas: list
    nodes: list


def route(name, prefix, kind, service, **fields):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "app.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        **fields,
    }


def config(routes, service, keys):
    """Return a configuration with one service and a tenant for each key.

    Parameters
    ----------
    routes : list of dict
    service : str
    keys : dict of str to str
        Key by tenant.
    """
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    tenants = [
        {
            "name": name,
            "apiKeys": [key],
            "priority": 1,
            "unit": "tokens",
            "plainTokens": 200,
            "ratePerS": 330000,
            "burst": 330000,
        }
        for name, key in keys.items()
    ]
    return {
        "version": 7,
        "routes": routes,
        "services": [
            {
                "name": service,
                "healthPath": "/health",
                "maxConns": 630,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": limits,
        "tenants": tenants,
    }


def _end_as_not_run(kind, error, traceback):
    """Exit with 2 after an error of a script, which says nothing about the rule."""
    print_exception(kind, error, traceback)
    os._exit(2)


@contextmanager
def deployment(case, content, replica_type, replica_count=3):
    """Start a deployment, and end its processes.

    Parameters
    ----------
    case : Path
        Script of the case; its record is written beside it.
    content : dict
        Configuration.
    replica_type : type
        Class of the replicas.
    replica_count : int, optional
    """
    # A script that runs out of time ends its processes as well.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    sys.excepthook = _end_as_not_run
    record = Record(Path(case).resolve().parent / "record.txt")
    prefix = free_network()
    store = Store(f"{prefix}.2")
    store.put("config", "main", content)
    service = content["services"][0]["name"]
    replicas = [
        replica_type(
            (f"{prefix}.{100 + n}", 8308),
            service,
            f"z{(n - 1) % 3 + 1}",
            f"i-{n}",
            "v1",
            record,
        )
        for n in range(1, replica_count + 1)
    ]
    for replica in replicas:
        replica.start()
    threading.Thread(target=_register, args=(store, replicas), daemon=True).start()
    with tempfile.TemporaryDirectory() as folder:
        nodes = [Node(Path(folder), prefix, n, store.address) for n in _NUMBERS]
        try:
            for node in nodes:
                node.start()
            wait_ready(nodes)
            time.sleep(_SETTLE_S)
            yield Deployment(record, store, replicas, nodes)
        finally:
            for node in nodes:
                node.stop()


def _register(store, replicas):
    """Write the entries of the replicas at their start, and renew them.

    A store that is down takes none, so they are written again until it does.
    """
    written = {}
    while True:
        for replica in replicas:
            at, born = written.get(replica.name, (0.0, 0))
            is_due = born != replica.born or time.monotonic() >= at + HEARTBEAT_S
            if is_due and store.outage is None and replica.is_up:
                written[replica.name] = (time.monotonic(), replica.born)
                store.put("servers", replica.name, replica.entry())
        time.sleep(0.02)
