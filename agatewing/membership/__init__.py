"""Failure detection among instances, and the links between them."""

from agatewing.membership._detector import Detector
from agatewing.membership._links import Links
from agatewing.membership._peers import ALIVE
from agatewing.membership._peers import DEAD
from agatewing.membership._peers import LEFT
from agatewing.membership._peers import LocalInstance
from agatewing.membership._peers import Outgoing
from agatewing.membership._peers import Peer
from agatewing.membership._peers import SenderState
from agatewing.membership._peers import StatusChange
from agatewing.membership._peers import SUSPECT
from agatewing.membership._standing import configuration_standing
from agatewing.membership._standing import Evidence
from agatewing.membership._standing import PeerEvidence
from agatewing.membership._standing import Standing
