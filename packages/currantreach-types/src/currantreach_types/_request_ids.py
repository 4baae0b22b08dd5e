"""Request ids that name the partition and epoch that issued them."""

from __future__ import annotations

import re
import secrets

import attrs

from currantreach_types._errors import MalformedMessageError

__all__ = ('RequestId', 'new_request_id')

_SUFFIX_BYTES = 8
_PATTERN = re.compile(
    r'(?P<domain>[a-z0-9-]{1,40})\.(?P<partition>\d{1,4})'
    r'\.(?P<epoch>\d{1,12})\.(?P<suffix>[A-Za-z0-9_-]{1,64})',
)


@attrs.frozen(slots=True)
class RequestId:
    """Parts of a request id.

    :ivar domain: failure domain of the partition.
    :ivar partition: number of the partition within the failure domain.
    :ivar epoch: ownership epoch under which the id was issued.
    :ivar suffix: part that makes the id unique.
    """

    domain: str
    partition: int
    epoch: int
    suffix: str

    def __str__(self) -> str:
        """Return the id in the form in which it is sent."""
        return f'{self.domain}.{self.partition}.{self.epoch}.{self.suffix}'

    @classmethod
    def parse(cls, text: str) -> RequestId:
        """Parse a request id.

        :raises MalformedMessageError: if ``text`` is not a request id.
        """
        match = _PATTERN.fullmatch(text)
        if match is None:
            raise MalformedMessageError(
                'the request id is malformed; fetch one from /v1/request-ids',
            )
        return cls(
            match['domain'],
            int(match['partition']),
            int(match['epoch']),
            match['suffix'],
        )


def new_request_id(domain: str, partition: int, epoch: int) -> RequestId:
    """Return an id with a random suffix."""
    suffix = secrets.token_urlsafe(_SUFFIX_BYTES)
    return RequestId(domain, partition, epoch, suffix)
