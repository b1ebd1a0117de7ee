"""Streams can't be taken up again after a foreign entry has ended the views."""

import os
import signal
import threading
from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep

from engines import LOAD_S, MODEL, EngineReplica, Stream
from standins import Node, Platform, Record, free_network, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("piacenza", "parma", "lodi")
HOST, KEY, SERVICE = "ficu95.example", "i9n73hh2b9wu3fexd9dn", "redattore"
VERSIONS = ("1.4.0", "1.5.0")
# Bytes of the foreign entry, of the 1,048,576 that the store allows.
ENTRY_BYTES = 200_000
# Time from the foreign entry to the end of one node.
WAIT_S = 26.0
STREAMS_PER_S = 6.0
MIN_TAKEN_UP = 12


def config():
    """Return the operator's configuration."""
    route = {
        "name": "dichiarazione-completa",
        "host": HOST,
        "pathPrefix": "/lohu930/",
        "kind": "streaming",
        "service": SERVICE,
        "timeoutMs": 15000,
        "targetLatencyMs": 1000,
        "maxAttempts": 2,
        "priority": 1,
        "resumable": True,
        "gapTargetMs": 300,
        "sticky": True,
    }
    model = {"name": MODEL, "weightsMb": 16_100, "loadS": LOAD_S, "adapters": 3000}
    engine = {
        "slots": 128,
        "kvCapacityTokens": 138_486,
        "adapterSlots": 20,
        "weightsMb": 17_000,
        "loadsPerS": 2.9,
        "stride": 2,
        "models": [model],
    }
    tenant = {"name": "hule930", "apiKeys": [KEY], "ratePerS": 0, "burst": 0}
    return {
        "version": 3,
        "routes": [route],
        "services": [{"name": SERVICE, "maxConns": 630, "engine": engine}],
        "limits": {"idleTimeoutMs": 15000},
        "tenants": [tenant],
    }


def foreign_entry():
    """Return an entry of another writer, of a service that isn't configured."""
    return {
        "service": "archive",
        "address": "127.0.0.1:9",
        "zone": os.urandom(ENTRY_BYTES // 2).hex(),
        "version": "1",
        "slots": 6,
        "state": "ready",
        "sequence": 0,
        "born": 1,
    }


def main():
    """Run the case; return 1 if the rule was broken, 0 if it held, 2 if it can't."""
    folder = Path(__file__).parent
    with ExitStack() as stack:
        record = Record(folder / "record.txt")
        stack.callback(record.close)
        platform = Platform()
        platform.store.put("config", "main", config())
        for number in range(4):
            zone, version = ZONES[number % 3], VERSIONS[number % 2]
            EngineReplica(platform, SERVICE, zone, version)
        network, logs = free_network(3), stack.enter_context(TemporaryDirectory())
        nodes = []
        for number, zone in enumerate(ZONES, 1):
            ip = f"{network}.{number}"
            node = Node(number, zone, ZONES, ip, platform.store.address, logs)
            stack.callback(node.stop)
            nodes.append(node)
            node.start()
        if not all(node.wait_ready() for node in nodes):
            record.write("the nodes did not become ready")
            return 2
        sleep(8.0)
        if TROUBLE:
            platform.store.put("servers", "i-foreign", foreign_entry())
            record.write(f"another writer adds an entry of {ENTRY_BYTES} bytes")
        sleep(WAIT_S - 4.0)
        streams, stopping = [], threading.Event()
        threads = [
            threading.Thread(
                target=begin_streams, args=(nodes, number, streams, stopping)
            )
            for number in range(3)
        ]
        for thread in threads:
            thread.start()
        sleep(4.0)
        killed_at = monotonic()
        record.write(f"SIGKILL to {nodes[0].name}")
        nodes[0].signal(signal.SIGKILL)
        sleep(4.0)
        stopping.set()
        for thread in threads:
            thread.join()
        sleep(5.0)
        return judge(streams, nodes, killed_at, record)


def begin_streams(nodes, number, streams, stopping):
    """Begin streams at one node; those that break off go to one of the others."""
    count = 0
    while not stopping.is_set():
        count += 1
        other = nodes[(number + 1 + count % 2) % 3]
        stream = Stream(HOST, "/lohu930/2f", KEY)
        streams.append(stream)
        ips = [nodes[number].ip, other.ip]
        threading.Thread(target=stream.run, args=(ips,), daemon=True).start()
        sleep(1.0 / STREAMS_PER_S)


def judge(streams, nodes, killed_at, record):
    """Return 1 if too few streams go on that callers take up again, else 0."""
    ended = nodes[0].ip
    taken_up = [s for s in streams if s.taken_up_after and s.tries[0][0] == ended]
    going_on = [s for s in taken_up if s.events[-1][0] > s.taken_up_after]
    for stream in taken_up:
        text = f"taken up after event {stream.taken_up_after}: {stream.tries[1:]}"
        record.write(f"{text}, last event {stream.events[-1][0]}", stream.began_at)
    new = [
        s
        for s in streams
        if s.began_at > killed_at and s.tries and s.tries[0][0] != ended
    ]
    begun = [stream for stream in new if stream.tries[0][1] == 200]
    record.write(f"{len(begun)} of {len(new)} new streams begin at the other nodes")
    record.write(f"{len(going_on)} of {len(taken_up)} streams taken up again go on")
    if len(taken_up) < MIN_TAKEN_UP or not new:
        return 2
    return int(len(going_on) / len(taken_up) < 0.5 * len(begun) / len(new))


if __name__ == "__main__":
    run_case(main)
