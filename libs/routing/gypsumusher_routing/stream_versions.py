"""Table of the software versions that began streams which may be taken up again."""

import hashlib
from collections import OrderedDict
from typing import NamedTuple

__all__ = [
    "STREAM_KEY_BYTES",
    "STREAM_LIFETIME_FACTOR",
    "BegunStream",
    "StreamVersions",
    "stream_key",
]

# Two of a million streams share a key with a chance of 1 in 10^7.
STREAM_KEY_BYTES = 8
# How long a caller may take a stream up, as a multiple of its route's time limit, which
# each of its attempts may use.
STREAM_LIFETIME_FACTOR = 2.0
# Streams of some ten seconds that one host begins or is told of at several hundred a
# second; some 8 MB.
MAX_STREAMS = 32_768


class BegunStream(NamedTuple):
    """A stream that has brought its caller an event.

    Attributes
    ----------
    version : str or None
        Software version that began it; None if reports of it contradict each other.
    expires_s : float
        Until when its caller may take it up, in seconds.
    service : str or None
        Service whose endpoint began it; None if another host has told of it.
    """

    version: str | None
    expires_s: float
    service: str | None = None


def stream_key(service: str, account: str | None, request_id: str) -> bytes:
    """Return the key of a stream, which its caller's other attempts have in common.

    Parameters
    ----------
    service : str
        Service whose endpoint began the stream.
    account : str or None
        Client account of the caller; no other one can name the stream.
    request_id : str
        Id of the attempt that brought the first event.

    Returns
    -------
    bytes
        `STREAM_KEY_BYTES` bytes.
    """
    digest = hashlib.blake2b(digest_size=STREAM_KEY_BYTES)
    for text in (service, account or "", request_id):
        field = text.encode("utf-8", "surrogateescape")
        digest.update(len(field).to_bytes(4, "big"))
        digest.update(field)
    return digest.digest()


class StreamVersions:
    """Begun streams by key; those heard of longest ago are forgotten first.

    Parameters
    ----------
    max_streams : int
        Number of streams that are kept.
    """

    def __init__(self, max_streams: int = MAX_STREAMS):
        self._streams = OrderedDict()
        self._max_streams = max_streams

    def __len__(self):
        return len(self._streams)

    def put(self, now_s: float, key: bytes, stream: BegunStream) -> None:
        """Record a begun stream, or that it may be taken up for longer."""
        known = self.find(now_s, key)
        if known is not None:
            if known.version != stream.version:
                stream = stream._replace(version=None)
            stream = stream._replace(
                expires_s=max(known.expires_s, stream.expires_s),
                service=stream.service or known.service,
            )
        self._streams[key] = stream
        self._streams.move_to_end(key)
        while len(self._streams) > self._max_streams or self._has_expired_first(now_s):
            self._streams.popitem(last=False)

    def find(self, now_s: float, key: bytes) -> BegunStream | None:
        """Return a stream that may still be taken up, or None."""
        stream = self._streams.get(key)
        if stream is None or stream.expires_s < now_s:
            return None
        return stream

    def of_service(self, now_s: float, service: str) -> list[tuple[bytes, BegunStream]]:
        """Return this host's streams of a service that may still be taken up."""
        return [
            (key, stream)
            for key, stream in self._streams.items()
            if stream.service == service and stream.expires_s >= now_s
        ]

    def _has_expired_first(self, now_s):
        """Return whether the stream that was heard of longest ago has expired."""
        return bool(self._streams) and (
            next(iter(self._streams.values())).expires_s < now_s
        )
