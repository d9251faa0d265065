"""Records in the store of the software versions that may begin streams.

A host that knows nothing of a stream, as one that has just started, tells from them
whether only one version can have begun it. While a service has one version, hosts write
its record once and read it again after they have started.
"""

import asyncio
from typing import NamedTuple

from returns.result import Failure, Success

from gypsumusher_platform import ENDPOINTS_KIND
from gypsumusher_routing import LEFT_FOR_S, RecordedVersions

__all__ = ["VERSIONS_KIND", "VersionRecords"]

# A kind of this project; the platform stores its objects without interpreting them.
VERSIONS_KIND = "software-versions"
# Key of the versions in a record.
VERSIONS = "versions"
# Kind of the datagrams.
RECORDED = "versions_recorded"
# Pause between the hosts that may record a version, in the order of the active hosts;
# the first one tells all others.
RANK_DELAY_S, MAX_RANK_DELAY_S = 0.15, 1.5
MIN_PAUSE_S, MAX_PAUSE_S = 0.2, 2.0
# Longest wait of new streams for the record of a version where none is recorded.
RECORD_WAIT_S = 0.5
# Pause between two checks for versions whose endpoints have left for good.
DROP_INTERVAL_S = 10.0


class _Recording(NamedTuple):
    """A task that records the versions of a service, and when it writes first."""

    task: asyncio.Task
    began_s: float


