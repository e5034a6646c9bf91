"""Which instances are alive, and links between them."""

from agatewing.membership._detector import ALIVE
from agatewing.membership._detector import Change
from agatewing.membership._detector import DEAD
from agatewing.membership._detector import Detector
from agatewing.membership._detector import LEFT
from agatewing.membership._detector import News
from agatewing.membership._detector import Outgoing
from agatewing.membership._detector import Peer
from agatewing.membership._detector import Self
from agatewing.membership._detector import SUSPECT
from agatewing.membership._links import Links
from agatewing.membership._vouching import Evidence
from agatewing.membership._vouching import judge
from agatewing.membership._vouching import PeerEvidence
from agatewing.membership._vouching import Standing
