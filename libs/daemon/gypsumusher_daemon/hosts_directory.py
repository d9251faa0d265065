"""The entry hosts that have published themselves on the platform."""

import asyncio
import random
from typing import NamedTuple

from returns.result import Success

__all__ = ["HOSTS_KIND", "HostRecord", "HostsDirectory"]

HOSTS_KIND = "entryhosts"
RETRY_S = 0.5
RETRY_LIMIT_S = 5.0


class HostRecord(NamedTuple):
    """What an entry host says of itself.

    Attributes
    ----------
    name, incarnation, zone, region : str
        Who and where it is.
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
    """Follows the records of the entry hosts and publishes this host's own.

    Parameters
    ----------
    client : PlatformClient
        The platform.
    log : callable
        Structured log.
    watch_s : float
        Length of one waiting watch.
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
        """Begin to follow and to publish."""
        self._tasks.append(asyncio.ensure_future(self._follow()))
        self._tasks.append(asyncio.ensure_future(self._publish_on()))

    async def close(self):
        """Stop both."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def publish(self, record):
        """Publish this host's record, as soon as the platform takes it.

        Parameters
        ----------
        record : HostRecord
            The record.
        """
        self._own = record
        self.records[record.name] = record
        self._publish_wanted.set()

    async def withdraw(self):
        """Delete this host's record before a planned stop, if it can be done now."""
        own = self._own
        self._own = None
        if own is None:
            return
        found = await self._client.read(HOSTS_KIND, own.name, urgent=True)
        stored = found.unwrap() if isinstance(found, Success) else None
        if stored is None or stored.value.get("incarnation") != own.incarnation:
            # Another start under this name has published itself since.
            return
        await self._client.delete(HOSTS_KIND, own.name, stored.version, urgent=True)

    def learn(self, record, first_hand):
        """Take a record that a peer has told; the platform's word replaces it.

        Parameters
        ----------
        record : HostRecord
            The record of the peer, or of a host that it knows.
        first_hand : bool
            Whether the host itself told it. Hearsay may be older than what is known
            here, and no change on the platform would come to correct it.
        """
        known = self.records.get(record.name)
        if known == record or (known is not None and not first_hand):
            return
        self.records[record.name] = record
        self._on_changed()

    async def remove(self, record):
        """Delete the record of a host that has been silent for long.

        Parameters
        ----------
        record : HostRecord
            The record as it is known here; a newer one stays.
        """
        found = await self._client.read(HOSTS_KIND, record.name)
        stored = found.unwrap() if isinstance(found, Success) else None
        if stored is None or stored.value.get("incarnation") != record.incarnation:
            return
        await self._client.delete(HOSTS_KIND, record.name, stored.version)

    def find_incarnation(self, incarnation):
        """Return the record of the host that has an incarnation, or None."""
        for record in self.records.values():
            if record.incarnation == incarnation:
                return record
        return None

    async def _publish_on(self):
        """Write this host's record whenever it has changed."""
        failures = 0
        while True:
            await self._publish_wanted.wait()
            self._publish_wanted.clear()
            if self._own is None or await self._write_own():
                failures = 0
                continue
            failures += 1
            self._publish_wanted.set()
            await asyncio.sleep(_pause_s(failures))

    async def _write_own(self):
        """Write the record; True when it stands."""
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

    async def _follow(self):
        """List the records, then wait for their changes, for ever."""
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
            await asyncio.sleep(_pause_s(failures))

    async def _list(self):
        """Read all records; return the revision to watch from, or None."""
        result = await self._client.list(HOSTS_KIND, urgent=True)
        if not isinstance(result, Success):
            return None
        listing = result.unwrap()
        records = {}
        for item in listing.items:
            self._take(records, item)
        if self._own is not None:
            records[self._own.name] = self._own
        if records != self.records:
            self.records = records
            self._on_changed()
        return listing.revision

    async def _wait_for_change(self, revision):
        """Wait for a change; return the revision to go on from, or None."""
        result = await self._client.watch(HOSTS_KIND, revision, self._watch_s)
        if not isinstance(result, Success):
            return None
        change = result.unwrap()
        for item in change.items:
            self._take(self.records, item)
        for name in change.deleted:
            self.records.pop(name, None)
        if self._own is not None:
            self.records[self._own.name] = self._own
            if self._own.name in change.deleted:
                # Others took this host for gone for good. It isn't.
                self._publish_wanted.set()
        if change.items or change.deleted:
            self._on_changed()
        return max(revision, change.revision)

    def _take(self, records, item):
        """Take one record, if it is one."""
        try:
            records[item.name] = HostRecord(name=item.name, **item.value)
        except TypeError:
            self._log("warning", "host_record_malformed", name=item.name)


def _pause_s(failures):
    """Return a wait after failures, spread so that hosts don't come back in step."""
    return min(RETRY_LIMIT_S, RETRY_S * 2 ** min(failures, 8)) * random.uniform(0.5, 1)
