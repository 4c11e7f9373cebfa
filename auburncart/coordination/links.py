"""The links that a VM holds at the moment, by the member at the other side."""

from collections.abc import Iterator
from typing import NamedTuple

from auburncart.coordination.interfaces import PeerLink
from auburncart.state.member import Member

__all__ = ["Linked", "Links"]


class Linked(NamedTuple):
    """A link whose other side has proved a key.

    :param dialled: whether this VM opened it.
    """

    link: PeerLink
    member: Member
    dialled: bool


class Links:
    """A table of links; there may be two to one member, one opened by each side."""

    def __init__(self) -> None:
        self._by_address: dict[str, list[Linked]] = {}

    def __iter__(self) -> Iterator[Linked]:
        return iter([linked for group in self._by_address.values() for linked in group])

    def __len__(self) -> int:
        return sum(map(len, self._by_address.values()))

    def __contains__(self, address: str) -> bool:
        return address in self._by_address

    @property
    def addresses(self) -> set[str]:
        """Addresses of all members linked."""
        return set(self._by_address)

    def get(self, address: str) -> Linked | None:
        """Return the oldest link to a member, or None."""
        group = self._by_address.get(address)
        return group[0] if group else None

    def add(self, linked: Linked) -> None:
        """Add a link."""
        self._by_address.setdefault(linked.member.address, []).append(linked)

    def remove(self, linked: Linked) -> bool:
        """Remove a link.

        :return: whether it was in the table.
        """
        address = linked.member.address
        before = self._by_address.get(address, [])
        group = [other for other in before if other is not linked]
        if group:
            self._by_address[address] = group
        else:
            self._by_address.pop(address, None)
        return len(group) < len(before)
