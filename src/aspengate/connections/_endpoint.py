"""Checks addresses that other processes report."""

import re

_PATTERN = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})", re.ASCII)
_MAX_OCTET = 255
_MAX_PORT = 2**16 - 1


def is_ipv4_endpoint(text: str) -> bool:
    """Return whether a text is an IPv4 address with a port other than 0."""
    found = _PATTERN.fullmatch(text)
    if found is None:
        return False
    *octets, port = (int(group) for group in found.groups())
    return max(octets) <= _MAX_OCTET and 0 < port <= _MAX_PORT
