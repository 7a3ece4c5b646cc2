"""Fingerprints that identify repeated copies of one request."""

import hashlib

_DIGEST_BYTES = 16


def request_fingerprint(account: str, target: str, body: bytes) -> str:
    """Return the hex fingerprint of all requests of an account with the same path, query and body.

    ``target`` is the path with the query. The hash is cryptographic: an account that could forge
    a collision with another account's request could have that request refused. The body can't be
    recovered from it.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (account.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
