"""Follows one object of the platform's store, through failures of the store."""

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
WATCH_SLACK_SECONDS = 5.0  # a watch this long overdue is abandoned: the store hangs
MIN_WATCH_INTERVAL_SECONDS = 0.1  # between two watches
FIRST_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 6.5


async def follow(
    store: Store, key: Key[T], install: Callable[[T], object], rng: random.Random
) -> None:
    """Watch an object and install each new value; runs until cancelled.

    A store that fails, hangs, returns early or returns an invalid value is retried after an
    exponential, jittered backoff; the value in force stays.

    :param install: puts a new value in force; may raise if the value is invalid.
    :param rng: source of the jitter, seeded differently on each VM.
    """
    backoff = Backoff(rng, FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
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
        await asyncio.sleep(MIN_WATCH_INTERVAL_SECONDS)


async def watch_once(store: Store, key: Key[T], etag: str) -> Stored[T] | None:
    """Watch an object once; return its new value, or None if it did not change in time.

    :raises TimeoutError: the watch hung, or returned early although nothing had changed.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with asyncio.timeout(WATCH_SECONDS + WATCH_SLACK_SECONDS):
        stored = await store.watch(key, etag, WATCH_SECONDS)
    if stored is None and loop.time() - started < WATCH_SECONDS / 2.0:
        raise TimeoutError("the watch returned early although nothing had changed")
    return stored
