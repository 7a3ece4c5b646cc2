"""Fake engines with continuous batching, a prefix cache, a queue, and late load reports."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from aspengate.transport import LoadReport

_STEP_BASE_MS = 20.0
_STEP_EACH_MS = 0.3
_PREFILL_BLOCK_MS = 4.0
_SLOTS = 32
_CACHE_BLOCKS = 400


@dataclass
class EngineRequest:
    """One request at an engine; ``blocks`` are the hashes of its prompt's blocks."""

    blocks: tuple[int, ...]
    output_tokens: int
    priority: int
    on_done: Callable[[float], None]
    produced: int = 0
    token_ms: list[float] = field(default_factory=list)


class FakeEngine:
    """Steps through its batch: each step is one token for each running request, or a prefill.

    Times are of no particular engine: a step takes 20 ms and 0.3 ms for each running request, a
    prompt block that is not cached 4 ms.
    """

    def __init__(self, name: str, slow: float = 1.0) -> None:
        self.name = name
        self.slow = slow
        self.dead = False
        self.waiting: list[EngineRequest] = []
        self.running: list[EngineRequest] = []
        self.hit_blocks = 0
        self.asked_blocks = 0
        self.served = 0
        self.stepping = False
        self._cache: OrderedDict[int, None] = OrderedDict()

    def report(self, now_ms: float) -> LoadReport:
        """Return the load as it is now."""
        return LoadReport(len(self.running), len(self.waiting), 0, int(now_ms))

    def step(self, now_ms: float) -> float:
        """Do one step; return when it ends, or 0 where there is nothing to do."""
        if self.dead or not (self.waiting or self.running):
            return 0.0
        if self.waiting and len(self.running) < _SLOTS:
            return now_ms + self._prefill(self._next_waiting(), now_ms)
        duration = (_STEP_BASE_MS + _STEP_EACH_MS * len(self.running)) * self.slow
        self._decode(now_ms + duration)
        return now_ms + duration

    def _next_waiting(self) -> EngineRequest:
        best = max(range(len(self.waiting)), key=lambda index: self.waiting[index].priority)
        return self.waiting.pop(best)

    def _prefill(self, request: EngineRequest, now_ms: float) -> float:
        cached = 0
        for block in request.blocks:
            if block not in self._cache:
                break
            cached += 1
        for block in request.blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > _CACHE_BLOCKS:
            self._cache.popitem(last=False)
        self.hit_blocks += cached
        self.asked_blocks += len(request.blocks)
        duration = (_STEP_BASE_MS + _PREFILL_BLOCK_MS * (len(request.blocks) - cached)) * self.slow
        self.running.append(request)
        self._produce(request, now_ms + duration)
        return duration

    def _decode(self, ends_ms: float) -> None:
        for request in list(self.running):
            self._produce(request, ends_ms)

    def _produce(self, request: EngineRequest, at_ms: float) -> None:
        request.produced += 1
        request.token_ms.append(at_ms)
        if request.produced >= request.output_tokens:
            self.running.remove(request)
            self.served += 1
            request.on_done(at_ms)
