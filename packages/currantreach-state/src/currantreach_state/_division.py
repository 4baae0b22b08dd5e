"""Arithmetic on resource vectors and their division into integers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_types import Resources

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

__all__ = ('divide', 'divide_amount', 'half_of', 'smaller', 'total', 'zip_with')

# Weights are scaled to integers, so that rounding errors cannot make the parts
# exceed the whole.
_WEIGHT_UNIT = 1000000


def zip_with(
    function: Callable[..., int],
    *vectors: Resources,
) -> Resources:
    """Apply a function element-wise."""
    return Resources(
        function(*(vector.slot_count for vector in vectors)),
        function(*(vector.cpu_milli for vector in vectors)),
        function(*(vector.memory_mib for vector in vectors)),
        function(*(vector.accelerator_count for vector in vectors)),
        function(*(vector.connection_count for vector in vectors)),
    )


def smaller(*vectors: Resources) -> Resources:
    """Return the element-wise minimum."""
    return zip_with(min, *vectors)


def half_of(whole: Resources) -> Resources:
    """Return half of each amount, rounded up."""
    return zip_with(_half_up, whole)


def total(vectors: Iterable[Resources]) -> Resources:
    """Return the sum."""
    return sum(vectors, Resources())


def divide(
    whole: Resources,
    weights: Mapping[str, float],
) -> dict[str, Resources]:
    """Divide each amount into integers in proportion to the weights."""
    names = sorted(weights)
    scaled = [max(1, round(weights[name] * _WEIGHT_UNIT)) for name in names]
    parts = zip(
        divide_amount(whole.slot_count, scaled),
        divide_amount(whole.cpu_milli, scaled),
        divide_amount(whole.memory_mib, scaled),
        divide_amount(whole.accelerator_count, scaled),
        divide_amount(whole.connection_count, scaled),
        strict=True,
    )
    return {
        name: Resources(*part) for name, part in zip(names, parts, strict=True)
    }


def divide_amount(whole: int, weights: list[int]) -> list[int]:
    """Divide an amount by the largest-remainder method.

    :param weights: weights with a sum above zero.
    """
    sum_of_weights = sum(weights)
    shares = [divmod(whole * weight, sum_of_weights) for weight in weights]
    parts = [quotient for quotient, _ in shares]
    order = sorted(range(len(shares)), key=lambda index: -shares[index][1])
    for index in order[: whole - sum(parts)]:
        parts[index] += 1
    return parts


def _half_up(amount: int) -> int:
    return (amount + 1) // 2
