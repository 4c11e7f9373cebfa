"""Fair queueing between customers, and between the kinds of work of a customer."""

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["FairQueue"]

T = TypeVar("T")
MAX_IDLE_TAGS = 1024  # customers without queued items whose tags are kept


class _Flow(Generic[T]):
    """Items of one kind of one customer, in order of arrival."""

    def __init__(self, tag: float) -> None:
        self.tag = tag
        self.items: deque[tuple[T, float, float]] = deque()


class _Customer(Generic[T]):
    """The flows of one customer."""

    def __init__(self, tag: float) -> None:
        self.tag = tag
        self.virtual_time = 0.0
        self.weight = 1.0
        self.cost = 0.0
        self.flows: dict[str, _Flow[T]] = {}


class FairQueue(Generic[T]):
    """Start-time fair queueing in two levels: customers, then kinds of work of a customer.

    Each customer has a tag that grows by cost over weight with every item taken out; the
    customer with the smallest tag is next. A customer that returns starts at the current
    virtual time, so that it gains no credit while it has no items.

    References
    ----------
    P. Goyal, H. M. Vin, H. Cheng: Start-time Fair Queueing. SIGCOMM 1996.

    >>> queue: FairQueue[str] = FairQueue()
    >>> for item in ("a1", "a2", "a3"):
    ...     queue.push("a", "search", 1.0, 1.0, item)
    >>> queue.push("b", "search", 1.0, 1.0, "b1")
    >>> [queue.pop(lambda item: True) for _ in range(4)]
    ['a1', 'b1', 'a2', 'a3']
    """

    def __init__(self) -> None:
        self._customers: dict[str, _Customer[T]] = {}
        self._idle_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def queued_cost(self, customer: str) -> float:
        """Return the total cost of a customer's queued items."""
        found = self._customers.get(customer)
        return found.cost if found else 0.0

    def share(self, customer: str, weight: float) -> float:
        """Return the share of the queue's throughput that a customer would get, from 0 to 1.

        :param weight: weight of the customer's next item.
        """
        others = sum(other.weight for name, other in self._customers.items() if name != customer)
        return weight / (weight + others)

    def push(self, customer: str, kind: str, cost: float, weight: float, item: T) -> None:
        """Add an item.

        :param cost: what it uses of the shared capacity.
        :param weight: weight of its customer and kind; above 0.
        """
        found = self._customers.get(customer)
        if found is None:
            found = _Customer(max(self._virtual_time, self._idle_tags.pop(customer, 0.0)))
            self._customers[customer] = found
        flow = found.flows.setdefault(kind, _Flow(found.virtual_time))
        flow.items.append((item, cost, weight))
        found.weight = weight
        found.cost += cost
        self._length += 1

    def peek(self, ready: Callable[[T], bool]) -> T | None:
        """Return the next item that is ready and leave it in the queue.

        :param ready: returns whether the first item of a flow may be taken out now.
        """
        found = self._find(ready)
        return found[1].items[0][0] if found else None

    def pop(self, ready: Callable[[T], bool]) -> T | None:
        """Take out the next item that is ready, or return None."""
        found = self._find(ready)
        if found is None:
            return None
        name, flow, kind = found
        customer = self._customers[name]
        item, cost, weight = flow.items.popleft()
        self._virtual_time = max(self._virtual_time, customer.tag)
        customer.virtual_time = max(customer.virtual_time, flow.tag)
        customer.tag += cost / weight
        flow.tag += cost / weight
        self._record_removal(name, kind, cost)
        return item

    def remove(self, customer: str, kind: str, item: T) -> None:
        """Remove an item without counting it against its customer's share."""
        flow = self._customers[customer].flows[kind]
        entry = next(entry for entry in flow.items if entry[0] is item)
        flow.items.remove(entry)
        self._record_removal(customer, kind, entry[1])

    def _find(self, ready: Callable[[T], bool]) -> tuple[str, _Flow[T], str] | None:
        for name, customer in sorted(self._customers.items(), key=lambda pair: pair[1].tag):
            for kind, flow in sorted(customer.flows.items(), key=lambda pair: pair[1].tag):
                if ready(flow.items[0][0]):
                    return name, flow, kind
        return None

    def _record_removal(self, name: str, kind: str, cost: float) -> None:
        customer = self._customers[name]
        customer.cost -= cost
        self._length -= 1
        if not customer.flows[kind].items:
            del customer.flows[kind]
        if not customer.flows:
            del self._customers[name]
            self._keep_tag(name, customer.tag)

    def _keep_tag(self, name: str, tag: float) -> None:
        if len(self._idle_tags) >= MAX_IDLE_TAGS:
            self._idle_tags = {
                other: kept for other, kept in self._idle_tags.items() if kept > self._virtual_time
            }
        if tag > self._virtual_time:
            self._idle_tags[name] = tag
