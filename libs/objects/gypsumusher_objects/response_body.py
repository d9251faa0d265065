"""Reads HTTP response bodies to their end, up to a size limit."""

__all__ = ["BodyTooLarge", "read_body"]

# Bytes per read.
CHUNK_BYTES = 64 * 1024


class BodyTooLarge(ValueError):
    """A response body exceeds the size limit of the call."""


async def read_body(response, max_bytes):
    """Return the complete body of a response.

    A single read returns only the bytes that have arrived so far, which is the whole
    of a short body only if it arrives in one packet; this function reads to the end.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The response.
    max_bytes : int
        Largest body, in bytes.

    Raises
    ------
    BodyTooLarge
        If the body is larger; the rest of it is left unread.
    """
    chunks, size_bytes = [], 0
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        size_bytes += len(chunk)
        if size_bytes > max_bytes:
            raise BodyTooLarge(f"response body exceeds {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
