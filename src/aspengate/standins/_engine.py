"""Stand-in of a model engine with the usual completions interface."""

import json
import threading
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any

import xxhash

from aspengate.serving import StartResponse, WsgiEnvironment

_DEFAULT_MAX_TOKENS = 16
_WORDS = ("font", "serif", "glyph", "kern", "score", "exam", "board", "mark", "rule", "page")


class EngineApplication:
    """Generates words that depend only on the prompt, ``token_ms`` milliseconds apart.

    ``runs`` counts the calls by request id, which reveals a request that ran twice.
    ``cancelled`` counts the streams that were closed before their end.
    """

    def __init__(self, token_ms: float = 5.0, prefill_ms: float = 10.0) -> None:
        self.token_ms = token_ms
        self.prefill_ms = prefill_ms
        self.runs: Counter[str] = Counter()
        self.cancelled = 0
        self._lock = threading.Lock()

    def __call__(self, environ: WsgiEnvironment, start_response: StartResponse) -> Iterable[bytes]:
        """Respond to one completion request."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        request = json.loads(environ["wsgi.input"].read(length) or b"{}")
        with self._lock:
            self.runs[environ.get("HTTP_X_REQUEST_ID", "")] += 1
        prompt = _prompt_of(request)
        count = int(request.get("max_tokens", _DEFAULT_MAX_TOKENS))
        words = expected_words(prompt, count)
        usage = {
            "prompt_tokens": max(1, len(prompt.split())),
            "completion_tokens": len(words),
        }
        time.sleep(self.prefill_ms / 1_000)
        if request.get("stream"):
            start_response("200 OK", [("Content-Type", "text/event-stream")])
            return self._stream(words, usage)
        time.sleep(self.token_ms * len(words) / 1_000)
        body = json.dumps({"choices": [{"text": " ".join(words)}], "usage": usage}).encode()
        start_response(
            "200 OK", [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        )
        return [body]

    def _stream(self, words: list[str], usage: dict[str, int]) -> Iterator[bytes]:
        finished = False
        try:
            for word in words:
                time.sleep(self.token_ms / 1_000)
                event = {"choices": [{"text": f"{word} "}]}
                yield b"data: " + json.dumps(event).encode() + b"\n\n"
            yield b"data: " + json.dumps({"choices": [], "usage": usage}).encode() + b"\n\n"
            yield b"data: [DONE]\n\n"
            finished = True
        finally:
            if not finished:
                with self._lock:
                    self.cancelled += 1


def expected_words(prompt: str, count: int) -> list[str]:
    """Return the words that the engine generates for a prompt, to verify responses with."""
    seed = xxhash.xxh64_intdigest(prompt.encode())
    return [_WORDS[(seed >> (index % 48)) % len(_WORDS)] for index in range(count)]


def _prompt_of(request: dict[str, Any]) -> str:
    if "prompt" in request:
        return str(request["prompt"])
    return " ".join(str(message.get("content", "")) for message in request.get("messages", []))
