"""The gateway daemon, which relays caller requests to replicas as the configuration directs."""

from aspengate.gateway._daemon import Gateway
from aspengate.gateway._exchange import Exchange, Filter, Outcome
from aspengate.gateway._listener_log import ListenerLog
from aspengate.gateway._ports import HeaderCodec
from aspengate.gateway._request import CallerRequest, PromptSegment, TokenBounds
from aspengate.gateway._settings import GatewaySettings

__all__ = [
    "CallerRequest",
    "Exchange",
    "Filter",
    "Gateway",
    "GatewaySettings",
    "HeaderCodec",
    "ListenerLog",
    "Outcome",
    "PromptSegment",
    "TokenBounds",
]
