"""Settings of one daemon."""

from __future__ import annotations

import enum
import ipaddress
from pathlib import Path
from typing import TYPE_CHECKING, Final

import attrs
import msgspec

from currantreach_config._documents import parse_document, read_document
from currantreach_config._faults import Findings
from currantreach_config._rules import ADDRESS, NAME, URL, rule
from currantreach_config._schema import Checker
from currantreach_types.errors import ConfigurationError

if TYPE_CHECKING:
    from currantreach_config._faults import FileFindings

__all__ = (
    'DaemonSettings',
    'LogLevel',
    'PeerSettings',
    'WorkerFencing',
    'load_settings',
    'read_peer_secret',
)

_MIN_SECRET_CHARS: Final = 16
_SECRET_PATTERN: Final = f'|.{{{_MIN_SECRET_CHARS},}}'
_MAX_PORT: Final = 65535
_HOUR_S: Final = 3600
_MAX_PARTITIONS: Final = 64
_TASK_LEASE_S: Final = 30
_STOP_TIMEOUT_S: Final = 20
_MIN_TASK_LEASE_TTLS: Final = 3
_ROOT: Final = '$'
_FAILURE_DOMAIN: Final = 'failure_domain'


class WorkerFencing(enum.StrEnum):
    """Whether workers refuse starts of a lower epoch."""

    enforced = 'enforced'
    none = 'none'


LogLevel = enum.StrEnum('LogLevel', ('debug', 'info', 'warning', 'error'))


@attrs.frozen(slots=True, kw_only=True)
class PeerSettings:
    """Another daemon.

    :ivar daemon_id: id of the other daemon.
    :ivar failure_domain: its failure domain.
    :ivar peer_address: IP address and port of its peer links.
    :ivar http_url: base address of its HTTP API.
    """

    daemon_id: str = attrs.field(metadata=rule(pattern=NAME))
    failure_domain: str = attrs.field(metadata=rule(pattern=NAME))
    peer_address: str = attrs.field(metadata=rule(pattern=ADDRESS))
    http_url: str = attrs.field(metadata=rule(pattern=URL))


@attrs.frozen(slots=True, kw_only=True)
class DaemonSettings:
    """Settings of one daemon.

    :ivar daemon_id: id of this daemon, unique in the cell.
    :ivar failure_domain: failure domain of its entry host.
    :ivar http_host: IP address on which the HTTP API listens.
    :ivar http_port: port of the HTTP API; 0 selects a free port.
    :ivar peer_host: IP address on which peer links are accepted.
    :ivar peer_port: port of the peer links; 0 selects a free port.
    :ivar domains: names of all failure domains of the cell.
    :ivar store_url: base address of the platform's store.
    :ivar host_list_url: base address of the platform's host list.
    :ivar peers: all other daemons.
    :ivar peer_secret_file: file with the secret of the peer links.
    :ivar peer_secret: the secret itself; prefer the file.
    :ivar partition_count: partitions of each failure domain.
    :ivar session_ttl_s: lease duration of the membership session.
    :ivar renew_interval_s: time between renewals of the session.
    :ivar claim_margin_s: time before the end of its lease at which an owner
        stops.
    :ivar task_lease_s: lease duration of running tasks.
    :ivar heartbeat_interval_s: time between heartbeats to a peer.
    :ivar peer_timeout_s: time without messages after which a link is reopened.
    :ivar stop_timeout_s: maximum duration of a graceful shutdown.
    :ivar host_poll_interval_s: time between reads of the host list.
    :ivar worker_fencing: whether workers refuse starts of a lower epoch.
    :ivar log_level: lowest level that is logged.
    """

    daemon_id: str = attrs.field(metadata=rule(pattern=NAME))
    failure_domain: str = attrs.field(metadata=rule(pattern=NAME))
    http_host: str
    http_port: int = attrs.field(metadata=rule(ge=0, le=_MAX_PORT))
    peer_host: str
    peer_port: int = attrs.field(metadata=rule(ge=0, le=_MAX_PORT))
    domains: tuple[str, ...] = attrs.field(metadata=rule(pattern=NAME))
    store_url: str = attrs.field(metadata=rule(pattern=URL))
    host_list_url: str = attrs.field(metadata=rule(pattern=URL))
    peers: tuple[PeerSettings, ...] = ()
    peer_secret_file: str = ''
    peer_secret: str = attrs.field(
        default='',
        repr=False,
        metadata=rule(pattern=_SECRET_PATTERN),
    )
    partition_count: int = attrs.field(
        default=1,
        metadata=rule(ge=1, le=_MAX_PARTITIONS),
    )
    session_ttl_s: float = attrs.field(
        default=4,
        metadata=rule(gt=0, le=60),
    )
    renew_interval_s: float = attrs.field(
        default=1,
        metadata=rule(gt=0, le=60),
    )
    claim_margin_s: float = attrs.field(
        default=0.5,
        metadata=rule(gt=0, le=60),
    )
    task_lease_s: float = attrs.field(
        default=_TASK_LEASE_S,
        metadata=rule(gt=0, le=_HOUR_S),
    )
    heartbeat_interval_s: float = attrs.field(
        default=0.5,
        metadata=rule(gt=0, le=60),
    )
    peer_timeout_s: float = attrs.field(
        default=2,
        metadata=rule(gt=0, le=60),
    )
    stop_timeout_s: float = attrs.field(
        default=_STOP_TIMEOUT_S,
        metadata=rule(gt=0, le=_HOUR_S),
    )
    host_poll_interval_s: float = attrs.field(
        default=1,
        metadata=rule(gt=0, le=60),
    )
    worker_fencing: WorkerFencing = WorkerFencing.enforced
    log_level: LogLevel = LogLevel.info


