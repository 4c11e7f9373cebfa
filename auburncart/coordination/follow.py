"""Following one object of the platform's store, whatever the store does."""

import asyncio
import random
from collections.abc import Callable
from typing import TypeVar

from eliot import log_message

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.interfaces import Key, Store, Stored

__all__ = ["follow", "watch_once"]

T = TypeVar("T")

WATCH_SECONDS = 20.0
SLACK_SECONDS = 5.0  # a watch that has not returned this long after its time is given up
LEAST_SECONDS = 0.1  # between two watches
FIRST_BACKOFF_SECONDS = 0.5
MOST_BACKOFF_SECONDS = 6.5


async def follow(
    store: Store, key: Key[T], install: Callable[[T], object], rng: random.Random
) -> None:
    """Watch an object and install each new value; runs until cancelled.

    A store that fails, hangs, answers too early or answers nonsense is asked again after a
    growing, jittered time; the value in force stays.

    :param install: takes a new value in; it may raise on one that it cannot use.
    :param rng: source of the jitter, another one on each VM.
    """
    backoff = Backoff(rng, FIRST_BACKOFF_SECONDS, MOST_BACKOFF_SECONDS)
    etag = ""
    failing = False
    while True:
        try:
            stored = await watch_once(store, key, etag)
            if stored is not None:
                install(stored.value)
        except Exception as error:
            if not failing:
                log_message(message_type="store_lost", kind=key.kind, reason=str(error))
            failing = True
            await asyncio.sleep(backoff.next_delay())
            continue
        if failing:
            log_message(message_type="store_back", kind=key.kind)
        failing = False
        backoff.reset()
        etag = stored.etag if stored else etag
        await asyncio.sleep(LEAST_SECONDS)


async def watch_once(store: Store, key: Key[T], etag: str) -> Stored[T] | None:
    """Return a changed object, or None after the whole time of a watch.

    :raises TimeoutError: the watch hung, or returned early although nothing changed.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    async with asyncio.timeout(WATCH_SECONDS + SLACK_SECONDS):
        stored = await store.watch(key, etag, WATCH_SECONDS)
    if stored is None and loop.time() - began < WATCH_SECONDS / 2.0:
        raise TimeoutError("a watch returned early")
    return stored
