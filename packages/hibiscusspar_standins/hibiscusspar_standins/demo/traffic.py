"""Load generator of the demo: threads that send requests and check every answer."""

import json
from collections import Counter
from random import Random
from threading import Event, Lock, Thread
from time import monotonic
from typing import NamedTuple

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from hibiscusspar_standins.engine import expected_text

__all__ = ["Call", "CallMaker", "Traffic", "check_answer", "send", "streamed_text"]

PAUSE_S = 0.05
READ_TIMEOUT_S = 40.0
POPULARITY_EXPONENT = 1.2  # exponent of the Pareto distribution of adapters
MIN_TOKENS = 8
MAX_TOKENS = 48
PLAIN_SHARE = 0.2
CHAT_SHARE = 0.2
PROBLEM_OUTCOMES = ("wrong", "broken")


class Call(NamedTuple):
    """Request of a caller; ``key`` is empty on routes that are open to all."""

    method: str
    path: str
    key: str
    body: dict


class Traffic:
    """Load generator that sends requests from several threads.

    Parameters
    ----------
    addresses : callable
        Returns the ``IP:port`` of the entry VMs that take requests now.
    make_call : callable
        Returns a :class:`Call`, given a random generator.
    threads : int
    seed : int
    """

    def __init__(self, addresses, make_call, threads, seed):
        self.outcomes = Counter()
        self.problems = []
        self.first_byte_s = []
        self.slowest_s = Counter()
        self._addresses = addresses
        self._make_call = make_call
        self._stop = Event()
        self._lock = Lock()
        self._pool = PoolManager(
            maxsize=threads,
            retries=False,
            timeout=Timeout(connect=5.0, read=READ_TIMEOUT_S),
        )
        self._threads = [
            Thread(target=self._run, args=(Random(seed + index),), daemon=True)
            for index in range(threads)
        ]

    def start(self):
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop the threads after their current requests."""
        self._stop.set()
        for thread in self._threads:
            thread.join(READ_TIMEOUT_S)

    def _run(self, rng):
        while not self._stop.wait(PAUSE_S):
            address = rng.choice(self._addresses())
            call = self._make_call(rng)
            started = monotonic()
            outcome, detail, first_s = send(self._pool, address, call)
            with self._lock:
                self._count(outcome, monotonic() - started, first_s)
                if outcome in PROBLEM_OUTCOMES or outcome.endswith("unsaid"):
                    self.problems.append(f"{outcome} at {address}: {detail}")

    def _count(self, outcome, seconds, first_s):
        self.outcomes[outcome] += 1
        self.slowest_s[outcome] = max(seconds, self.slowest_s[outcome])
        if first_s is not None:
            self.first_byte_s.append(first_s)


def send(pool, address, call):
    """Send a call; return its outcome, a detail and the time to the first byte."""
    headers = {"Authorization": f"Bearer {call.key}"} if call.key else {}
    started = monotonic()
    first_s = None
    parts = []
    try:
        answer = pool.request(
            call.method,
            f"http://{address}{call.path}",
            json=call.body,
            headers=headers,
            preload_content=False,
        )
        for part in answer.stream():
            first_s = monotonic() - started if first_s is None else first_s
            parts.append(part)
        answer.release_conn()
    except HTTPError as error:
        return "broken", repr(error), None
    data = b"".join(parts)
    outcome, detail = check_answer(call, answer.status, answer.headers, data)
    return outcome, detail, first_s if outcome == "answered" else None


def check_answer(call, status, headers, data):
    """Return the outcome of a request and a detail for people.

    Returns
    -------
    (str, str)
        The outcome is ``"answered"``, ``"wrong"`` for an answer other than the
        complete one to this request, or ``"refused CODE, RUN"``; ``RUN`` is the
        header ``Hibiscusspar-Run``, or ``unsaid`` without it.
    """
    if status != 200:
        return _refusal(status, headers, data)
    if "prompt" not in call.body and "messages" not in call.body:
        return _check_plain_answer(call, data)
    prompt = call.body.get("prompt") or call.body["messages"][0]["content"]
    expected = expected_text(call.body["model"], prompt, call.body["max_tokens"])
    actual = streamed_text(data) if call.body.get("stream") else _answer_text(data)
    return ("answered", "") if actual == expected else ("wrong", f"{data[-200:]!r}")


def streamed_text(data):
    """Return the text of a complete stream, or None if it is incomplete."""
    rows = [row for row in data.decode().split("\n\n") if row]
    if not rows or rows[-1] != "data: [DONE]":
        return None
    values = [json.loads(row.removeprefix("data: ")) for row in rows[:-1]]
    return "".join(_choice_text(value["choices"][0]) for value in values)


def _refusal(status, headers, data):
    run_header = headers.get("Hibiscusspar-Run", "unsaid")
    try:
        code = json.loads(data)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        code = str(status)
    return f"refused {code}, {run_header}", f"{data[:200]!r}"


def _check_plain_answer(call, data):
    value = json.loads(data)
    matches = value["path"] == call.path and json.loads(value["body"]) == call.body
    return ("answered", "") if matches else ("wrong", f"{data[:200]!r}")


def _answer_text(data):
    try:
        return _choice_text(json.loads(data)["choices"][0])
    except (ValueError, KeyError):
        return None


def _choice_text(choice):
    if "text" in choice:
        return choice["text"]
    return (choice.get("delta") or choice["message"])["content"]


class CallMaker:
    """Source of random requests to the adapters and routes of a configuration.

    Parameters
    ----------
    configuration : Configuration
    keys : dict of str to str
        A key for each client account.
    """

    def __init__(self, configuration, keys):
        self._keys = keys
        self._accounts = sorted(keys)
        self._rates = [configuration.accounts[name].rate for name in self._accounts]
        self._plain = [
            route
            for route in configuration.routes.values()
            if configuration.services[route.service].kind == "plain"
        ]
        self._labels = {
            account: sorted(
                f"{row.name}@{row.current}"
                for row in configuration.adapters.values()
                if account in row.accounts
            )
            for account in keys
        }

    def __call__(self, rng):
        """Return a :class:`Call`, drawn with the random generator ``rng``."""
        (account,) = rng.choices(self._accounts, self._rates)
        kind = rng.random()
        if kind < PLAIN_SHARE:
            return self._plain_call(rng, self._keys[account])
        labels = self._labels[account]
        rank = min(int(rng.paretovariate(POPULARITY_EXPONENT)), len(labels)) - 1
        return self._engine_call(rng, account, labels[rank], kind)

    def _plain_call(self, rng, key):
        route = rng.choice(self._plain)
        body = {"number": rng.getrandbits(32)}
        key = "" if route.open_to_all else key
        return Call("POST", route.prefix, key, body)

    def _engine_call(self, rng, account, label, kind):
        prompt = f"charge log {rng.getrandbits(64):016x}"
        body = {"model": label, "max_tokens": rng.randint(MIN_TOKENS, MAX_TOKENS)}
        if kind < PLAIN_SHARE + CHAT_SHARE:
            body["messages"] = [{"role": "user", "content": prompt}]
            return Call("POST", "/v1/chat/completions", self._keys[account], body)
        body |= {"prompt": prompt, "stream": True}
        return Call("POST", "/v1/completions", self._keys[account], body)
