"""Verdicts on whether a request may have run at a target."""

from __future__ import annotations

from enum import Enum


class Verdict(Enum):
    """Whether a request has run, may have run or has not run at a target."""

    NOT_RUN = "not-run"
    """The request has not run at a target and never will.

    No byte has reached a target, or the target reports that it has not run.
    """

    MAY_HAVE_RUN = "may-have-run"
    """Bytes may have reached a target, with unknown effect."""

    RAN = "ran"
    """The target has answered."""

    def combined_with(self, other: Verdict) -> Verdict:
        """Return the verdict on a request from those on two of its attempts."""
        order = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
        return max(self, other, key=order.index)
