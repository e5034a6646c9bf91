"""Keeps prompts from engines that would crash on them.

On this interface, the parts of a prompt are its prefix blocks, each identified
by the hash of the prompt from its start to the end of the block. An instance
learns of crashes from its own requests only.
"""

from agatewing import _clock
from agatewing import _exceptions
from agatewing import _types
from agatewing import decisions
from agatewing import enginemodel
from agatewing import fleet

#: Largest number of blocks suspected after a crash: the first ones that no
#: prompt answered in full has had. The later ones contain them.
MAX_SUSPECTS = 8


class CrashGuard:
    """Prefix blocks on which engines crash, as this instance knows them."""

    __slots__ = ("_clock", "_suspects")

    def __init__(
        self, clock: _clock.Clock, suspects: decisions.CrashSuspects
    ) -> None:
        self._clock = clock
        self._suspects = suspects

    def check(self, prompt: str) -> None:
        """Raise ``RefusedError`` if engines would crash on a prompt."""
        now = self._clock.monotonic()
        left_s = max(
            (
                self._suspects.quarantine_left_s(block, now)
                for block in _shared_blocks(prompt)
            ),
            default=0.0,
        )
        if left_s > 0:
            raise _exceptions.RefusedError(
                _exceptions.Refusal(
                    _types.RefusalKind.QUARANTINED,
                    "engines crash on a part of the prompt",
                    "send another prompt, or come back after Retry-After",
                    retry_after_s=left_s,
                )
            )

    def record_served(self, prompt: str) -> None:
        """Record a prompt that was answered in full."""
        now = self._clock.monotonic()
        self._suspects.record_served(_shared_blocks(prompt), now)

    def record_failure(self, prompt: str, target: fleet.EngineTarget) -> bool:
        """Record an engine that failed before its first event.

        Returns whether the prompt may be sent to another engine.
        """
        now = self._clock.monotonic()
        blocks = [
            block
            for block in _shared_blocks(prompt)
            if not self._suspects.is_cleared((block,), now)
        ][:MAX_SUSPECTS]
        if blocks and _refuses_connections(target):
            # A crashed engine reports no load until it is back.
            incarnation = f"{target.name}/{target.reported_at}"
            self._suspects.record_crash(
                blocks,
                decisions.short_key(incarnation),
                decisions.short_key(prompt),
                now,
            )
        return self._suspects.may_be_sent_again(blocks, now)


def _shared_blocks(prompt: str) -> tuple[int, ...]:
    """Return all blocks but the last, which belongs to the prompt alone."""
    return enginemodel.block_hashes(prompt)[:-1]


def _refuses_connections(target: fleet.EngineTarget) -> bool:
    try:
        target.client.call("GET", "/v1/load")
    except _exceptions.ConnectRefusedError:
        return True
    except _exceptions.AgatewingError:
        # It may be cut off or slow.
        return False
    return False
