"""Authentication of messages between the processes of the fleet by a shared secret."""

import hashlib
import hmac

from aspengate.errors import AspengateError, ErrorKind

_TAG_BYTES = 16


class Sealer:
    """Adds and verifies the authentication tag of messages between processes of the fleet.

    Messages are sealed with the first secret and accepted with any of them, so a secret can be
    rotated without downtime: append the new secret on every process, then move it to the front
    on every process, then remove the old one.
    """

    def __init__(self, secrets: tuple[str, ...]) -> None:
        if not secrets:
            raise AspengateError(ErrorKind.BAD_REQUEST, "at least one secret is needed")
        self._keys = [hashlib.sha256(secret.encode()).digest() for secret in secrets]

    def seal(self, payload: bytes) -> bytes:
        """Return ``payload`` with its tag in front."""
        return _tag(self._keys[0], payload) + payload

    def open(self, sealed: bytes) -> bytes:
        """Return the payload of a sealed message.

        Raises AspengateError of kind UNAUTHENTICATED if the tag matches none of the secrets.
        """
        tag, payload = sealed[:_TAG_BYTES], sealed[_TAG_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(tag, _tag(key, payload)):
                return payload
        raise AspengateError(
            ErrorKind.UNAUTHENTICATED, "the tag matches none of the secrets", where="peer message"
        )


def _tag(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=key, digest_size=_TAG_BYTES).digest()
