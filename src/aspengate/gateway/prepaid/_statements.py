"""Log lines that state where an account's tokens are, as known to one router."""

from aspengate.allowances import AllowanceDocument, TokenBalance
from aspengate.gateway.prepaid._account import Account
from aspengate.store import number_of
from aspengate.telemetry import log_change


def log_granted(account: Account, document: AllowanceDocument, session: str) -> None:
    """Log an allowance that the store confirmed for a session."""
    log_change(
        "allowance.granted",
        account=account.name,
        granted=document.allowance(session),
        committed=account.balance.committed,
        limit=document.limit,
        unheld=document.limit - document.committed,
        witness=document.witness(session),
        revision=number_of(account.revision),
        **_statement(session, account.balance, document),
    )


def log_exhausted(account: Account, limit: int, session: str) -> None:
    """Log that none of the waiting requests fits into the account's limit."""
    document = account.document or AllowanceDocument()
    log_change(
        "allowance.exhausted",
        account=account.name,
        limit=limit,
        unheld=limit - document.committed,
        needed=min((ticket.amount for ticket in account.waiting), default=0),
        revision=number_of(account.revision),
        **_statement(session, account.balance, document),
    )


def log_undercounted(account: Account, document: AllowanceDocument) -> None:
    """Log a document that counts fewer tokens than were spent.

    More tokens may then be granted than were paid for.
    """
    log_change(
        "allowance.undercounted",
        account=account.name,
        limit=document.limit,
        committed=document.committed,
        spent=document.spent,
    )


def _statement(
    session: str, balance: TokenBalance, document: AllowanceDocument
) -> dict[str, object]:
    """Return the log fields that state where an account's tokens are."""
    return {
        "session": session,
        "spent": balance.spent,
        "reserved": balance.reserved,
        "idle": balance.held,
        "closed": document.closed,
        "sessions": document.sessions,
    }
