"""The tables of the two users in the demonstration."""

from aspengate.demo._fleet import LocalService
from aspengate.table import AnyRow, BudgetRow, ClientAccountRow, ServiceRow, hash_key

SERVICES = (
    LocalService("essay-scoring", "completion", 3, token_ms=4.0),
    LocalService("candidate-answers", "completion", 2, token_ms=4.0),
    LocalService("receipts", "plain", 2),
    LocalService("type-advice", "completion", 2, token_ms=4.0),
    LocalService("font-files", "plain", 2),
    LocalService("licence-reviews", "plain", 2),
)
FOUNDRIES = ("foundry-a", "foundry-b", "foundry-c")
BOARDS = ("board-north", "board-south")
SMALL_LIMIT = 3_000
SHARED_LIMIT = 12_000
BOARD_LIMIT = 10_000_000


def demonstration_rows() -> tuple[AnyRow, ...]:
    """Return the table that the demonstration starts with.

    The three foundries share one budget that runs out while the demonstration goes on.
    """
    accounts = [
        ClientAccountRow(name=name, budget="shared-ledger", key_hashes=hash_key(f"key-{name}"))
        for name in FOUNDRIES
    ]
    accounts += [
        ClientAccountRow(name=name, budget=name, key_hashes=hash_key(f"key-{name}"), priority=1)
        for name in BOARDS
    ]
    return (
        *accounts,
        BudgetRow(name="shared-ledger", limit=SHARED_LIMIT),
        BudgetRow(name="board-north", limit=BOARD_LIMIT),
        BudgetRow(name="board-south", limit=SMALL_LIMIT),
        ServiceRow(name="essay-scoring", price_input=1, price_output=2, max_output_tokens=64),
        ServiceRow(name="candidate-answers", price_input=1, price_output=2, max_output_tokens=64),
        ServiceRow(name="receipts", protocol="plain", price_call=5, repeatable=False),
        ServiceRow(name="type-advice", price_input=1, price_output=2, max_output_tokens=64),
        ServiceRow(name="font-files", protocol="plain", price_call=1),
        ServiceRow(
            name="licence-reviews",
            protocol="plain",
            price_call=50,
            repeatable=False,
            itemised=True,
        ),
    )
