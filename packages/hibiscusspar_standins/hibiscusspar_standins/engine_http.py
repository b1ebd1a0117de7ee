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
        refusal = self._injected_refusal(exchange, text)
        if refusal is not None:
            return refusal
        run, stream = self._parse(exchange, body)
        if self.faults.take("crash_before_first", text):
            self.engine.restart()
            exchange.reset()
        try:
            self.engine.submit(run)
        except RefusedError as refusal:
            return Answer(
                refusal.status, refusal.body, _answer_headers(self, run, "not-run")
            )
        self._delay(exchange, text)
        reported = self._choose_reported_run(run, text)
        if stream:
            frames = self._frames(exchange, run, reported, 0, text)
            return Answer(200, frames, _stream_headers(self, reported))
        return self._complete_answer(exchange, run, reported, text)

    def _injected_refusal(self, exchange, text):
        headers = {"X-Request-Id": exchange.headers.get("X-Request-Id", "")}
        if self.faults.take("unavailable_not_run", text):
            return Answer(503, {"error": "busy"}, headers | {"X-Run": "not-run"})
        if self.faults.take("unavailable_unknown", text):
            return Answer(503, {"error": "failed"}, headers)
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

    def _choose_reported_run(self, run, text):
        """Return the run that the answer is labelled with; a fault alters it."""
        if self.faults.take("crossed", text):
            return _altered_copy(run, request=f"other-{run.request}", prompt="other")
        if self.faults.take("wrong_adapter", text):
            return _altered_copy(run, label=f"other-{run.label}")
        return run

    def _resume(self, exchange, request):
        run = self.engine.find(request)
        if run is None:
            return Answer(404, {"error": "request not known"})
        offset = int(exchange.query.get("offset", 0))
        frames = self._frames(exchange, run, run, offset, run.prompt)
        return Answer(200, frames, _stream_headers(self, run))

    def _frames(self, exchange, run, reported, offset, text):
        chat = exchange.path == CHAT
        index = offset
        try:
            fault = self.faults.take("silent_after_head", text)
            if fault is not None:
                yield b"\n"  # the first byte makes the server send the headers
                exchange.apply_fault(fault)
            while self._wait_for_tokens(run, index):
                while index < run.generated_tokens:
                    yield _frame(reported, index, chat)
                    index += 1
                    self._apply_due_fault(exchange, "silent_mid", index, text)
                    self._apply_due_fault(exchange, "truncated", index, text)
                    self._crash_after_first(exchange, index, text)
            if run.state != "finished":
                exchange.reset()
            yield b"data: [DONE]\n\n"
        except ConnectionGoneError:
            return

    def _complete_answer(self, exchange, run, reported, text):
        while self._wait_for_tokens(run, run.generated_tokens):
            pass
        if run.state != "finished":
            exchange.reset()
        if self.faults.take("truncated", text):
            return Answer(
                200,
                _truncated_body(exchange, reported),
                _answer_headers(self, reported),
            )
        content = expected_text(reported.label, reported.prompt, run.max_tokens)
        choice = {"index": 0, "finish_reason": "length"}
        if exchange.path == CHAT:
            choice["message"] = {"role": "assistant", "content": content}
        else:
            choice["text"] = content
        value = {
            "id": reported.request,
            "model": reported.label,
            "choices": [choice],
        }
        return Answer(
            200, value | {"usage": _usage(run)}, _answer_headers(self, reported)
        )

    def _wait_for_tokens(self, run, index):
        """Wait for more than ``index`` tokens; return whether they were generated."""
        changed = self.engine.changed
        with changed:
            changed.wait_for(lambda: run.generated_tokens > index or run.ended)
            return run.generated_tokens > index

    def _apply_due_fault(self, exchange, kind, index, text):
        fault = self._take_due_fault(kind, index, text)
        if fault is not None:
            exchange.apply_fault(fault)

    def _crash_after_first(self, exchange, index, text):
        if self._take_due_fault("crash_after_first", index, text):
            self.engine.restart()
            exchange.reset()

    def _take_due_fault(self, kind, index, text):
        for row in self.faults.pending():
            if row["kind"] == kind and index >= row["after"]:
                return self.faults.take(kind, text)
        return None


def _prompt(value):
    if "messages" in value:
        return "\n".join(str(m.get("content", "")) for m in value["messages"])
    return str(value.get("prompt", ""))


def _altered_copy(run, request=None, label=None, prompt=None):
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
        "completion_tokens": run.generated_tokens,
    }


def _answer_headers(service, run, run_header=""):
    headers = {
        "X-Request-Id": run.request,
        "X-Adapter": run.label,
        "X-Incarnation": str(service.engine.incarnation),
    }
    return headers | {"X-Run": run_header} if run_header else headers


def _stream_headers(service, run):
    return _answer_headers(service, run) | {"Content-Type": "text/event-stream"}


def _frame(run, index, chat):
    text = chunk_text(run.label, run.prompt, index)
    last = index + 1 >= run.max_tokens
    choice = {"index": 0, "finish_reason": "length" if last else None}
    choice |= {"delta": {"content": text}} if chat else {"text": text}
    value = {"id": run.request, "model": run.label, "index": index}
    value["choices"] = [choice]
    if last:
        generated_tokens = index + 1
        tokens = prompt_tokens(run.prompt)
        value["usage"] = {
            "prompt_tokens": tokens,
            "completion_tokens": generated_tokens,
        }
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def _truncated_body(exchange, run):
    yield json.dumps({"id": run.request}).encode()[:-1]
    exchange.reset()
