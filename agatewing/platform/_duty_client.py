"""One call of the holder of a duty, at the platform's address for them."""

import collections.abc

from agatewing import duties
from agatewing import net

#: Time in which a connection has to open, in seconds; the platform is in the
#: region.
CONNECT_TIMEOUT_S = 0.5
#: Largest answer that is read, in bytes; answers say nothing in their bodies.
MAX_ANSWER_BYTES = 65_536


class DutyClient:
    """Client of the address for duties."""

    __slots__ = ("_client",)

    def __init__(self, address: str) -> None:
        self._client = net.HttpClient(
            address,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            silence_timeout_s=duties.ORDER_TIMEOUT_S,
            connections=1,
            body_timeout_s=duties.ORDER_TIMEOUT_S,
            max_answer_bytes=MAX_ANSWER_BYTES,
            reset=True,
        )

    def post(
        self,
        path: str,
        body: bytes,
        holder: str,
        token: int,
        may_send: collections.abc.Callable[[], bool],
    ) -> int:
        """Send a call under a claim; return the HTTP status of its answer.

        ``holder`` is the name of the instance and ``token`` that of its claim.
        ``may_send`` is asked just before the call is sent. On a failure the
        connection is reset, so that no byte of the call arrives later. Raises
        ``AgatewingError`` if no answer comes.
        """
        headers = {
            "X-Lease-Holder": holder,
            "X-Fencing-Token": str(token),
            "Content-Type": "application/json",
        }
        return self._client.call(
            "POST", path, body, headers, may_send, duties.ORDER_TIMEOUT_S
        ).status
