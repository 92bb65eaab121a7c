"""Mapping of bearer tokens to customers."""

import hashlib
import hmac
import typing as t

from sesamefold import configuration
from sesamefold import exceptions

_SCHEME = "bearer "
# Longer headers are refused before hashing.
_MAX_TOKEN_LENGTH = 4096


class Authenticator:
    """Customers of one configuration, indexed by the digest of their token.

    The index is keyed by a digest that callers cannot choose freely; the
    stored digest is still compared in constant time.
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
        missing, malformed and unknown token.
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
    if len(header) > _MAX_TOKEN_LENGTH:
        return ""
    if header[: len(_SCHEME)].lower() != _SCHEME:
        return ""
    token = header[len(_SCHEME) :].strip()
    data = token.encode("utf-8", "surrogateescape")
    return hashlib.sha256(data).hexdigest() if token else ""
