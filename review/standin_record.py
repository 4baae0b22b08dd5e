"""Record of what was sent, answered and run."""

import time


class Record:
    """File with one line for each event, in seconds since the start."""

    def __init__(self, path):
        """Create the file."""
        self._file = open(path, 'w', encoding='utf-8')
        self._started_at_s = time.monotonic()

    def now_s(self):
        """Return the time since the start."""
        return time.monotonic() - self._started_at_s

    def write(self, event, **fields):
        """Write a line."""
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{self.now_s():8.3f} {event} {text}\n')
        self._file.flush()
