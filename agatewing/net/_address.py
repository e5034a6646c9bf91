"""Addresses written as ``IP:PORT``."""


def split_address(address: str) -> tuple[str, int]:
    """Return IP number and port; raises ``ValueError`` without a port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
