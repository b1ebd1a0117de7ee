"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import copy
import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from time import monotonic
from urllib.parse import parse_qs, unquote, urlsplit

__all__ = ["Store"]

_PREFIX = "/v1/objects/"
_PAGE_SIZE = 500


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256


class Store:
    """Objects with one revision counter, conditional writes, lists and watches.

    Parameters
    ----------
    address : tuple of (str, int)
    """

    def __init__(self, address):
        self._condition = threading.Condition()
        self._objects = {}
        self._history = []
        self._revision = 100
        self._oldest = 0
        self._era = 1
        self._is_away = False
        # Called with the kind, the name and the content of each write of the system.
        self.on_system_write = lambda kind, name, spec: None
        self._server = _Server(address, _handler(self))
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self):
        """Close the port."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, kind, name, spec):
        """Write an object as the operator or a replica does; return its revision."""
        with self._condition:
            return self._write(kind, name, spec)["metadata"]["revision"]

    def delete(self, kind, name):
        """Remove an object."""
        with self._condition:
            found = self._objects.get(kind, {}).pop(name, None)
            if found is not None:
                self._record(kind, found, True)

    def read(self, kind, name):
        """Return the content of an object, or None."""
        with self._condition:
            found = self._objects.get(kind, {}).get(name)
            return found and found["spec"]

    def copy(self):
        """Return a copy of all objects and of the revision counter."""
        with self._condition:
            return copy.deepcopy(self._objects), self._revision

    def go_away(self):
        """Reset all calls until the store returns."""
        with self._condition:
            self._is_away = True
            self._condition.notify_all()

    def return_from(self, saved, external_kinds):
        """Return from a copy; what the operator and the replicas wrote is kept.

        Parameters
        ----------
        saved : tuple
            What ``copy`` returned.
        external_kinds : sequence of str
            Kinds that the operator and the replicas write. Their newest content is
            written again.
        """
        with self._condition:
            newest = {kind: self._objects.get(kind, {}) for kind in external_kinds}
            objects, self._revision = saved
            self._objects = copy.deepcopy(objects)
            self._history, self._oldest = [], self._revision
            self._era += 1
            for kind, by_name in newest.items():
                for name in self._objects.get(kind, {}).keys() - by_name.keys():
                    self._record(kind, self._objects[kind].pop(name), True)
                for name, stored in by_name.items():
                    self._write(kind, name, stored["spec"])
            self._is_away = False
            self._condition.notify_all()

    def answer(self, method, url, body):
        """Return the status, the content and the era; None if there is no answer."""
        parts = urlsplit(url)
        if not parts.path.startswith(_PREFIX):
            return 404, {}, self._era
        kind, _, name = parts.path.removeprefix(_PREFIX).partition("/")
        kind, name = unquote(kind), unquote(name)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        with self._condition:
            if self._is_away:
                return None
            if method == "GET" and "watch" in query:
                found = self._watch(kind, query)
            elif method == "GET":
                found = self._get(kind, name, query)
            else:
                found = self._call(method, kind, name, query, body)
            return None if found is None else (*found, self._era)

    def _get(self, kind, name, query):
        objects = self._objects.get(kind, {})
        if name:
            found = objects.get(name)
            return (200, found) if found else (404, {})
        names = sorted(n for n in objects if n > query.get("after", ""))
        return 200, {
            "items": [objects[n] for n in names[:_PAGE_SIZE]],
            "morePages": len(names) > _PAGE_SIZE,
            "storeRevision": self._revision,
        }

    def _watch(self, kind, query):
        since, era = int(query["watch"]), self._era
        until = monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if self._is_away or era != self._era:
                return None
            if since < self._oldest or since > self._revision:
                return 410, {}
            events = [
                {"object": found, "deleted": deleted}
                for revision, changed, found, deleted in self._history
                if changed == kind and revision > since
            ]
            left_s = until - monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "storeRevision": self._revision}
            self._condition.wait(left_s)

    def _call(self, method, kind, name, query, body):
        if method == "DELETE":
            found = self._objects.get(kind, {}).get(name)
            expected = int(query.get("revision", 0))
            if found is None:
                return 404, {}
            if expected and found["metadata"]["revision"] != expected:
                return 409, found
            self._record(kind, self._objects[kind].pop(name), True)
            return 200, found
        content = json.loads(body)
        name = name or content["metadata"]["name"]
        found = self._objects.get(kind, {}).get(name)
        expected = content["metadata"].get("revision")
        if method == "POST" and found is not None:
            return 409, found
        if method == "PUT" and found is None:
            return 404, {}
        if method == "PUT" and expected and found["metadata"]["revision"] != expected:
            return 409, found
        self.on_system_write(kind, name, content["spec"])
        return 200, self._write(kind, name, content["spec"])

    def _write(self, kind, name, spec):
        found = self._objects.get(kind, {}).get(name)
        if found is not None and found["spec"] == spec:
            return found
        created = found["metadata"]["created"] if found else self._revision + 1
        self._revision += 1
        metadata = {
            "name": name,
            "revision": self._revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = stored
        self._record(kind, stored, False)
        return stored

    def _record(self, kind, stored, deleted):
        if deleted:
            self._revision += 1
            metadata = {**stored["metadata"], "revision": self._revision}
            stored = {**stored, "metadata": metadata}
        self._history.append((self._revision, kind, stored, deleted))
        self._condition.notify_all()


def _handler(store):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_call(self):
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            answer = store.answer(self.command, self.path, body)
            if answer is None:
                self.close_connection = True
                return
            status, content, era = answer
            # Characters that aren't ASCII are escaped.
            data = json.dumps(content).encode()
            try:
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.send_header("Store-Era", str(era))
                self.end_headers()
                self.wfile.write(data)
            except OSError:
                self.close_connection = True

        do_GET = do_POST = do_PUT = do_DELETE = do_call  # noqa: N815

        def handle(self):
            try:
                super().handle()
            except OSError:
                self.close_connection = True

        def log_message(self, *arguments):
            return

    return Handler
