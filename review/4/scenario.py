"""The store comes back from a copy that is some seconds old, after a hand-over."""

import signal
import threading
from itertools import count
from pathlib import Path
from time import monotonic, sleep

from client import DRAFT, call, stream_headers
from frame import TROUBLE, CaseError, run_case
from replica import Engine

ZONE = "caerdydd"
LEASES = "hibiscusspar-leases"
DUTY = f"orders-{ZONE}"
# Kinds that the operator and the replicas write.
EXTERNAL_KINDS = ("config", "servers", "versions")
LEASE_S = 3.0


def ask_for_adapters(nodes, stopping):
    """Ask for one adapter after the other, so that loads are ordered."""
    numbers = count(1)

    def run(offset):
        while not stopping.is_set():
            number = next(numbers)
            node = nodes[(number + offset) % len(nodes)]
            headers = stream_headers(f"a{number % 2000 + 1}")
            if node.is_running:
                call(node.front, "POST", DRAFT, f"r{offset}x{number}", 4.0, headers)
            sleep(0.2)

    for offset in range(6):
        threading.Thread(target=run, args=(offset,), daemon=True).start()


def breaks_of(engine):
    """Return how the orders to a replica break the rule."""
    found = []
    highest, holder_of = 0, {}
    for at, holder, fence in engine.orders:
        first = holder_of.setdefault(fence, holder)
        if first != holder:
            found.append(f"{at:.3f}: fence {fence} of {holder}, before of {first}")
        if fence < highest:
            found.append(f"{at:.3f}: fence {fence} of {holder} after {highest}")
        highest = max(highest, fence)
    return found


def holder(deployment):
    """Return the node that holds the duty of the zone, or None."""
    lease = deployment.store.read(LEASES, DUTY)
    if lease is None or lease["released"]:
        return None
    return deployment.fleet.of_machine(lease["machine"])


def wait_for_orders(engine, machine, seconds):
    """Wait until a machine has given orders; return whether it has."""
    ends_at = monotonic() + seconds
    while monotonic() < ends_at:
        if engine.orders and engine.orders[-1][1] == machine:
            return True
        sleep(0.05)
    return False


def run(deployment):
    """Run the case and return how the rule was broken."""
    record, store = deployment.record, deployment.store
    engine = deployment.add(Engine, "i-7f3a91c2", "huvo11a", ZONE)
    deployment.start_nodes()
    stopping = threading.Event()
    ask_for_adapters(deployment.nodes, stopping)
    sleep(6.0)
    first = holder(deployment)
    if first is None or not wait_for_orders(engine, first.machine, 10.0):
        raise CaseError("no orders before the hand-over")
    saved, saved_at = store.copy(), monotonic()
    record(f"copy of the store is made; {DUTY} is held by {first.machine}")
    # A planned stop: SIGTERM, then the process starts again.
    first.signal(signal.SIGTERM)
    record(f"SIGTERM to {first.name}")
    while (second := holder(deployment)) in (None, first):
        if monotonic() > saved_at + 12.0:
            raise CaseError("no hand-over")
        sleep(0.05)
    if not wait_for_orders(engine, second.machine, 12.0):
        raise CaseError("no orders after the hand-over")
    record(f"{DUTY} is held by {second.machine}, which has given orders")
    if TROUBLE:
        store.go_away()
        record("the store is away")
        sleep(0.5)
        store.return_from(saved, EXTERNAL_KINDS)
        age_s = monotonic() - saved_at
        record(f"the store is back from a copy {age_s:.1f} s old, with era 2")
    sleep(15.0)
    stopping.set()
    return breaks_of(engine)


run_case(Path(__file__).parent, run)
