"""Whether a request may have run at a target."""

from __future__ import annotations

from enum import Enum


class Verdict(Enum):
    """What is known of the effect of a request."""

    NOT_RUN = "not-run"
    """No byte of the request has reached a target, and none will."""

    MAY_HAVE_RUN = "may-have-run"
    """Bytes may have reached a target, and nobody knows what it did with them."""

    RAN = "ran"
    """The target has answered."""

    def combined_with(self, other: Verdict) -> Verdict:
        """Return what is known of a request from two of its attempts."""
        order = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
        return max(self, other, key=order.index)
