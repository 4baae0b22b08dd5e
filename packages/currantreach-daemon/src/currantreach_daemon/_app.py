"""Daemon process: its components, start and graceful stop."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

from currantreach_config import LimitsConfig, read_peer_secret
from currantreach_daemon._admission import AdmissionController
from currantreach_daemon._gauges import register_gauges
from currantreach_daemon._host_list import HostListWatcher
from currantreach_daemon._http import HttpServer
from currantreach_daemon._membership import Membership
from currantreach_daemon._messages import Heartbeat
from currantreach_daemon._overview import Overview
from currantreach_daemon._owner_factory import OwnerFactory
from currantreach_daemon._peer_api import PeerApi
from currantreach_daemon._peers import Peer, PeerTable
from currantreach_daemon._router import Router
from currantreach_daemon._shedding import LoadShedder
from currantreach_links import PeerLink, PeerServer
from currantreach_platform import HttpHostList, HttpStore, HttpWorkerClient
from currantreach_state import ConfigStore
from currantreach_telemetry import Metrics, log_event, log_warning
from currantreach_types import BootClock
from currantreach_types.errors import PlatformError

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from currantreach_config import ConfigRecord, DaemonSettings
    from currantreach_daemon._owner import Owner
    from currantreach_state import Claim

__all__ = ('Daemon',)

_AGE_UNKNOWN_S = 1e9
_DRAIN_POLL_S = 0.05
_CONFIG_RETRY_S = 0.5


class Daemon:
    """The components of one daemon process."""

    def __init__(self, settings: DaemonSettings) -> None:
        """Create the components; :meth:`run` starts them."""
        self._settings = settings
        self._clock = BootClock()
        self._metrics = Metrics()
        self._stop = asyncio.Event()
        self._store = HttpStore(
            settings.store_url,
            client_name=settings.daemon_id,
        )
        self._hosts = HttpHostList(settings.host_list_url)
        self._workers = HttpWorkerClient()
        self._config_store = ConfigStore(
            self._store,
            self._clock,
            LimitsConfig().config_freshness_s,
        )
        self._membership = Membership(settings, self._clock, self._store)
        self._peers = self._make_peers()
        self._admission = AdmissionController(self._config_store, self._clock)
        self._shedder = LoadShedder(self._clock)
        self._connect()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        await self._server.start()
        await self._http.start(
            self._settings.http_host,
            self._settings.http_port,
        )
        tasks = [
            asyncio.create_task(loop_work)
            for loop_work in self._background_loops()
        ]
        for task in tasks:
            task.add_done_callback(self._on_loop_done)
        log_event('started', daemon=self._settings.daemon_id)
        await self._stop.wait()
        await self._stop_gracefully()
        for running in tasks:
            running.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._close()
        log_event('stopped', daemon=self._settings.daemon_id)

    def _connect(self) -> None:
        """Create the components that depend on others, and connect them."""
        settings = self._settings
        owners = self._membership.owners
        self._host_watcher = HostListWatcher(
            settings, self._hosts, owners, self._read_config
        )
        self._factory = OwnerFactory(
            settings=settings,
            clock=self._clock,
            store=self._store,
            workers=self._workers,
            metrics=self._metrics,
            read_config=self._read_config,
            claim_valid_until_s=self._membership.claim_valid_until_s,
        )
        overview = Overview(
            settings,
            self._config_store,
            self._peers,
            owners,
            self._heartbeat,
        )
        self._membership.peers = self._peers
        self._membership.make_owner = self._make_owner
        self._server = PeerServer(
            f'tcp://{settings.peer_host}:{settings.peer_port}',
            read_peer_secret(settings),
            PeerApi(
                self._membership,
                self._peers,
                self._config_store,
                overview,
            ).handlers(),
        )
        self._http = HttpServer(
            self._admission,
            self._config_store,
            Router(
                settings.failure_domain,
                owners,
                self._peers,
                self._metrics,
            ),
            overview,
            self._metrics,
            self._shedder,
        )
        register_gauges(
            self._metrics,
            owners,
            self._store.call_counts,
            self._heartbeat,
            self._peer_bytes,
        )

    def _background_loops(self) -> list[Coroutine[object, object, None]]:
        return [
            self._membership.run_renewals(),
            self._membership.claim_partitions(),
            self._host_watcher.run(),
            self._shedder.measure(),
            self._watch_config(),
            *(
                self._peers.run_heartbeats(peer)
                for peer in self._peers.peers.values()
            ),
        ]

    def _on_signal(self) -> None:
        if self._stop.is_set():
            sys.exit(1)
        self._stop.set()

    def _on_loop_done(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            log_warning('part_failed', error=task.exception())
            self._stop.set()

    async def _stop_gracefully(self) -> None:
        log_event('stopping', daemon=self._settings.daemon_id)
        self._admission.stop()
        self._membership.is_leaving = True
        self._peers.announce()
        try:
            async with asyncio.timeout(self._settings.stop_timeout_s):
                await self._drain()
                await self._membership.transfer_claims()
        except TimeoutError:
            log_event('stop_timeout', level='WARNING')
        await self._http.close()

    async def _drain(self) -> None:
        while self._admission.in_progress_count() or self._prompt_count():
            await asyncio.sleep(_DRAIN_POLL_S)

    def _prompt_count(self) -> int:
        return sum(
            owner.prompt_count() for owner in self._membership.owners.values()
        )

    async def _close(self) -> None:
        await asyncio.gather(
            *(peer.link.close() for peer in self._peers.peers.values()),
        )
        await self._server.close()
        await self._store.close()
        await self._hosts.close()
        await self._workers.close()

    async def _watch_config(self) -> None:
        while True:
            revision = self._config_store.revision
            try:
                await self._config_store.poll()
            except PlatformError as exc:
                log_warning('config_poll_failed', error=exc)
                await asyncio.sleep(_CONFIG_RETRY_S)
            if self._config_store.revision != revision:
                log_event(
                    'config_in_force', revision=self._config_store.revision
                )
                self._host_watcher.update_owners()
                self._peers.announce_revision()

    def _read_config(self) -> ConfigRecord | None:
        return self._config_store.record

    def _heartbeat(self) -> Heartbeat:
        settings = self._settings
        age_s = self._clock.now_s() - self._config_store.confirmed_at_s
        owners = self._membership.owners.values()
        return Heartbeat(
            daemon_id=settings.daemon_id,
            domain=settings.failure_domain,
            session_id=self._membership.session_id,
            config_revision=self._config_store.revision,
            config_age_s=min(age_s, _AGE_UNKNOWN_S),
            has_store=self._membership.has_store,
            is_leaving=self._membership.is_leaving,
            owned=tuple(owner.load() for owner in owners),
            has_unsettled_write=(
                self._config_store.outage_report().has_unsettled_write
            ),
            limits={
                f'{owner.claim.domain}.{owner.claim.partition}': (
                    owner.limits_revision()
                )
                for owner in owners
            },
        )

    def _peer_bytes(self) -> int:
        links = (peer.link for peer in self._peers.peers.values())
        return self._server.total_bytes + sum(
            link.total_bytes for link in links
        )

    def _make_owner(self, claim: Claim, is_vote_complete: bool) -> Owner:
        owner = self._factory.make(claim, is_vote_complete)
        asyncio.get_running_loop().call_soon(self._host_watcher.update_owners)
        return owner

    def _make_peers(self) -> PeerTable:
        settings = self._settings
        secret = read_peer_secret(settings)
        peers = {
            peer.daemon_id: Peer(
                peer_id=peer.daemon_id,
                domain=peer.failure_domain,
                link=PeerLink(
                    peer.daemon_id,
                    f'tcp://{peer.peer_address}',
                    secret,
                    settings.peer_timeout_s,
                ),
            )
            for peer in settings.peers
        }
        return PeerTable(
            peers,
            settings,
            self._config_store,
            self._clock,
            self._heartbeat,
        )
