"""Configuration of a small deployment, and clients that use it."""

import threading
from http.client import HTTPConnection, HTTPException
from time import monotonic

from replica import MODEL

__all__ = [
    "HOST",
    "KEY",
    "Answer",
    "call",
    "configuration",
    "request_headers",
    "stream_headers",
]

HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
DRAFT, ONCE, ISSUE, LOOKUP = "/lohu930/", "/pufi791/", "/puxa403/", "/cufi504/"


def configuration(version=7):
    """Return the operator's configuration: an engine and a plain service."""
    stream = {
        "host": HOST,
        "kind": "streaming",
        "targetLatencyMs": 1000,
        "service": "huvo11a",
        "public": False,
        "sticky": True,
        "gapTargetMs": 300,
    }
    plain = {
        "host": HOST,
        "timeoutMs": 800,
        "targetLatencyMs": 300,
        "priority": 2,
        "service": "wuno96b",
        "public": False,
    }
    engine = {
        "slots": 128,
        "kvCapacityTokens": 138486,
        "kvTokenBytes": 131072,
        "linkMbps": 550000.0,
        "stride": 2,
        "cap": 12,
        "models": [
            {
                "name": MODEL,
                "weightsMb": 16100.0,
                "loadS": 0.95,
                "adapters": 3000,
                "adapterMb": 14.0,
            }
        ],
        "weightsMb": 16700.0,
        "adapterSlots": 20,
        "loadsPerS": 2.9,
    }
    return {
        "version": version,
        "routes": [
            {
                **stream,
                "name": "r-draft",
                "pathPrefix": DRAFT,
                "timeoutMs": 15000,
                "priority": 1,
                "maxAttempts": 2,
                "resumable": True,
            },
            {
                **stream,
                "name": "r-once",
                "pathPrefix": ONCE,
                "timeoutMs": 20000,
                "priority": 2,
                "maxAttempts": 1,
                "resumable": False,
            },
            {
                **plain,
                "name": "r-issue",
                "pathPrefix": ISSUE,
                "kind": "unsafe",
                "maxAttempts": 1,
            },
            {
                **plain,
                "name": "r-lookup",
                "pathPrefix": LOOKUP,
                "kind": "safe",
                "maxAttempts": 2,
            },
        ],
        "services": [
            {
                "name": "huvo11a",
                "healthPath": "/health",
                "maxConns": 630,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            },
            {
                "name": "wuno96b",
                "healthPath": "/health",
                "maxConns": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "hule930",
                "apiKeys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 330170,
                "burst": 330170,
            }
        ],
    }


class Answer:
    """Answer to one client attempt; ``status`` is 0 without a whole answer."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = 0
        self.headers = {}
        self.body = b""
        self.fault = ""
        # Number of the last whole event of a stream.
        self.last_event = 0
        self.changed = threading.Event()

    def __str__(self):
        return f"{self.request_id}: {self.status} {self.fault}, {len(self.body)} bytes"

    @property
    def is_begun(self):
        """Whether the head has arrived."""
        return bool(self.headers) or bool(self.fault)


def request_headers(request_id, deadline_s):
    """Return the headers of any request."""
    return {
        "Host": HOST,
        "X-Hibiscusspar-Request-Id": request_id,
        "X-Hibiscusspar-Deadline-Ms": str(int(deadline_s * 1000)),
        "Authorization": f"Bearer {KEY}",
    }


def stream_headers(adapter="", tokens="60,40"):
    """Return the headers of a request to the engine service."""
    return {
        "X-Hibiscusspar-Model": f"{MODEL}/{adapter}" if adapter else MODEL,
        "X-Hibiscusspar-Token-Count": tokens,
        "X-Hibiscusspar-Prompt-Prefix": "5c1e07a2:40,91bd3f06:20",
    }


def call(address, method, path, request_id, deadline_s, headers=(), body=b"", to=None):
    """Send one request on a new connection and return its answer.

    Parameters
    ----------
    to : Answer, optional
        Gets the answer as it arrives.
    """
    answer = to or Answer(request_id)
    ends_at = monotonic() + deadline_s
    connection = HTTPConnection(*address, timeout=deadline_s)
    fields = {**request_headers(request_id, deadline_s), **dict(headers)}
    try:
        connection.request(method, path, body or None, fields)
        response = connection.getresponse()
        answer.headers = dict(response.getheaders())
        while data := response.read1(65536):
            answer.body += data
            answer.last_event = answer.body.count(b"\n\n")
            if monotonic() > ends_at:
                raise TimeoutError("deadline")
        length = response.headers.get("Content-Length")
        if length is not None and len(answer.body) < int(length):
            raise HTTPException("the body is too short")
        answer.status = response.status
    except (OSError, HTTPException) as error:
        answer.fault = repr(error)
    finally:
        connection.close()
        answer.changed.set()
    return answer
