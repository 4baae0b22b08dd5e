"""A daemon that accepts jobs and may become the leader of its cell."""

from __future__ import annotations

import asyncio
import random
import secrets
from typing import TYPE_CHECKING

from currantreach_jobs._advice import AdviceService
from currantreach_jobs._bounds import check_job
from currantreach_jobs._coordinator import Coordinator, load_shared_secret
from currantreach_jobs._job_queries import JobQueries
from currantreach_jobs._job_scheduler import JobScheduler
from currantreach_jobs._key_writer import KeyWriter
from currantreach_jobs._links import Links
from currantreach_jobs._messages import (
    AdviceRequest,
    AnnounceReply,
    CancelRequest,
    CellViewReply,
    CountRequest,
    StateRequest,
    SubmitRequest,
)
from currantreach_jobs._submissions import (
    SubmissionService,
    build_forward_reply,
)
from currantreach_jobs._supervision import keep_running
from currantreach_links import Handler, PeerServer
from currantreach_telemetry import log_event
from currantreach_types import decode_msgpack, encode_msgpack
from currantreach_types.errors import CurrantreachError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from currantreach_jobs._clients import DaemonDependencies
    from currantreach_jobs._model import SiteConfig
    from currantreach_jobs._settings import JobSettings
    from currantreach_types import Clock

__all__ = ('JobDaemon',)

# Random part of the daemon id, so that a restarted process has another id.
_ID_BYTES = 3
# Until the next cleanup, links to former members take a little memory.
_LINK_CLEANUP_INTERVAL_S = 5
# Timeout of a call to a peer. A call to another failure domain takes some
# 40 ms, including the connection setup.
_PEER_TIMEOUT_S = 0.5
# A daemon to which the store has not answered for this long reports itself not
# ready, so that new callers use another one. Its watches return once a second.
_MAX_STORE_SILENCE_S = 2


