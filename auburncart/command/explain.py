"""``auburncart explain``: prints what a log says of one request, in order."""

import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["explain", "lines_of"]

HIDDEN = ("message_type", "timestamp", "task_uuid", "task_level", "request")


def explain(request: str, log: Path | None = None) -> int:
    """Print the decisions about one request in order, with their inputs; exit code 1 if none.

    Changes of what its VM believed (configuration, replicas, the store) that fall between the
    request's first and last line are shown as well, set off by an asterisk. The log may hold the
    lines of several VMs.

    :param request: identifier of the request.
    :param log: the log; standard input if it is left out.
    """
    source = log.open("rb") if log else sys.stdin.buffer
    with source:
        found = lines_of(source, request)
    for line in found:
        print(line)
    if not found:
        print(f"no line of request {request}; its routine lines may have been dropped")
    return 0 if found else 1


def lines_of(log: Iterable[bytes], request: str) -> list[str]:
    """Return the lines of a request, and of the changes between its first and its last line.

    A line that is no JSON, such as one cut at the log's end, is passed over.
    """
    events = sorted(
        (event for event in map(_event, log) if event), key=lambda event: event["timestamp"]
    )
    own = [index for index, event in enumerate(events) if event.get("request") == request]
    if not own:
        return []
    shown = events[own[0] : own[-1] + 1]
    vms = {event.get("vm") for event in shown if event.get("request") == request}
    start = shown[0]["timestamp"]
    return [
        _line(event, start)
        for event in shown
        if event.get("request", request) == request and event.get("vm") in vms
    ]


def _event(line: bytes) -> dict[str, Any] | None:
    try:
        event = msgspec.json.decode(line[max(0, line.find(b"{")) :])
    except msgspec.DecodeError:
        return None
    return event if isinstance(event, dict) and "timestamp" in event else None


def _line(event: dict[str, Any], start: float) -> str:
    mark = " " if "request" in event else "*"
    fields = " ".join(f"{name}={value}" for name, value in event.items() if name not in HIDDEN)
    kind = event.get("message_type", "")
    return f"{event['timestamp'] - start:+9.3f} s {mark} {kind:<20} {fields}"
