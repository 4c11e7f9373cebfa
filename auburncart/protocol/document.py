"""Documents that people write: JSON with comments, checked in full against a type."""

from pathlib import Path
from typing import Any, TypeVar

import pyjson5
from pydantic import TypeAdapter, ValidationError

from auburncart.exception import SettingsError

__all__ = ["parse_document", "read_document"]

T = TypeVar("T")


def read_document(path: Path, form: type[T]) -> T:
    """Read a file of JSON with comments.

    :param path: the file.
    :param form: type that the document must have, a ``NamedTuple`` or ``TypedDict``.
    :raises SettingsError: the file cannot be read, or has faults; all of them are named.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}", faults=(f"{path}: {error}",)) from error
    return parse_document(text, form, str(path))


def parse_document(text: str, form: type[T], source: str) -> T:
    """Parse JSON with comments and check it.

    :param text: the document.
    :param form: type that it must have.
    :param source: name of the document for fault messages.
    :raises SettingsError: it has faults; each names place, value found and form expected.

    >>> parse_document('{"a": 1 /* one */}', dict[str, int], "example")
    {'a': 1}
    """
    try:
        fields = pyjson5.loads(text)
    except (pyjson5.Json5Exception, RecursionError) as error:
        fault = f"{source}: not JSON with comments: {error}"
        raise SettingsError(fault, faults=(fault,)) from error
    try:
        return TypeAdapter(form).validate_python(fields)
    except ValidationError as error:
        faults = tuple(_fault(source, dict(entry)) for entry in error.errors(include_url=False))
        raise SettingsError("; ".join(faults), faults=faults) from error


def _fault(source: str, entry: dict[str, Any]) -> str:
    path = ".".join(str(part) for part in entry["loc"]) or "document"
    found = repr(entry["input"])
    shown = found if len(found) <= 80 else found[:77] + "..."
    return f"{source}: {path}: found {shown}, {entry['msg']}"
