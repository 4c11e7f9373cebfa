"""A bounded cache of claims, used while the store is unavailable."""

from auburncart.state.order import Claim, ClaimState

__all__ = ["RecentClaims"]

FINAL_STATES = {ClaimState.DONE, ClaimState.REJECTED}


class RecentClaims:
    """Holds the claims that this process saw last.

    It is never a reason to send an order; it only tells what became of one.

    :param max_claims: maximum number of claims.
    """

    def __init__(self, max_claims: int = 4096) -> None:
        self._max_claims = max_claims
        self._claims: dict[str, Claim] = {}

    def add(self, claim: Claim) -> None:
        """Add a claim, or replace the one with the same key."""
        self._claims.pop(claim.key, None)
        self._claims[claim.key] = claim
        if len(self._claims) > self._max_claims:
            del self._claims[next(iter(self._claims))]

    def last(self, key: str) -> Claim | None:
        """Return the last known claim of a key, None if there is none or it was released."""
        claim = self._claims.get(key)
        return None if claim is None or claim.state is ClaimState.RELEASED else claim

    def final(self, key: str) -> Claim | None:
        """Return the claim of a key if its state is final."""
        claim = self._claims.get(key)
        return claim if claim is not None and claim.state in FINAL_STATES else None
