"""Upstreams that answer at once, to measure what the tier itself spends."""

import asyncio
from typing import Any

from auburncart.coordination.interfaces import UpstreamConnection, UpstreamDialer
from auburncart.exception import UpstreamError
from auburncart.state.search import ShardAnswer
from auburncart.state.shards import Replica
from auburncart.state.upstream import Batch, BatchReply, OrderReply, UpstreamOrder

__all__ = ["EchoConnection", "EchoDialer"]


class EchoConnection(UpstreamConnection):
    """Answers every sub-query without hits in the loop's next turn."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def search(self, batch: Batch) -> BatchReply:
        """Answer a batch."""
        await asyncio.sleep(0)
        answers = {
            sub.sub_query_id: ShardAnswer(sub.sub_query_id, sub.shard, sub.snapshot, ())
            for sub in batch.sub_queries
        }
        return BatchReply(answers, {})

    async def order(self, order: UpstreamOrder) -> OrderReply:
        """Refuse an order."""
        raise UpstreamError("no orders here", step="send", peer=self._address, sent=False)

    async def cancel(self, *args: Any) -> None:
        """Do nothing: no request is at work for long."""

    async def close(self) -> None:
        """Do nothing."""


class EchoDialer(UpstreamDialer):
    """Connects at once."""

    async def connect(self, replica: Replica) -> EchoConnection:
        """Return a connection."""
        return EchoConnection(replica.address)

    async def cancel(self, *args: Any) -> None:
        """Do nothing: no request is at work for long."""
