"""Invoices, made from what is settled in the store."""

from aspengate.billing._invoice import Invoice, InvoiceLine, invoice_of

__all__ = ["Invoice", "InvoiceLine", "invoice_of"]
