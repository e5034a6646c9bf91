"""Addresses written as ``IP:PORT``."""


def split_address(address: str) -> tuple[str, int]:
    """Split an address into IP number and port.

    Raises ``ValueError`` if the port is missing or no number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
