"""What an instance knows of its own network paths to targets."""

from agatewing.detour._link_exchange import LINK_STREAM
from agatewing.detour._link_exchange import LinkExchange
from agatewing.detour._link_probe import LinkProbe
from agatewing.detour._link_recorder import Attempt
from agatewing.detour._link_recorder import failure_of
from agatewing.detour._link_recorder import LinkRecorder
from agatewing.detour._link_recorder import TargetLink
from agatewing.detour._link_watch import LinkWatch
