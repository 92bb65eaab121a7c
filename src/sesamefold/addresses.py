"""Addresses of hosts and servers as text."""

import ipaddress
import re

MAX_PORT = 65535


def is_port(text: str, lowest: int = 1) -> bool:
    """Return whether a text is the number of a port, of `lowest` or above."""
    return (
        re.fullmatch(r"0|[1-9][0-9]{0,4}", text) is not None
        and lowest <= int(text) <= MAX_PORT
    )


def is_address(text: str, lowest_port: int = 1) -> bool:
    """Return whether a text is ip:port, with brackets around IPv6."""
    host, _, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        version = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return False
    return is_port(port, lowest_port) and (version.version == 6) == bracketed
