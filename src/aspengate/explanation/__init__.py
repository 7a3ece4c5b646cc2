"""Puts one request's story together from the logs of several routers."""

from aspengate.explanation._lines import LogLine, read_lines
from aspengate.explanation._story import RequestStory, tell_story

__all__ = ["LogLine", "RequestStory", "read_lines", "tell_story"]
