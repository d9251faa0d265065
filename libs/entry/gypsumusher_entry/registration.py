"""This host's record in the platform's store, by which the hosts find each other."""

import asyncio

from returns.result import Failure, Success

__all__ = ["HOSTS_KIND", "Registration"]

# A kind of our own; the platform stores it and reads nothing into it.
HOSTS_KIND = "entry-hosts"
FIRST_PAUSE_S, LAST_PAUSE_S = 0.2, 2.0
# The records are read again this often, in seconds, for hosts that nobody told of.
# Messages between hosts bring news sooner, so it may be rare and stale.
REREAD_S = 15.0


class Registration:
    """Writes this host's record, and reads those of the others.

    Parameters
    ----------
    context : Context
        Takes the hosts that are found.
    store : StoreClient
        The store.
    """

    def __init__(self, context, store):
        self._context = context
        self._store = store
        # Since when this host watches the store, and so is spoken to by all hosts.
        self._watching_since_s = None

    async def start(self):
        """Begin; it goes on in the background until the context is closed."""
        self._context.spawn(self._run())

    async def _run(self):
        if self._context.settings.is_first_start:
            await self._until_done(self._write)
            await self._until_done(self._read)
        else:
            # After the loss of all hosts their records still stand: hundreds of hosts
            # that wrote them anew would ask the store for three calls each at once.
            await self._until_done(self._reread)
        while True:
            await asyncio.sleep(REREAD_S * (0.5 + self._context.draw()))
            await self._until_done(self._reread)
            await self._drop_forgotten()

    async def _until_done(self, call):
        """Repeat a call until the store has done it."""
        pause_s = FIRST_PAUSE_S
        while not await call():
            await asyncio.sleep(pause_s * (0.5 + self._context.draw()))
            pause_s = min(LAST_PAUSE_S, 2.0 * pause_s)

    async def _write(self):
        """Write the record; say whether it stands."""
        settings = self._context.settings
        content = _record_of(settings)
        result = await self._store.create(HOSTS_KIND, settings.name, content)
        if isinstance(result, Failure) and result.failure().code == "conflict":
            result = await self._store.replace(HOSTS_KIND, settings.name, content)
        return self._note("record_written", result)

    async def _reread(self):
        """Read all records as they were some seconds ago, which costs less."""
        return await self._read(allow_stale=True)

    async def _read(self, allow_stale=False):
        """Read all records; say whether that worked."""
        result = await self._store.list(HOSTS_KIND, allow_stale=allow_stale)
        if isinstance(result, Failure):
            return self._note("records_read", result)
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
        # It is new, or the others took it for gone while it was cut off. Those that
        # wrote their records at the same time are found by reading again.
        context.log("info", "record_missing", read=len(stored))
        return await self._write() and await self._read()

    def _is_recorded(self, stored):
        """Say whether this host's record stands as it would write it."""
        settings = self._context.settings
        for item in stored:
            if item.name == settings.name:
                return item.content == _record_of(settings)
        return False

    async def _drop_forgotten(self):
        """Delete the records of hosts that have been silent for long.

        Only the hosts that watch the store do: they are few, and the others speak to
        them alone. A host that they don't speak to would take all of them for gone.
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
            self._note("record_deleted", result)

    def _note(self, event, result):
        """Log a failure; say whether the call was done."""
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
