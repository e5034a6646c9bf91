"""Authenticated thrift messages between instances."""

from agatewing.wire._codec import Codec
from agatewing.wire._codec import MAX_MESSAGE_BYTES
from agatewing.wire._frames import LENGTH_BYTES
from agatewing.wire._frames import read_frame
from agatewing.wire._frames import send_frame
from agatewing.wire.gen.peer.ttypes import CrashSuspect
from agatewing.wire.gen.peer.ttypes import Demand
from agatewing.wire.gen.peer.ttypes import EngineWork
from agatewing.wire.gen.peer.ttypes import HopField
from agatewing.wire.gen.peer.ttypes import HopFrame
from agatewing.wire.gen.peer.ttypes import HopHead
from agatewing.wire.gen.peer.ttypes import HopRefusal
from agatewing.wire.gen.peer.ttypes import HopRequest
from agatewing.wire.gen.peer.ttypes import Kind
from agatewing.wire.gen.peer.ttypes import Member
from agatewing.wire.gen.peer.ttypes import Message
from agatewing.wire.gen.peer.ttypes import PartsHeld
from agatewing.wire.gen.peer.ttypes import ServedBlock
from agatewing.wire.gen.peer.ttypes import StateReply
from agatewing.wire.gen.peer.ttypes import StateRequest
from agatewing.wire.gen.peer.ttypes import Status
from agatewing.wire.gen.peer.ttypes import StreamBegin
from agatewing.wire.gen.peer.ttypes import TargetLimit
from agatewing.wire.gen.peer.ttypes import Vouch
from agatewing.wire.gen.peer.ttypes import WorkNote
