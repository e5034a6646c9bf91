"""Merge the time lines of many processes, filter and render them."""

import collections.abc
import dataclasses
import datetime
import html

import msgspec

from agatewing.timeline import _events

_PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>agatewing time line
</title><style>
body {{ font: 14px sans-serif; margin: 1em; }}
table {{ border-collapse: collapse; }}
td, th {{ border-bottom: 1px solid #ccc; padding: 2px 8px;
 text-align: left; white-space: nowrap; }}
tr.bad td {{ background: #fdd; }}
</style></head><body><h1>agatewing time line</h1>
<p><label>Show only rows with <input id="q" size="40"></label></p>
<table><thead><tr>{head}</tr></thead><tbody>
{rows}
</tbody></table><script>
document.getElementById("q").addEventListener("input", function (e) {{
  var text = e.target.value.toLowerCase();
  document.querySelectorAll("tbody tr").forEach(function (row) {{
    row.hidden = !row.textContent.toLowerCase().includes(text);
  }});
}});
</script></body></html>
"""

_COLUMNS = (
    "time",
    "process",
    "kind",
    "request",
    "target",
    "lease",
    "version",
    "detail",
)

_ALARMS = frozenset(
    {
        _events.EventKind.INVARIANT_BROKEN,
        _events.EventKind.STREAM_CUT,
        _events.EventKind.CONFIG_UNUSABLE,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Filter:
    """Which events to show; empty fields match all."""

    #: Id of a request.
    request: str = ""
    #: Name of an engine or target.
    target: str = ""
    #: Name of a lease.
    lease: str = ""
    #: Configuration version; 0 for all.
    version: int = 0

    def matches(self, event: _events.Event) -> bool:
        """Return whether the event is to be shown."""
        return (
            (not self.request or event.request == self.request)
            and (not self.target or event.target == self.target)
            and (not self.lease or event.lease == self.lease)
            and (not self.version or event.version == self.version)
        )


def merge(
    parts: collections.abc.Iterable[collections.abc.Iterable[_events.Event]],
    wanted: Filter,
) -> list[_events.Event]:
    """Return all matching events in causal order."""
    events = [e for part in parts for e in part if wanted.matches(e)]
    return sorted(events, key=lambda e: (e.stamp, e.process))


def render_text(events: collections.abc.Iterable[_events.Event]) -> str:
    """Return one line an event."""
    lines = []
    for event in events:
        cells = [cell for cell in _cells(event) if cell]
        lines.append("  ".join(cells))
    return "\n".join(lines)


def render_json_lines(
    events: collections.abc.Iterable[_events.Event],
) -> str:
    """Return one JSON object an event, one a line."""
    return "\n".join(msgspec.json.encode(e).decode() for e in events)


def render_html(events: collections.abc.Iterable[_events.Event]) -> str:
    """Return one self-contained page."""
    rows = []
    for event in events:
        mark = ' class="bad"' if event.kind in _ALARMS else ""
        cells = "".join(
            f"<td>{html.escape(cell)}</td>" for cell in _cells(event)
        )
        rows.append(f"<tr{mark}>{cells}</tr>")
    head = "".join(f"<th>{name}</th>" for name in _COLUMNS)
    return _PAGE.format(head=head, rows="\n".join(rows))


def _cells(event: _events.Event) -> list[str]:
    """Return the columns of one event."""
    moment = datetime.datetime.fromtimestamp(
        event.stamp.wall_ms / 1000, datetime.UTC
    )
    time = f"{moment:%H:%M:%S}.{event.stamp.wall_ms % 1000:03d}"
    return [
        f"{time}+{event.stamp.counter}",
        event.process,
        event.kind,
        event.request,
        event.target,
        event.lease,
        f"v{event.version}" if event.version else "",
        " ".join(event.detail.split()),
    ]
