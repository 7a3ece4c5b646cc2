"""Bounds the length of identities that callers choose and that are kept beyond their request."""

import hashlib

MAX_IDENTITY_CHARS = 128
_DIGEST_BYTES = 16


def bounded_identity(identity: str) -> str:
    """Return an identity as it is kept: itself, or its hex digest if it is long."""
    if len(identity) <= MAX_IDENTITY_CHARS:
        return identity
    return hashlib.blake2b(identity.encode(), digest_size=_DIGEST_BYTES).hexdigest()
