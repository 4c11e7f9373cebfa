"""The table of a VM's open links, by the address of the other side."""

from collections.abc import Iterator
from typing import NamedTuple

from auburncart.coordination.interfaces import PeerLink
from auburncart.state.member import Member

__all__ = ["AuthenticatedLink", "LinkTable"]


class AuthenticatedLink(NamedTuple):
    """A link whose handshake has succeeded.

    :param dialled: whether this VM opened it.
    """

    link: PeerLink
    member: Member
    dialled: bool


class LinkTable:
    """A table of open links; there may be two to one member, one opened by each side."""

    def __init__(self) -> None:
        self._by_address: dict[str, list[AuthenticatedLink]] = {}

    def __iter__(self) -> Iterator[AuthenticatedLink]:
        return iter([linked for links in self._by_address.values() for linked in links])

    def __len__(self) -> int:
        return sum(map(len, self._by_address.values()))

    def __contains__(self, address: str) -> bool:
        return address in self._by_address

    @property
    def addresses(self) -> set[str]:
        """Addresses of all members to which there is a link."""
        return set(self._by_address)

    def get(self, address: str) -> AuthenticatedLink | None:
        """Return the oldest link to a member, or None."""
        links = self._by_address.get(address)
        return links[0] if links else None

    def add(self, linked: AuthenticatedLink) -> None:
        """Add a link."""
        self._by_address.setdefault(linked.member.address, []).append(linked)

    def remove(self, linked: AuthenticatedLink) -> bool:
        """Remove a link.

        :return: whether it was in the table.
        """
        address = linked.member.address
        links_before = self._by_address.get(address, [])
        links = [other for other in links_before if other is not linked]
        if links:
            self._by_address[address] = links
        else:
            self._by_address.pop(address, None)
        return len(links) < len(links_before)
