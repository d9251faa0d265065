"""This host's record in the platform's store, by which the hosts find each other."""

import asyncio

from returns.result import Failure, Success

__all__ = ["HOSTS_KIND", "Registration"]

# A kind of this project; the platform stores its objects without interpreting them.
HOSTS_KIND = "entry-hosts"
MIN_PAUSE_S, MAX_PAUSE_S = 0.2, 2.0
# How often the records are read again, for hosts that no peer has announced. Gossip
# brings changes sooner, so the reads may be rare and stale.
REREAD_INTERVAL_S = 15.0


class Registration:
    """Writes this host's record, and reads those of the other hosts.

    Parameters
    ----------
    context : Context
        Receives the hosts found.
    store : StoreClient
        The store.
    """

    def __init__(self, context, store):
        self._context = context
        self._store = store
        # Since when this host watches the store; all hosts send updates to watching
        # hosts.
        self._watching_since_s = None

    async def start(self):
        """Start in the background, until the context is closed."""
        self._context.spawn(self._run())

    async def _run(self):
        """Make sure that this host is recorded, then read the records periodically."""
        if self._context.settings.is_first_start:
            await self._until_done(self._write)
            await self._until_done(self._read)
        else:
            # After a loss of all hosts their records still exist. Hundreds of hosts
            # writing theirs again would make three calls to the store each, all at
            # once.
            await self._until_done(self._reread)
        while True:
            await asyncio.sleep(
                REREAD_INTERVAL_S * (0.5 + self._context.draw_uniform())
            )
            await self._until_done(self._reread)
            await self._drop_forgotten()

    async def _until_done(self, call):
        """Repeat a call until the store has performed it."""
        pause_s = MIN_PAUSE_S
        while not await call():
            await asyncio.sleep(pause_s * (0.5 + self._context.draw_uniform()))
            pause_s = min(MAX_PAUSE_S, 2.0 * pause_s)

    async def _write(self):
        """Write this host's record; return whether that succeeded."""
        settings = self._context.settings
        content = _record_of(settings)
        result = await self._store.create(HOSTS_KIND, settings.name, content)
        if isinstance(result, Failure) and result.failure().code == "conflict":
            result = await self._store.replace(HOSTS_KIND, settings.name, content)
        return self._succeeded("record_written", result)

    async def _reread(self):
        """Read all records, some seconds stale, which costs the store less."""
        return await self._read(allow_stale=True)

    async def _read(self, allow_stale=False):
        """Read all records; return whether that succeeded."""
        result = await self._store.list(HOSTS_KIND, allow_stale=allow_stale)
        if isinstance(result, Failure):
            return self._succeeded("records_read", result)
        context = self._context
        stored = result.unwrap().objects
        for item in stored:
            ip = item.content.get("ip") if isinstance(item.content, dict) else None
            if isinstance(ip, str):
                context.hosts.on_record(context.clock(), item.name, ip)
        context.hosts.on_records_read()
        names = [item.name for item in stored]
        for name in context.hosts.drop_unrecorded(context.clock(), names):
            context.log("info", "host_forgotten", peer=name)
        if self._is_recorded(stored):
            return True
        # This host is new, or the others deleted its record while it was cut off.
        # Reading again finds hosts that wrote their records at the same time.
        context.log("info", "record_missing", read=len(stored))
        return await self._write() and await self._read()

    def _is_recorded(self, stored):
        """Return whether this host's record exists and is up to date."""
        settings = self._context.settings
        for item in stored:
            if item.name == settings.name:
                return item.content == _record_of(settings)
        return False

    async def _drop_forgotten(self):
        """Delete the records of hosts that have been silent for long.

        Only hosts that watch the store do this: they are few, and all hosts send them
        updates. A host that receives no updates would delete the records of all others.
        """
        context = self._context
        now_s = context.clock()
        if not context.watches_store():
            self._watching_since_s = None
            return
        if self._watching_since_s is None:
            self._watching_since_s = now_s
        for name in context.hosts.drop_silent(now_s, self._watching_since_s):
            context.log("info", "host_forgotten", peer=name)
            result = await self._store.delete(HOSTS_KIND, name)
            if isinstance(result, Failure) and result.failure().code == "absent":
                continue
            self._succeeded("record_deleted", result)

    def _succeeded(self, event, result):
        """Log a failure; return whether the call succeeded."""
        if isinstance(result, Success):
            return True
        error = result.failure()
        self._context.log(
            "warning",
            "registration_failed",
            step=event,
            code=error.code,
            detail=error.detail,
        )
        return False


def _record_of(settings):
    """Return the content of a host's record."""
    return {"ip": settings.ip, "zone": settings.zone}
