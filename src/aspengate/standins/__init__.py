"""Stand-ins of the platform's services, for the demonstration, tests and manual runs."""

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
