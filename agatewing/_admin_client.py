"""Client of the administration API, for the command-line tool."""

import typing

import msgspec
import result

from agatewing import _exceptions
from agatewing import net

#: Time for one answer, in seconds.
ANSWER_S = 10.0


class ApiAnswer(msgspec.Struct, frozen=True):
    """Status and decoded body of an answer."""

    # HTTP status code.
    status: int
    # Plain data of the body.
    body: dict[str, typing.Any]


ApiResult: typing.TypeAlias = result.Result[
    ApiAnswer, _exceptions.AgatewingError
]


class AdminClient:
    """Calls one instance's administration API."""

    __slots__ = ("address", "_client", "_headers")

    def __init__(self, address: str, token: str) -> None:
        #: IP number and port.
        self.address = address
        self._client = net.HttpClient(address, silence_timeout_s=ANSWER_S)
        self._headers = {"Authorization": f"Bearer {token}"}

    def get(self, path: str) -> ApiResult:
        """Read one resource."""
        return self._call("GET", path, b"")

    def post(self, path: str, body: object) -> ApiResult:
        """Ask for a change."""
        return self._call("POST", path, msgspec.json.encode(body))

    def _call(self, method: str, path: str, body: bytes) -> ApiResult:
        headers = {**self._headers, "Content-Type": "application/json"}
        try:
            answer = self._client.call(
                method, f"/admin/v1/{path}", body, headers
            )
            data = msgspec.json.decode(answer.body)
        except _exceptions.AgatewingError as exc:
            return result.Err(exc)
        except msgspec.MsgspecError as exc:
            return result.Err(
                _exceptions.ProtocolError(self.address, str(exc))
            )
        if not isinstance(data, dict):
            return result.Err(
                _exceptions.ProtocolError(self.address, "not an object")
            )
        return result.Ok(ApiAnswer(answer.status, data))
