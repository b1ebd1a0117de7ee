"""OpenAI-style HTTP interface of the engine stand-in, with fault injection."""

import json

from hibiscusspar_standins.engine import Run, chunk_text, expected_text, prompt_tokens
from hibiscusspar_standins.platform import RefusedError
from hibiscusspar_standins.server import Answer, ConnectionGoneError

__all__ = ["EngineService"]

COMPLETIONS = "/v1/completions"
CHAT = "/v1/chat/completions"
DEFAULT_MAX_TOKENS = 16


class EngineService:
    """HTTP interface of an :class:`~hibiscusspar_standins.engine.Engine`."""

    def __init__(self, engine):
        self.engine = engine
        self.faults = engine.faults
        self.ledger = engine.ledger
        self.start = engine.start
        self.stop = engine.stop
        self.restart = engine.restart

    def handle(self, exchange):
        """Answer one HTTP request."""
        if exchange.headers.get("Authorization"):
            detail = "credential reached the target"
            self.ledger.add("violation", detail=detail)
        try:
            return self._route(exchange)
        except RefusedError as refusal:
            return Answer(refusal.status, refusal.body)

    def _route(self, exchange):
        parts = exchange.path.strip("/").split("/")
        match exchange.method, parts:
            case "POST", ["v1", "completions"] | ["v1", "chat", "completions"]:
                return self._complete(exchange)
            case "GET", ["v1", "requests", request, "stream"]:
                return self._resume(exchange, request)
            case "DELETE", ["v1", "requests", request]:
                return Answer(200 if self.engine.cancel(request) else 404)
            case "POST", ["v1", "load_lora_adapter"]:
                return self._load(exchange)
            case "POST", ["v1", "unload_lora_adapter"]:
                order = json.loads(exchange.read())
                self.engine.unload(order["lora_name"], order["fence"])
                return Answer(200)
            case "GET", ["v1", "state"]:
                return Answer(200, self.engine.state())
            case "GET", ["v1", "cache_events"]:
                since = int(exchange.query.get("since", 0))
                return Answer(200, {"events": self.engine.cache_events(since)})
        return Answer(404, {"error": "no such path"})

    def _load(self, exchange):
        order = json.loads(exchange.read())
        if self.faults.take("load_fails", order["lora_name"]):
            raise RefusedError(502, error="the load failed")
        self.engine.load(order["lora_name"], order["fence"])
        return Answer(200, {"incarnation": self.engine.incarnation})

    def _complete(self, exchange):
        body = exchange.read()
        text = body.decode(errors="replace")
        refusal = self._refusal(exchange, text)
        if refusal is not None:
            return refusal
        run, stream = self._parse(exchange, body)
        if self.faults.take("crash_before_first", text):
            self.engine.restart()
            exchange.reset()
        try:
            self.engine.submit(run)
        except RefusedError as refusal:
            return Answer(refusal.status, refusal.body, _head(self, run, "not-run"))
        self._delay(exchange, text)
        shown = self._disguise(run, text)
        if stream:
            frames = self._frames(exchange, run, shown, 0, text)
            return Answer(200, frames, _stream_head(self, shown))
        return self._whole(exchange, run, shown, text)

    def _refusal(self, exchange, text):
        head = {"X-Request-Id": exchange.headers.get("X-Request-Id", "")}
        if self.faults.take("unavailable_not_run", text):
            return Answer(503, {"error": "busy"}, head | {"X-Run": "not-run"})
        if self.faults.take("unavailable_unknown", text):
            return Answer(503, {"error": "failed"}, head)
        return None

    def _parse(self, exchange, body):
        try:
            value = json.loads(body)
            label = value["model"]
        except (ValueError, KeyError):
            raise RefusedError(400, error="body is not a completion request") from None
        run = Run(
            exchange.headers.get("X-Request-Id", ""),
            label,
            _prompt(value),
            int(value.get("max_tokens") or DEFAULT_MAX_TOKENS),
            int(exchange.headers.get("X-Priority") or 0),
            exchange.headers.get("X-Client-Account", ""),
        )
        return run, bool(value.get("stream"))

    def _delay(self, exchange, text):
        late = self.faults.take("late", text)
        if late is not None:
            exchange.wait(late.seconds)

    def _disguise(self, run, text):
        """Return the run that the answer is labelled with; a fault alters it."""
        if self.faults.take("crossed", text):
            return _imitation(run, request=f"other-{run.request}", prompt="other")
        if self.faults.take("wrong_adapter", text):
            return _imitation(run, label=f"other-{run.label}")
        return run

    def _resume(self, exchange, request):
        run = self.engine.find(request)
        if run is None:
            return Answer(404, {"error": "request not known"})
        offset = int(exchange.query.get("offset", 0))
        frames = self._frames(exchange, run, run, offset, run.prompt)
        return Answer(200, frames, _stream_head(self, run))

    def _frames(self, exchange, run, shown, offset, text):
        chat = exchange.path == CHAT
        index = offset
        try:
            silence = self.faults.take("silent_after_head", text)
            if silence is not None:
                yield b"\n"  # the first byte makes the server send the headers
                exchange.fail(silence)
            while self._wait_for(run, index):
                while index < run.made:
                    yield _frame(shown, index, chat)
                    index += 1
                    self._break(exchange, "silent_mid", index, text)
                    self._break(exchange, "truncated", index, text)
                    self._crash_after_first(exchange, index, text)
            if run.state != "finished":
                exchange.reset()
            yield b"data: [DONE]\n\n"
        except ConnectionGoneError:
            return

    def _whole(self, exchange, run, shown, text):
        while self._wait_for(run, run.made):
            pass
        if run.state != "finished":
            exchange.reset()
        if self.faults.take("truncated", text):
            return Answer(200, _half(exchange, shown), _head(self, shown))
        content = expected_text(shown.label, shown.prompt, run.max_tokens)
        choice = {"index": 0, "finish_reason": "length"}
        if exchange.path == CHAT:
            choice["message"] = {"role": "assistant", "content": content}
        else:
            choice["text"] = content
        value = {"id": shown.request, "model": shown.label, "choices": [choice]}
        return Answer(200, value | {"usage": _usage(run)}, _head(self, shown))

    def _wait_for(self, run, index):
        """Wait for more than ``index`` tokens; return whether they were generated."""
        changed = self.engine.changed
        with changed:
            changed.wait_for(lambda: run.made > index or run.ended)
            return run.made > index

    def _break(self, exchange, kind, index, text):
        fault = self._due(kind, index, text)
        if fault is not None:
            exchange.fail(fault)

    def _crash_after_first(self, exchange, index, text):
        if self._due("crash_after_first", index, text):
            self.engine.restart()
            exchange.reset()

    def _due(self, kind, index, text):
        for row in self.faults.rows():
            if row["kind"] == kind and index >= row["after"]:
                return self.faults.take(kind, text)
        return None


