"""The claims that one process saw last, for when the store cannot be asked."""

from auburncart.state.order import Claim, ClaimState

__all__ = ["RecentClaims"]

FINAL = {ClaimState.DONE, ClaimState.REJECTED}


class RecentClaims:
    """Remembers a bounded number of claims, the latest ones.

    It never allows an order to be sent; it only tells what became of one.

    :param most: number of claims.
    """

    def __init__(self, most: int = 4096) -> None:
        self._most = most
        self._claims: dict[str, Claim] = {}

    def remember(self, claim: Claim) -> None:
        """Take a claim in, in place of what was known of its key."""
        self._claims.pop(claim.key, None)
        self._claims[claim.key] = claim
        if len(self._claims) > self._most:
            del self._claims[next(iter(self._claims))]

    def last(self, key: str) -> Claim | None:
        """Return the claim of a key unless it was given back, as far as this process knows."""
        claim = self._claims.get(key)
        return None if claim is None or claim.state is ClaimState.RELEASED else claim

    def final(self, key: str) -> Claim | None:
        """Return the claim of a key if nothing can change it any more."""
        claim = self._claims.get(key)
        return claim if claim is not None and claim.state in FINAL else None
