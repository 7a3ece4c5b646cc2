"""The agent: runs beside one upstream, which receives all of its requests through the agent."""

from aspengate.agent._answers import AnswerStore, KeptAnswer, Subscriber
from aspengate.agent._daemon import Agent
from aspengate.agent._gate import DispatchGate
from aspengate.agent._outbox import Outbox
from aspengate.agent._records import RecordStore
from aspengate.agent._settings import AgentSettings

__all__ = [
    "Agent",
    "AgentSettings",
    "AnswerStore",
    "DispatchGate",
    "KeptAnswer",
    "Outbox",
    "RecordStore",
    "Subscriber",
]
