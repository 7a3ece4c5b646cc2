"""Authentication of messages between our processes by a shared secret."""

import hashlib
import hmac

from aspengate.errors import AspengateError, ErrorKind

_TAG_BYTES = 16


class Sealer:
    """Adds and checks the tag that proves that a message comes from one of our processes.

    Messages are sealed with the first secret and accepted under any of them, so that a secret
    is rotated without a stop: first add the new one last everywhere, then move it to the front,
    then drop the old one.
    """

    def __init__(self, secrets: tuple[str, ...]) -> None:
        if not secrets:
            raise AspengateError(ErrorKind.BAD_REQUEST, "at least one secret is needed")
        self._keys = [hashlib.sha256(secret.encode()).digest() for secret in secrets]

    def seal(self, payload: bytes) -> bytes:
        """Return ``payload`` behind its tag."""
        return _tag(self._keys[0], payload) + payload

    def open(self, sealed: bytes) -> bytes:
        """Return the payload of a sealed message.

        Raises AspengateError of kind UNAUTHENTICATED where no secret matches the tag.
        """
        tag, payload = sealed[:_TAG_BYTES], sealed[_TAG_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(tag, _tag(key, payload)):
                return payload
        raise AspengateError(ErrorKind.UNAUTHENTICATED, "wrong secret", where="peer message")


def _tag(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=key, digest_size=_TAG_BYTES).digest()