def _prompt(value):
    if "messages" in value:
        return "\n".join(str(m.get("content", "")) for m in value["messages"])
    return str(value.get("prompt", ""))


def _imitation(run, request=None, label=None, prompt=None):
    return Run(
        request or run.request,
        label or run.label,
        prompt or run.prompt,
        run.max_tokens,
        run.priority,
        run.account,
    )


def _usage(run):
    return {
        "prompt_tokens": prompt_tokens(run.prompt),
        "completion_tokens": run.made,
    }


def _head(service, run, ran=""):
    head = {
        "X-Request-Id": run.request,
        "X-Adapter": run.label,
        "X-Incarnation": str(service.engine.incarnation),
    }
    return head | {"X-Run": ran} if ran else head


def _stream_head(service, run):
    return _head(service, run) | {"Content-Type": "text/event-stream"}


def _frame(run, index, chat):
    text = chunk_text(run.label, run.prompt, index)
    last = index + 1 >= run.max_tokens
    choice = {"index": 0, "finish_reason": "length" if last else None}
    choice |= {"delta": {"content": text}} if chat else {"text": text}
    value = {"id": run.request, "model": run.label, "index": index}
    value["choices"] = [choice]
    if last:
        made = index + 1
        tokens = prompt_tokens(run.prompt)
        value["usage"] = {"prompt_tokens": tokens, "completion_tokens": made}
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def _half(exchange, run):
    yield json.dumps({"id": run.request}).encode()[:-1]
    exchange.reset()
