"""Settings of the property tests: fixed in CI, longer and random in a soak."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import hypothesis
import pytest

if TYPE_CHECKING:
    from collections.abc import Callable

_SOAK_FACTOR = 10


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option of a soak."""
    parser.addoption(
        '--soak',
        action='store_true',
        help='run property tests longer, with the seed of --hypothesis-seed',
    )


def pytest_configure(config: pytest.Config) -> None:
    """Choose the profile of all property tests."""
    hypothesis.settings.register_profile(
        'fixed',
        derandomize=True,
        deadline=None,
        database=None,
    )
    hypothesis.settings.register_profile(
        'soak',
        deadline=None,
        database=None,
        max_examples=100 * _SOAK_FACTOR,
    )
    is_soak = config.getoption('--soak')
    hypothesis.settings.load_profile('soak' if is_soak else 'fixed')


@pytest.fixture
def machine_settings(
    pytestconfig: pytest.Config,
) -> Callable[..., hypothesis.settings]:
    """Return a function that makes the settings of a state machine."""
    factor = _SOAK_FACTOR if pytestconfig.getoption('--soak') else 1

    def make(max_examples: int, step_count: int, **more: Any) -> Any:
        return hypothesis.settings(
            max_examples=max_examples * factor,
            stateful_step_count=step_count,
            **more,
        )

    return make
