"""Duties that one instance at a time has for all."""

from agatewing.duties._claims import Claim
from agatewing.duties._claims import CLAIM_KEY
from agatewing.duties._claims import CLAIM_VALID_S
from agatewing.duties._claims import ClaimRecord
from agatewing.duties._claims import Claims
from agatewing.duties._claims import ORDER_TIMEOUT_S