class VersionRecords:
    """Keeps the versions of each service recorded, and tells what is recorded.

    Parameters
    ----------
    context : Context
        Hosts and endpoints.
    """

    def __init__(self, context):
        self._context = context
        self._store = None
        self._send_datagram = None
        self._recorded = {}
        # The recording that is under way, or was last, by service.
        self._recordings = {}
        self._drop_checked_s = context.clock()
        # Called with the name of a service whose record has changed.
        self.listeners = []

    def start(self, store, send_datagram):
        """Start to record versions.

        Parameters
        ----------
        store : StoreClient
            Holds the records.
        send_datagram : callable
            ``send_datagram(kind, fields, ip)``.
        """
        self._store = store
        self._send_datagram = send_datagram
        self._context.datagram_handlers[RECORDED] = self._on_datagram

    def possible(self, service):
        """Return the versions that may have begun a stream of a service."""
        now_s = self._context.clock()
        recent = self._context.endpoints.versions.recent(now_s, service)
        return recent | self._of_service(service).versions

    def beginning_versions(self, service):
        """Return the versions at which streams may begin; None for all.

        While there are several versions, these are the recorded ones, unless no
        endpoint of them is left.
        """
        if len(self.possible(service)) <= 1:
            return None
        recorded = self._of_service(service).versions
        for state in self._context.endpoints.of_service(service):
            if state.stage != "prefill" and state.record.software_version in recorded:
                return recorded
        return None

    async def prepare(self, service):
        """Have the versions of a service recorded before a stream begins.

        Waits only while none of its versions is known to be recorded, and not for
        longer than `RECORD_WAIT_S` after the recording has begun.
        """
        context = self._context
        recorded = self._of_service(service).versions
        present = context.endpoints.versions.present(service)
        if present <= recorded:
            self._drop_absent(service, recorded - present)
            return
        if recorded & present:
            self._record_soon(service, self._rank_delay_s())
            return
        recording = self._record_soon(service, 0.0)
        left_s = recording.began_s + RECORD_WAIT_S - context.clock()
        if left_s > 0.0:
            await asyncio.wait([recording.task], timeout=left_s)

    async def prepare_all(self):
        """Have the versions of all services recorded that have endpoints."""
        configuration = self._context.configuration
        if configuration is None:
            return
        await asyncio.gather(*map(self.prepare, configuration.services))

    async def read(self, service):
        """Read the record of a service; return its versions, None if that failed.

        A service without a record has no versions.
        """
        result = await self._store.get(VERSIONS_KIND, service)
        if isinstance(result, Failure):
            if result.failure().code != "absent":
                return None
            self._recorded.pop(service, None)
            return frozenset()
        stored = result.unwrap()
        versions = _decode(stored.content)
        if versions is None:
            self._context.log("warning", "versions_unreadable", service=service)
            return None
        self._on_record(service, versions, stored.revision, "store")
        return versions

    async def read_present(self, service):
        """Return the versions of a service's endpoints in the store; None if it failed.

        Entries that can't be decoded get no requests, and don't count.
        """
        result = await self._store.list(ENDPOINTS_KIND)
        if isinstance(result, Failure):
            return None
        versions = set()
        for stored in result.unwrap().objects:
            record = self._context.endpoint_entries.decode(stored)
            if record is not None and record.service == service:
                versions.add(record.software_version)
        return frozenset(versions)

    def _of_service(self, service):
        """Return the known record of a service."""
        recorded = self._recorded.get(service)
        if recorded is None:
            recorded = self._recorded[service] = RecordedVersions()
        return recorded

    def _on_record(self, service, versions, revision, source):
        """Apply a record, unless a newer one is known."""
        if not self._of_service(service).on_record(versions, revision):
            return
        self._context.log(
            "info",
            "versions_recorded",
            service=service,
            versions=",".join(sorted(versions)),
            revision=revision,
            source=source,
        )
        for listener in self.listeners:
            listener(service)

    def _rank_delay_s(self):
        """Return how long this host leaves the recording to others, in seconds."""
        names = [host.name for host in self._context.active_hosts()]
        name = self._context.settings.name
        rank = names.index(name) if name in names else len(names)
        return min(MAX_RANK_DELAY_S, RANK_DELAY_S * rank)

    def _drop_absent(self, service, absent):
        """Have versions dropped whose endpoints have long left."""
        context = self._context
        now_s = context.clock()
        if not absent or now_s - self._drop_checked_s < DROP_INTERVAL_S:
            return
        self._drop_checked_s = now_s
        if self._droppable(service) and context.should_order_stages():
            self._record_soon(service, 0.0)

    def _droppable(self, service):
        """Return the recorded versions of which no endpoint was known lately."""
        context = self._context
        now_s = context.clock()
        kept_s = LEFT_FOR_S + context.longest_stream_s()
        if now_s - context.started_s < kept_s:
            return frozenset()
        recent = context.endpoints.versions.recent(now_s, service)
        return self._of_service(service).versions - recent

    def _record_soon(self, service, delay_s):
        """Start to record the versions of a service unless that is under way."""
        recording = self._recordings.get(service)
        if recording is None or recording.task.done():
            began_s = self._context.clock() + delay_s
            task = self._context.spawn(self._record(service, delay_s))
            recording = self._recordings[service] = _Recording(task, began_s)
        return recording

    async def _record(self, service, delay_s):
        """Record the versions of a service until its record has all of them."""
        pause_s = MIN_PAUSE_S
        await asyncio.sleep(delay_s)
        while not self._is_recorded(service):
            if await self.read(service) is not None and await self._write(service):
                return
            await asyncio.sleep(pause_s * (0.5 + self._context.draw_uniform()))
            pause_s = min(MAX_PAUSE_S, 2.0 * pause_s)

    def _is_recorded(self, service):
        """Return whether the known record has just the versions that it should."""
        present = self._context.endpoints.versions.present(service)
        recorded = self._of_service(service).versions
        return present <= recorded and not self._droppable(service)

    async def _write(self, service):
        """Write the record of a service; return whether it is as it should be."""
        context = self._context
        if self._is_recorded(service):
            return True
        known = self._of_service(service)
        # Streams may have begun unrecorded at versions that have left since.
        recent = context.endpoints.versions.recent(context.clock(), service)
        versions = recent | (known.versions - self._droppable(service))
        content = {VERSIONS: sorted(versions)}
        if known.revision:
            call = self._store.replace(VERSIONS_KIND, service, content, known.revision)
        else:
            call = self._store.create(VERSIONS_KIND, service, content)
        result = await call
        if not isinstance(result, Success):
            error = result.failure()
            context.log(
                "info",
                "versions_not_recorded",
                service=service,
                code=error.code,
                detail=error.detail,
            )
            return False
        revision = result.unwrap().revision
        self._on_record(service, versions, revision, "own")
        fields = [service, sorted(versions), revision]
        for ip in set(context.hosts.addresses().values()):
            self._send_datagram(RECORDED, fields, ip)
        return True

    def _on_datagram(self, fields, ip):
        """Apply a record that another host has written."""
        service, versions, revision = fields
        versions = _decode({VERSIONS: versions})
        if versions is None or type(revision) is not int or type(service) is not str:
            raise ValueError("not a record of versions")
        self._on_record(service, versions, revision, ip)


def _decode(content):
    """Return the versions in a record, or None if it has another form."""
    versions = content.get(VERSIONS) if isinstance(content, dict) else None
    if not isinstance(versions, list):
        return None
    if not all(type(version) is str for version in versions):
        return None
    return frozenset(versions)
