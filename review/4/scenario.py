"""All processes are killed while a release replaces the software of the replicas."""

import signal
import threading
from pathlib import Path
from time import monotonic, sleep

from client import DRAFT, Answer, call, stream_headers
from fleet import RESTART_S
from frame import TROUBLE, CaseError, run_case
from replica import Engine

SERVICE = "huvo11a"
STREAMS = 12
EVENTS = 240
DEADLINE_S = 15.0
DRAIN_S = 2.0
# The replicas run a little longer than they must.
EXTRA_S = 0.1
# Time for which killed processes are down.
DOWN_S = 1.0
# Pauses of a client before it takes its stream up again.
PAUSES_S = (0.4, 0.8, 1.2, 1.6, 2.0)
MAX_JOINED = 2


class Client(threading.Thread):
    """Client of one stream, which takes it up again after a broken connection."""

    def __init__(self, deployment, number):
        super().__init__(daemon=True)
        self._deployment = deployment
        self._number = number
        self.tries = []

    @property
    def software(self):
        """Software versions of the events of all tries, in order."""
        found = []
        for answer in self.tries:
            for event in answer.body.split(b"\n\n")[:-1]:
                software = event.partition(b"data: ")[2].partition(b" ")[0].decode()
                if not found or found[-1] != software:
                    found.append(software)
        return found

    def run(self):
        """Send the request, and the rest of it again a few times."""
        ends_at = monotonic() + DEADLINE_S
        last, first_id = 0, ""
        for number, pause_s in enumerate((0.0, *PAUSES_S)):
            sleep(pause_s)
            left_s = ends_at - monotonic()
            if left_s <= 0.5:
                return
            nodes = self._deployment.nodes
            node = nodes[(self._number + number) % len(nodes)]
            request_id = f"s{self._number}t{number}"
            headers = stream_headers(tokens=f"60,{2 * EVENTS}")
            if last:
                headers |= {"Last-Event-Id": str(last), "Resumes": first_id}
            answer = Answer(request_id)
            self.tries.append(answer)
            self._deployment.record(f"client sends {request_id} after event {last}")
            call(node.front, "POST", DRAFT, request_id, left_s, headers, to=answer)
            self._deployment.record(f"client gets {answer}, whole events counted")
            if answer.last_event and not last:
                first_id = request_id
            last += answer.last_event
            if answer.status == 200:
                return


def release(deployment, old, drained):
    """Replace the replicas one after the other; the new one starts first."""
    for number, replica in enumerate(old):
        zone = replica.zone
        deployment.add(
            Engine, f"i-new{number}", SERVICE, zone, software="v2"
        ).gap_s = replica.gap_s
        deployment.record(f"{replica.target_id} drains")
        replica.drain()
        timer = threading.Timer(DRAIN_S + EXTRA_S, replica.leave)
        timer.daemon = True
        timer.start()
        sleep(1.0)
    drained.set()


def run(deployment):
    """Run the case and return how the rule was broken."""
    record = deployment.record
    old = [
        deployment.add(Engine, f"i-old{i}", SERVICE, zone)
        for i, zone in enumerate(("caerdydd", "abertawe"))
    ]
    for replica in old:
        replica.gap_s = 0.05
    deployment.start_nodes()
    sleep(3.0)
    clients = [Client(deployment, number) for number in range(STREAMS)]
    for client in clients:
        client.start()
    sleep(0.5)
    begun = threading.Event()
    threading.Thread(target=release, args=(deployment, old, begun), daemon=True).start()
    sleep(1.0)
    # The last replica of the old software has just reported that it drains.
    sleep(1.2)
    if TROUBLE:
        if len(old[1].runs) < MAX_JOINED:
            raise CaseError("too few streams")
        fleet = deployment.fleet
        fleet.held_down.update(node.name for node in deployment.nodes)
        for node in deployment.nodes:
            node.signal(signal.SIGKILL)
        record("all processes are killed")
        sleep(max(0.0, DOWN_S - RESTART_S))
        fleet.held_down.clear()
    for client in clients:
        client.join(DEADLINE_S + 2.0)
    joined = [c for c in clients if len(set(c.software)) > 1]
    record(f"{len(joined)} of {len(clients)} streams hold events of two versions")
    if len(joined) <= MAX_JOINED:
        return []
    return [f"{c.tries[0].request_id}: {' then '.join(c.software)}" for c in joined]


run_case(Path(__file__).parent, run)
