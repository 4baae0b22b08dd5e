"""Clock, fencing token and leases of the process of a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantreach_jobs._model import HoldReply
    from currantreach_jobs._settings import JobSettings, Leadership

__all__ = ('WorkerProcess',)

_MS_PER_S = 1000


class WorkerProcess:
    """The present process of a worker, as far as its leader knows it.

    A worker may restart under its id and its address at any time. The new
    process has another clock and has seen no fencing token, so an order meant
    for the former one may take effect there, with a lease as long as the worker
    permits. Each process gets a token of its own. Once it has answered to that,
    it refuses all earlier orders.

    :ivar token: fencing token of all orders to this process.
    :ivar is_token_seen: whether the process has answered a call with the token.
    :ivar born_unix_ms: start time of the process, 0 before its first answer.
    :ivar leases_expire_at_s: time after which no run is active that was listed
        to this leader or ordered by an earlier one.
    """

    def __init__(
        self,
        leadership: Leadership,
        settings: JobSettings,
        leases_expire_at_s: float,
        stray_leases_expire_at_s: float = 0,
    ) -> None:
        """Wait for the first answer of the process.

        :param leases_expire_at_s: end of the leases of earlier leaders.
        :param stray_leases_expire_at_s: end of those of runs that the worker
            has never listed to them.
        """
        self.token = leadership.create_token()
        self.is_token_seen = False
        self.born_unix_ms = 0
        self.leases_expire_at_s = leases_expire_at_s
        self._stray_leases_expire_at_s = stray_leases_expire_at_s
        self._leadership = leadership
        self._settings = settings
        self._clock_ms = 0
        self._clock_read_s: float = 0

    @property
    def all_leases_expire_at_s(self) -> float:
        """Return the time after which no run is active, listed or not.

        A run that was never listed may have been started by a process that the
        leader has not heard of.
        """
        return max(self.leases_expire_at_s, self._stray_leases_expire_at_s)

    def has_usual_lease(self, now_s: float) -> bool:
        """Tell whether a successor elected from now on waits for its lease.

        A stray order may have extended it further before the process has seen
        the token.
        """
        waited_s = self._settings.inherited_lease_s
        return self.leases_expire_at_s <= now_s + waited_s

    def observe(self, reply: HoldReply, now_s: float) -> bool:
        """Apply the answer to a call with the present token.

        If another process has answered, the next call carries a new token.

        :returns: whether another process than before has answered.
        """
        is_other = reply.born_unix_ms != self.born_unix_ms
        is_restart = is_other and bool(self.born_unix_ms)
        if not self.born_unix_ms:
            # The first answer fences off earlier leaders, which can no longer
            # renew leases. Their orders may have been meant for a former
            # process.
            self.leases_expire_at_s = now_s + self._settings.stray_lease_s
        elif is_restart or not self.is_token_seen:
            self.leases_expire_at_s = max(
                self.leases_expire_at_s,
                now_s + self._settings.stray_lease_s,
            )
        if is_restart:
            self.token = self._leadership.create_token()
        self.is_token_seen = not is_restart
        self.born_unix_ms = reply.born_unix_ms
        self._clock_ms = reply.clock_ms
        self._clock_read_s = now_s
        return is_other

    def clock_ms(self, now_s: float) -> int:
        """Return the estimated reading of the worker's clock at a time."""
        elapsed_s = now_s - self._clock_read_s
        return self._clock_ms + round(elapsed_s * _MS_PER_S)

    def extend_lease(self, now_s: float, wait_s: float = 0) -> int:
        """Record a new lease and return its end on the worker's clock.

        A leader whose own lease has ended extends no lease further, as its
        successor waits only for those that it could have renewed by then.

        :param wait_s: how long the worker may delay its answer.
        """
        renewed_at_s = min(now_s, self._leadership.valid_until_s)
        self.leases_expire_at_s = max(
            self.leases_expire_at_s,
            renewed_at_s + self._settings.max_lease_s,
        )
        self._stray_leases_expire_at_s = max(
            self._stray_leases_expire_at_s,
            now_s + wait_s + self._settings.stray_lease_s,
        )
        lease_s = self._settings.run_lease_s
        return self.clock_ms(renewed_at_s) + round(lease_s * _MS_PER_S)
