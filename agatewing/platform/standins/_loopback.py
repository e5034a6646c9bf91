"""A server on a free loopback port."""

import gevent.baseserver


class Loopback:
    """Starts a server and knows its address."""

    def __init__(self, server: gevent.baseserver.BaseServer) -> None:
        self._server = server
        self._server.start()

    @property
    def address(self) -> str:
        """IP number and port."""
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        """Close the port."""
        self._server.stop(timeout=0)
