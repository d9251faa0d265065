"""Reads answers to their end, within a bound."""

__all__ = ["BodyTooLarge", "read_body"]

# Bytes that are taken at once.
PIECE_BYTES = 64 * 1024


class BodyTooLarge(ValueError):
    """An answer is larger than any that is expected."""


async def read_body(response, max_bytes):
    """Return the whole body of an answer.

    Failure guarded against: one read returns what has come so far, which is the whole
    of a short answer only as long as it comes in one packet.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The answer.
    max_bytes : int
        Largest body, in bytes.

    Raises
    ------
    BodyTooLarge
        When it is larger; the rest is left unread.
    """
    pieces, size_bytes = [], 0
    async for piece in response.content.iter_chunked(PIECE_BYTES):
        size_bytes += len(piece)
        if size_bytes > max_bytes:
            raise BodyTooLarge(f"the answer is over {max_bytes} bytes")
        pieces.append(piece)
    return b"".join(pieces)
