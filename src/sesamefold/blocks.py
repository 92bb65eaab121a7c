"""Names of blocks of cached context."""

import hashlib
import itertools
import typing as t

from sesamefold import defaults


def derive_salt(customer: str) -> str:
    """Return the cache salt of a customer, 32 hex digits.

    The salt is the first link of each chain of block names, so equal prompts
    of two customers never share a block.
    """
    return hashlib.sha256(b"customer\0" + customer.encode()).hexdigest()[:32]


def split_tokens(prompt: str) -> t.List[str]:
    """Return the tokens of a prompt.

    Only the boundaries of blocks depend on it. Engines with another
    tokenizer report their own counts.
    """
    return prompt.split()


def name_blocks(
    salt: str,
    model: str,
    version: str,
    tokens: t.Sequence[str],
    block_tokens: int = defaults.BLOCK_TOKENS,
) -> t.List[str]:
    """Return the names of the full blocks at the start of `tokens`.

    Each name is a SHA-256 in hex over the name before it and the block's
    tokens; the chain starts with salt, model and weight version. A name
    therefore stands for the whole context up to the end of its block.
    """
    full = len(tokens) // block_tokens
    first = hashlib.sha256(
        "\0".join(("block", salt, model, version)).encode()
    ).hexdigest()

    def link(name: str, index: int) -> str:
        start = index * block_tokens
        text = " ".join(tokens[start : start + block_tokens])
        return hashlib.sha256(f"{name}\0{text}".encode()).hexdigest()

    return list(itertools.accumulate(range(full), link, initial=first))[1:]
