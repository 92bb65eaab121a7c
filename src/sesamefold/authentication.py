"""Authentication of customers by bearer token."""

import hashlib
import hmac
import typing as t

from sesamefold import configuration
from sesamefold import exceptions

_SCHEME = "bearer "
# Longer headers are rejected without hashing them.
_MAX_HEADER_LENGTH = 4096


class Authenticator:
    """Finds the customer of a configuration by the digest of its token.

    The time of a lookup may depend on the digest, but callers cannot choose
    a digest freely. The stored digest is still compared in constant time.
    """

    def __init__(
        self, customers: t.Iterable[configuration.Customer] = ()
    ) -> None:
        self._customers = {
            customer.token_sha256.lower(): customer for customer in customers
        }

    def authenticate(self, header: t.Optional[str]) -> configuration.Customer:
        """Return the customer of an `Authorization` header.

        Raises `exceptions.Unauthenticated`, with the same message for a
        missing, a malformed and an unknown token.
        """
        digest = _digest_token(header or "")
        customer = self._customers.get(digest)
        stored = customer.token_sha256.lower() if customer else "0" * 64
        if not hmac.compare_digest(digest, stored) or customer is None:
            raise exceptions.Unauthenticated(
                "the bearer token is missing or not known"
            )
        return customer


def _digest_token(header: str) -> str:
    """Return the SHA-256 digest of a bearer token in hexadecimal.

    It is empty if the header is malformed or too long.
    """
    if len(header) > _MAX_HEADER_LENGTH:
        return ""
    if header[: len(_SCHEME)].lower() != _SCHEME:
        return ""
    token = header[len(_SCHEME) :].strip()
    data = token.encode("utf-8", "surrogateescape")
    return hashlib.sha256(data).hexdigest() if token else ""
