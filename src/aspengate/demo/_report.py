"""What the demonstration found, as text or JSON."""

from dataclasses import asdict, dataclass

import msgspec


@dataclass(frozen=True)
class Rule:
    """One rule that must always hold, and what was seen of it."""

    name: str
    held: bool
    seen: str


@dataclass(frozen=True)
class BudgetReport:
    """One budget at the end, in credits.

    ``delivered`` is the cost of all whole answers, ``uncertain`` that of calls whose caller did
    not learn the outcome; a right bill lies between ``delivered`` and their sum.
    """

    name: str
    limit: int
    billed: int
    delivered: int
    uncertain: int


@dataclass(frozen=True)
class Report:
    """The whole outcome."""

    seconds: float
    seed: int
    requests: int
    whole_answers: int
    broken_connections: int
    refusals: dict[str, int]
    first_token_ms: dict[str, float]
    between_tokens_ms: dict[str, float]
    edits_in_force_ms: list[float]
    budgets: list[BudgetReport]
    store_calls: dict[str, int]
    rules: list[Rule]

    @property
    def all_held(self) -> bool:
        """Whether every rule held."""
        return all(rule.held for rule in self.rules)

    def to_json(self) -> str:
        """Return the report as one JSON object."""
        return msgspec.json.encode(asdict(self)).decode() + "\n"

    def to_text(self) -> str:
        """Return the report for people."""
        lines = [
            f"{self.requests} requests in {self.seconds:.0f} s (seed {self.seed}): "
            f"{self.whole_answers} whole answers, {self.broken_connections} broken connections",
            f"first token      p50 {self.first_token_ms['p50']:.1f} ms, "
            f"p95 {self.first_token_ms['p95']:.1f} ms",
            f"between tokens   p50 {self.between_tokens_ms['p50']:.1f} ms, "
            f"p95 {self.between_tokens_ms['p95']:.1f} ms",
            "refusals         "
            + (
                ", ".join(f"{kind} {count}" for kind, count in sorted(self.refusals.items())) or "-"
            ),
            "edits in force   "
            + ", ".join(f"{duration:.0f} ms" for duration in self.edits_in_force_ms),
            "store calls      "
            + ", ".join(f"{name} {count}" for name, count in sorted(self.store_calls.items())),
            "",
            f"{'budget':20}{'limit':>12}{'billed':>12}{'delivered':>12}{'uncertain':>12}",
        ]
        lines += [
            f"{each.name:20}{each.limit:>12}{each.billed:>12}{each.delivered:>12}"
            f"{each.uncertain:>12}"
            for each in self.budgets
        ]
        lines.append("")
        lines += [
            f"[{'held' if rule.held else 'BROKEN'}] {rule.name}: {rule.seen}" for rule in self.rules
        ]
        return "\n".join(lines) + "\n"
