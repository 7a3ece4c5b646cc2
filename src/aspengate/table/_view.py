"""Read-only view of the table for routers, with lookups by API key and by name."""

from dataclasses import dataclass, field

from aspengate.errors import AspengateError, ErrorKind
from aspengate.table._document import TableDocument
from aspengate.table._rows import (
    ClientAccountRow,
    OperatorRow,
    ServiceRow,
    UpstreamRow,
    hash_key,
)


@dataclass(frozen=True)
class TableView:
    """One version of the table, indexed for the request path."""

    version: int = 0
    accounts: dict[str, ClientAccountRow] = field(default_factory=dict)
    services: dict[str, ServiceRow] = field(default_factory=dict)
    upstreams: dict[str, UpstreamRow] = field(default_factory=dict)
    operators: dict[str, OperatorRow] = field(default_factory=dict)

    @classmethod
    def of(cls, document: TableDocument) -> "TableView":
        """Return the view of a document; accounts and operators are indexed by key hash."""
        accounts: dict[str, ClientAccountRow] = {}
        operators: dict[str, OperatorRow] = {}
        services: dict[str, ServiceRow] = {}
        upstreams: dict[str, UpstreamRow] = {}
        for row in document.rows:
            if isinstance(row, ClientAccountRow):
                accounts.update(dict.fromkeys(row.key_hashes.split(), row))
            elif isinstance(row, OperatorRow):
                operators.update(dict.fromkeys(row.key_hashes.split(), row))
            elif isinstance(row, ServiceRow):
                services[row.name] = row
            elif isinstance(row, UpstreamRow):
                upstreams[row.name] = row
        return cls(document.version, accounts, services, upstreams, operators)

    def account_of(self, api_key: str) -> ClientAccountRow:
        """Return the account that owns an API key; raises UNAUTHENTICATED if there is none."""
        account = self.accounts.get(hash_key(api_key))
        if account is None:
            raise AspengateError(ErrorKind.UNAUTHENTICATED, "unknown API key")
        return account

    def service(self, name: str) -> ServiceRow:
        """Return a service by name; raises NOT_FOUND if there is none."""
        service = self.services.get(name)
        if service is None:
            raise AspengateError(ErrorKind.NOT_FOUND, f"there is no service {name!r}")
        return service
