"""The directory of entry hosts, kept as one record per host on the platform."""

import asyncio
import random
from typing import NamedTuple

from returns.result import Success

from gypsumusher_process import keep_running

__all__ = ["HOSTS_KIND", "HostRecord", "HostsDirectory"]

HOSTS_KIND = "entryhosts"
# Pause after the first failed call to the platform, doubled with each further one
# up to the maximum.
RETRY_S = 0.5
RETRY_MAX_S = 5.0


class HostRecord(NamedTuple):
    """The record that an entry host publishes.

    Attributes
    ----------
    name, incarnation, zone, region : str
        Identity and location of the host.
    callers, operators, peers : str
        ``IP:PORT`` of its listeners.
    """

    name: str
    incarnation: str
    zone: str
    region: str
    callers: str
    operators: str
    peers: str


class HostsDirectory:
    """Watches the records of the entry hosts and publishes this host's own.

    Parameters
    ----------
    client : PlatformClient
        The platform.
    log : callable
        Structured log.
    watch_s : float
        Time for which a watch call waits for a change.
    on_changed : callable
        Called after the records have changed.
    """

    def __init__(self, client, log, watch_s, on_changed):
        self.records = {}
        self._client = client
        self._log = log
        self._watch_s = watch_s
        self._on_changed = on_changed
        self._own = None
        self._publish_wanted = asyncio.Event()
        self._tasks = []

    async def start(self):
        """Start watching the records and publishing this host's own."""
        self._tasks.append(keep_running(self._watch_loop, self._log))
        self._tasks.append(keep_running(self._publish_loop, self._log))

    async def close(self):
        """Stop watching and publishing."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def publish(self, record):
        """Publish this host's record, retrying until the platform accepts it.

        Parameters
        ----------
        record : HostRecord
            The record.
        """
        self._own = record
        self.records[record.name] = record
        self._publish_wanted.set()

    async def withdraw(self):
        """Delete this host's record before a planned stop, without retrying."""
        own = self._own
        self._own = None
        if own is None:
            return
        found = await self._client.read(HOSTS_KIND, own.name, urgent=True)
        stored = found.unwrap() if isinstance(found, Success) else None
        if stored is None or stored.value.get("incarnation") != own.incarnation:
            # A newer process of this host has published its own record.
            return
        await self._client.delete(HOSTS_KIND, own.name, stored.version, urgent=True)

    def add_from_peer(self, record, is_own):
        """Add a record received from a peer; records on the platform replace it.

        Parameters
        ----------
        record : HostRecord
            The record of the peer, or of a host that the peer knows.
        is_own : bool
            Whether the peer sent its own record. A record of a third host is taken
            only if none is known here: it may be older than the known one, and
            without a change on the platform nothing would correct it.
        """
        known_record = self.records.get(record.name)
        if known_record == record or (known_record is not None and not is_own):
            return
        self.records[record.name] = record
        self._on_changed()

    async def remove(self, record):
        """Delete the platform's record of a dead host.

        Parameters
        ----------
        record : HostRecord
            The record known here; one of another incarnation is not deleted.
        """
        found = await self._client.read(HOSTS_KIND, record.name)
        stored = found.unwrap() if isinstance(found, Success) else None
        if stored is None or stored.value.get("incarnation") != record.incarnation:
            return
        await self._client.delete(HOSTS_KIND, record.name, stored.version)

    def find_incarnation(self, incarnation):
        """Return the record with the given incarnation, or None."""
        for record in self.records.values():
            if record.incarnation == incarnation:
                return record
        return None

    async def _publish_loop(self):
        """Write this host's record whenever it has changed, until cancelled."""
        failures = 0
        while True:
            await self._publish_wanted.wait()
            own = self._own
            if own is not None and not await self._write_own():
                failures += 1
                await asyncio.sleep(_retry_pause_s(failures))
                continue
            failures = 0
            if self._own is own:
                self._publish_wanted.clear()

    async def _write_own(self):
        """Write the record; return True when the platform has it."""
        own = self._own
        value = own._asdict()
        value.pop("name")
        found = await self._client.read(HOSTS_KIND, own.name, urgent=True)
        if not isinstance(found, Success):
            return False
        stored = found.unwrap()
        if stored is not None and stored.value == value:
            return True
        version = 0 if stored is None else stored.version
        written = await self._client.write(
            HOSTS_KIND, own.name, value, version, urgent=True
        )
        return isinstance(written, Success)

    async def _watch_loop(self):
        """List the records, then watch them for changes, until cancelled."""
        revision = None
        failures = 0
        while True:
            if revision is None:
                revision = await self._list()
            else:
                revision = await self._wait_for_change(revision)
            if revision is not None:
                failures = 0
                continue
            failures += 1
            await asyncio.sleep(_retry_pause_s(failures))

    async def _list(self):
        """Read all records; return the revision to watch from, or None on a failure."""
        result = await self._client.list(HOSTS_KIND, urgent=True)
        if not isinstance(result, Success):
            return None
        listing = result.unwrap()
        records = {}
        for item in listing.items:
            self._add_record(records, item)
        if self._own is not None:
            records[self._own.name] = self._own
        if records != self.records:
            self.records = records
            self._on_changed()
        return listing.revision

    async def _wait_for_change(self, revision):
        """Watch for a change; return the next revision to watch from, or None."""
        result = await self._client.watch(HOSTS_KIND, revision, self._watch_s)
        if not isinstance(result, Success):
            return None
        change = result.unwrap()
        for item in change.items:
            self._add_record(self.records, item)
        for name in change.deleted:
            self.records.pop(name, None)
        if self._own is not None:
            self.records[self._own.name] = self._own
            if self._own.name in change.deleted:
                # Other hosts took this one for dead and deleted its record.
                self._publish_wanted.set()
        if change.items or change.deleted:
            self._on_changed()
        return max(revision, change.revision)

    def _add_record(self, records, item):
        """Parse a stored record and add it; log a malformed one."""
        try:
            records[item.name] = HostRecord(name=item.name, **item.value)
        except TypeError:
            self._log("warning", "host_record_malformed", name=item.name)


def _retry_pause_s(failures):
    """Return the pause after failures, with jitter so that hosts don't synchronize."""
    return min(RETRY_MAX_S, RETRY_S * 2 ** min(failures, 8)) * random.uniform(0.5, 1)
