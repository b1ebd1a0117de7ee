"""A sound part of prompts that is refused beside a request and a part that crash."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from clients import Call, send
from deployment import TROUBLE, config, deployment, route
from replicas import Replica

KEY = "k-acme-1"
# Parts of prompts: the one that all requests of the caller share, one that crashes
# replicas, and sound ones.
COMMON, FATAL, SOUND = "a1a1", "dead", ("b1b1", "b2b2", "b3b3", "b4b4")
FATAL_BODY = b'{"draft": "fatal"}'
# Times in seconds: of sound requests before, without requests, and with fatal ones.
BEFORE_S, PAUSE_S, FATAL_S = 6.0, 12.0, 20.0
SOUND_PER_S, FATAL_GAP_S = 10, 2.0
# Time after the first fatal requests at which sound ones follow.
SOUND_AFTER_S = 3.0
REPLICAS = 6
DOWN_S, FIRST_EVENT_S = 2.0, 0.3
STABLE_WINDOW_S = 3.0


class FragileReplica(Replica):
    """Replica that crashes when it begins to answer a fatal request or part."""

    crashes = ()

    def run(self, sock, request_id, method, path, headers, body):
        """Run a request; return whether the connection is kept."""
        prefix = headers.get("x-hibiscusspar-prompt-prefix", "")
        parts = [part.partition(":")[0] for part in prefix.split(",")][:-1]
        if body != FATAL_BODY and FATAL not in parts:
            time.sleep(FIRST_EVENT_S)
            return super().run(sock, request_id, method, path, headers, body)
        with self._lock:
            is_first = self.is_up and not self.is_crashing
            self.is_crashing = True
        if is_first:
            self.crashes += (time.monotonic(),)
            self._record(f"{request_id} crashes replica {self.name}")
            self.crash()
            threading.Thread(target=self._restart, daemon=True).start()
        return False

    is_crashing = False

    def _restart(self):
        time.sleep(DOWN_S)
        self.is_crashing = False
        self.start()


class Traffic:
    """Sound and fatal requests of one caller to all nodes, and what became of them."""

    def __init__(self, parts):
        self._parts = parts
        # Times of the first attempts of sound requests, and whether they began.
        self.sound = []
        self.fatal_at = []

    def send_sound(self, number):
        """Send a sound request."""
        prefix = f"{COMMON}:210,{SOUND[number % len(SOUND)]}:140,{number:04x}:700"
        self._send(f"sound-{number}", number, prefix, b'{"draft": %d}' % number)

    def send_fatal_request(self, number):
        """Send the same fatal request again under another id."""
        prefix = f"{COMMON}:210,{SOUND[0]}:140,fa7a1:700"
        self._send(f"fatal-{number}", number, prefix, FATAL_BODY, "/drafts/stream/f")

    def send_fatal_part(self, number):
        """Send another request with the part that crashes replicas."""
        prefix = f"{COMMON}:210,{FATAL}:140,{number:04x}f:700"
        self._send(f"part-{number}", number, prefix, b'{"part": %d}' % number)

    def run(self, seconds, is_fatal):
        """Send sound requests, and fatal ones beside them."""
        began_at = time.monotonic()
        fatal_at = began_at if is_fatal else began_at + seconds + 1.0
        count = 0
        while time.monotonic() < began_at + seconds:
            if time.monotonic() >= fatal_at:
                self.fatal_at.append(time.monotonic())
                self._start(self.send_fatal_request, len(self.fatal_at))
                self._start(self.send_fatal_part, len(self.fatal_at) + 1)
                if len(self.fatal_at) == 1:
                    time.sleep(SOUND_AFTER_S)
                fatal_at = time.monotonic() + FATAL_GAP_S
            count += 1
            self._start(self.send_sound, count)
            time.sleep(1.0 / SOUND_PER_S)

    def _start(self, function, number):
        threading.Thread(target=function, args=(number,), daemon=True).start()

    def _send(self, request_id, number, prefix, body, path=None):
        fields = (
            ("X-Hibiscusspar-Token-Count", "1050,80"),
            ("X-Hibiscusspar-Prompt-Prefix", prefix),
        )
        path = path or f"/drafts/stream/{number}"
        call = Call(f"{request_id}-a", "POST", path, KEY, 10000, body, fields)
        node = self._parts.nodes[number % len(self._parts.nodes)]
        sent_at = time.monotonic()
        answer = send(node.front, call)
        self._parts.record(
            f"{call.request_id} at {node.name} answered {answer.status},"
            f" {answer.body.count(b'data:')} events {answer.body[:80]!r}"
        )
        if request_id.startswith("sound"):
            self.sound.append((sent_at, answer.status == 200))

    def share(self, begin, end):
        """Return the number of sound requests of a time and the share that began."""
        found = [is_begun for at, is_begun in self.sound if begin <= at < end]
        return len(found), sum(found) / max(1, len(found))


def main():
    """Run the case; return 1 if the rule was broken."""
    fields = {
        "timeoutMs": 10000,
        "targetLatencyMs": 1000,
        "maxAttempts": 2,
        "resumable": True,
        "gapTargetMs": 300,
    }
    routes = [route("r-drafts", "/drafts/", "streaming", "drafts", **fields)]
    content = config(routes, "drafts", {"acme": KEY})
    with deployment(__file__, content, FragileReplica, REPLICAS) as parts:
        for replica in parts.replicas:
            replica.events, replica.gap_s = 20, 0.05
        traffic = Traffic(parts)
        before_at = time.monotonic()
        traffic.run(BEFORE_S, is_fatal=False)
        time.sleep(PAUSE_S)
        fatal_at = time.monotonic()
        traffic.run(FATAL_S, is_fatal=TROUBLE)
        ended_at = time.monotonic()
        time.sleep(3.0)
    crashes = sorted(at for replica in parts.replicas for at in replica.crashes)
    last = crashes[:5][-1] if crashes else fatal_at
    judged_at = last + 2 * STABLE_WINDOW_S
    before, share_before = traffic.share(before_at, before_at + BEFORE_S)
    after, share_after = traffic.share(judged_at, ended_at)
    result = (
        f"crashes at {[round(at - fatal_at, 1) for at in crashes]} s; sound requests"
        f" begun: {share_before:.2f} of {before} before, {share_after:.2f} of {after}"
        f" from {judged_at - fatal_at:.1f} s to {ended_at - fatal_at:.1f} s"
    )
    parts.record(result)
    print(result)
    if before < 20 or after < 20:
        return 2
    return 1 if share_after < share_before / 2 else 0


sys.exit(main())
