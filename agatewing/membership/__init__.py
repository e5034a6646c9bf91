"""Failure detection among instances, and the links between them."""

from agatewing.membership._detector import Detector
from agatewing.membership._links import Links
from agatewing.membership._peers import ALIVE
from agatewing.membership._peers import Change
from agatewing.membership._peers import DEAD
from agatewing.membership._peers import LEFT
from agatewing.membership._peers import News
from agatewing.membership._peers import Outgoing
from agatewing.membership._peers import Peer
from agatewing.membership._peers import Self
from agatewing.membership._peers import SUSPECT
from agatewing.membership._vouching import Evidence
from agatewing.membership._vouching import judge
from agatewing.membership._vouching import PeerEvidence
from agatewing.membership._vouching import Standing
