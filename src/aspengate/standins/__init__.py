"""Small stand-ins of the platform, for the demonstration, the tests and runs by hand."""

from aspengate.standins._engine import EngineApplication, expected_words
from aspengate.standins._faults import Faults
from aspengate.standins._instances import InstanceApplication, StandInInstanceList
from aspengate.standins._service import ServiceApplication, file_bytes
from aspengate.standins._settings import StandInSettings, make_stand_in
from aspengate.standins._store import MemoryStore, StoreApplication

__all__ = [
    "EngineApplication",
    "Faults",
    "InstanceApplication",
    "MemoryStore",
    "ServiceApplication",
    "StandInInstanceList",
    "StandInSettings",
    "StoreApplication",
    "expected_words",
    "file_bytes",
    "make_stand_in",
]
