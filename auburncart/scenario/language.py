"""The language of scenarios: one command per line, with words and ``name=value`` options.

::

    # the other replica replaces a lost one
    site shards=4 replicas=2 vms=2
    kill upstream shard-01/0
    search vm1 as=first
    expect first complete answered=4
"""

import shlex
from typing import NamedTuple

from auburncart.exception import InputError

__all__ = ["Command", "ScenarioError", "Verb", "VERBS", "parse"]


class ScenarioError(InputError):
    """A scenario's text has faults; ``faults`` lists all of them with their line numbers."""

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("; ".join(faults), step="scenario")
        self.faults = faults


class Command(NamedTuple):
    """One line of a scenario.

    :param line: line number, from 1.
    :param text: the line as written, without surrounding spaces.
    :param verb: first word.
    :param words: further words without ``=``.
    :param options: values of the options by name.
    """

    line: int
    text: str
    verb: str
    words: tuple[str, ...]
    options: dict[str, str]


class Verb(NamedTuple):
    """The words and options that a verb accepts.

    :param min_words: minimum number of words after the verb.
    :param max_words: maximum number of words after the verb.
    :param options: names of its options.
    """

    min_words: int
    max_words: int
    options: frozenset[str]


def _verb(min_words: int, max_words: int, options: str = "") -> Verb:
    return Verb(min_words, max_words, frozenset(options.split()))


VERBS = {
    "site": _verb(0, 0, "shards replicas vms data_centres batch seed policies"),
    "start": _verb(1, 1),
    "stop": _verb(1, 1),
    "kill": _verb(2, 2),
    "restart": _verb(2, 2),
    "freeze": _verb(1, 1),
    "thaw": _verb(1, 1),
    "cut": _verb(2, 2),
    "heal": _verb(0, 0),
    "slow": _verb(2, 2),
    "condition": _verb(2, 2),
    "poison": _verb(1, 1),
    "outage": _verb(1, 1),
    "lose": _verb(1, 1),
    "publish": _verb(1, 1, "keep"),
    "apply": _verb(1, 1, "by weight rank version via"),
    "count": _verb(0, 0),
    "wait": _verb(1, 1),
    "search": _verb(1, 1, "as kind customer seconds query wait"),
    "order": _verb(1, 1, "as kind customer seconds key repeat shard text wait"),
    "expect": _verb(
        1, 2, "answered asked missing ran code snapshot repeated hits key count most version within"
    ),
}


def parse(text: str) -> list[Command]:
    """Return the commands of a scenario.

    :raises ScenarioError: the text has faults; all of them are listed.

    >>> parse("search vm1 as=a")[0].options
    {'as': 'a'}
    """
    commands: list[Command] = []
    faults: list[str] = []
    for number, line in enumerate(text.splitlines(), start=1):
        try:
            words = shlex.split(line, comments=True)
        except ValueError as error:
            faults.append(f"line {number}: {error}")
            continue
        if words:
            command = _parse_command(number, line.strip(), words)
            faults.extend(_find_faults(command))
            commands.append(command)
    if faults:
        raise ScenarioError(tuple(faults))
    return commands


def _parse_command(number: int, line: str, words: list[str]) -> Command:
    positional = tuple(word for word in words[1:] if "=" not in word)
    options = dict(word.split("=", 1) for word in words[1:] if "=" in word)
    return Command(number, line, words[0], positional, options)


def _find_faults(command: Command) -> list[str]:
    verb = VERBS.get(command.verb)
    if verb is None:
        return [
            f"line {command.line}: unknown verb {command.verb!r}, "
            f"expected one of {', '.join(VERBS)}"
        ]
    faults = []
    if not verb.min_words <= len(command.words) <= verb.max_words:
        expected = f"expected {verb.min_words} to {verb.max_words} words"
        faults.append(f"line {command.line}: {command.verb}: {expected}")
    for name in sorted(set(command.options) - verb.options):
        faults.append(f"line {command.line}: {command.verb}: unknown option {name!r}")
    return faults
