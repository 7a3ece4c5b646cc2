"""The command line: ``aspengate``."""

from aspengate.cli._main import main
from aspengate.cli._pages import documentation_pages

__all__ = ["documentation_pages", "main"]
