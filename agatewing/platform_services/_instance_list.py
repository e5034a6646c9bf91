"""Client of the platform's list of instances."""

import msgspec

from agatewing import _exceptions
from agatewing import net


class ListedInstance(msgspec.Struct, frozen=True):
    """One row of the instance list, which may be out of date."""

    # Name of the instance.
    instance: str
    # Availability zone.
    zone: str
    # IP number and port for messages of other instances.
    peer_address: str
    # IP number and port of its administration API.
    admin_address: str
    # ``live`` or ``leaving``.
    state: str


class InstanceList(msgspec.Struct, frozen=True):
    """The instance list, which may be out of date."""

    # Rows of the list.
    instances: tuple[ListedInstance, ...]


_decoder = msgspec.json.Decoder(InstanceList)


class InstanceListClient:
    """Reads the instance list."""

    __slots__ = ("_client",)

    def __init__(self, url: str) -> None:
        self._client = net.HttpClient(
            url.removeprefix("http://").rstrip("/"),
            silence_timeout_s=2.0,
            resend=True,
        )

    def read(self) -> InstanceList:
        """Return the current list.

        Raises ``ProtocolError`` if the answer is unusable, and the errors
        of ``net.HttpClient.open`` if there is none.
        """
        answer = self._client.call("GET", "/v1/instances")
        if answer.status != 200:
            raise _exceptions.ProtocolError(
                "instance list", f"status {answer.status}"
            )
        try:
            return _decoder.decode(answer.body)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise _exceptions.ProtocolError("instance list", str(exc)) from exc

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()
