"""Complete instances on an in-memory network, run in virtual time.

The rig checks promises, on which callers and operators rely, over all
instances. Invariants are checked by each instance itself; the rig reports
those that were broken.
"""

from agatewing.rig._network import Network
from agatewing.rig._network import PausableClock
from agatewing.rig._oracle import Oracle
from agatewing.rig._rig import CallOutcome
from agatewing.rig._rig import Rig
from agatewing.rig._rig import RigNode
from agatewing.rig._targets import FakeEngine
from agatewing.rig._targets import FakeService
