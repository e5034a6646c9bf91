"""Chooses the engines of one stream."""

import collections.abc
import dataclasses

from agatewing import _types
from agatewing import decisions
from agatewing.gateway import _context
from agatewing.gateway import _prefill
from agatewing.gateway import _target_registry
from agatewing.gateway import _tracked_target

#: Longest wait for another engine with room, in seconds: an eighth of the
#: 3.2 s after which callers abandon a long prompt.
REROUTE_TIMEOUT_S = 0.4
#: Interval at which the engines are checked during that wait, in seconds: ten
#: decode steps.
REROUTE_POLL_S = 0.04


class StreamEngines:
    """Engines that one stream may go to, for all its paths."""

    __slots__ = (
        "_ctx",
        "_job",
        "pool",
        "profile",
        "broken_engine",
        "_sent_back",
    )

    def __init__(
        self,
        ctx: _context.HandlerContext,
        job: _context.Job,
        pool: _target_registry.Pool,
        profile: decisions.RequestProfile,
    ) -> None:
        self._ctx = ctx
        self._job = job
        #: Engines of the service.
        self.pool = pool
        #: Sizes of the request, and the software version that it is bound to.
        self.profile = profile
        #: Id of the engine that broke the stream off last; empty if none did.
        self.broken_engine = ""
        # Whether the stream was resumed on the engine that broke it off.
        self._sent_back = False

    def reroute(self, wait: bool = True) -> decisions.Route:
        """Return a new route for the whole request, prompt included.

        ``wait`` says whether to wait for an engine with room. Raises
        :class:`GatewayRefusedError` if no engine has room in time.
        """
        for _ in self._poll_pool(wait):
            route = self.pool.router.choose(
                self.profile,
                self.pool.loads(),
                frozenset(self._job.excluded),
            )
            if route is not None:
                return route
        raise _context.give_up_error(self._job, "no other engine has room")

    def wait_for_decode_engine(
        self, prefill: _prefill.Prefill, wait: bool = True
    ) -> _tracked_target.TrackedTarget:
        """Return an engine to decode on, if ``wait`` once one has room.

        That engine also prefills the prompt if no KV cache of ``prefill`` is
        to be fetched. Raises :class:`GatewayRefusedError` if there is none.
        """
        for _ in self._poll_pool(wait):
            if not self._can_be_decoded():
                break
            tracked = self._find_decode_engine(prefill)
            if tracked is not None:
                return tracked
        raise _context.give_up_error(
            self._job, "no engine that decodes is left"
        )

    def _poll_pool(self, wait: bool) -> collections.abc.Iterator[None]:
        """Yield at once; to wait, periodically up to ``REROUTE_TIMEOUT_S``.

        Ends then, or at the deadline; if all engines are still full, the
        request is refused instead of being queued.
        """
        clock = self._ctx.clock
        give_up_at = min(
            clock.monotonic() + REROUTE_TIMEOUT_S, self._job.deadline
        )
        while True:
            self.pool.refresh(clock.monotonic())
            yield
            if not wait or clock.monotonic() >= give_up_at:
                return
            clock.sleep(REROUTE_POLL_S)

    def _avoided(self) -> frozenset[str]:
        """Return the ids of engines that the request is not sent to.

        The engine that broke the stream off may go on, once, if no other one
        of its software version decodes.
        """
        avoid = frozenset(self._job.excluded)
        software = self.profile.software
        if software is None or self._sent_back:
            return avoid
        if self.pool.decodes(software, avoid):
            return avoid
        return avoid - {self.broken_engine}

    def _can_be_decoded(self) -> bool:
        """Return whether an engine of the stream's software version decodes.

        A stream without an event is bound to no version.
        """
        software = self.profile.software
        if software is None:
            return True
        return self.pool.decodes(software, self._avoided())

    def _find_decode_engine(
        self, prefill: _prefill.Prefill
    ) -> _tracked_target.TrackedTarget | None:
        """Return the best engine to decode on; ``None`` if none has room."""
        loads = [
            load
            for load in self.pool.loads(begun=True)
            if load.role is not _types.Role.PREFILL
        ]
        decode_profile = self._decode_profile(prefill)
        avoid = self._avoided()
        # If no engine has enough memory free for the KV cache, the reserve is
        # used for it: waiting would only keep memory occupied, as the prefill
        # engine holds the cache until it is fetched.
        fitting = [
            load for load in loads if load.fits(decode_profile.kv_tokens)
        ]
        unsized = dataclasses.replace(decode_profile, fetched_tokens=0)
        for profile, candidates in (
            (decode_profile, loads),
            (unsized, fitting),
        ):
            route = self.pool.router.choose(profile, candidates, avoid)
            if isinstance(route, decisions.Single):
                self._sent_back |= route.engine == self.broken_engine
                return self.pool.engines[route.engine]
        return None

    def _decode_profile(
        self, prefill: _prefill.Prefill
    ) -> decisions.RequestProfile:
        """Return the request's profile for the engine that decodes.

        While a KV cache is unfetched, the prompt counts as tokens to fetch,
        not to prefill.
        """
        profile = self.profile
        if prefill.unfetched_cache is None:
            return profile
        cache_engine = prefill.cache_engine
        return dataclasses.replace(
            profile,
            prompt_tokens=0,
            cached={},
            fetched_tokens=profile.prompt_tokens,
            fetch_source="",
            fetch_source_zone=cache_engine.target.zone
            if cache_engine is not None
            else "",
        )
