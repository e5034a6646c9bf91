"""Engines and service targets, as one instance sees them."""

from agatewing.fleet._fleet import Fleet
from agatewing.fleet._fleet import Pool
from agatewing.fleet._machines import EngineMachine
from agatewing.fleet._machines import LoadReport
from agatewing.fleet._machines import MakeClient
from agatewing.fleet._machines import ServiceMachine
from agatewing.fleet._machines import STREAM_SILENCE_S
from agatewing.fleet._meters import DemandMeter
from agatewing.fleet._meters import LengthEstimate
from agatewing.fleet._poller import Poller
