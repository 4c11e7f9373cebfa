"""Documents written by people: JSON with comments, validated against a type."""

from pathlib import Path
from typing import Any, TypeVar

import pyjson5
from pydantic import TypeAdapter, ValidationError

from auburncart.exception import SettingsError

__all__ = ["format_faults", "parse_document", "parse_json", "read_document", "read_text"]

T = TypeVar("T")
SECRET_WORDS = ("key", "token")


def read_document(path: Path, schema: type[T]) -> T:
    """Return the validated content of a file of JSON with comments.

    :param path: the file.
    :param schema: type that the document must have, a ``NamedTuple`` or ``TypedDict``.
    :raises SettingsError: the file cannot be read, or has faults; all of them are listed.
    """
    return parse_document(read_text(path), schema, str(path))


def read_text(path: Path) -> str:
    """Return the text of a UTF-8 file.

    :raises SettingsError: the file cannot be read.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}", faults=(f"{path}: {error}",)) from error


def parse_json(text: str, source: str) -> Any:
    """Return the value of a document in JSON with comments.

    :param source: name of the document for error messages.
    :raises SettingsError: the text is not JSON with comments.
    """
    try:
        return pyjson5.loads(text)
    except (pyjson5.Json5Exception, RecursionError) as error:
        fault = f"{source}: not JSON with comments: {error}"
        raise SettingsError(fault, faults=(fault,)) from error


def parse_document(text: str, schema: type[T], source: str) -> T:
    """Return the validated value of a document in JSON with comments.

    :param text: the document.
    :param schema: type that the document must have.
    :param source: name of the document for error messages.
    :raises SettingsError: it has faults; each states the path, the value and what is expected.

    >>> parse_document('{"a": 1 /* one */}', dict[str, int], "example")
    {'a': 1}
    """
    try:
        return TypeAdapter(schema).validate_python(parse_json(text, source))
    except ValidationError as error:
        faults = format_faults(error, source)
        raise SettingsError("; ".join(faults), faults=faults) from error


def format_faults(error: ValidationError, source: str) -> tuple[str, ...]:
    """Return one line per fault, with its path, the value found and what is expected."""
    return tuple(_format_fault(source, dict(entry)) for entry in error.errors(include_url=False))


def _is_secret(entry: dict[str, Any]) -> bool:
    return any(word in str(part) for part in entry["loc"] for word in SECRET_WORDS)


def _format_fault(source: str, entry: dict[str, Any]) -> str:
    path = ".".join(str(part) for part in entry["loc"]) or "document"
    found = "a value not shown" if _is_secret(entry) else repr(entry["input"])
    shown = found if len(found) <= 80 else found[:77] + "..."
    return f"{source}: {path}: found {shown}, {entry['msg']}"
