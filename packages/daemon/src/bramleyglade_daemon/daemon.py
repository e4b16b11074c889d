"""Assembly, tasks and graceful shutdown of a daemon."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.http.json_server import JsonServer
from bramleyglade_core.decisions.stop_schedule import plan_stop
from bramleyglade_core.model.announcements import DaemonPhase
from bramleyglade_daemon.descriptors import max_open_callers
from bramleyglade_daemon.fleet.keepers import Keepers
from bramleyglade_daemon.fleet.member_records import MemberRecords
from bramleyglade_daemon.fleet.member_store import MemberStore
from bramleyglade_daemon.fleet.membership import Membership
from bramleyglade_daemon.fleet.message_handler import MessageHandler
from bramleyglade_daemon.fleet.peers import Peers
from bramleyglade_daemon.fleet.shared_state import SharedState
from bramleyglade_daemon.fleet.zone_balancer import ZoneBalancer
from bramleyglade_daemon.front.caller_task import Front
from bramleyglade_daemon.front.dispatcher import Dispatcher
from bramleyglade_daemon.front.guard_ports import GuardPorts
from bramleyglade_daemon.front.link_opener import LinkOpener
from bramleyglade_daemon.front.retry_loans import RetryLoans
from bramleyglade_daemon.front.team_limiter import TeamLimiter
from bramleyglade_daemon.guard.announce_server import AnnounceServer
from bramleyglade_daemon.guard.ejector import Ejector
from bramleyglade_daemon.guard.guard import Guard, LocalGuardPort
from bramleyglade_daemon.guard.report_reader import ReportReader
from bramleyglade_daemon.guard.start_probe import StartProbe
from bramleyglade_daemon.listener import Listener, accept_all

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bramleyglade_adapters.link.link import Link
    from bramleyglade_core.model.identifiers import Address
    from bramleyglade_core.model.peer_messages import HelloSaid
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.listener import ConnectionHandler

_BACKLOG = 512
"""Connections per listener that may wait to be accepted."""

_RESTART_DELAY_SECONDS = 1.0
_STOP_POLL_SECONDS = 0.05
_FINAL_RECORD_SECONDS = 0.3
"""Time for the last record; a silent store must not delay the end of the process."""

_LAST_ANSWERS_SECONDS = 0.2
"""Time for the answers to requests that are given up at the end of a stop."""

_LOG = logging.getLogger(__name__)


class Daemon:
    """Assembles the components and runs their tasks."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.peers = Peers(context)
        self.shared = SharedState(context, self.peers)
        self.records = MemberRecords(context, self.peers)
        self.member_store = MemberStore(context, self.peers, self.records)
        self.membership = Membership(
            context, self.peers, self.shared, self.records, self.member_store
        )
        self.keepers = Keepers(context, self.peers, self.shared)
        self.guard = Guard(context)
        local = LocalGuardPort(self.guard, context.settings.peers.window_bytes)
        ports = GuardPorts(context, self.peers, local)
        opener = LinkOpener(context, self.peers)
        retries = RetryLoans(context, self.peers)
        dispatcher = Dispatcher(context, ports, retries, opener)
        self.limiter = TeamLimiter(context, self.keepers)
        self.front = Front(context, dispatcher, self.limiter)
        self.peers.handler = MessageHandler(
            context,
            self.peers,
            self.membership,
            self.records,
            self.shared,
            self.keepers,
            self.guard,
        )
        self.peers.on_link_opened = self._handle_hello
        self.keepers.calls.on_unanswered = self.membership.probe_unanswered
        self.guard.on_changed = self.records.publish
        self.guard.keep_record = self.member_store.keep_record
        self.records.on_history = self.guard.restore
        self.records.on_predecessor = self.member_store.replace_predecessor
        self.guard.on_view_changed = self.peers.send_to_linked_peers
        self.shared.on_lease_extended = self.limiter.extend
        self.shared.on_era = [self.member_store.note_era, self.keepers.note_era]
        self.keepers.on_recalled = self.limiter.recall
        self.keepers.on_holdings_asked = self.limiter.report_holdings
        announcer = AnnounceServer(context, self.guard)
        self.listeners: list[Listener] = [
            Listener(
                context.settings.announce_address, JsonServer(announcer.answer).serve
            )
        ]
        """Listeners for clients other than callers and peers."""
        self.adapter_tasks: list[Callable[[], Awaitable[None]]] = []
        """Tasks of the adapters, which run as long as the daemon."""
        self._tasks: list[curio.Task] = []
        self._caller_listener: curio.Task | None = None

    async def start(self) -> None:
        """Start all tasks and listeners."""
        settings = self.context.settings
        for work in (
            self.shared.run,
            self.records.relay_changes,
            self.member_store.publish_to_store,
            self.member_store.discover_members,
            self.membership.maintain_neighbour_links,
            self.membership.watch_neighbours,
            self.keepers.run,
            self.limiter.run,
            self.front.dispatcher.opener.run,
            self.guard.watch_targets,
            self.guard.watch_due,
            ZoneBalancer(self.context).run,
            ReportReader(self.guard).run,
            Ejector(self.context, self.guard, self.keepers).run,
            *self.adapter_tasks,
        ):
            self._tasks.append(await curio.spawn(_run_forever, work, daemon=True))
        probe = StartProbe(self.context, self.guard)
        self._tasks.append(await curio.spawn(probe.run, daemon=True))
        await self._listen(settings.peer_address, self.peers.accept)
        for listener in self.listeners:
            await self._listen(listener.address, listener.serve)
        self._caller_listener = await self._listen(
            settings.caller_address,
            self.front.serve,
            max_open_callers(settings.front),
        )
        extra = {"daemon": settings.name, "address": str(settings.peer_address)}
        _LOG.info("DaemonStarted", extra=extra)

    async def stop(self) -> None:
        """Stop gracefully: finish requests, return shares, hand over shards."""
        _LOG.info("DaemonStopping", extra={"daemon": self.context.settings.name})
        context = self.context
        schedule = plan_stop(context.settings, context.clock())
        context.stop_schedule = schedule
        context.phase = DaemonPhase.LEAVING
        await self.records.publish()
        self._tasks.append(await curio.spawn(self._hand_over_early, daemon=True))
        async with curio.ignore_after(context.settings.stop_seconds):
            # Callers may still connect until they notice that this daemon leaves.
            await curio.sleep(context.settings.notice_seconds)
            # Targets that work on requests may need answers to calls of their own.
            while self.guard.busy and context.clock() < schedule.acceptance_ends_at:
                await curio.sleep(_STOP_POLL_SECONDS)
            await self._stop_accepting()
            self._log_stop("AcceptanceEnded")
            await self._wait_idle()
            await self.limiter.release_all()
            await self.keepers.hand_over_all()
        await self._stop_accepting()
        if self.front.busy or self.guard.busy:
            self._log_stop("GraceEnded")
        await self.front.give_up()
        async with curio.ignore_after(_LAST_ANSWERS_SECONDS):
            while self.front.busy:
                await curio.sleep(_STOP_POLL_SECONDS)
        context.phase = DaemonPhase.GONE
        await self.records.publish()
        async with curio.ignore_after(_FINAL_RECORD_SECONDS):
            await self.member_store.write_final_record()
        await self.guard.close()
        await curio.sleep(_STOP_POLL_SECONDS)
        for task in self._tasks:
            await task.cancel()
        await self.peers.close()
        self._log_stop("DaemonStopped")

    def _log_stop(self, event: str) -> None:
        """Log a step of the stop, with what is still unanswered."""
        schedule = self.context.stop_schedule
        assert schedule is not None
        left_seconds = schedule.ends_at - self.context.clock()
        extra = {
            "daemon": self.context.settings.name,
            "front_busy": self.front.busy,
            "guard_busy": self.guard.busy,
            "connections": len(self.front.connections),
            "left_seconds": round(left_seconds, 3),
        }
        _LOG.info(event, extra=extra)

    async def _hand_over_early(self) -> None:
        """Hand the shards over once the store is known to answer.

        What a leaving daemon still keeps when it fails is without a keeper for seconds.
        While the store is away no assignment can change, so it keeps them to the end.
        """
        if await self.member_store.keep_record():
            await self.keepers.hand_over_all()

    async def _stop_accepting(self) -> None:
        """Read no request from now on; those already read are still answered.

        What has arrived but was not read yet is refused.
        """
        context = self.context
        if context.stop_schedule is not None:
            now = context.clock()
            context.stop_schedule = context.stop_schedule.with_acceptance_ended(now)
        if self._caller_listener is not None:
            await self._caller_listener.cancel()
        await self.front.stop_accepting()

    async def _wait_idle(self) -> None:
        while self.front.busy or self.guard.busy:
            await curio.sleep(_STOP_POLL_SECONDS)

    async def _listen(
        self, address: Address, serve: ConnectionHandler, max_open: int | None = None
    ) -> curio.Task:
        sock = curio.tcp_server_socket(address.host, address.port, backlog=_BACKLOG)
        task = await curio.spawn(accept_all, sock, serve, max_open, daemon=True)
        self._tasks.append(task)
        return task

    async def _handle_hello(self, link: Link, hello: HelloSaid) -> None:
        self.context.picker.clear_daemon_avoidance(hello.daemon.name)
        await curio.spawn(self.membership.send_heartbeats, link, daemon=True)
        await self.records.greet(link, hello.record)


async def _run_forever(work: Callable[[], Awaitable[None]]) -> None:
    """Run a task of the daemon; log a crash and restart the task."""
    while True:
        try:
            await work()
        except curio.CancelledError:
            raise
        except Exception:
            _LOG.exception("TaskCrashed", extra={"task": work.__qualname__})
        await curio.sleep(_RESTART_DELAY_SECONDS)
