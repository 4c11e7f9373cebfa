"""Sending one batch or one order to an upstream."""

import asyncio

from auburncart.coordination.connections import ConnectionPool
from auburncart.coordination.health import failure_of
from auburncart.coordination.interfaces import UpstreamConnection
from auburncart.coordination.job import OrderJob
from auburncart.exception import UpstreamError
from auburncart.state.failure import FailureCode
from auburncart.state.upstream import Batch, BatchReply

__all__ = ["send_batch", "send_order"]

STALE_SECONDS = 1.0  # an upstream may close a connection that is idle for longer


async def send_batch(
    pool: ConnectionPool, batch: Batch, connection: UpstreamConnection
) -> tuple[BatchReply, UpstreamConnection]:
    """Send a batch, and once more over a new connection if an idle one had been closed.

    :return: the reply and the connection that it came over.
    :raises UpstreamError: no matching reply; that connection is not to be used again.
    """
    idle = pool.idle_seconds(connection)
    try:
        return await connection.search(batch), connection
    except UpstreamError as error:
        if idle < STALE_SECONDS or failure_of(error).code is not FailureCode.LOST:
            raise
        await pool.drop(connection)
        try:
            new = await pool.dial()
        except UpstreamError:
            raise error from None
    try:
        return await new.search(batch), new
    except BaseException:
        await pool.drop(new)
        raise


async def send_order(
    pool: ConnectionPool, job: OrderJob, connection: UpstreamConnection
) -> UpstreamConnection | None:
    """Send an order over a new connection.

    The upstream may have closed an idle connection, and the error on such a connection does not
    tell whether the order arrived.

    :param connection: a connection of the pool; it is used only if it is new.
    :return: the connection if it can be used again.
    """
    if not job.awaited:
        return connection
    new: UpstreamConnection | None = connection if pool.is_new(connection) else None
    if new is None:
        await pool.drop(connection)
    try:
        new = new or await pool.dial()
        if job.awaited and asyncio.get_running_loop().time() < job.order.deadline:
            job.sent = True
            job.answer(await new.order(job.order))
        return new
    except UpstreamError as error:
        job.fail(error)
    except BaseException:
        job.fail(UpstreamError("closed", step="send", peer=pool.address, sent=job.sent))
        if new is not None:
            await pool.drop(new)
        raise
    if new is not None:
        await pool.drop(new)
    return None
