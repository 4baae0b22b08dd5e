"""One daemon that accepts jobs and may decide for the whole cell."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from currantreach_jobs._advice import AdviceService
from currantreach_jobs._coordinator import Coordinator, shared_secret
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
from currantreach_jobs._supervision import failure_of
from currantreach_links import Handler, PeerServer
from currantreach_telemetry import log_event, log_warning
from currantreach_types import decode_packed, encode_packed
from currantreach_types.errors import CurrantreachError

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from currantreach_jobs._clients import DaemonDependencies
    from currantreach_jobs._model import SiteConfig
    from currantreach_jobs._settings import JobSettings
    from currantreach_types import Clock

__all__ = ('JobDaemon',)

# Enough that two lives of a process on one host differ.
_ID_BYTES = 3
# Links to daemons that are gone cost a little memory until then.
_CLEAN_S = 5
# An exchange across failure domains takes some 40 ms, set-up included.
_ASK_S = 0.5
# A daemon that hears nothing of the store for this long sends new callers
# elsewhere; its watches return once a second.
_STORE_SILENCE_S = 2


class JobDaemon:
    """All parts of one daemon."""

    def __init__(
        self,
        host_name: str,
        link_address: str,
        dependencies: DaemonDependencies,
        settings: JobSettings,
        clock: Clock,
    ) -> None:
        """Create the parts; :meth:`run` starts them.

        :param link_address: ``tcp://<ip>:<port>`` of the link server.
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
        )
        self._links = Links(self._coordinator)
        self._coordinator.read_peer = self._read_peer
        self._advice_service = AdviceService(dependencies.advice)
        self._writer = KeyWriter(dependencies.store)
        self.submissions = SubmissionService(
            dependencies.store,
            self._writer,
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
        self._is_open = False
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
            'currantreach_workers',
            lambda: self.scheduler.worker_counts() if self.scheduler else {},
            'state',
        )

    @property
    def config(self) -> SiteConfig | None:
        """Return the configuration in force, nothing before the first."""
        return self._dependencies.source.config

    def is_ready(self) -> bool:
        """Tell whether new callers should come to this daemon."""
        if (
            not self._is_open
            or self._coordinator.is_leaving
            or self.config is None
        ):
            return False
        last_answer_at_s = self._dependencies.source.last_answer_at_s
        return self._clock.now_s() < last_answer_at_s + _STORE_SILENCE_S

    async def run(self) -> None:
        """Serve until the task is cancelled."""
        dependencies = self._dependencies
        config_task = asyncio.create_task(dependencies.source.follow())
        secret = await shared_secret(dependencies.store)
        self._links.secret = secret
        server = PeerServer(self._link_address, secret, self._handlers())
        await server.start()
        self._is_open = True
        log_event('daemon_started', daemon=self.daemon_id)
        parts: list[Coroutine[object, object, None]] = [
            self._coordinator.follow(),
            self._coordinator.keep_member(),
            self._writer.run(),
            self.submissions.follow_load(),
            self._decide(),
            self._clean(),
        ]
        tasks = [config_task]
        tasks.extend(asyncio.create_task(part) for part in parts)
        try:
            await self._supervise(tasks)
        finally:
            await self._close(tasks, server)

    async def leave(self) -> None:
        """Hand over everything before the process ends."""
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

    async def _supervise(self, tasks: list[asyncio.Task[None]]) -> None:
        """Wait until a part fails; parts that return have done their work."""
        pending = set(tasks)
        while pending:
            done, pending = await asyncio.wait(
                pending,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                failure = failure_of(task)
                if failure is not None:
                    log_warning('part_failed', error=repr(failure))
                    raise RuntimeError(
                        'a part of the daemon ended'
                    ) from failure

    async def _decide(self) -> None:
        dependencies = self._dependencies
        while True:
            leadership = await self._coordinator.acquire()
            self.scheduler = JobScheduler(
                leadership,
                self._coordinator,
                dependencies,
                self._links,
                self._advice_service,
                self._settings,
                self._clock,
            )
            await self.scheduler.run()
            self.scheduler = None

    async def _clean(self) -> None:
        while True:
            await asyncio.sleep(_CLEAN_S)
            await self._links.drop_unknown()

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
        request = decode_packed(body, AdviceRequest)
        return encode_packed(await self._advice_service.ask(request))

    async def _on_announce(self, body: bytes) -> bytes:
        request = decode_packed(body, SubmitRequest)
        self.submissions.accept_announced_job(request.job)
        return encode_packed(AnnounceReply())

    async def _on_cell(self, _: bytes) -> bytes:
        return encode_packed(self._coordinator.view())

    async def _on_load(self, _: bytes) -> bytes:
        return encode_packed(self.submissions.answer_load())

    async def _on_submit(self, body: bytes) -> bytes:
        request = decode_packed(body, SubmitRequest)
        response = await self.submissions.submit_locally(request.job)
        return encode_packed(build_forward_reply(response))

    async def _on_cancel(self, body: bytes) -> bytes:
        request = decode_packed(body, CancelRequest)
        response = await self.submissions.cancel_locally(
            request.job_id,
            request.queue,
            request.team,
        )
        return encode_packed(build_forward_reply(response))

    async def _read_peer(self, address: str) -> CellViewReply | None:
        try:
            return await self._links.call(
                address,
                'cell',
                None,
                CellViewReply,
                _ASK_S,
            )
        except CurrantreachError as error:
            log_event('peer_unreachable', address=address, error=error)
            return None

    async def _on_state(self, body: bytes) -> bytes:
        request = decode_packed(body, StateRequest)
        return encode_packed(self.job_queries.answer_state(request))

    async def _on_count(self, body: bytes) -> bytes:
        request = decode_packed(body, CountRequest)
        return encode_packed(self.job_queries.answer_count(request))
