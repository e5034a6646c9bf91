"""What an instance knows of its own links, and paths through its peers."""

from agatewing.detour._detours import Detours
from agatewing.detour._detours import Links
from agatewing.detour._detours import NoLinksLost
from agatewing.detour._detours import NoPeerError
from agatewing.detour._hop_client import DeadlineExceededError
from agatewing.detour._hop_client import Hop
from agatewing.detour._hop_client import HopClient
from agatewing.detour._hop_client import NotTakenError
from agatewing.detour._hop_server import HopAnswer
from agatewing.detour._hop_server import HopServer
from agatewing.detour._hop_server import Room
from agatewing.detour._link_exchange import LINK_STREAM
from agatewing.detour._link_exchange import LinkExchange
from agatewing.detour._link_probe import LinkProbe
from agatewing.detour._link_recorder import Attempt
from agatewing.detour._link_recorder import failure_of
from agatewing.detour._link_recorder import LinkRecorder
from agatewing.detour._link_recorder import TargetLink
from agatewing.detour._link_watch import LinkWatch
from agatewing.detour._session import BrokenError
from agatewing.detour._session import HOP_STREAM
