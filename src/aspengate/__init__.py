"""A router fleet for many tiny services on shared model engines, paid from prepaid budgets."""

__all__ = ["__version__"]

__version__ = "0.1.0"
