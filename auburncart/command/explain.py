"""``auburncart explain``: prints the log events of one request in order."""

import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["explain", "lines_of"]

# What each change of a VM's beliefs is about: the field that names it, or the subject itself.
SUBJECTS = {
    "ConfigurationInForce": "configuration",
    "DependencyLost": "dependency",
    "DependencyRegained": "dependency",
    "SourceChanged": "kind",
}
HIDDEN_FIELDS = ("message_type", "timestamp", "task_uuid", "task_level", "request")


def explain(request: str, log: Path | None = None) -> int:
    """Print the decisions about one request in order, with their inputs; exit code 1 if none.

    Changes to the state of its VM (configuration, replicas, the store) between the request's first
    and last line are printed as well, marked with an asterisk. What its VM believed before is
    marked with ``<``: the version in force and the last change of each dependency. The next such
    changes are marked with ``>``: a watch whose reply was lost is only noticed later. The log may
    contain lines of several VMs.

    :param request: identifier of the request.
    :param log: the log file; standard input by default.
    """
    source = log.open("rb") if log else sys.stdin.buffer
    with source:
        lines = lines_of(source, request)
    for line in lines:
        print(line)
    if not lines:
        print(f"no log line for request {request}; its routine lines may have been dropped")
    return 0 if lines else 1


def lines_of(log: Iterable[bytes], request: str) -> list[str]:
    """Return the lines of a request, and those of changes between its first and last line.

    A line that is not JSON, such as a truncated one at the end of the log, is skipped.
    """
    events = sorted(
        (event for event in map(_event, log) if event), key=lambda event: event["timestamp"]
    )
    positions = [index for index, event in enumerate(events) if event.get("request") == request]
    if not positions:
        return []
    shown_events = events[positions[0] : positions[-1] + 1]
    vms = {event.get("vm") for event in shown_events if event.get("request") == request}
    start = shown_events[0]["timestamp"]
    before = _last_changes(events[: positions[0]], vms)
    after = _last_changes(reversed(events[positions[-1] + 1 :]), vms)
    return [
        *(_line(event, start, "<") for event in before),
        *(
            _line(event, start, " " if "request" in event else "*")
            for event in shown_events
            if event.get("request", request) == request and event.get("vm") in vms
        ),
        *(_line(event, start, ">") for event in reversed(after)),
    ]


def _last_changes(events: Iterable[dict[str, Any]], vms: set[Any]) -> list[dict[str, Any]]:
    """Return the last change of each dependency and of the version in force on some VMs."""
    changes: dict[tuple[Any, ...], dict[str, Any]] = {}
    for event in events:
        subject = SUBJECTS.get(event.get("message_type", ""))
        if subject is not None and event.get("vm") in vms:
            key = event["vm"], event.get(subject, subject)
            changes.pop(key, None)
            changes[key] = event
    return list(changes.values())


def _event(line: bytes) -> dict[str, Any] | None:
    try:
        event = msgspec.json.decode(line[max(0, line.find(b"{")) :])
    except msgspec.DecodeError:
        return None
    return event if isinstance(event, dict) and "timestamp" in event else None


def _line(event: dict[str, Any], start: float, mark: str) -> str:
    fields = " ".join(
        f"{name}={value}" for name, value in event.items() if name not in HIDDEN_FIELDS
    )
    kind = event.get("message_type", "")
    return f"{event['timestamp'] - start:+9.3f} s {mark} {kind:<20} {fields}"
