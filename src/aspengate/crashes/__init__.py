"""Requests under which replicas end: which they are, and when one may be tried again."""

from aspengate.crashes._content import content_id

__all__ = ["content_id"]
