"""Bounds on what callers and peers can make an instance hold."""

from agatewing.callers._body_room import BodyRoom
from agatewing.callers._body_room import BodyShare
from agatewing.callers._body_room import NoRoomError
from agatewing.callers._body_room import SMALL_BYTES
from agatewing.callers._body_room import WAIT_S
from agatewing.callers._bounded_server import BoundedServer
from agatewing.callers._connections import choose_victim
from agatewing.callers._connections import Held
from agatewing.callers._pace import Pace
from agatewing.callers._pace import STALL_S
from agatewing.callers._plan import MemoryPlan
from agatewing.callers._plan import plan_memory
from agatewing.callers._plan import UNREAD_BYTES

__all__ = [
    "BodyRoom",
    "BodyShare",
    "BoundedServer",
    "choose_victim",
    "Held",
    "MemoryPlan",
    "NoRoomError",
    "Pace",
    "plan_memory",
    "SMALL_BYTES",
    "STALL_S",
    "UNREAD_BYTES",
    "WAIT_S",
]
