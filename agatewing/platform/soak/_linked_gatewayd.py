"""Runs an instance that reaches other addresses in place of its targets'.

``python -m agatewing.platform.soak._linked_gatewayd LINKS [OPTION ...]``:
LINKS is a JSON file of addresses by the addresses in whose place they are
connected to; the options are those of ``agatewing-gatewayd``.
"""

import pathlib
import sys

import gevent.socket
import msgspec

from agatewing import gatewayd
from agatewing import net


def main() -> int:
    """Run the daemon; return its exit status."""
    found = msgspec.json.decode(
        pathlib.Path(sys.argv[1]).read_bytes(), type=dict[str, str]
    )
    links = {
        net.split_address(target): net.split_address(link)
        for target, link in found.items()
    }
    connect = gevent.socket.socket.connect

    def connect_by_link(
        sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        connect(sock, links.get(address, address))

    gevent.socket.socket.connect = connect_by_link
    return gatewayd.main(sys.argv[2:])


if __name__ == "__main__":
    raise SystemExit(main())
