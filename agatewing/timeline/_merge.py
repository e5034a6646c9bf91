"""Merge, filter and render the events of many processes."""

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

_HIGHLIGHTED_KINDS = frozenset(
    {
        _events.EventKind.INVARIANT_BROKEN,
        _events.EventKind.STREAM_CUT,
        _events.EventKind.CONFIG_UNUSABLE,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class EventFilter:
    """Selects events; an empty field matches every event."""

    #: Id of a request.
    request: str = ""
    #: Name of an engine or target.
    target: str = ""
    #: Name of a lease.
    lease: str = ""
    #: Configuration version; 0 for all.
    version: int = 0

    def matches(self, event: _events.Event) -> bool:
        """Return whether the event has all values of the filter."""
        return (
            (not self.request or event.request == self.request)
            and (not self.target or event.target == self.target)
            and (not self.lease or event.lease == self.lease)
            and (not self.version or event.version == self.version)
        )


def merge(
    timelines: collections.abc.Iterable[
        collections.abc.Iterable[_events.Event]
    ],
    event_filter: EventFilter,
) -> list[_events.Event]:
    """Return the matching events of all processes in causal order."""
    events = [
        e
        for process_events in timelines
        for e in process_events
        if event_filter.matches(e)
    ]
    return sorted(events, key=lambda e: (e.stamp, e.process))


def render_text(events: collections.abc.Iterable[_events.Event]) -> str:
    """Return the events as text, one line per event."""
    lines = []
    for event in events:
        cells = [cell for cell in _cells(event) if cell]
        lines.append("  ".join(cells))
    return "\n".join(lines)


def render_json_lines(
    events: collections.abc.Iterable[_events.Event],
) -> str:
    """Return the events as JSON lines, one object per event."""
    return "\n".join(msgspec.json.encode(e).decode() for e in events)


def render_html(events: collections.abc.Iterable[_events.Event]) -> str:
    """Return the events as one self-contained HTML page."""
    rows = []
    for event in events:
        row_attribute = (
            ' class="bad"' if event.kind in _HIGHLIGHTED_KINDS else ""
        )
        cells = "".join(
            f"<td>{html.escape(cell)}</td>" for cell in _cells(event)
        )
        rows.append(f"<tr{row_attribute}>{cells}</tr>")
    head = "".join(f"<th>{name}</th>" for name in _COLUMNS)
    return _PAGE.format(head=head, rows="\n".join(rows))


def _cells(event: _events.Event) -> list[str]:
    """Return the column texts of one event, in the order of ``_COLUMNS``."""
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
