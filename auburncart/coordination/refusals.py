"""The refusals of orders, each with what it may truly say of ``ran``."""

from auburncart.exception import InputError, StoreUnavailableError, UpstreamError
from auburncart.state.failure import Ran, Refusal, RefusalCode, Step
from auburncart.state.order import OrderRequest

__all__ = ["OrderRefusals"]

RETRY_AFTER_SECONDS = 2.0


class OrderRefusals:
    """Makes the refusals of one order.

    Before the stored claim is read, nothing is known of earlier tries of the same key: a refusal
    of a repeat then says ``unknown``, one of a first try says ``no``.

    :param request: the order.
    """

    def __init__(self, request: OrderRequest) -> None:
        self._request = request

    @property
    def _ran(self) -> Ran:
        return Ran.UNKNOWN if self._request.repeat else Ran.NO

    def bad_key(self, error: InputError) -> Refusal:
        """Return the refusal of a key that has another form; no claim can ever have it."""
        return Refusal(RefusalCode.BAD_REQUEST, error.reason, Ran.NO, step=Step.PARSE)

    def not_ready(self, lacking: str) -> Refusal:
        """Return the refusal of a VM that has no table or shard map yet."""
        return self._unavailable(f"no {lacking} in force yet", Step.ROUTE)

    def not_admitted(self, refusal: Refusal) -> Refusal:
        """Return a refusal of admission as one of this order."""
        return refusal._replace(ran=self._ran)

    def no_row(self) -> Refusal:
        """Return the refusal of an order without a row in the table."""
        request = self._request
        reason = f"no row for customer {request.customer!r} and kind {request.kind!r}"
        return Refusal(RefusalCode.BAD_REQUEST, reason, self._ran)

    def no_shard(self) -> Refusal:
        """Return the refusal of an order for a shard that is not known."""
        reason = f"no shard {self._request.shard!r}"
        return Refusal(RefusalCode.BAD_REQUEST, reason, self._ran, step=Step.ROUTE)

    def no_upstream(self) -> Refusal:
        """Return the refusal of an order whose shard has no upstream that takes work."""
        reason = f"no upstream of shard {self._request.shard!r} takes work"
        return self._unavailable(reason, Step.ROUTE)

    def expired(self) -> Refusal:
        """Return the refusal of a key that is no longer remembered."""
        reason = "the key is older than keys are remembered; nothing was sent by this try"
        return Refusal(RefusalCode.EXPIRED, reason, Ran.UNKNOWN, step=Step.CLAIM)

    def ahead(self) -> Refusal:
        """Return the refusal of a key from the future."""
        reason = "the key's time lies in the future: check the clock that made it"
        return Refusal(RefusalCode.BAD_REQUEST, reason, self._ran, step=Step.CLAIM)

    def full(self) -> Refusal:
        """Return the refusal of a key whose bucket has no room; it was never claimed."""
        reason = "too many orders with keys of the same time; make a new key"
        return Refusal(RefusalCode.OVERLOADED, reason, Ran.NO, RETRY_AFTER_SECONDS, step=Step.CLAIM)

    def other_order(self) -> Refusal:
        """Return the refusal of a key that belongs to another order."""
        reason = "the idempotency key belongs to another order"
        return Refusal(RefusalCode.CONFLICT, reason, Ran.NO, step=Step.CLAIM)

    def not_claimed(self, error: StoreUnavailableError) -> Refusal:
        """Return the refusal of an order that could not be claimed; this try never sends it."""
        return self._unavailable(f"the order was not sent: {error}", Step.CLAIM)

    def failed(self, error: UpstreamError) -> Refusal:
        """Return the refusal of a claimed order that has no reply."""
        ran = Ran.UNKNOWN if error.sent else Ran.NO
        code = RefusalCode.FAILED if error.sent else RefusalCode.UNAVAILABLE
        retry_after = 0.0 if error.sent else RETRY_AFTER_SECONDS
        return Refusal(code, str(error), ran, retry_after, Step.SEND, error.peer)

    def _unavailable(self, reason: str, step: Step) -> Refusal:
        return Refusal(RefusalCode.UNAVAILABLE, reason, self._ran, RETRY_AFTER_SECONDS, step)
