"""Invoices, computed from the settled charges in the store."""

from aspengate.billing._invoice import Invoice, InvoiceLine, invoice_of

__all__ = ["Invoice", "InvoiceLine", "invoice_of"]
