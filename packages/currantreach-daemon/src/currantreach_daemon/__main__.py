"""Run the daemon by ``python -m currantreach_daemon``."""

from __future__ import annotations

from currantreach_daemon._main import main

if __name__ == '__main__':
    main()
