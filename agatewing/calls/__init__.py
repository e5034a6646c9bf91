"""At-most-once calls of plain services, identified by idempotency keys."""

from agatewing.calls._completeness import CompletenessCheck
from agatewing.calls._executor import Answered
from agatewing.calls._executor import NotSent
from agatewing.calls._executor import OnceCall
from agatewing.calls._executor import OnceExecutor
from agatewing.calls._executor import OnceResult
from agatewing.calls._executor import OutcomeUnknown
from agatewing.calls._executor import SendResult
from agatewing.calls._keys import check_key
from agatewing.calls._keys import key_time_s
from agatewing.calls._keys import MAX_AHEAD_S
from agatewing.calls._keys import new_key
from agatewing.calls._reaper import Reaper
