"""Splits JSON without recursion, for documents that nest too deeply to be decoded."""

import re

__all__ = ["split_items"]

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]')


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
