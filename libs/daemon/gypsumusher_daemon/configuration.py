"""Adopts the newest accepted configuration on this host and submits patches."""

import asyncio
import random
from datetime import UTC, datetime

from returns.result import Success

from gypsumusher_coordination import (
    ConfigAdopted,
    ConfigReplica,
    FetchSection,
    PatchAccepted,
    PatchAttempt,
    PatchInvalid,
    PatchOutdated,
    PatchUnavailable,
    PatchUnknown,
    check_document,
)
from gypsumusher_daemon.machine_runner import MachineRunner
from gypsumusher_process import keep_running

__all__ = ["HEAD_KIND", "HEAD_NAME", "SECTION_KIND", "Configuration"]

PATCH_OUTCOMES = (
    PatchAccepted | PatchInvalid | PatchOutdated | PatchUnavailable | PatchUnknown
)

HEAD_KIND = "config"
HEAD_NAME = "head"
SECTION_KIND = "configsections"
# Pause after the first failed call to the platform, doubled with each further one
# up to the maximum.
RETRY_S = 0.5
RETRY_MAX_S = 5.0


class Configuration:
    """The configuration in force on this host, read from the platform or from peers.

    Parameters
    ----------
    host : str
        Name of this host.
    client : PlatformClient
        The platform.
    clock, log : callable
        Boot-time clock and structured log.
    watch_s : float
        Time for which a watch call waits for a change.
    on_adopted : callable
        ``on_adopted(number, document)`` is called for each version adopted.
    fetch_from_peers : coroutine function
        ``await fetch_from_peers(hash)`` returns a section's value or None.

    Attributes
    ----------
    last_platform_contact_s : float
        Boot-time clock as of which the head is known to be current: when the last
        answered read was sent, or when the last answered watch ended, since the
        platform answers a watch as soon as the head changes.
    """

    def __init__(self, host, client, clock, log, watch_s, on_adopted, fetch_from_peers):
        self.replica = ConfigReplica(host)
        self.last_platform_contact_s = float("-inf")
        self._client = client
        self._clock = clock
        self._log = log
        self._watch_s = watch_s
        self._on_adopted = on_adopted
        self._fetch_from_peers = fetch_from_peers
        self._fetching = {}
        self._tasks = []

    @property
    def number(self):
        """Number of the version in force, 0 before there is one."""
        return self.replica.number

    @property
    def document(self):
        """The document in force, or None."""
        return self.replica.document

    async def start(self):
        """Start watching the head and refetching missing sections."""
        self._tasks.append(keep_running(self._watch_head, self._log))
        self._tasks.append(keep_running(self._refetch_loop, self._log))

    async def close(self):
        """Cancel the watch and the running fetches."""
        tasks = [*self._tasks, *self._fetching.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def receive_head(self, head):
        """Handle a head from the platform or a peer; an older one has no effect.

        Parameters
        ----------
        head : dict
            The head object's value.
        """
        self._apply_effects(self.replica.on_head(self._clock(), head))

    def section(self, section_hash):
        """Return a section's value if this host has it, else None."""
        return self.replica.sections.get(section_hash)

    async def patch(self, base_number, patch, patch_id, author, note):
        """Submit a patch and wait for its outcome.

        Parameters
        ----------
        base_number : int
            Number of the version that the patch was written against.
        patch : dict
            The merge patch.
        patch_id : str
            Idempotency key of the patch.
        author, note : str
            Shown in the history.

        Returns
        -------
        PatchAccepted, PatchInvalid, PatchOutdated, PatchUnavailable or PatchUnknown
        """
        attempt = PatchAttempt(
            base_number,
            patch,
            patch_id,
            author,
            note,
            check_document,
            sections=self.replica.sections,
            at=datetime.now(UTC).isoformat(timespec="seconds"),
        )
        future = asyncio.get_running_loop().create_future()

        def on_effect(effect):
            if isinstance(effect, PATCH_OUTCOMES) and not future.done():
                future.set_result(effect)

        runner = MachineRunner(attempt, self._client, self._clock, on_effect)
        runner.execute(attempt.start(self._clock()))
        while not future.done():
            await asyncio.wait([future], timeout=RETRY_S)
            runner.tick()
        await runner.close()
        return future.result()

    def _apply_effects(self, effects):
        """Execute the effects that the replica returned."""
        for effect in effects:
            if isinstance(effect, FetchSection):
                self._start_fetch(effect.hash)
                continue
            if isinstance(effect, ConfigAdopted):
                self._log("info", "config_adopted", number=effect.number)
                self._on_adopted(effect.number, effect.document)

    def _start_fetch(self, section_hash):
        """Start fetching a section unless a fetch is already running."""
        if section_hash in self._fetching:
            return
        task = asyncio.ensure_future(self._fetch_section(section_hash))
        self._fetching[section_hash] = task
        task.add_done_callback(lambda _: self._fetching.pop(section_hash, None))

    async def _fetch_section(self, section_hash):
        """Fetch a section and hand it to the replica."""
        value = await self._read_section(section_hash)
        if value is not None:
            now_s = self._clock()
            self._apply_effects(self.replica.on_section(now_s, section_hash, value))

    async def _read_section(self, section_hash):
        """Return a section's value from the platform, else from a peer, else None."""
        result = await self._client.read(SECTION_KIND, section_hash, urgent=True)
        if isinstance(result, Success):
            stored = result.unwrap()
            if stored is not None:
                return stored.value
        return await self._fetch_from_peers(section_hash)

    async def _refetch_loop(self):
        """Refetch sections that have not arrived, until cancelled."""
        while True:
            await asyncio.sleep(RETRY_S)
            self._apply_effects(self.replica.tick(self._clock()))

    async def _watch_head(self):
        """Read the head, then watch it for changes, until cancelled."""
        version = None
        failures = 0
        while True:
            if version is None:
                version = await self._read_head()
            else:
                version = await self._wait_for_change(version)
            if version is not None:
                failures = 0
                continue
            # Jitter: hosts that lost the platform together must not retry together.
            failures += 1
            pause_s = min(RETRY_MAX_S, RETRY_S * 2 ** min(failures, 8))
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))

    async def _read_head(self):
        """Read the head; return the revision to watch from, or None on a failure."""
        sent_s = self._clock()
        result = await self._client.read(HEAD_KIND, HEAD_NAME, urgent=True)
        if not isinstance(result, Success):
            return None
        self.last_platform_contact_s = sent_s
        stored = result.unwrap()
        if stored is None:
            return 0
        self.receive_head(stored.value)
        return stored.version

    async def _wait_for_change(self, version):
        """Watch for a new head; return the next revision to watch from, or None."""
        result = await self._client.watch(
            HEAD_KIND, version, self._watch_s, name=HEAD_NAME, urgent=True
        )
        if not isinstance(result, Success):
            return None
        self.last_platform_contact_s = self._clock()
        change = result.unwrap()
        for item in change.items:
            self.receive_head(item.value)
        return max(version, change.revision)
