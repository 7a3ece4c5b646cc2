"""Starts a gateway from a checkout, whose libraries are in ``target/deps``."""

import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

from aspengate.errors import AspengateError
from aspengate.signals import SignalWaiter


def main() -> None:
    """Run the gateway; exits with a message if its settings are invalid."""
    signals = SignalWaiter(reloads=True)
    # This import takes a good part of a second, in which signals have to stay pending.
    from aspengate.deployed import SETTINGS_VARIABLE, read_build, run_gateway

    build = read_build(ROOT / "target" / "build")
    try:
        run_gateway(Path(os.environ[SETTINGS_VARIABLE]), signals, build)
    except AspengateError as error:
        sys.exit(f"aspengate: {error.kind.value}: {error}")


if __name__ == "__main__":
    main()
