"""Changes of a whole ticket that are being fetched from peers, piece by piece."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyglade_core.model.peer_messages import BatchTold


@dataclass(frozen=True, slots=True)
class PartialChanges:
    """The first bytes of changes, which any peer that has the same can continue."""

    base_ticket: int
    whole_ticket: int
    digest: int
    size: int
    """Size of the whole, in bytes."""
    data: bytes = b""

    @property
    def is_complete(self) -> bool:
        """Whether no byte is missing."""
        return len(self.data) >= self.size

    def extended(self, data: bytes) -> PartialChanges:
        """Return the changes with the bytes that follow.

        Raises:
            ValueError: If there are more than the changes have.
        """
        if len(self.data) + len(data) > self.size:
            raise ValueError("a piece exceeds the size of the changes")
        return replace(self, data=self.data + data)

    def is_same_as(self, told: BatchTold) -> bool:
        """Return whether a peer tells the same changes."""
        return (self.base_ticket, self.whole_ticket, self.digest, self.size) == (
            told.base_ticket,
            told.whole_ticket,
            told.changes_digest,
            told.changes_size,
        )


def begun_or_continued(
    partial: PartialChanges | None, told: BatchTold
) -> PartialChanges:
    """Return what is known of the changes that a peer tells.

    Args:
        partial: Changes that were being fetched, possibly others; None if none were.
        told: The peer's message, with the first bytes.

    Returns:
        The fetched bytes if they are of the same changes, or else those of the message.
    """
    if partial is not None and partial.is_same_as(told):
        if len(partial.data) >= len(told.changes):
            return partial
    return PartialChanges(
        told.base_ticket,
        told.whole_ticket,
        told.changes_digest,
        told.changes_size,
        told.changes,
    )
