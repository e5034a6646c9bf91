"""The platform's log as the system uses it, and its eras."""

from agatewing.fleetlog._eras import FIRST_ERA
from agatewing.fleetlog._eras import LogEra
from agatewing.fleetlog._ports import EndMismatch
from agatewing.fleetlog._ports import FleetLog
from agatewing.fleetlog._ports import HistoryLost
from agatewing.fleetlog._ports import KeyedRecord
from agatewing.fleetlog._ports import LogUnavailable
from agatewing.fleetlog._ports import Page
from agatewing.fleetlog._ports import Stored
from agatewing.fleetlog._ports import Topic
from agatewing.fleetlog._ports import Written
