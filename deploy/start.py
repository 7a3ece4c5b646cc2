"""Starts a gateway from a checkout, whose libraries are in ``target/deps``."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from aspengate.deployed import SETTINGS_VARIABLE, run_gateway
from aspengate.errors import AspengateError

if __name__ == "__main__":
    try:
        run_gateway(Path(os.environ[SETTINGS_VARIABLE]))
    except AspengateError as error:
        sys.exit(f"aspengate: {error.kind.value}: {error}")
