"""Liveness of members: heartbeats, failure detection and links to neighbours."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.link.link import LinkLost
from bramleyglade_core.decisions.neighbours import Member, choose_neighbours
from bramleyglade_core.decisions.regions import region_of
from bramleyglade_core.decisions.rendezvous import winner
from bramleyglade_core.model.errors import FleetError
from bramleyglade_core.model.peer_messages import (
    HeartbeatAnswered,
    HeartbeatSent,
    LookAsked,
    LookTold,
    RecordsTold,
    SuspicionTold,
)
from bramleyglade_daemon.fleet.gather import gather
from bramleyglade_daemon.fleet.peers import expect

if TYPE_CHECKING:
    from bramleyglade_adapters.link.link import Link
    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.model.announcements import MemberRecord
    from bramleyglade_core.model.peer_messages import RegionHeard
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.member_records import MemberRecords
    from bramleyglade_daemon.fleet.member_store import MemberStore
    from bramleyglade_daemon.fleet.peers import Peers
    from bramleyglade_daemon.fleet.shared_state import SharedState

_GONE_AFTER_SECONDS = 6.0
"""Time without contact after which a member is marked as gone in the store; all its
shares of teams' rates have lapsed by then."""

_PROBE_TIMEOUT_SECONDS = 0.8
"""Timeout of an indirect probe; the peer's own dial may take half a second of it."""

_PROBE_PAUSE_SECONDS = 1.0
"""Least time between two probes of a member that does not answer calls."""

_FIRST_PERIODS = 2
"""Heartbeats in one period while a daemon that has just started awaits evidence."""

_NEIGHBOUR_PERIOD_SECONDS = 1.0
_NEIGHBOUR_PAUSE_SECONDS = 0.05
"""Least time between two choices of neighbours, while a fleet starts."""

_LOG = logging.getLogger(__name__)


