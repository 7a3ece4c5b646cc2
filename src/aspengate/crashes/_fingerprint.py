"""What makes two requests the same one, come again."""

import hashlib

_DIGEST_BYTES = 16


def request_fingerprint(account: str, target: str, body: bytes) -> str:
    """Return the id of all requests of one account with the same path, query and body.

    A strong hash, so that no account can make a request that is taken for another's: whoever
    could would have another's requests refused. It holds nothing of the body that can be read.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (account.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
