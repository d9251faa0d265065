"""Entries of endpoints in the store, of which some may not be readable."""

from gypsumusher_platform import decode_endpoint
from gypsumusher_ports import DecodeError

__all__ = ["EndpointEntries"]

# Unreadable entries that are remembered so as not to be logged again.
MAX_UNREADABLE_ENTRIES = 256


class EndpointEntries:
    """Decodes entries, and remembers those that can't be decoded.

    Parameters
    ----------
    log : callable
        Structured log.
    """

    def __init__(self, log):
        self._log = log
        # Revisions of the unreadable entries that have been logged, oldest first.
        self._unreadable_revisions = {}

    def decode(self, stored):
        """Return the record of an endpoint's entry, or None when it can't be decoded.

        An unreadable entry is logged once for each of its revisions: it is in every
        list of the store.

        Parameters
        ----------
        stored : StoredObject
            The entry.
        """
        try:
            return decode_endpoint(stored)
        except DecodeError as error:
            if self._unreadable_revisions.pop(stored.name, None) != stored.revision:
                self._log("warning", "endpoint_entry_unreadable", error=error)
        self._unreadable_revisions[stored.name] = stored.revision
        if len(self._unreadable_revisions) > MAX_UNREADABLE_ENTRIES:
            del self._unreadable_revisions[next(iter(self._unreadable_revisions))]
        return None
