"""Records in the store of content that is refused, for hosts that start later.

The first active host that sees the store writes and deletes them; a host that starts
while no other tells it what is refused reads them. Records have no end of their own: a
host that reads one refuses the content for its whole time from then on, so that no two
clocks are compared.
"""

import asyncio
import hashlib

from returns.result import Failure, Success

from gypsumusher_routing import FINGERPRINT_BYTES, REFUSED_MAX_S

__all__ = ["REFUSED_KIND", "RefusalRecords"]

# A kind of this project; the platform stores its objects without interpreting them.
REFUSED_KIND = "refused-content"
# Keys of a record: fingerprints in hexadecimal, and the time in milliseconds.
KEYS, FOR_MS = "keys", "for_ms"
MIN_PAUSE_S, MAX_PAUSE_S = 0.2, 2.0
# Pause between two checks whether this host is to write or delete records.
CHECK_INTERVAL_S = 1.0
# Time for which a host that isn't the first goes on to check after a refusal has ended,
# in case that the first one ends before it has deleted the record.
KEPT_FOR_S = 5.0
# Most refusals that are recorded, the newest ones.
RECORDED_MAX = 64


class RefusalRecords:
    """Keeps what is refused recorded, and reads it when the host starts.

    Parameters
    ----------
    context : Context
        Hosts, and what is refused.
    """

    def __init__(self, context):
        self._context = context
        self._reports = context.crash_reports
        self._store = None
        # What this host has recorded or knows to be, by name: the refusal's time in
        # seconds, and when it was last in force.
        self._recorded_for_s = {}
        self._in_force_s = {}
        self._task = None

    def start(self, store):
        """Read what is recorded, and start to record.

        Parameters
        ----------
        store : StoreClient
            Holds the records.
        """
        self._store = store
        self._reports.listeners.append(self._update_soon)
        self._context.spawn(self._load())

    async def _load(self):
        """Read the records until the store has answered once."""
        pause_s = MIN_PAUSE_S
        while True:
            result = await self._store.list(REFUSED_KIND)
            if isinstance(result, Success):
                break
            await asyncio.sleep(pause_s * (0.5 + self._context.draw_uniform()))
            pause_s = min(MAX_PAUSE_S, 2.0 * pause_s)
            if not self._context.watches_store():
                # Other hosts tell what is refused.
                return
        for item in result.unwrap().objects:
            refusal = _decode(item.content)
            if refusal is None or _name_of(refusal[0]) != item.name:
                self._context.log("warning", "refusal_unreadable", name=item.name)
                continue
            self._recorded_for_s[item.name] = refusal[1]
            self._in_force_s[item.name] = self._context.clock()
            self._reports.on_recorded(*refusal)
        self._update_soon()

    def _update_soon(self):
        """Start to bring the records up to date unless that is under way."""
        if self._task is not None:
            return
        if self._recorded_for_s or self._in_force_s or self._refused():
            self._task = self._context.spawn(self._update())

    async def _update(self):
        """Write and delete records for as long as anything is refused or recorded."""
        try:
            while await self._update_once():
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            self._task = None

    async def _update_once(self):
        """Bring the records up to date if that is up to this host.

        Returns
        -------
        bool
            Whether there may be more to do.
        """
        now_s = self._context.clock()
        refused = self._refused()
        for name in refused:
            self._in_force_s[name] = now_s
        if not self._context.should_order_stages():
            for name, at_s in list(self._in_force_s.items()):
                if name not in refused and now_s > at_s + KEPT_FOR_S:
                    self._forget(name)
            return bool(self._in_force_s)
        for name, content in refused.items():
            if self._recorded_for_s.get(name) != content.for_s:
                await self._write(name, content)
        for name in self._in_force_s.keys() - refused.keys():
            await self._delete(name)
        return bool(self._in_force_s)

    def _refused(self):
        """Return the refusals in force that are recorded, by the record's name."""
        refused = self._reports.content.refusals(self._context.clock())
        return {_name_of(content.keys): content for content in refused[-RECORDED_MAX:]}

    async def _write(self, name, content):
        """Write the record of a refusal."""
        fields = {
            KEYS: sorted(key.hex() for key in content.keys),
            FOR_MS: round(content.for_s * 1000),
        }
        result = await self._store.create(REFUSED_KIND, name, fields)
        if isinstance(result, Failure) and result.failure().code == "conflict":
            result = await self._store.replace(REFUSED_KIND, name, fields)
        if self._is_done(result, "refusal_recorded", name):
            self._recorded_for_s[name] = content.for_s

    async def _delete(self, name):
        """Delete the record of a refusal that has ended."""
        result = await self._store.delete(REFUSED_KIND, name)
        is_absent = isinstance(result, Failure) and result.failure().code == "absent"
        if is_absent or self._is_done(result, "refusal_deleted", name):
            self._forget(name)

    def _is_done(self, result, event, name):
        """Log the result of a call; return whether it succeeded."""
        if isinstance(result, Success):
            self._context.log("info", event, name=name)
            return True
        error = result.failure()
        self._context.log(
            "info",
            "refusal_not_recorded",
            name=name,
            code=error.code,
            detail=error.detail,
        )
        return False

    def _forget(self, name):
        self._recorded_for_s.pop(name, None)
        self._in_force_s.pop(name, None)


def _name_of(keys):
    """Return the name of the record of a refusal."""
    if len(keys) == 1:
        return next(iter(keys)).hex()
    digest = hashlib.blake2b(b"".join(sorted(keys)), digest_size=FINGERPRINT_BYTES)
    return digest.hexdigest()


def _decode(content):
    """Return the keys and the time in a record, or None if it has another form."""
    if not isinstance(content, dict):
        return None
    keys, for_ms = content.get(KEYS), content.get(FOR_MS)
    if type(for_ms) is not int or not 0 < for_ms <= 1000 * REFUSED_MAX_S:
        return None
    if not isinstance(keys, list) or not keys:
        return None
    try:
        return frozenset(bytes.fromhex(key) for key in keys), for_ms / 1000.0
    except (TypeError, ValueError):
        return None
