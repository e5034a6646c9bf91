"""Duties that one instance at a time has for all."""

from agatewing.duties._capacity_loop import CapacityContext
from agatewing.duties._capacity_loop import CapacityLoop
from agatewing.duties._capacity_ports import CapacityPort
from agatewing.duties._capacity_ports import OrderOutcome
from agatewing.duties._claims import Claim
from agatewing.duties._claims import CLAIM_KEY
from agatewing.duties._claims import CLAIM_VALID_S
from agatewing.duties._claims import ClaimRecord
from agatewing.duties._claims import Claims
from agatewing.duties._claims import ORDER_TIMEOUT_S
