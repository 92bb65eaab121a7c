"""Names of the blocks of cached context."""

import hashlib
import itertools
import typing as t

from sesamefold import defaults


def derive_salt(customer: str) -> str:
    """Return the cache salt of a customer, 32 hex digits.

    Each chain of block names starts with the salt, so equal prompts of two
    customers never share a block.
    """
    return hashlib.sha256(b"customer\0" + customer.encode()).hexdigest()[:32]


def split_tokens(prompt: str) -> t.List[str]:
    """Return the words of a prompt, which stand in for its tokens.

    They decide the boundaries of blocks and give an estimate of the length of
    a prompt. Engines with another tokenizer report their own counts.
    """
    return prompt.split()


def list_block_texts(
    tokens: t.Sequence[str], block_tokens: int
) -> t.List[str]:
    """Return the texts of the blocks of a prompt, without its last block."""
    return [
        " ".join(tokens[start : start + block_tokens])
        for start in range(0, len(tokens) - block_tokens, block_tokens)
    ]


def name_blocks(
    salt: str,
    model: str,
    version: str,
    tokens: t.Sequence[str],
    block_tokens: int = defaults.BLOCK_TOKENS,
) -> t.List[str]:
    """Return the names of the full blocks at the start of `tokens`.

    Each name is the SHA-256 in hex of the previous name and the block's
    tokens; the chain starts with salt, model and weight version. A name
    therefore identifies the whole context up to the end of its block.
    """
    full_blocks = len(tokens) // block_tokens
    initial_name = hashlib.sha256(
        "\0".join(("block", salt, model, version)).encode()
    ).hexdigest()

    def hash_block(previous_name: str, index: int) -> str:
        start = index * block_tokens
        text = " ".join(tokens[start : start + block_tokens])
        return hashlib.sha256(f"{previous_name}\0{text}".encode()).hexdigest()

    return list(
        itertools.accumulate(
            range(full_blocks), hash_block, initial=initial_name
        )
    )[1:]
