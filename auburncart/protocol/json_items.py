"""Splits JSON without recursion, for documents that nest too deeply to be decoded."""

import re

import msgspec

__all__ = ["find_string", "split_items"]

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]')
_MEMBER_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},:]')


def split_items(data: bytes, key: bytes) -> tuple[bytes, list[bytes]]:
    """Return an object without the items of one of its arrays, and those items.

    :param data: a JSON object; if it has no such array, it is returned as it is.
    :param key: name of a member whose value is an array.

    >>> split_items(b'{"a":[1,{"b":[2]}],"c":3}', b"a")
    (b'{"a":[],"c":3}', [b'1', b'{"b":[2]}'])
    """
    depth = 0
    after_key = False
    begin = start = -1
    items: list[bytes] = []
    for match in _TOKEN.finditer(data):
        token = match.group()
        if token in (b"[", b"{"):
            depth += 1
            if begin < 0 and after_key and depth == 2 and token == b"[":
                begin = start = match.end()
        elif token in (b"]", b"}"):
            depth -= 1
            if begin >= 0 and depth == 1:
                last = data[start : match.start()].strip()
                items += [last] if last else []
                return data[:begin] + data[match.start() :], items
        elif token == b"," and begin >= 0 and depth == 2:
            items.append(data[start : match.start()].strip())
            start = match.end()
        after_key = depth == 1 and token == b'"%b"' % key
    return data, []


def find_string(data: bytes, path: tuple[str, ...]) -> str | None:
    """Return the string at a path of members of an object, None if there is none.

    :param data: a JSON object, whose other members may nest to any depth.

    >>> find_string(b'{"b":{"name":"x"},"a":{"c":[{"name":"y"}],"name":"z"}}', ("a", "name"))
    'z'
    """
    keys: list[str | None] = []
    key: str | None = None
    previous = b""
    for match in _MEMBER_TOKEN.finditer(data):
        token = match.group()
        if token in (b"{", b"["):
            keys.append(key)
            key = None
        elif token in (b"}", b"]"):
            if keys:
                keys.pop()
        elif token == b",":
            key = None
        elif token == b":":
            key = _decode_string(previous)
        elif len(keys) == len(path) and (*keys[1:], key) == path:
            return _decode_string(token)
        previous = token
    return None


def _decode_string(token: bytes) -> str | None:
    try:
        return msgspec.json.decode(token, type=str)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
