"""The command-line tool ``agatewing`` for operators."""

import argparse
import collections.abc
import dataclasses
import os
import pathlib
import sys
import time
import typing
import uuid

import msgspec
import result

from agatewing import _admin_client
from agatewing import config
from agatewing import timeline

#: Exit codes, as explained in ``EPILOG``.
EXIT_OK = 0
EXIT_FAULTS = 1
EXIT_USAGE = 2
EXIT_REJECTED = 3
EXIT_UNKNOWN = 4
EXIT_NOT_REACHED = 5
EXIT_LAGGING = 6

EPILOG = """exit codes:
  0  done
  1  the file or the request holds faults
  2  wrong arguments
  3  rejected: another publish was first
  4  unknown: ask again with the id that was printed
  5  no instance was reached, or it refused the token
  6  accepted, but not in force everywhere in time

The address and token come from --admin and --token, or from
AGATEWING_ADMIN and AGATEWING_TOKEN.
"""

RunCommand = collections.abc.Callable[[argparse.Namespace], int]

#: Interval between polls while waiting for a version, in seconds.
POLL_PERIOD_S = 0.2


def main(argv: list[str] | None = None) -> int:
    """Run one command; return its exit code."""
    args = _parser().parse_args(argv)
    return int(args.run(args))


def _parser() -> argparse.ArgumentParser:
    """Return the argument parser."""
    parser = argparse.ArgumentParser(
        prog="agatewing",
        description="Operate a deployment of agatewing.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    check = _command(commands, "check", _run_check, remote=False)
    check.add_argument("file", type=pathlib.Path)
    publish = _command(commands, "publish", _run_publish)
    publish.add_argument("file", type=pathlib.Path)
    publish.add_argument("--base", type=int, required=True)
    publish.add_argument("--id", default="")
    publish.add_argument("--wait", type=float, default=30.0)
    show = _command(commands, "show", _run_show)
    show.add_argument(
        "what",
        choices=("config", "instances", "targets", "leases", "status"),
    )
    _command(commands, "history", _run_history)
    ask = _command(commands, "ask", _run_ask)
    ask.add_argument("id", help="id of a publish")
    drain = _command(commands, "drain", _run_drain)
    drain.add_argument("target")
    drain.add_argument(
        "--state",
        choices=("draining", "withdrawn", "active"),
        default="draining",
    )
    drain.add_argument("--wait", type=float, default=30.0)
    timeline_command = _command(commands, "timeline", _run_timeline)
    timeline_command.add_argument("--request", default="")
    timeline_command.add_argument("--target", default="")
    timeline_command.add_argument("--lease", default="")
    timeline_command.add_argument("--version", type=int, default=0)
    timeline_command.add_argument(
        "--format", choices=("text", "jsonl", "html"), default="text"
    )
    timeline_command.add_argument(
        "--instances", default="", metavar="IP:PORT,..."
    )
    logs = _command(commands, "logs", _run_logs, remote=False)
    logs.add_argument("files", type=pathlib.Path, nargs="+")
    logs.add_argument("--request", default="")
    logs.add_argument("--target", default="")
    logs.add_argument("--config-version", type=int, default=0)
    logs.add_argument("--instance", default="")
    return parser


def _command(
    commands: typing.Any, name: str, run: RunCommand, remote: bool = True
) -> argparse.ArgumentParser:
    """Add a subcommand with the common options.

    The first line of the docstring of ``run`` is its help text.
    """
    sub: argparse.ArgumentParser = commands.add_parser(
        name, help=(run.__doc__ or "").splitlines()[0]
    )
    sub.set_defaults(run=run)
    sub.add_argument("--json", action="store_true")
    if remote:
        sub.add_argument(
            "--admin", default=os.environ.get("AGATEWING_ADMIN", "")
        )
        sub.add_argument(
            "--token", default=os.environ.get("AGATEWING_TOKEN", "")
        )
    return sub


def _run_check(args: argparse.Namespace) -> int:
    """Check a configuration file."""
    match config.load_document(args.file):
        case result.Ok(document):
            summary = {
                "deployment": document.deployment,
                "engines": len(document.engines),
                "targets": len(document.targets),
                "callers": len(document.rules.callers),
            }
            _print(args, summary, f"{args.file}: no faults")
            return EXIT_OK
        case result.Err(faults):
            _print_faults(args, faults)
    return EXIT_FAULTS


def _run_publish(args: argparse.Namespace) -> int:
    """Publish a configuration and wait until it is in force."""
    match config.load_document(args.file):
        case result.Err(faults):
            _print_faults(args, faults)
            return EXIT_FAULTS
        case result.Ok(document):
            pass
    body = {
        "base": args.base,
        "document": config.to_plain(document),
        "id": args.id or uuid.uuid4().hex,
    }
    _print_stderr(f"publish id {body['id']}")
    api_result = _client(args).post("config", body)
    return _finish_publish(args, api_result)


def _run_drain(args: argparse.Namespace) -> int:
    """Drain a target: it finishes its requests and gets no new ones."""
    body = {"target": args.target, "state": args.state}
    return _finish_publish(args, _client(args).post("drain", body))


def _finish_publish(
    args: argparse.Namespace, api_result: _admin_client.ApiResult
) -> int:
    """Print the result of a publish; wait for an accepted one.

    Returns the exit code.
    """
    response = _unwrap(args, api_result)
    if isinstance(response, int):
        return response
    body = response.body
    match body["result"]:
        case "accepted":
            return _wait_in_force(args, int(body["version"]), body)
        case "rejected":
            _print(
                args,
                body,
                f"rejected: version {body['winner']} is in force; "
                "base the change on it",
            )
            return EXIT_REJECTED
    _print(args, body, f"unknown: ask again with 'agatewing ask {body['id']}'")
    return EXIT_UNKNOWN


def _wait_in_force(
    args: argparse.Namespace, version: int, body: dict[str, typing.Any]
) -> int:
    """Wait until every live instance reports the version in force.

    Waits for up to ``--wait`` seconds; returns the exit code.
    """
    started = time.monotonic()
    lagging: list[str] = []
    last_printed: list[str] = []
    while time.monotonic() - started < args.wait:
        lagging = _lagging_instances(args, version)
        if not lagging:
            took = time.monotonic() - started
            _print(
                args,
                {**body, "in_force_s": round(took, 3), "lagging": []},
                f"version {version} is in force everywhere after {took:.1f} s",
            )
            return EXIT_OK
        if lagging != last_printed:
            _print_stderr(f"waiting for {', '.join(lagging)}")
            last_printed = lagging
        time.sleep(POLL_PERIOD_S)
    _print(
        args,
        {**body, "lagging": lagging},
        f"version {version} is accepted; not confirmed by "
        f"{', '.join(lagging)}",
    )
    return EXIT_LAGGING


def _lagging_instances(args: argparse.Namespace, version: int) -> list[str]:
    """Return live instances that report an older version in force.

    Returns a placeholder if the instance that was asked gives no answer.
    """
    response = _client(args).get("instances")
    if isinstance(response, result.Err):
        return ["the instance that was asked"]
    return [
        row["instance"]
        for row in response.ok_value.body.get("instances", [])
        if row["status"] in ("alive", "suspect")
        and row["config_version"] < version
    ]


def _run_show(args: argparse.Namespace) -> int:
    """Show the state of one instance, or its view of the deployment."""
    response = _unwrap(args, _client(args).get(args.what))
    if isinstance(response, int):
        return response
    body = response.body
    if args.what in ("instances", "targets"):
        text = _table(body[args.what])
    elif args.what == "leases":
        text = _table(body["leases"]) + "\n\n" + _table(body["orders"])
    else:
        text = _pretty(body)
    _print(args, body, text)
    return EXIT_OK


def _run_history(args: argparse.Namespace) -> int:
    """Show recent publishes with their decisions."""
    response = _unwrap(args, _client(args).get("history"))
    if isinstance(response, int):
        return response
    _print(args, response.body, _table(response.body["history"]))
    return EXIT_OK


def _run_ask(args: argparse.Namespace) -> int:
    """Show whether a publish was accepted or rejected."""
    response = _unwrap(args, _client(args).get(f"publishes/{args.id}"))
    if isinstance(response, int):
        return response
    _print(args, response.body, _pretty(response.body))
    if response.body["result"] == "accepted":
        return EXIT_OK
    if response.body["result"] == "rejected":
        return EXIT_REJECTED
    return EXIT_UNKNOWN


def _run_logs(args: argparse.Namespace) -> int:
    """Merge the log files of instances on a platform by time."""
    line_filter = timeline.LogFilter(
        args.request, args.target, args.config_version, args.instance
    )
    try:
        lines = timeline.read_lines(args.files, line_filter)
    except OSError as exc:
        _print_stderr(
            f"{exc.filename}: cannot be read: {exc.strerror}; check it"
        )
        return EXIT_FAULTS
    for line in lines:
        if args.json:
            print(msgspec.json.encode(dataclasses.asdict(line)).decode())
        else:
            print(timeline.render_line(line))
    return EXIT_OK


def _run_timeline(args: argparse.Namespace) -> int:
    """Merge the time-line events of instances in causal order."""
    addresses = [a for a in args.instances.split(",") if a] or [args.admin]
    event_lists = []
    for address in addresses:
        client = _admin_client.AdminClient(address, args.token)
        response = client.get("timeline")
        if isinstance(response, result.Err) or response.ok_value.status != 200:
            _print_stderr(
                f"{address} gave no events; check the address and token"
            )
            continue
        event_lists.append(
            msgspec.convert(
                response.ok_value.body["events"], list[timeline.Event]
            )
        )
    if not event_lists:
        return EXIT_NOT_REACHED
    event_filter = timeline.EventFilter(
        args.request, args.target, args.lease, args.version
    )
    events = timeline.merge(event_lists, event_filter)
    if args.json or args.format == "jsonl":
        print(timeline.render_json_lines(events))
    elif args.format == "html":
        print(timeline.render_html(events))
    else:
        print(timeline.render_text(events))
    return EXIT_OK


def _client(args: argparse.Namespace) -> _admin_client.AdminClient:
    """Return a client of the instance that the arguments name."""
    if not args.admin:
        print(
            "no instance named; give --admin IP:PORT or set AGATEWING_ADMIN",
            file=sys.stderr,
        )
        raise SystemExit(EXIT_USAGE)
    return _admin_client.AdminClient(args.admin, args.token)


def _unwrap(
    args: argparse.Namespace, api_result: _admin_client.ApiResult
) -> _admin_client.ApiResponse | int:
    """Return the response, or print its error and return the exit code."""
    if isinstance(api_result, result.Err):
        print(api_result.err_value, file=sys.stderr)
        return EXIT_NOT_REACHED
    response = api_result.ok_value
    if "result" in response.body or response.status == 200:
        return response
    detail = response.body.get("detail", "refused")
    remedy = response.body.get("remedy", "")
    print(f"{detail}; {remedy}", file=sys.stderr)
    if response.status in (401, 403, 503):
        return EXIT_NOT_REACHED
    return EXIT_FAULTS


def _print(args: argparse.Namespace, body: object, text: str) -> None:
    """Print ``body`` as JSON if ``--json`` is given, else ``text``."""
    print(_pretty(body) if args.json else text)


def _print_faults(
    args: argparse.Namespace, faults: tuple[config.Fault, ...]
) -> None:
    """Print every fault of a configuration file."""
    if args.json:
        rows = [
            {"path": f.path, "problem": f.problem, "remedy": f.remedy}
            for f in faults
        ]
        print(_pretty({"faults": rows}))
        return
    for fault in faults:
        print(fault, file=sys.stderr)


def _pretty(body: object) -> str:
    """Return ``body`` as indented JSON."""
    raw = msgspec.json.encode(body)
    return msgspec.json.format(raw, indent=2).decode()


def _print_stderr(text: str) -> None:
    """Print a line to standard error."""
    print(text, file=sys.stderr)


def _table(rows: list[dict[str, typing.Any]]) -> str:
    """Return rows as a table with aligned columns."""
    if not rows:
        return "(none)"
    columns = list(dict.fromkeys(name for row in rows for name in row))
    cells = [columns]
    cells += [[str(row.get(c, "")) for c in columns] for row in rows]
    widths = [max(len(r[i]) for r in cells) for i in range(len(columns))]
    lines = [
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


if __name__ == "__main__":
    raise SystemExit(main())