class JobDaemon:
    """The components of one daemon.

    :ivar daemon_id: name of the host and a random suffix.
    :ivar scheduler: the scheduler while this daemon is the leader.
    :ivar submissions: accepts jobs and cancellations.
    :ivar job_queries: answers queries for jobs.
    """

    def __init__(
        self,
        host_name: str,
        link_address: str,
        dependencies: DaemonDependencies,
        settings: JobSettings,
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        """Create the components; :meth:`run` starts them.

        :param link_address: ``tcp://<ip>:<port>`` of the link server.
        :param rng: source of all random choices, seeded in tests.
        """
        self.daemon_id = f'{host_name}-{secrets.token_hex(_ID_BYTES)}'
        self.scheduler: JobScheduler | None = None
        self._link_address = link_address
        self._dependencies = dependencies
        self._settings = settings
        self._clock = clock
        self._coordinator = Coordinator(
            self.daemon_id,
            host_name,
            link_address,
            dependencies.store,
            settings,
            clock,
            rng or random.Random(),
        )
        self._links = Links(self._coordinator)
        self._coordinator.fetch_peer_view = self._fetch_peer_view
        self._advice_service = AdviceService(dependencies.advice)
        self._key_writer = KeyWriter(dependencies.store)
        self.submissions = SubmissionService(
            dependencies.store,
            self._key_writer,
            self._coordinator,
            self._links,
            clock,
            lambda: self.scheduler,
            lambda: self.config,
        )
        self.job_queries = JobQueries(
            dependencies.store,
            self._coordinator,
            self._links,
            lambda: self.scheduler,
        )
        self._is_serving = False
        dependencies.metrics.add_gauge(
            'currantreach_waiting_stages',
            lambda: (
                self.scheduler.wait_monitor.count_by_reason()
                if self.scheduler
                else {}
            ),
            'reason',
        )
        dependencies.metrics.add_gauge(
            'currantreach_job_memory_bytes',
            lambda: (
                self.scheduler.cluster.memory.by_kind()
                if self.scheduler
                else {}
            ),
            'kind',
        )
        dependencies.metrics.add_gauge(
            'currantreach_learned_durations',
            lambda: (
                self.scheduler.cluster.durations.key_counts()
                if self.scheduler
                else {}
            ),
            'kind',
        )
        dependencies.metrics.add_gauge(
            'currantreach_workers',
            lambda: self.scheduler.worker_counts() if self.scheduler else {},
            'state',
        )

    @property
    def config(self) -> SiteConfig | None:
        """Return the current configuration, ``None`` before the first."""
        return self._dependencies.source.config

    def is_ready(self) -> bool:
        """Tell whether new callers should use this daemon."""
        if (
            not self._is_serving
            or self._coordinator.is_leaving
            or self.config is None
        ):
            return False
        last_answer_at_s = self._dependencies.source.last_answer_at_s
        return self._clock.now_s() < last_answer_at_s + _MAX_STORE_SILENCE_S

    async def run(self) -> None:
        """Serve until the task is cancelled."""
        dependencies = self._dependencies
        config_task = self._start_part('config', dependencies.source.follow)
        secret = await load_shared_secret(dependencies.store)
        self._links.secret = secret
        server = PeerServer(self._link_address, secret, self._handlers())
        await server.start()
        self._is_serving = True
        log_event('daemon_started', daemon=self.daemon_id)
        parts = {
            'cell': self._coordinator.follow,
            'membership': self._coordinator.maintain_membership,
            'key_writer': self._key_writer.run,
            'load': self.submissions.follow_load,
            'leadership': self._lead,
            'links': self._close_stale_links,
        }
        tasks = [config_task]
        tasks.extend(self._start_part(name, run) for name, run in parts.items())
        try:
            await asyncio.wait(tasks)
        finally:
            await self._close(tasks, server)

    async def leave(self) -> None:
        """Leave the cell before the process stops.

        A leader gives up the leadership, and it is not elected any more.
        """
        self._coordinator.is_leaving = True
        if self.scheduler is not None:
            await self.scheduler.resign()

    async def _close(
        self,
        tasks: list[asyncio.Task[None]],
        server: PeerServer,
    ) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._links.close()
        await server.close()
        await self._dependencies.advice.close()
        await self._dependencies.store.close()

    def _start_part(
        self,
        name: str,
        run: Callable[[], Coroutine[object, object, None]],
    ) -> asyncio.Task[None]:
        return asyncio.create_task(
            keep_running(name, run, self._dependencies.metrics.record_retry)
        )

    async def _lead(self) -> None:
        dependencies = self._dependencies
        while True:
            leadership = await self._coordinator.acquire_leadership()
            self.scheduler = JobScheduler(
                leadership,
                self._coordinator,
                dependencies,
                self._links,
                self._advice_service,
                self._settings,
                self._clock,
            )
            try:
                await self.scheduler.run()
            finally:
                self.scheduler = None

    async def _close_stale_links(self) -> None:
        while True:
            await asyncio.sleep(_LINK_CLEANUP_INTERVAL_S)
            await self._links.close_stale()

    def _handlers(self) -> dict[str, Handler]:
        return {
            'advise': self._on_advise,
            'announce': self._on_announce,
            'cancel': self._on_cancel,
            'cell': self._on_cell,
            'count': self._on_count,
            'load': self._on_load,
            'state': self._on_state,
            'submit': self._on_submit,
        }

    async def _on_advise(self, body: bytes) -> bytes:
        request = decode_msgpack(body, AdviceRequest)
        return encode_msgpack(await self._advice_service.ask(request))

    async def _on_announce(self, body: bytes) -> bytes:
        request = decode_msgpack(body, SubmitRequest)
        self.submissions.accept_announced_job(check_job(request.job))
        return encode_msgpack(AnnounceReply())

    async def _on_cell(self, _: bytes) -> bytes:
        return encode_msgpack(self._coordinator.view())

    async def _on_load(self, _: bytes) -> bytes:
        return encode_msgpack(self.submissions.answer_load())

    async def _on_submit(self, body: bytes) -> bytes:
        request = decode_msgpack(body, SubmitRequest)
        response = await self.submissions.submit_locally(check_job(request.job))
        return encode_msgpack(build_forward_reply(response))

    async def _on_cancel(self, body: bytes) -> bytes:
        request = decode_msgpack(body, CancelRequest)
        response = await self.submissions.cancel_locally(
            request.job_id,
            request.queue,
            request.team,
        )
        return encode_msgpack(build_forward_reply(response))

    async def _fetch_peer_view(self, address: str) -> CellViewReply | None:
        try:
            return await self._links.call(
                address,
                'cell',
                None,
                CellViewReply,
                _PEER_TIMEOUT_S,
            )
        except CurrantreachError as error:
            log_event('peer_unreachable', address=address, error=error)
            return None

    async def _on_state(self, body: bytes) -> bytes:
        request = decode_msgpack(body, StateRequest)
        return encode_msgpack(self.job_queries.answer_state(request))

    async def _on_count(self, body: bytes) -> bytes:
        request = decode_msgpack(body, CountRequest)
        return encode_msgpack(self.job_queries.answer_count(request))
