"""A queue that shares what it gives out between customers, and between a customer's kinds."""

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["FairQueue"]

T = TypeVar("T")
MOST_FINISHED = 1024  # customers without waiting items whose tags are remembered


class _Flow(Generic[T]):
    """Items of one kind of one customer, in the order of their arrival."""

    def __init__(self, tag: float) -> None:
        self.tag = tag
        self.items: deque[tuple[T, float, float]] = deque()


class _Customer(Generic[T]):
    """The flows of one customer."""

    def __init__(self, tag: float) -> None:
        self.tag = tag
        self.clock = 0.0
        self.weight = 1.0
        self.cost = 0.0
        self.flows: dict[str, _Flow[T]] = {}


class FairQueue(Generic[T]):
    """Start-time fair queueing in two levels: customers, then kinds of work of a customer.

    Each customer has a tag that grows by cost over weight with every item given out; the
    customer with the smallest tag is next. A customer that returns starts at the present
    virtual time, so that time without work earns nothing.

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
        self._finished: dict[str, float] = {}
        self._clock = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def cost(self, customer: str) -> float:
        """Return the cost of all that waits for a customer."""
        found = self._customers.get(customer)
        return found.cost if found else 0.0

    def share(self, customer: str, weight: float) -> float:
        """Return the share of the queue's output that a customer would get, from 0 to 1.

        :param weight: weight of the customer's next item.
        """
        others = sum(other.weight for name, other in self._customers.items() if name != customer)
        return weight / (weight + others)

    def push(self, customer: str, kind: str, cost: float, weight: float, item: T) -> None:
        """Add an item.

        :param cost: what it takes of the shared capacity.
        :param weight: weight of its customer and kind; above 0.
        """
        found = self._customers.get(customer)
        if found is None:
            found = _Customer(max(self._clock, self._finished.pop(customer, 0.0)))
            self._customers[customer] = found
        flow = found.flows.setdefault(kind, _Flow(found.clock))
        flow.items.append((item, cost, weight))
        found.weight = weight
        found.cost += cost
        self._length += 1

    def peek(self, ready: Callable[[T], bool]) -> T | None:
        """Return the next item that is ready and leave it in the queue.

        :param ready: tells of the first item of a flow whether it may go now.
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
        self._clock = max(self._clock, customer.tag)
        customer.clock = max(customer.clock, flow.tag)
        customer.tag += cost / weight
        flow.tag += cost / weight
        self._took(name, kind, cost)
        return item

    def remove(self, customer: str, kind: str, item: T) -> None:
        """Take out an item that waits no longer; it uses up none of its customer's share."""
        flow = self._customers[customer].flows[kind]
        entry = next(entry for entry in flow.items if entry[0] is item)
        flow.items.remove(entry)
        self._took(customer, kind, entry[1])

    def _find(self, ready: Callable[[T], bool]) -> tuple[str, _Flow[T], str] | None:
        for name, customer in sorted(self._customers.items(), key=lambda pair: pair[1].tag):
            for kind, flow in sorted(customer.flows.items(), key=lambda pair: pair[1].tag):
                if ready(flow.items[0][0]):
                    return name, flow, kind
        return None

    def _took(self, name: str, kind: str, cost: float) -> None:
        customer = self._customers[name]
        customer.cost -= cost
        self._length -= 1
        if not customer.flows[kind].items:
            del customer.flows[kind]
        if not customer.flows:
            del self._customers[name]
            self._remember(name, customer.tag)

    def _remember(self, name: str, tag: float) -> None:
        if len(self._finished) >= MOST_FINISHED:
            self._finished = {
                other: kept for other, kept in self._finished.items() if kept > self._clock
            }
        if tag > self._clock:
            self._finished[name] = tag
