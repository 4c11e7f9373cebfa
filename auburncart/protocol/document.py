"""Documents that people write: JSON with comments, checked in full against a type."""

from pathlib import Path
from typing import Any, TypeVar

import pyjson5
from pydantic import TypeAdapter, ValidationError

from auburncart.exception import SettingsError

__all__ = ["faults_of", "parse_document", "parse_json", "read_document", "read_text"]

T = TypeVar("T")
SECRET_WORDS = ("key", "token")


def read_document(path: Path, form: type[T]) -> T:
    """Read a file of JSON with comments.

    :param path: the file.
    :param form: type that the document must have, a ``NamedTuple`` or ``TypedDict``.
    :raises SettingsError: the file cannot be read, or has faults; all of them are named.
    """
    return parse_document(read_text(path), form, str(path))


def read_text(path: Path) -> str:
    """Read a file of UTF-8.

    :raises SettingsError: it cannot be read.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}", faults=(f"{path}: {error}",)) from error


def parse_json(text: str, source: str) -> Any:
    """Parse JSON with comments.

    :raises SettingsError: it is not JSON with comments.
    """
    try:
        return pyjson5.loads(text)
    except (pyjson5.Json5Exception, RecursionError) as error:
        fault = f"{source}: not JSON with comments: {error}"
        raise SettingsError(fault, faults=(fault,)) from error


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
        return TypeAdapter(form).validate_python(parse_json(text, source))
    except ValidationError as error:
        faults = faults_of(error, source)
        raise SettingsError("; ".join(faults), faults=faults) from error


def faults_of(error: ValidationError, source: str) -> tuple[str, ...]:
    """Return one line for each fault, with its place, the value found and the form expected."""
    return tuple(_fault(source, dict(entry)) for entry in error.errors(include_url=False))


def _is_secret(entry: dict[str, Any]) -> bool:
    return any(word in str(part) for part in entry["loc"] for word in SECRET_WORDS)


def _fault(source: str, entry: dict[str, Any]) -> str:
    path = ".".join(str(part) for part in entry["loc"]) or "document"
    found = "a value not shown" if _is_secret(entry) else repr(entry["input"])
    shown = found if len(found) <= 80 else found[:77] + "..."
    return f"{source}: {path}: found {shown}, {entry['msg']}"
