"""Callers of the demonstration: they know what each answer must be, and check it."""

import http.client
import json
import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import uuid6
from hdrh.histogram import HdrHistogram

from aspengate.demo._tables import BOARDS, FOUNDRIES
from aspengate.standins import expected_words, file_bytes

_TIMEOUT_S = 20.0
_MICROSECONDS = 1_000_000
_HIGHEST_US = 60 * _MICROSECONDS
_KEYED_ATTEMPTS = 4


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _HIGHEST_US, 3)


@dataclass
class Tally:
    """What the callers saw; guarded by its lock."""

    requests: int = 0
    whole: int = 0
    wrong: list[str] = field(default_factory=list)
    broken: int = 0
    refusals: Counter[str] = field(default_factory=Counter)
    not_run_ids: set[str] = field(default_factory=set)
    not_run_keys: set[str] = field(default_factory=set)
    certain_cost: Counter[str] = field(default_factory=Counter)
    uncertain_cost: Counter[str] = field(default_factory=Counter)
    first_token: HdrHistogram = field(default_factory=_histogram)
    between_tokens: HdrHistogram = field(default_factory=_histogram)
    lock: threading.Lock = field(default_factory=threading.Lock)


@dataclass(frozen=True)
class Call:
    """One request of a workload, with the answer that it must get and what it may cost."""

    account: str
    budget: str
    method: str
    path: str
    body: bytes
    key: str
    expected: bytes
    streamed: bool
    cost: int


class Caller:
    """Sends one user's requests in turn to the addresses that ``routers`` returns."""

    def __init__(self, tally: Tally, routers: Callable[[], list[str]], seed: int) -> None:
        self.tally = tally
        self._routers = routers
        self._random = random.Random(seed)

    def run(self, stopped: threading.Event, pause_ms: float) -> None:
        """Send requests until ``stopped``."""
        while not stopped.is_set():
            call = self._next_call()
            with self.tally.lock:
                self.tally.requests += 1
            self._send(call)
            stopped.wait(self._random.expovariate(1 / pause_ms) / 1_000)

    def _next_call(self) -> Call:
        if self._random.random() < 0.5:
            account = self._random.choice(BOARDS)
            kind = self._random.choice(("essay-scoring", "candidate-answers", "receipts"))
            budget = account
        else:
            account = self._random.choice(FOUNDRIES)
            kind = self._random.choice(("type-advice", "font-files", "licence-reviews"))
            budget = "shared-ledger"
        if kind in {"receipts", "licence-reviews"}:
            return _keyed_call(account, budget, kind, 5 if kind == "receipts" else 50)
        if kind == "font-files":
            path = f"/fonts/{self._random.randrange(100)}.woff2"
            return Call(
                account,
                budget,
                "GET",
                f"/services/font-files{path}",
                b"",
                "",
                file_bytes(path),
                False,
                1,
            )
        return self._completion(account, budget, kind)

    def _completion(self, account: str, budget: str, model: str) -> Call:
        prompt = f"question {self._random.randrange(10**9)} for {account}"
        tokens = self._random.randint(4, 32)
        streamed = self._random.random() < 0.7
        body = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": streamed}
        words = " ".join(expected_words(prompt, tokens))
        cost = len(prompt.split()) + 2 * tokens
        return Call(
            account,
            budget,
            "POST",
            "/v1/completions",
            json.dumps(body).encode(),
            "",
            words.encode(),
            streamed,
            cost,
        )

    def _send(self, call: Call) -> None:
        attempts = _KEYED_ATTEMPTS if call.key else 1
        for attempt in range(attempts):
            routers = self._routers()
            address = routers[self._random.randrange(len(routers))]
            if self._attempt(call, address, last=attempt == attempts - 1):
                return
            time.sleep(0.1 * (attempt + 1))

    def _attempt(self, call: Call, address: str, *, last: bool) -> bool:
        """Send once; return whether no further attempt is wanted."""
        connection = http.client.HTTPConnection(address, timeout=_TIMEOUT_S)
        headers = {"Authorization": f"Bearer key-{call.account}"}
        if call.key:
            headers["Idempotency-Key"] = call.key
        try:
            sent = time.monotonic()
            connection.request(call.method, call.path, call.body or None, headers)
            response = connection.getresponse()
            if response.status == 200:
                text = self._read(response, call.streamed, sent)
                self._note_answer(call, text)
                return True
            return self._note_refusal(call, json.loads(response.read()), last=last)
        except (OSError, http.client.HTTPException, ValueError):
            with self.tally.lock:
                self.tally.broken += 1
                if not call.key or last:
                    self.tally.uncertain_cost[call.budget] += call.cost
            return not call.key
        finally:
            connection.close()

    def _read(self, response: http.client.HTTPResponse, streamed: bool, sent: float) -> bytes:
        if not streamed:
            return response.read()
        text = ""
        finished = False
        latest = 0.0
        while line := response.readline():
            if not line.startswith(b"data: "):
                continue
            now = time.monotonic()
            with self.tally.lock:
                if latest:
                    self.tally.between_tokens.record_value(int((now - latest) * _MICROSECONDS))
                else:
                    self.tally.first_token.record_value(int((now - sent) * _MICROSECONDS))
            latest = now
            data = line[len(b"data: ") :].strip()
            if data == b"[DONE]":
                finished = True
                break
            text += "".join(choice["text"] for choice in json.loads(data)["choices"])
        if not finished:
            raise http.client.IncompleteRead(text.encode())
        return text.strip().encode()

    def _note_answer(self, call: Call, text: bytes) -> None:
        if call.path == "/v1/completions" and not call.streamed:
            text = json.loads(text)["choices"][0]["text"].encode()
        with self.tally.lock:
            self.tally.certain_cost[call.budget] += call.cost
            if text == call.expected:
                self.tally.whole += 1
            else:
                self.tally.wrong.append(f"{call.path}: {text[:60]!r} for {call.expected[:60]!r}")

    def _note_refusal(self, call: Call, answer: dict[str, Any], *, last: bool) -> bool:
        error = answer["error"]
        with self.tally.lock:
            self.tally.refusals[error["code"]] += 1
            if error["run_state"] == "not_run":
                self.tally.not_run_ids.add(error["request_id"])
                if call.key:
                    self.tally.not_run_keys.add(call.key)
                return True
            if not call.key or last:
                self.tally.uncertain_cost[call.budget] += call.cost
        return not call.key


def _keyed_call(account: str, budget: str, service: str, cost: int) -> Call:
    key = str(uuid6.uuid7())
    body = f"{service} of {account}".encode()
    expected = b"receipt %s run 1 of %d bytes" % (key.encode(), len(body))
    path = f"/services/{service}/new"
    return Call(account, budget, "POST", path, body, key, expected, False, cost)
