"""HTTP interface towards callers."""

from agatewing.entry._app import EntryApp
from agatewing.entry._assembler import EventAssembler
from agatewing.entry._assembler import insert_handle
from agatewing.entry._bodies import parse_body
from agatewing.entry._context import CallerRequest
from agatewing.entry._gate import Gate
from agatewing.entry._gate import Phase
from agatewing.entry._generation import Generation
from agatewing.entry._identity import CallerDirectory
from agatewing.entry._identity import Identity
from agatewing.entry._relay import Relay
from agatewing.entry._relay_types import GenerateCall
from agatewing.entry._relay_types import RelayDependencies
from agatewing.entry._resume import HandleCodec
from agatewing.entry._resume import StreamHandle
from agatewing.entry._services import Services
