"""The command line: ``aspengate``."""

from aspengate.cli._main import main

__all__ = ["main"]
