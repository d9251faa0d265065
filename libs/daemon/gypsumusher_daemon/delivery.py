"""Buffers one answer between the task that produces it and its readers."""

import asyncio
from typing import NamedTuple

__all__ = ["Delivery", "Head"]

# A caller that reads slowly throttles its engine's stream instead of filling this
# host's memory.
BUFFERED_BYTES_MAX = 1_048_576


class Head(NamedTuple):
    """Status line and headers of an answer."""

    status: int
    headers: dict[str, str]


class Delivery:
    """One answer in transit: its head, its chunks and whether it is complete.

    Parameters
    ----------
    retained_bytes_max : int
        0 for an answer whose chunks are dropped once read. Otherwise the answer is
        retained up to this size, so that a repeated key gets identical bytes.

    Attributes
    ----------
    head : Head or None
        Set once, before the first chunk.
    complete : bool
        Whether the answer was checked to be complete.
    closed : bool
        Whether the producer has finished, completely or not.
    """

    def __init__(self, retained_bytes_max=0):
        self.head = None
        self.complete = False
        self.closed = False
        self.retained_bytes_max = retained_bytes_max
        self.size_bytes = 0
        self._chunks = []
        self._first_index = 0
        self._buffered_bytes = 0
        self._changed = asyncio.Event()
        self._positions = {}
        self._abandoned = False

    @property
    def is_retained(self):
        """Whether all bytes since the first are still buffered."""
        return self._first_index == 0

    def set_head(self, status, headers):
        """Set the status and headers of the answer.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : dict
            Response headers.
        """
        if self.head is not None:
            raise RuntimeError("the head of the answer is already set")
        self.head = Head(status, dict(headers))
        self._wake()

    async def put(self, chunk):
        """Append bytes; wait while over `BUFFERED_BYTES_MAX` are unread.

        Parameters
        ----------
        chunk : bytes
            The next bytes of the answer.
        """
        self._chunks.append(chunk)
        self.size_bytes += len(chunk)
        self._buffered_bytes += len(chunk)
        if self.retained_bytes_max and self.size_bytes > self.retained_bytes_max:
            self.retained_bytes_max = 0
        self._wake()
        while (
            not self._abandoned
            and not self.retained_bytes_max
            and self._buffered_bytes > BUFFERED_BYTES_MAX
        ):
            await self._next_change()
        if self._abandoned and not self.retained_bytes_max and not self._positions:
            self._drop_all()

    def abandon(self):
        """Mark the caller as disconnected: `put` no longer waits for it to read."""
        self._abandoned = True
        self._wake()

    def close(self, complete):
        """Mark the end of the answer.

        Parameters
        ----------
        complete : bool
            Whether the answer is complete.
        """
        self.complete = complete
        self.closed = True
        self._wake()

    async def wait_head(self):
        """Return the head once it is set, or None if the answer ended without one."""
        while self.head is None and not self.closed:
            await self._next_change()
        return self.head

    async def read(self):
        """Yield all chunks from the first to the end of the answer.

        Raises
        ------
        LookupError
            When the first bytes were dropped already.
        """
        if not self.is_retained:
            raise LookupError("the first bytes of the answer were dropped")
        reader = object()
        self._positions[reader] = 0
        try:
            while True:
                while self._positions[reader] - self._first_index < len(self._chunks):
                    index = self._positions[reader]
                    chunk = self._chunks[index - self._first_index]
                    self._positions[reader] = index + 1
                    self._release()
                    yield chunk
                if self.closed:
                    return
                await self._next_change()
        finally:
            del self._positions[reader]
            self._release()

    def _release(self):
        """Drop the chunks that every reader has read, unless they are retained."""
        if self.retained_bytes_max or not self._positions:
            return
        read_count = min(self._positions.values())
        while self._first_index < read_count:
            self._buffered_bytes -= len(self._chunks.pop(0))
            self._first_index += 1
        self._wake()

    def _drop_all(self):
        """Drop all chunks: there is no reader and nothing is to be retained."""
        self._first_index += len(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0

    def _wake(self):
        """Wake the producer and the readers after a change."""
        self._changed.set()

    async def _next_change(self):
        """Wait until something has changed since this call."""
        self._changed.clear()
        await self._changed.wait()
