"""Settings of one process, and the operators' configuration document."""

from agatewing.config._checker import Checked
from agatewing.config._checker import Fault
from agatewing.config._checker import load_checked
from agatewing.config._inventory import AtMostOnce
from agatewing.config._inventory import Caller
from agatewing.config._inventory import Document
from agatewing.config._inventory import Engine
from agatewing.config._inventory import ModelService
from agatewing.config._inventory import PlainService
from agatewing.config._inventory import Region
from agatewing.config._inventory import Rules
from agatewing.config._inventory import Target
from agatewing.config._loader import decode_changed
from agatewing.config._loader import decode_document
from agatewing.config._loader import load_document
from agatewing.config._loader import merge_patch
from agatewing.config._loader import parse_document
from agatewing.config._loader import to_plain
from agatewing.config._settings import AdminToken
from agatewing.config._settings import Limits
from agatewing.config._settings import load_settings
from agatewing.config._settings import parse_settings
from agatewing.config._settings import Permission
from agatewing.config._settings import Settings
