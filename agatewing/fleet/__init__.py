"""State of engines and service targets, as one instance sees them."""

from agatewing.fleet._fleet import Fleet
from agatewing.fleet._fleet import Pool
from agatewing.fleet._meters import DemandMeter
from agatewing.fleet._meters import LengthEstimate
from agatewing.fleet._poller import Poller
from agatewing.fleet._targets import ClientFactory
from agatewing.fleet._targets import EngineTarget
from agatewing.fleet._targets import LoadReport
from agatewing.fleet._targets import SERVICE_SILENCE_TIMEOUT_S
from agatewing.fleet._targets import ServiceTarget
from agatewing.fleet._targets import STREAM_SILENCE_TIMEOUT_S
