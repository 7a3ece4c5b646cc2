"""The command-line interface of ``aspengate``, and the pages generated from the code."""

from aspengate.cli._main import main
from aspengate.cli._pages import documentation_pages

__all__ = ["documentation_pages", "main"]