class Membership:
    """Detects members that have failed, and keeps links to this daemon's neighbours."""

    def __init__(
        self,
        context: Context,
        peers: Peers,
        shared: SharedState,
        records: MemberRecords,
        store: MemberStore,
    ) -> None:
        self._context = context
        self._peers = peers
        self._shared = shared
        self._records = records
        self._store = store
        self._chosen_from: tuple[int, Configuration] | None = None
        """Version of the directory's members, and the configuration with their regions,
        that the neighbours were chosen from."""
        self._probed: set[str] = set()
        """Keepers that are being or were just probed since a call failed."""

    async def handle_suspicion(self, suspicion: SuspicionTold, source: str) -> None:
        """Suspect a daemon that a peer suspects, unless it has answered recently."""
        name = suspicion.daemon.name
        if suspicion.daemon == self._context.daemon:
            await self._records.publish()
            return
        record = self._context.directory.record_by_name.get(name)
        if record is None or record.daemon != suspicion.daemon:
            return
        if self._is_responsive(name):
            await self._peers.send_to_neighbours(RecordsTold((record,)))
            return
        if self._context.directory.suspect(name):
            self._log_suspicion(record, source)
            await self._peers.send_to_neighbours(suspicion, exclude=source)

    async def probe_member(self, request: LookAsked) -> LookTold:
        """Check on behalf of a peer whether a daemon answers."""
        is_live = self._is_responsive(request.name)
        if not is_live:
            try:
                await self._peers.ensure_link(request.name)
                is_live = True
            except LinkLost:
                is_live = False
        return LookTold(request.name, is_live)

    async def probe_unanswered(self, name: str) -> None:
        """Start an indirect probe of a keeper that has not answered a call.

        Requests find a failed keeper sooner than its neighbours' heartbeats do, above
        all after a start, when no daemon knows when the members were last seen. Other
        members aren't probed for a failed call: in a fleet that starts, most calls to
        most members fail, and each suspicion is a message to all.
        """
        if name not in self._probed and self._context.directory.is_live(name):
            self._probed.add(name)
            await curio.spawn(self._probe_once, name, daemon=True)

    async def send_heartbeats(self, link: Link) -> None:
        """Send heartbeats on one link until it breaks."""
        period = self._context.settings.peers.heartbeat_seconds
        differed = True
        while link.is_open:
            # Twice as often while requests are in flight, to detect a failure sooner.
            # Links between regions are shared by all daemons, and few of them are open.
            is_hurried = link.stream_count and not self._peers.is_far(link)
            pause = period / 2 if is_hurried else period
            if self._shared.awaits_first_evidence:
                pause = period / _FIRST_PERIODS
            if link.stream_count or self._peers.is_neighbour(link):
                differs = await self._send_heartbeat(link)
                # A change that is on its way makes records differ for a moment.
                if differs and differed:
                    await self._records.reconcile(link)
                differed = differs
            await curio.sleep(pause * self._context.random.uniform(0.9, 1.1))

    async def watch_neighbours(self) -> None:
        """Detect unresponsive neighbours and expire absent members, until cancelled."""
        while True:
            await curio.sleep(self._context.settings.peers.heartbeat_seconds)
            await self._probe_unresponsive()
            self._context.directory.forget_absent(self._context.clock())
            await self._mark_absent_gone()

    async def maintain_neighbour_links(self) -> None:
        """Keep links to the neighbours; connect to the seeds while no link is open."""
        while True:
            self._choose_neighbours()
            self._peers.count_bytes()
            await self._peers.close_idle_links()
            for name in self._peers.neighbours:
                await self._peers.maintain_link(name)
            if not self._peers.open_links():
                for address in self._context.settings.seed_peers:
                    await self._peers.connect_seed(address)
            await curio.sleep(_NEIGHBOUR_PAUSE_SECONDS)
            wait = _NEIGHBOUR_PERIOD_SECONDS * self._context.random.uniform(0.8, 1.2)
            await curio.ignore_after(wait, self._records.members_changed.wait)
            self._records.members_changed.clear()

    async def _send_heartbeat(self, link: Link) -> bool:
        """Send a heartbeat; return whether the peer's member records differ."""
        assert link.peer is not None
        name = link.peer.daemon.name
        settings = self._context.settings.peers
        sent_at = self._context.clock()
        heard: tuple[RegionHeard, ...] = ()
        if not self._peers.is_far(link):  # Other regions have relays of their own.
            heard = self._context.region_contact.tell(sent_at)
        heartbeat = HeartbeatSent(
            self._context.view.revision,
            self._context.directory.digest,
            self._context.view.era,
            heard,
        )
        self._peers.note_heartbeat(link)
        try:
            reply = await link.call(heartbeat, settings.suspect_seconds)
            answer = expect(reply, HeartbeatAnswered)
        except FleetError:
            # This link has failed; another one to the same peer may still work.
            await link.close()
            return False
        self._peers.note_heartbeat_answered(link)
        self._peers.note_region_heard(link)
        self._peers.mark_seen(name)
        self._note_zones(name, answer, self._context.clock() - sent_at)
        self._context.update_views(name, answer.views)
        self._context.loads.learn(name, answer.loads, self._context.clock())
        await self._shared.apply_heartbeat_answer(link, answer, sent_at)
        return answer.members_digest != self._context.directory.digest

    def _note_zones(self, name: str, answer: HeartbeatAnswered, seconds: float) -> None:
        """Store what a peer reports of the zones, and the round trip to its zone."""
        record = self._context.directory.record_by_name.get(name)
        if record is None:
            return
        loads = self._context.zone_loads
        now, configuration = self._context.clock(), self._context.configuration
        loads.note_round_trip(record.zone, seconds, now)
        loads.note_report(name, record.zone, answer.zones, configuration, now)

    async def _probe_unresponsive(self) -> None:
        """Start an indirect probe of each neighbour that has stopped answering."""
        bound = self._context.settings.peers.suspect_seconds
        for name in self._peers.neighbours:
            if not self._context.directory.is_live(name):
                continue
            if self._peers.unresponsive_seconds(name) >= bound:
                await curio.spawn(self._probe_indirectly, name, False, daemon=True)

    async def _mark_absent_gone(self) -> None:
        """Mark long-unresponsive members as gone in the store.

        Otherwise a fleet that restarts would wait for them. A live member that was
        only partitioned refutes this with a newer record.
        """
        now = self._context.clock()
        directory = self._context.directory
        absent = [
            name
            for name in directory.member_names()
            if directory.absent_seconds(name, now) >= _GONE_AFTER_SECONDS
        ]
        serving = directory.serving_names() if absent else []
        for name in absent:
            responsible = winner(f"gone/{name}", serving)
            is_responsible = responsible == self._context.settings.name
            if is_responsible and self._context.lease.is_valid:
                await self._store.mark_gone(directory.record_by_name[name])

    async def _probe_once(self, name: str) -> None:
        try:
            await self._probe_indirectly(name, needs_answer=True)
            await curio.sleep(_PROBE_PAUSE_SECONDS)
        finally:
            self._probed.discard(name)

    async def _probe_indirectly(self, name: str, needs_answer: bool) -> None:
        """Suspect a member unless a peer reaches it.

        Args:
            name: The member's name.
            needs_answer: Whether a peer has to confirm that it doesn't reach the
                member; if none answers, this daemon may be the one that is cut off.
        """
        count = self._context.settings.peers.indirect_checks
        links = [
            link
            for link in self._peers.open_links()
            if link.peer is not None and link.peer.daemon.name != name
        ]
        chosen = self._context.random.sample(links, min(count, len(links)))
        answers = await gather(self._request_probe(link, name) for link in chosen)
        if any(answers) or (needs_answer and False not in answers):
            return
        record = self._context.directory.record_by_name.get(name)
        if record is None or self._is_responsive(name):
            return
        if self._context.directory.suspect(name):
            self._log_suspicion(record, self._context.settings.name)
            await self._peers.send_to_neighbours(SuspicionTold(record.daemon))

    async def _request_probe(self, link: Link, name: str) -> bool | None:
        """Ask a peer whether a daemon answers it; None without a reply."""
        try:
            reply = await link.call(LookAsked(name), _PROBE_TIMEOUT_SECONDS)
            return expect(reply, LookTold).is_live
        except FleetError as error:
            extra = {"member": name, "peer": link.peer_name, "why": str(error)}
            _LOG.info("LookUnanswered", extra=extra)
            return None

    def _log_suspicion(self, record: MemberRecord, source: str) -> None:
        silent_seconds = self._peers.seconds_since_seen(record.daemon.name)
        extra = {
            "member": record.daemon.name,
            "address": str(record.address),
            "by": source,
            "silent_seconds": (
                round(silent_seconds, 2) if math.isfinite(silent_seconds) else None
            ),
        }
        _LOG.warning("MemberSuspected", extra=extra)

    def _is_responsive(self, name: str) -> bool:
        return (
            self._peers.seconds_since_seen(name)
            < self._context.settings.peers.suspect_seconds
        )

    def _choose_neighbours(self) -> None:
        directory, configuration = self._context.directory, self._context.configuration
        chosen_from = (directory.members_version, configuration)
        if self._chosen_from == chosen_from:
            return
        self._chosen_from = chosen_from
        records = directory.record_by_name
        settings = self._context.settings
        serving = set(directory.serving_names())
        member_by_name = {}
        for name in directory.member_names():
            zone = records[name].zone
            region = region_of(zone, configuration, settings)
            member_by_name[name] = Member(zone, region, name in serving)
        self._peers.set_neighbours(choose_neighbours(settings, member_by_name))
