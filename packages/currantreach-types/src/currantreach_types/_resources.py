"""Resource vectors of workers, tasks and teams."""

from __future__ import annotations

import attrs

__all__ = ('Resources',)


@attrs.frozen(slots=True)
class Resources:
    """Amount of each resource of a worker, task, team limit or allotment.

    :ivar slot_count: task slots.
    :ivar cpu_milli: CPU in thousandths of a core.
    :ivar memory_mib: memory in MiB.
    :ivar accelerator_count: whole accelerators.
    :ivar connection_count: open connections.
    """

    slot_count: int = 0
    cpu_milli: int = 0
    memory_mib: int = 0
    accelerator_count: int = 0
    connection_count: int = 0

    def __add__(self, other: Resources) -> Resources:
        """Return the sum of both vectors."""
        return Resources(
            self.slot_count + other.slot_count,
            self.cpu_milli + other.cpu_milli,
            self.memory_mib + other.memory_mib,
            self.accelerator_count + other.accelerator_count,
            self.connection_count + other.connection_count,
        )

    def __sub__(self, other: Resources) -> Resources:
        """Return the difference; amounts may become negative."""
        return Resources(
            self.slot_count - other.slot_count,
            self.cpu_milli - other.cpu_milli,
            self.memory_mib - other.memory_mib,
            self.accelerator_count - other.accelerator_count,
            self.connection_count - other.connection_count,
        )

    def fits_in(self, available: Resources) -> bool:
        """Tell whether each amount is at most that of ``available``."""
        if (
            self.slot_count > available.slot_count
            or self.cpu_milli > available.cpu_milli
        ):
            return False
        return (
            self.memory_mib <= available.memory_mib
            and self.accelerator_count <= available.accelerator_count
            and self.connection_count <= available.connection_count
        )

    def scaled_by(self, count: int) -> Resources:
        """Return the vector multiplied by ``count``."""
        return Resources(
            self.slot_count * count,
            self.cpu_milli * count,
            self.memory_mib * count,
            self.accelerator_count * count,
            self.connection_count * count,
        )

    def elementwise_max(self, other: Resources) -> Resources:
        """Return the element-wise maximum."""
        return Resources(
            max(self.slot_count, other.slot_count),
            max(self.cpu_milli, other.cpu_milli),
            max(self.memory_mib, other.memory_mib),
            max(self.accelerator_count, other.accelerator_count),
            max(self.connection_count, other.connection_count),
        )
