"""Upstreams that answer immediately, to measure the cost of the tier itself."""

import asyncio
from typing import Any

from auburncart.coordination.interfaces import UpstreamConnection, UpstreamDialer
from auburncart.exception import UpstreamError
from auburncart.state.search import ShardAnswer
from auburncart.state.shards import Replica
from auburncart.state.upstream import Batch, BatchReply, OrderReply, UpstreamOrder

__all__ = ["EchoConnection", "EchoDialer"]


class EchoConnection(UpstreamConnection):
    """Answers every sub-query without hits in the next iteration of the event loop."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def search(self, batch: Batch) -> BatchReply:
        """Return an answer without hits for each sub-query of a batch."""
        await asyncio.sleep(0)
        answers = {
            sub_query.sub_query_id: ShardAnswer(
                sub_query.sub_query_id, sub_query.shard, sub_query.snapshot, ()
            )
            for sub_query in batch.sub_queries
        }
        return BatchReply(answers, {})

    async def order(self, order: UpstreamOrder) -> OrderReply:
        """Refuse an order."""
        raise UpstreamError(
            "this upstream accepts no orders", step="send", peer=self._address, sent=False
        )

    async def cancel(self, *args: Any) -> None:
        """Do nothing: no request is at work for long."""

    async def close(self) -> None:
        """Do nothing."""


class EchoDialer(UpstreamDialer):
    """Connects immediately."""

    async def connect(self, replica: Replica) -> EchoConnection:
        """Return a connection."""
        return EchoConnection(replica.address)

    async def cancel(self, *args: Any) -> None:
        """Do nothing: no request is at work for long."""
