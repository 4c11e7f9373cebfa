"""Refusals of orders, each with the value of ``ran`` that is certain at that step."""

from auburncart.exception import InputError, StoreUnavailableError, UpstreamError
from auburncart.state.failure import Ran, Refusal, RefusalCode, Step
from auburncart.state.order import OrderRequest

__all__ = ["OrderRefusals"]

RETRY_AFTER_SECONDS = 2.0


class OrderRefusals:
    """Builds the refusals of one order.

    Until the stored claim has been read, nothing is known about earlier tries with the same key.
    So the refusal of a repeat says ``unknown`` until then, and that of a first try says ``no``.

    :param request: the order.
    """

    def __init__(self, request: OrderRequest) -> None:
        self._request = request

    @property
    def _ran(self) -> Ran:
        return Ran.UNKNOWN if self._request.repeat else Ran.NO

    def invalid_key(self, error: InputError) -> Refusal:
        """Return the refusal of a key that is not valid; no claim can ever have it."""
        return Refusal(RefusalCode.BAD_REQUEST, error.reason, Ran.NO, step=Step.PARSE)

    def not_ready(self, missing: str) -> Refusal:
        """Return the refusal of an order while the VM has no table or no shard map yet."""
        return self._unavailable(f"no {missing} in force yet", Step.ROUTE)

    def not_admitted(self, refusal: Refusal) -> Refusal:
        """Return a refusal by admission, with the value of ``ran`` for this order."""
        return refusal._replace(ran=self._ran)

    def no_row(self) -> Refusal:
        """Return the refusal of an order for which the table has no row."""
        request = self._request
        reason = f"no row for customer {request.customer!r} and kind {request.kind!r}"
        return Refusal(RefusalCode.BAD_REQUEST, reason, self._ran)

    def no_shard(self) -> Refusal:
        """Return the refusal of an order for a shard that the shard map does not name."""
        reason = f"no shard {self._request.shard!r}"
        return Refusal(RefusalCode.BAD_REQUEST, reason, self._ran, step=Step.ROUTE)

    def no_upstream(self) -> Refusal:
        """Return the refusal of an order whose shard has no usable upstream."""
        reason = f"no upstream of shard {self._request.shard!r} is accepting work"
        return self._unavailable(reason, Step.ROUTE)

    def expired(self) -> Refusal:
        """Return the refusal of a key that is older than claims are kept."""
        reason = "the key is older than the time for which claims are kept; this try sent nothing"
        return Refusal(RefusalCode.EXPIRED, reason, Ran.UNKNOWN, step=Step.CLAIM)

    def in_future(self) -> Refusal:
        """Return the refusal of a key whose time is in the future."""
        reason = "the key's time is in the future: check the clock of the machine that made it"
        return Refusal(RefusalCode.BAD_REQUEST, reason, self._ran, step=Step.CLAIM)

    def full(self) -> Refusal:
        """Return the refusal of a key whose bucket is full; the key was never claimed."""
        reason = "too many orders have keys of the same time; repeat the order with a new key"
        return Refusal(RefusalCode.OVERLOADED, reason, Ran.NO, RETRY_AFTER_SECONDS, step=Step.CLAIM)

    def key_reused(self) -> Refusal:
        """Return the refusal of a key that was already used for another order."""
        reason = "the idempotency key was already used for another order"
        return Refusal(RefusalCode.CONFLICT, reason, Ran.NO, step=Step.CLAIM)

    def not_claimed(self, error: StoreUnavailableError) -> Refusal:
        """Return the refusal of an order that could not be claimed; this try never sends it."""
        return self._unavailable(f"the order was not sent: {error}", Step.CLAIM)

    def send_failed(self, error: UpstreamError) -> Refusal:
        """Return the refusal of a claimed order to which the upstream did not reply."""
        ran = Ran.UNKNOWN if error.sent else Ran.NO
        code = RefusalCode.FAILED if error.sent else RefusalCode.UNAVAILABLE
        retry_after = 0.0 if error.sent else RETRY_AFTER_SECONDS
        return Refusal(code, str(error), ran, retry_after, Step.SEND, error.peer)

    def _unavailable(self, reason: str, step: Step) -> Refusal:
        return Refusal(RefusalCode.UNAVAILABLE, reason, self._ran, RETRY_AFTER_SECONDS, step)
