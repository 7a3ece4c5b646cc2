"""The whole fleet and its stand-ins as threads of one process."""

from aspengate.demo._fleet import LocalFleet, LocalService
from aspengate.demo._network import Network
from aspengate.demo._report import Report, Rule
from aspengate.demo._run import run_demonstration

__all__ = ["LocalFleet", "LocalService", "Network", "Report", "Rule", "run_demonstration"]
