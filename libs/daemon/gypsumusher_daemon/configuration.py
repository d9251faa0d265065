"""Keeps the newest accepted configuration in force on this host."""

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
from gypsumusher_daemon.effects import MachineRunner

__all__ = ["HEAD_KIND", "HEAD_NAME", "SECTION_KIND", "Configuration"]

PATCH_ENDS = (
    PatchAccepted | PatchInvalid | PatchOutdated | PatchUnavailable | PatchUnknown
)

HEAD_KIND = "config"
HEAD_NAME = "head"
SECTION_KIND = "configsections"
RETRY_S = 0.5
RETRY_LIMIT_S = 5.0


class Configuration:
    """The configuration in force here, from the platform or from peers.

    Parameters
    ----------
    host : str
        This host.
    client : PlatformClient
        The platform.
    clock, log : callable
        Boot-time clock and structured log.
    watch_s : float
        Length of one waiting watch.
    on_adopted : callable
        ``on_adopted(number, document)`` for each version that comes in force.
    fetch_from_peers : coroutine function
        ``await fetch_from_peers(hash)`` returns a section's value or None.

    Attributes
    ----------
    heard_platform_s : float
        When the last question about the head that the platform answered was sent,
        on the boot-time clock. A watch in which nothing changed counts as heard at
        its end: the platform would have answered it at once.
    """

    def __init__(self, host, client, clock, log, watch_s, on_adopted, fetch_from_peers):
        self.replica = ConfigReplica(host)
        self.heard_platform_s = float("-inf")
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
        """Begin to watch the head."""
        self._tasks.append(asyncio.ensure_future(self._watch_head()))
        self._tasks.append(asyncio.ensure_future(self._ask_again()))

    async def close(self):
        """Stop watching."""
        tasks = [*self._tasks, *self._fetching.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def offer(self, head):
        """Take a head from the platform or a peer; older ones have no effect.

        Parameters
        ----------
        head : dict
            The head object's value.
        """
        self._drive(self.replica.on_head(self._clock(), head))

    def section(self, section_hash):
        """Return a section that this host holds, or None."""
        return self.replica.sections.get(section_hash)

    async def patch(self, base_number, patch, patch_id, author, note):
        """Try to put a patch in force.

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
            if isinstance(effect, PATCH_ENDS) and not future.done():
                future.set_result(effect)

        runner = MachineRunner(attempt, self._client, self._clock, on_effect)
        runner.drive(attempt.start(self._clock()))
        while not future.done():
            await asyncio.wait([future], timeout=RETRY_S)
            runner.tick()
        await runner.close()
        return future.result()

    def _drive(self, effects):
        """Carry out what the replica asks for."""
        for effect in effects:
            if isinstance(effect, FetchSection):
                self._fetch(effect.hash)
                continue
            if isinstance(effect, ConfigAdopted):
                self._log("info", "config_adopted", number=effect.number)
                self._on_adopted(effect.number, effect.document)

    def _fetch(self, section_hash):
        """Get a section, once at a time."""
        if section_hash in self._fetching:
            return
        task = asyncio.ensure_future(self._fetch_section(section_hash))
        self._fetching[section_hash] = task
        task.add_done_callback(lambda _: self._fetching.pop(section_hash, None))

    async def _fetch_section(self, section_hash):
        """Get a section from the platform, or else from a peer."""
        value = await self._read_section(section_hash)
        if value is not None:
            now_s = self._clock()
            self._drive(self.replica.on_section(now_s, section_hash, value))

    async def _read_section(self, section_hash):
        """Return a section's value, or None."""
        result = await self._client.read(SECTION_KIND, section_hash, urgent=True)
        if isinstance(result, Success):
            stored = result.unwrap()
            if stored is not None:
                return stored.value
        return await self._fetch_from_peers(section_hash)

    async def _ask_again(self):
        """Ask again for sections that did not come."""
        while True:
            await asyncio.sleep(RETRY_S)
            self._drive(self.replica.tick(self._clock()))

    async def _watch_head(self):
        """Read the head, then wait for its changes, for ever."""
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
            # Hosts that lost the platform together must not come back in step.
            failures += 1
            pause_s = min(RETRY_LIMIT_S, RETRY_S * 2 ** min(failures, 8))
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))

    async def _read_head(self):
        """Read the head; return the revision to watch from, or None."""
        sent_s = self._clock()
        result = await self._client.read(HEAD_KIND, HEAD_NAME, urgent=True)
        if not isinstance(result, Success):
            return None
        self.heard_platform_s = sent_s
        stored = result.unwrap()
        if stored is None:
            return 0
        self.offer(stored.value)
        return stored.version

    async def _wait_for_change(self, version):
        """Wait for a new head; return the revision to go on from, or None."""
        result = await self._client.watch(
            HEAD_KIND, version, self._watch_s, name=HEAD_NAME, urgent=True
        )
        if not isinstance(result, Success):
            return None
        self.heard_platform_s = self._clock()
        change = result.unwrap()
        for item in change.items:
            self.offer(item.value)
        return max(version, change.revision)
