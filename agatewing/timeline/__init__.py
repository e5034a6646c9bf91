"""Events and log lines of many processes, merged into one time line."""

from agatewing.timeline._events import Event
from agatewing.timeline._events import EventKind
from agatewing.timeline._events import EventRecorder
from agatewing.timeline._hlc import HybridClock
from agatewing.timeline._hlc import Stamp
from agatewing.timeline._log_lines import LogFilter
from agatewing.timeline._log_lines import LogLine
from agatewing.timeline._log_lines import parse_line
from agatewing.timeline._log_lines import read_lines
from agatewing.timeline._log_lines import render_line
from agatewing.timeline._merge import EventFilter
from agatewing.timeline._merge import merge
from agatewing.timeline._merge import render_html
from agatewing.timeline._merge import render_json_lines
from agatewing.timeline._merge import render_text
