"""Test doubles of the users' platform, built from its documentation."""

from agatewing.platform.standins._behaviour import Behaviour
from agatewing.platform.standins._engine import CrashRequest
from agatewing.platform.standins._engine import EngineStandin
from agatewing.platform.standins._engine import Run
from agatewing.platform.standins._link import Flight
from agatewing.platform.standins._link import Link
from agatewing.platform.standins._link import Picture
from agatewing.platform.standins._linked_site import LinkedSite
from agatewing.platform.standins._loopback import Loopback
from agatewing.platform.standins._loopback import reset
from agatewing.platform.standins._silence import Place
from agatewing.platform.standins._silence import Silence
from agatewing.platform.standins._site import AdvancingClock
from agatewing.platform.standins._site import HOST
from agatewing.platform.standins._site import read_reply
from agatewing.platform.standins._site import Reply
from agatewing.platform.standins._site import ReplyReader
from agatewing.platform.standins._site import RESTART_S
from agatewing.platform.standins._site import Site
from agatewing.platform.standins._store import StoreCopy
from agatewing.platform.standins._store import StoreMode
from agatewing.platform.standins._store import StoreStandin
