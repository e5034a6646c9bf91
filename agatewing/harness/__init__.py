"""Runs a whole deployment as processes on loopback, for demos and tests."""

from agatewing.harness._balancer import Balancer
from agatewing.harness._deployment import Deployment
from agatewing.harness._deployment import OPERATOR_TOKEN
from agatewing.harness._deployment import wait_open
from agatewing.harness._load import AtMostOnceResult
from agatewing.harness._load import GenerationResult
from agatewing.harness._load import LoadClient
from agatewing.harness._ports import PortLease
from agatewing.harness._processes import Process
