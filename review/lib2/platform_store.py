"""Stand-in of the platform's store: objects, conditions, watches and eras."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

__all__ = ["Store"]

_PREFIX = "/v1/objects/"
_PAGE = 500


class Server(ThreadingHTTPServer):
    """HTTP server with a long queue of new connections."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore callers that leave."""


class Store:
    """Store of objects in memory.

    ``outage`` is None, ``"busy"`` (answers 503), ``"silent"`` or a function from the
    address of a caller to one of these. ``era`` is sent with each answer unless it is
    None.
    """

    def __init__(self, ip, port=0):
        self.outage = None
        self.era = None
        self.log = []
        self._objects = {}
        self._history = []
        self._oldest = 0
        self._revision = 1
        self._changed = threading.Condition()
        self._server = Server((ip, port), self._handler())
        self.address = "{}:{}".format(*self._server.server_address[:2])
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec):
        """Write an object without a condition; return its revision."""
        with self._changed:
            return self._store(kind, name, spec)["metadata"]["revision"]

    def remove(self, kind, name):
        """Remove an object."""
        with self._changed:
            found = self._objects.get(kind, {}).pop(name, None)
            if found is not None:
                self._record(kind, found, True)

    def read(self, kind, name):
        """Return the content of an object, None if there is none."""
        with self._changed:
            found = self._objects.get(kind, {}).get(name)
            return None if found is None else found["spec"]

    def save(self):
        """Return a copy of the content."""
        with self._changed:
            return json.dumps([self._objects, self._revision])

    def return_from(self, saved):
        """Replace the content by a copy and begin a new era."""
        with self._changed:
            self._objects, self._revision = json.loads(saved)
            self._history, self._oldest = [], self._revision
            self.era += 1
            self._changed.notify_all()

    def _store(self, kind, name, spec):
        found = self._objects.get(kind, {}).get(name)
        if found is not None and found["spec"] == spec:
            return found
        self._revision += 1
        metadata = {"name": name, "revision": self._revision, "finalizers": []}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = stored
        self._record(kind, stored, False)
        return stored

    def _record(self, kind, stored, deleted):
        if deleted:
            self._revision += 1
        self._history.append((self._revision, kind, stored, deleted))
        self._changed.notify_all()

    def _answer(self, method, url, body):
        parts = urlsplit(url)
        names = parts.path.removeprefix(_PREFIX).split("/")
        kind, name = unquote(names[0]), unquote(names[1]) if len(names) > 1 else ""
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        with self._changed:
            if method == "GET" and "watch" in query:
                return self._watch(kind, query)
            objects = self._objects.get(kind, {})
            if method == "GET" and name:
                return (200, objects[name]) if name in objects else (404, {})
            if method == "GET":
                found = sorted(n for n in objects if n > query.get("after", ""))
                return 200, {
                    "items": [objects[n] for n in found[:_PAGE]],
                    "morePages": len(found) > _PAGE,
                    "storeRevision": self._revision,
                }
            if method == "DELETE":
                found = objects.get(name)
                if found is None:
                    return 404, {}
                if int(query.get("revision", 0)) not in (
                    0,
                    found["metadata"]["revision"],
                ):
                    return 409, found
                del objects[name]
                self._record(kind, found, True)
                return 200, found
            body = json.loads(body)
            name = name or body["metadata"]["name"]
            found = objects.get(name)
            if method == "POST" and found is not None:
                return 409, found
            if method == "PUT" and found is None:
                return 404, {}
            expected = body["metadata"].get("revision")
            if expected and found and found["metadata"]["revision"] != expected:
                return 409, found
            return 200, self._store(kind, name, body.get("spec"))

    def _watch(self, kind, query):
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if since < self._oldest or since > self._revision:
                return 410, {}
            events = [
                {"object": stored, "deleted": deleted}
                for revision, changed, stored, deleted in self._history
                if changed == kind and revision > since
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "storeRevision": self._revision}
            self._changed.wait(left_s)

    def _handler(self):
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def _call(self):
                size = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(size)
                outage = self._outage()
                if outage is None:
                    status, content = store._answer(self.command, self.path, body)
                    # A watch that waits is cut off by an outage.
                    outage = self._outage()
                if outage == "silent":
                    while self._outage() is not None:
                        time.sleep(0.02)
                    self.close_connection = True
                    return
                if outage is not None:
                    status, content = 503, {}
                data = json.dumps(content).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                if store.era is not None:
                    self.send_header("Store-Era", str(store.era))
                self.end_headers()
                self.wfile.write(data)

            def _outage(self):
                if callable(store.outage):
                    return store.outage(self.client_address)
                return store.outage

            do_GET = do_POST = do_PUT = do_DELETE = _call  # noqa: N815

            def log_message(self, *arguments):
                return

        return Handler
