"""Runs the command line as ``python -m aspengate``."""

from aspengate.cli import main

main()
