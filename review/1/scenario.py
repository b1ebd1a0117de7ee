"""The operator takes all keys of the clients away."""

from collections import Counter
from itertools import count
from pathlib import Path
from time import monotonic, sleep

from client import DRAFT, ISSUE, KEY, call, configuration, stream_headers
from frame import TROUBLE, CaseError, run_case
from replica import Engine, Plain

REVOKE_S = 5.0
# Keys of the two tenants, and one that no configuration ever held.
KEYS = {"hule930": [KEY, "n2ctnfzs989anu6wsjnb"], "sako221": ["p7r2kd84mzqa0tnw3c5x"]}
UNKNOWN_KEY = "zzzzzzzzzzzzzzzzzzzz"
REQUESTS_PER_KEY = 12


def with_keys(version, keys):
    """Return a configuration whose tenants have some keys."""
    found = configuration(version)
    first = found["tenants"][0]
    found["tenants"] = [
        {**first, "name": name, "apiKeys": row} for name, row in keys.items()
    ]
    return found


def run(deployment):
    """Run the case and return how the rule was broken."""
    record = deployment.record
    deployment.store.put("config", "main", with_keys(7, KEYS))
    replicas = [
        deployment.add(Plain, f"i-9e2c04d{i}", "wuno96b", zone)
        for i, zone in enumerate(("caerdydd", "abertawe", "wrecsam"))
    ]
    replicas.append(deployment.add(Engine, "i-7f3a91c2", "huvo11a", "caerdydd"))
    deployment.start_nodes()
    sleep(3.0)
    numbers = count(1)

    def send(name, keys):
        """Send requests with keys, to all nodes; return those of each key."""
        sent = {}
        for number in range(REQUESTS_PER_KEY):
            for key in keys:
                node = deployment.nodes[number % len(deployment.nodes)]
                request_id = f"{name}{next(numbers)}"
                headers = {"Authorization": f"Bearer {key}"}
                path = ISSUE
                if number % 2:
                    path, headers = DRAFT, {**headers, **stream_headers(tokens="60,8")}
                answer = call(node.front, "POST", path, request_id, 1.5, headers)
                record(f"client with {key} gets {answer}")
                sent.setdefault(key, []).append(request_id)
        return sent

    def count_runs(sent):
        runs = {row[1] for replica in replicas for row in replica.runs}
        return Counter({k: sum(i in runs for i in ids) for k, ids in sent.items()})

    keys = [key for row in KEYS.values() for key in row]
    before = count_runs(send("before", [*keys, UNKNOWN_KEY]))
    record(f"runs before: {dict(before)}")
    if min(before[key] for key in keys) < REQUESTS_PER_KEY / 2 or before[UNKNOWN_KEY]:
        raise CaseError("keys aren't checked as the configuration asks")
    if not TROUBLE:
        sleep(REVOKE_S + 2.0)
        after = count_runs(send("after", [*keys, UNKNOWN_KEY]))
        record(f"runs after: {dict(after)}")
        return [f"ROUTE: {after[UNKNOWN_KEY]} runs"] if after[UNKNOWN_KEY] else []
    deployment.store.put("config", "main", with_keys(12, {name: [] for name in KEYS}))
    acknowledged_at = monotonic()
    record("the store has acknowledged a configuration without any key")
    sleep(REVOKE_S + 2.0)
    record(f"{monotonic() - acknowledged_at:.1f} s have passed")
    after = count_runs(send("after", [*keys, UNKNOWN_KEY]))
    record(f"runs after: {dict(after)}")
    found = [f"CONFIG: {after[k]} runs with {k}" for k in keys if after[k]]
    if after[UNKNOWN_KEY]:
        found.append(f"ROUTE: {after[UNKNOWN_KEY]} runs with {UNKNOWN_KEY}")
    return found


run_case(Path(__file__).parent, run)
