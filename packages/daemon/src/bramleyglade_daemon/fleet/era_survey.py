"""Survey of how far the members have followed the store in its era."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bramleyglade_core.model.errors import FleetError
from bramleyglade_core.model.peer_messages import BatchAsked, BatchTold
from bramleyglade_daemon.fleet.gather import gather
from bramleyglade_daemon.fleet.keeper_calls import ANSWER_TIMEOUT_SECONDS
from bramleyglade_daemon.fleet.peers import expect

if TYPE_CHECKING:
    from bramleyglade_core.model.announcements import KeeperAssignment
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers

NOTHING_AFTER = 2**62
"""A revision that no store reaches; asked for, a peer tells only how far it is."""

_LOG = logging.getLogger(__name__)


class EraSurvey:
    """Asks all members which revision of which era they have merged."""

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers

    async def is_seen_by_all(self, newest: KeeperAssignment) -> bool:
        """Return whether every member has merged an assignment or later ones.

        Then no member acts on an assignment of an earlier era any more.

        Args:
            newest: An assignment in force.
        """
        own_name = self._context.settings.name
        directory = self._context.directory
        names = [name for name in directory.member_names() if name != own_name]
        answers = await gather(self._query(name) for name in names)
        if not {own_name, *names}.issuperset(directory.member_names()):
            return False
        return all(
            answer is not None
            and answer.era == newest.era
            and answer.up_to >= newest.revision
            for answer in answers
        )

    async def _query(self, name: str) -> BatchTold | None:
        try:
            answer = await self._peers.call(
                name, BatchAsked(NOTHING_AFTER), ANSWER_TIMEOUT_SECONDS
            )
            return expect(answer, BatchTold)
        except FleetError as error:
            extra = {"member": name, "why": str(error)}
            _LOG.info("ProgressUnknown", extra=extra)
            return None