def load_settings(path: str | Path) -> DaemonSettings:
    """Read and check the settings of a daemon.

    :raises ConfigurationFaultsError: with all faults on one line.
    """
    findings = Findings()
    path = Path(path)
    file_findings = findings.for_file(str(path))
    body = read_document(path, file_findings)
    raw = None if body is None else parse_document(body, file_findings)
    if raw is not None:
        checker = Checker(file_findings, is_overlay=False)
        checker.check_object(raw, DaemonSettings, _ROOT)
    findings.raise_if_any('; ')
    settings = msgspec.convert(raw, DaemonSettings)
    _ConsistencyChecker(settings, file_findings).check()
    findings.raise_if_any('; ')
    if not settings.peer_secret_file:
        return settings
    secret_path = path.parent / settings.peer_secret_file
    return attrs.evolve(settings, peer_secret_file=str(secret_path))


def read_peer_secret(settings: DaemonSettings) -> bytes:
    """Return the secret of the peer links, empty if there are no peers.

    :raises ConfigurationError: if the file cannot be read or is too short.
    """
    if not settings.peer_secret_file:
        return settings.peer_secret.encode()
    label = f'peer_secret_file {settings.peer_secret_file}'
    try:
        secret = Path(settings.peer_secret_file).read_bytes().strip()
    except OSError as exc:
        raise ConfigurationError(
            f'{label} cannot be read ({exc.strerror}); name a readable file',
        ) from exc
    if len(secret) < _MIN_SECRET_CHARS:
        raise ConfigurationError(
            f'{label} is too short; '
            + f'write at least {_MIN_SECRET_CHARS} characters',
        )
    return secret


class _ConsistencyChecker:
    """Checks across several settings."""

    def __init__(
        self,
        settings: DaemonSettings,
        findings: FileFindings,
    ) -> None:
        self._settings = settings
        self._findings = findings

    def check(self) -> None:
        self._check_hosts()
        self._check_domains()
        self._check_peers()
        self._check_secret()
        self._check_times()

    def _require(
        self,
        is_met: bool,
        name: str,
        problem: str,
        remedy: str,
    ) -> None:
        if not is_met:
            self._findings.report(f'$.{name}', problem, remedy)

    def _check_hosts(self) -> None:
        host_by_field = {
            'http_host': self._settings.http_host,
            'peer_host': self._settings.peer_host,
        }
        for index, peer in enumerate(self._settings.peers):
            host, _, port = peer.peer_address.rpartition(':')
            self._require(
                0 < int(port) <= _MAX_PORT,
                f'peers[{index}].peer_address',
                f'{port} is not a port',
                f'write a port from 1 to {_MAX_PORT}',
            )
            host_by_field[f'peers[{index}].peer_address'] = host.strip('[]')
        for name, host_text in host_by_field.items():
            self._require(
                _is_address(host_text),
                name,
                f'{host_text!r} is not an IP address',
                'write an IP address; host names are not resolved',
            )

    def _check_domains(self) -> None:
        domain_by_field = {_FAILURE_DOMAIN: self._settings.failure_domain}
        for index, peer in enumerate(self._settings.peers):
            domain_by_field[f'peers[{index}].failure_domain'] = (
                peer.failure_domain
            )
        for name, domain in domain_by_field.items():
            self._require(
                domain in self._settings.domains,
                name,
                f'{domain!r} is not in domains',
                'add it to domains or correct it',
            )
        self._require(
            len(set(self._settings.domains)) == len(self._settings.domains),
            'domains',
            'a failure domain is listed twice',
            'list each once',
        )

    def _check_peers(self) -> None:
        seen = {self._settings.daemon_id}
        for index, peer in enumerate(self._settings.peers):
            self._require(
                peer.daemon_id not in seen,
                f'peers[{index}].daemon_id',
                f'{peer.daemon_id!r} is used twice',
                'list each other daemon once, and not this daemon',
            )
            seen.add(peer.daemon_id)

    def _check_secret(self) -> None:
        settings = self._settings
        secret_count = bool(settings.peer_secret) + bool(
            settings.peer_secret_file
        )
        self._require(
            secret_count == 1 or (secret_count == 0 and not settings.peers),
            'peer_secret_file',
            'peers need exactly one of peer_secret_file and peer_secret',
            'set one of them',
        )

    def _check_times(self) -> None:
        settings = self._settings
        self._require(
            settings.renew_interval_s + settings.claim_margin_s
            < settings.session_ttl_s,
            'session_ttl_s',
            'the session would expire before it is renewed',
            'make it longer than renew_interval_s plus claim_margin_s',
        )
        # A takeover waits for the session to expire and then reads the
        # journal and the inventories; leases of tasks must outlast it.
        self._require(
            settings.task_lease_s
            >= settings.session_ttl_s * _MIN_TASK_LEASE_TTLS,
            'task_lease_s',
            'leases of running tasks would expire during a takeover',
            f'make it at least {_MIN_TASK_LEASE_TTLS} times session_ttl_s',
        )
        self._require(
            settings.heartbeat_interval_s < settings.peer_timeout_s,
            'peer_timeout_s',
            'links would time out between two heartbeats',
            'make it longer than heartbeat_interval_s',
        )


def _is_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
