"""Small cell whose stand-ins and daemons are separate processes."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs

from testbed._process import Process, free_ports
from testbed._relay import RelayMesh

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ('Cell', 'CellPlan')

_LOOPBACK = '127.0.0.1'
_EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
_READY_TIMEOUT_S = 30
_POLL_INTERVAL_S = 0.05
_CALL_TIMEOUT_S = 15
_LOG_TAIL_CHARS = 400


@attrs.frozen(slots=True, kw_only=True)
class CellPlan:
    """Size and options of a cell.

    :ivar site: name of the example configuration.
    :ivar domains: failure domains to start.
    :ivar daemon_count: daemons per failure domain.
    :ivar worker_count: workers per failure domain.
    :ivar capacity: capacity of each worker.
    :ivar refuses_stale_starts: whether workers refuse stale and late starts.
    :ivar settings: additional settings of the daemons.
    :ivar extra_team_count: number of teams added to those of the example.
    :ivar upper_limits: upper limits of teams that override the example's.
    :ivar has_relays: whether each peer link goes through its own relay.
    """

    site: str
    domains: tuple[str, ...]
    daemon_count: int = 2
    worker_count: int = 8
    rack_size: int = 8
    capacity: Mapping[str, int] = attrs.field(
        factory=lambda: {
            'slot_count': 8,
            'cpu_milli': 64000,
            'memory_mib': 262144,
            'accelerator_count': 2,
            'connection_count': 64,
        },
    )
    refuses_stale_starts: bool = True
    settings: Mapping[str, Any] = attrs.field(factory=dict)
    extra_team_count: int = 0
    upper_limits: Mapping[str, Mapping[str, int]] = attrs.field(factory=dict)
    has_relays: bool = False


class Cell:
    """Processes of one cell, with their files in one directory."""

    def __init__(self, plan: CellPlan, directory: pathlib.Path) -> None:
        """Prepare the cell; ``async with`` starts and stops it."""
        self.plan = plan
        self.directory = directory
        self.daemons: dict[str, Process] = {}
        self.http_urls: dict[str, str] = {}
        self.standins: dict[str, Process] = {}
        self.urls: dict[str, str] = {}
        self.session: aiohttp.ClientSession
        self.keys: dict[str, str] = {}
        self.mesh = RelayMesh()
        self._settings_paths: dict[str, pathlib.Path] = {}

    async def __aenter__(self) -> Cell:
        """Start all processes and apply the configuration."""
        # Long polls must not keep other calls waiting for a connection.
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(connector=connector)
        try:
            await self._start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Stop all processes."""
        await self.stop()

    async def stop(self) -> None:
        """Stop all processes, daemons first."""
        await asyncio.gather(
            *(process.end() for process in self.daemons.values())
        )
        await asyncio.gather(
            *(process.end() for process in self.standins.values())
        )
        await self.mesh.close()
        await self.session.close()

    def daemon_of(self, domain: str, number: int = 0) -> str:
        """Return the id of a daemon of a failure domain."""
        return f'{domain}-{number}'

    async def start_daemon(self, daemon_id: str) -> None:
        """Start or restart a daemon."""
        process = Process(daemon_id, self.directory / f'{daemon_id}.log')
        self.daemons[daemon_id] = process
        await process.start(
            'currantreach_daemon',
            [str(self._settings_paths[daemon_id])],
            has_ready_line=False,
        )

    async def owner_of(self, domain: str) -> str:
        """Return the daemon that owns the first partition of a domain.

        :returns: id of the daemon, or an empty string if there is none.
        """
        for daemon_id in self.daemons:
            if not daemon_id.startswith(f'{domain}-'):
                continue
            status = await self.status(daemon_id)
            for heartbeat in status.get('daemons', ()):
                owned = [part['domain'] for part in heartbeat['owned']]
                if domain in owned:
                    return heartbeat['daemon_id']
        return ''

    async def status(self, daemon_id: str) -> dict[str, Any]:
        """Return the cell status from a daemon, empty without an answer."""
        return await self.call_admin_api('GET', '/v1/admin/status', daemon_id)

    async def call_admin_api(
        self,
        method: str,
        path: str,
        daemon_id: str = '',
        body: object = None,
    ) -> dict[str, Any]:
        """Call the administration API and return the decoded answer.

        :param daemon_id: daemon to call; empty for the first one.
        :returns: the answer, or an empty object if there is none.
        """
        url = self.http_urls[daemon_id or next(iter(self.daemons))]
        try:
            async with self.session.request(
                method,
                url + path,
                json=body,
                headers=self.authorization('operator'),
                timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
            ) as response:
                return await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return {}

    def authorization(self, name: str) -> dict[str, str]:
        """Return the authorization header of a team or the operator."""
        return {'Authorization': f'Bearer {self.keys[name]}'}

    async def inject(self, standin: str, fault: Mapping[str, Any]) -> None:
        """Inject a fault into a stand-in."""
        url = self.urls[standin]
        async with self.session.post(f'{url}/v1/faults', json=fault) as reply:
            reply.raise_for_status()

    async def wait_ready(self) -> None:
        """Wait until all daemons answer and each domain has an owner.

        By then the limits are in force at the owners.
        """
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(_POLL_INTERVAL_S)

    def worker_logs(self) -> list[pathlib.Path]:
        """Return the logs of the worker stand-ins."""
        return sorted(self.directory.glob('workers-*.jsonl'))

    def documents(self) -> dict[str, Any]:
        """Return the base document of the example and its overlay."""
        site = _EXAMPLES / self.plan.site
        base = json.loads((site / 'base.json').read_text())
        for team in base['teams']:
            team['upper_limit'].update(
                self.plan.upper_limits.get(team['name'], {}),
            )
        base['teams'] += [
            {**base['teams'][-1], 'name': f'team-{number}'}
            for number in range(self.plan.extra_team_count)
        ]
        return {
            'base': base,
            'overlays': [
                {
                    'name': 'overlay.json',
                    'document': json.loads(
                        (site / 'overlay.json').read_text(),
                    ),
                },
            ],
        }

    def upper_limits(self) -> dict[str, dict[str, int]]:
        """Return the upper limit of each team."""
        return {
            team['name']: team['upper_limit']
            for team in self.documents()['base']['teams']
        }

    def pause(self, daemon_id: str) -> None:
        """Suspend a daemon with SIGSTOP."""
        self.daemons[daemon_id].send_signal(signal.SIGSTOP)

    def resume(self, daemon_id: str) -> None:
        """Resume a suspended daemon with SIGCONT."""
        self.daemons[daemon_id].send_signal(signal.SIGCONT)

    async def start_workers(self) -> None:
        """Start the worker stand-in of each failure domain."""
        hosts = json.loads((self.directory / 'hosts.json').read_text())
        for domain in self.plan.domains:
            url = next(
                entry['url']
                for entry in hosts
                if entry['failure_domain'] == domain
            )
            arguments = [
                '--file',
                str(self.directory / f'workers-{domain}.json'),
                '--log-file',
                str(self.directory / f'workers-{domain}.jsonl'),
            ]
            if not self.plan.refuses_stale_starts:
                arguments.append('--no-refusal')
            await self._start_standin(
                'workers',
                int(url.rpartition(':')[2]),
                arguments,
                f'workers-{domain}',
            )

    async def _start(self) -> None:
        self._read_keys()
        await self._start_standins()
        await self.start_workers()
        await self._write_settings()
        await asyncio.gather(
            *(
                self.start_daemon(daemon_id)
                for daemon_id in self._settings_paths
            ),
        )
        await self._apply_initial_config()
        await self.wait_ready()

    def _read_keys(self) -> None:
        path = _EXAMPLES / self.plan.site / 'demo-keys.json'
        self.keys = read_keys(json.loads(path.read_text()))

    async def _start_standins(self) -> None:
        ports = free_ports(2 + len(self.plan.domains))
        entries = self._write_workers(ports[2:])
        hosts = self.directory / 'hosts.json'
        hosts.write_text(json.dumps(entries))
        await self._start_standin('store', ports[0], ())
        await self._start_standin('hosts', ports[1], ('--file', str(hosts)))

    async def _start_standin(
        self,
        module: str,
        port: int,
        arguments: Sequence[str],
        name: str = '',
    ) -> None:
        name = name or module
        process = Process(name, self.directory / f'{name}.log')
        self.standins[name] = process
        self.urls[name] = f'http://{_LOOPBACK}:{port}'
        await process.start(
            f'currantreach_standins.{module}',
            ['--port', str(port), *arguments],
            has_ready_line=True,
        )

    def _write_workers(self, ports: Sequence[int]) -> list[dict[str, Any]]:
        hosts: list[dict[str, Any]] = []
        for domain, port in zip(self.plan.domains, ports, strict=True):
            workers = [
                {
                    'name': f'{domain}-w{number}',
                    'failure_domain': domain,
                    'rack': f'{domain}-r{number // self.plan.rack_size}',
                    'url': f'http://{_LOOPBACK}:{port}',
                    'capacity': dict(self.plan.capacity),
                }
                for number in range(self.plan.worker_count)
            ]
            hosts.extend(workers)
            path = self.directory / f'workers-{domain}.json'
            path.write_text(json.dumps(workers))
        return hosts

    async def _write_settings(self) -> None:
        names = [
            (domain, self.daemon_of(domain, number))
            for domain in self.plan.domains
            for number in range(self.plan.daemon_count)
        ]
        ports = free_ports(2 * len(names))
        peers = {
            daemon_id: {
                'daemon_id': daemon_id,
                'failure_domain': domain,
                'peer_address': f'{_LOOPBACK}:{ports[2 * index]}',
                'http_url': f'http://{_LOOPBACK}:{ports[2 * index + 1]}',
            }
            for index, (domain, daemon_id) in enumerate(names)
        }
        addresses = {
            daemon_id: peer['peer_address'] for daemon_id, peer in peers.items()
        }
        for daemon_id, peer in peers.items():
            self.http_urls[daemon_id] = peer['http_url']
            if self.plan.has_relays:
                await self.mesh.start(daemon_id, addresses)
            path = self.directory / f'{daemon_id}.json'
            path.write_text(json.dumps(self._build_settings(peer, peers)))
            self._settings_paths[daemon_id] = path

    def _build_settings(
        self,
        own_peer: Mapping[str, str],
        peers: Mapping[str, Mapping[str, str]],
    ) -> dict[str, Any]:
        own_id = own_peer['daemon_id']
        http_port = int(own_peer['http_url'].rpartition(':')[2])
        peer_port = int(own_peer['peer_address'].rpartition(':')[2])
        return {
            'daemon_id': own_id,
            'failure_domain': own_peer['failure_domain'],
            'http_host': _LOOPBACK,
            'http_port': http_port,
            'peer_host': _LOOPBACK,
            'peer_port': peer_port,
            'peers': [
                {
                    **peer,
                    'peer_address': self.mesh.address(
                        own_id,
                        daemon_id,
                        peer['peer_address'],
                    ),
                }
                for daemon_id, peer in peers.items()
                if daemon_id != own_id
            ],
            'peer_secret': 'testbed-secret-0123456789',
            'store_url': self.urls['store'],
            'host_list_url': self.urls['hosts'],
            'domains': list(self.plan.domains),
            **self.plan.settings,
        }

    async def _apply_initial_config(self) -> None:
        body = {
            **self.documents(),
            'expected_revision': 0,
            'change_id': 'first',
        }
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while True:
                reply = await self.call_admin_api(
                    'POST',
                    '/v1/admin/config/apply',
                    body=body,
                )
                if reply.get('revision'):
                    return
                self._check_alive()
                await asyncio.sleep(_POLL_INTERVAL_S)

    def _check_alive(self) -> None:
        for process in self.daemons.values():
            if not process.is_running:
                log_tail = process.log_path.read_text()[-_LOG_TAIL_CHARS:]
                raise RuntimeError(f'{process.name} ended: {log_tail}')

    async def _is_ready(self) -> bool:
        owned_domains: set[str] = set()
        domains_with_limits: set[str] = set()
        for daemon_id in self.daemons:
            status = await self.status(daemon_id)
            if not status:
                self._check_alive()
                return False
            for heartbeat in status.get('daemons', ()):
                owned_domains.update(
                    part['domain'] for part in heartbeat['owned']
                )
            for key, revision in status.get('limits_in_force', {}).items():
                if revision:
                    domains_with_limits.add(key.rpartition('.')[0])
        wanted = set(self.plan.domains)
        return owned_domains >= wanted and domains_with_limits >= wanted


def read_keys(document: Any) -> dict[str, str]:
    """Return the tokens of a demo key file by name of team or operator."""
    return {**document['teams'], 'operator': document['operator']}
