"""Whole instances on an in-memory network and an advanced clock."""

from agatewing.rig._network import Network
from agatewing.rig._network import PausableClock
from agatewing.rig._oracle import Oracle
from agatewing.rig._rig import Rig
from agatewing.rig._rig import RigNode
from agatewing.rig._rig import Told
from agatewing.rig._targets import FakeEngine
from agatewing.rig._targets import FakeService
