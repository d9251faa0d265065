"""Delivery of one answer from the task that gets it to the caller that waits."""

import asyncio
from typing import NamedTuple

__all__ = ["Delivery", "Head"]

# A caller that reads slowly holds back its engine's stream, not this host's memory.
BUFFERED_BYTES_MAX = 1_048_576


class Head(NamedTuple):
    """Status line and headers of an answer."""

    status: int
    headers: dict[str, str]


class Delivery:
    """One answer on its way: a head, chunks, and whether it is whole.

    Parameters
    ----------
    kept_bytes_max : int
        0 for an answer that is passed on and forgotten. Otherwise the answer is
        kept up to this size, so that a repeated key gets the very same bytes.

    Attributes
    ----------
    head : Head or None
        Set once, before the first chunk.
    whole : bool
        Whether the answer was checked to be complete.
    closed : bool
        Whether nothing more will come.
    """

    def __init__(self, kept_bytes_max=0):
        self.head = None
        self.whole = False
        self.closed = False
        self.kept_bytes_max = kept_bytes_max
        self.size_bytes = 0
        self._chunks = []
        self._first_index = 0
        self._buffered_bytes = 0
        self._changed = asyncio.Event()
        self._positions = {}
        self._abandoned = False

    @property
    def kept(self):
        """Whether the bytes from the first on are all still here."""
        return self._first_index == 0

    def set_head(self, status, headers):
        """Say how the answer begins.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : dict
            Response headers.
        """
        if self.head is not None:
            raise RuntimeError("an answer has one head")
        self.head = Head(status, dict(headers))
        self._wake()

    async def put(self, chunk):
        """Add bytes; waits while an attached caller is too far behind.

        Parameters
        ----------
        chunk : bytes
            The next bytes of the answer.
        """
        self._chunks.append(chunk)
        self.size_bytes += len(chunk)
        self._buffered_bytes += len(chunk)
        if self.kept_bytes_max and self.size_bytes > self.kept_bytes_max:
            self.kept_bytes_max = 0
        self._wake()
        while (
            not self._abandoned
            and not self.kept_bytes_max
            and self._buffered_bytes > BUFFERED_BYTES_MAX
        ):
            await self._next_change()
        if self._abandoned and not self.kept_bytes_max and not self._positions:
            self._drop_all()

    def abandon(self):
        """Say that the caller has gone: no more waiting for it to read."""
        self._abandoned = True
        self._wake()

    def close(self, whole):
        """Say that nothing more will come.

        Parameters
        ----------
        whole : bool
            Whether the answer is complete.
        """
        self.whole = whole
        self.closed = True
        self._wake()

    async def wait_head(self):
        """Return the head once it is known, or None if there will be none."""
        while self.head is None and not self.closed:
            await self._next_change()
        return self.head

    async def read(self):
        """Yield the chunks from the first on.

        Raises
        ------
        LookupError
            When the first bytes are gone already.
        """
        if not self.kept:
            raise LookupError("the answer was too large to be kept")
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
        """Forget the chunks that every reader has taken, unless they are kept."""
        if self.kept_bytes_max or not self._positions:
            return
        taken = min(self._positions.values())
        while self._first_index < taken:
            self._buffered_bytes -= len(self._chunks.pop(0))
            self._first_index += 1
        self._wake()

    def _drop_all(self):
        """Forget everything: nobody reads and nothing is to be kept."""
        self._first_index += len(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0

    def _wake(self):
        self._changed.set()

    async def _next_change(self):
        self._changed.clear()
        await self._changed.wait()
