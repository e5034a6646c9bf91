"""HTTP client of the administration API, for the command-line tool."""

import typing

import msgspec
import result

from agatewing import _exceptions
from agatewing import net

#: Time to wait for data of a response, in seconds.
RESPONSE_TIMEOUT_S = 10.0


class ApiResponse(msgspec.Struct, frozen=True):
    """Status and decoded body of a response."""

    # HTTP status code.
    status: int
    # Decoded JSON object of the body.
    body: dict[str, typing.Any]


ApiResult: typing.TypeAlias = result.Result[
    ApiResponse, _exceptions.AgatewingError
]


class AdminClient:
    """Client of one instance's administration API."""

    __slots__ = ("address", "_client", "_headers")

    def __init__(self, address: str, token: str) -> None:
        #: Address of the API, ``IP:port``.
        self.address = address
        self._client = net.HttpClient(
            address, silence_timeout_s=RESPONSE_TIMEOUT_S
        )
        self._headers = {"Authorization": f"Bearer {token}"}

    def get(self, path: str) -> ApiResult:
        """Send a GET request for ``path`` below ``/admin/v1/``."""
        return self._call("GET", path, b"")

    def post(self, path: str, body: object) -> ApiResult:
        """Send a POST request with ``body`` as JSON."""
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
                _exceptions.ProtocolError(
                    self.address, "the body is not a JSON object"
                )
            )
        return result.Ok(ApiResponse(answer.status, data))
