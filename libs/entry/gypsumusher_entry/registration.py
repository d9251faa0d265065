"""This host's record in the platform's store, by which the hosts find each other."""

import asyncio
import socket

from returns.result import Failure, Success

from gypsumusher_routing import ABSENT_FOR_S, RecordState

__all__ = ["HOSTS_KIND", "Registration"]

# A kind of this project; the platform stores its objects without interpreting them.
HOSTS_KIND = "entry-hosts"
MIN_PAUSE_S, MAX_PAUSE_S = 0.2, 2.0
# How often the records are read again, for hosts that no peer has announced. Gossip
# brings changes sooner, so the reads may be rare and stale.
REREAD_INTERVAL_S = 15.0
# How often a host that hasn't joined checks whether the others count it.
JOIN_POLL_S = 1.0
# Key of a record's state.
STATE = "state"


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
        # The records as read last, and whether this host's was the only one.
        self._records = {}
        self._is_sole_record = False
        # When a record was first seen marked as silent, by name and revision.
        self._marked_since_s = {}

    async def start(self):
        """Start in the background, until the context is closed."""
        self._context.keep_running(self._run)
        self._context.keep_running(self._join_when_counted)

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

    async def _join_when_counted(self):
        """Join the other hosts whenever this host has not, and record that."""
        while True:
            await self._context.wait_for_tick(JOIN_POLL_S)
            if self._try_join() and STATE not in self._own_content():
                # If this fails, the next reread repeats it.
                await self._write()

    def _try_join(self):
        """Join if all others count this host; return whether that happened now."""
        context = self._context
        if context.membership.has_joined():
            return False
        now_s = context.clock()
        found = context.hosts.acknowledgement(now_s, self._is_sole_record)
        if not context.membership.try_join(now_s, found):
            return False
        context.log("info", "membership_joined", **found._asdict())
        return True

    async def _until_done(self, call):
        """Repeat a call until the store has performed it."""
        pause_s = MIN_PAUSE_S
        while not await call():
            await asyncio.sleep(pause_s * (0.5 + self._context.draw_uniform()))
            pause_s = min(MAX_PAUSE_S, 2.0 * pause_s)

    async def _write(self):
        """Write this host's record; return whether that succeeded."""
        name, content = self._context.settings.name, self._own_content()
        calls = [(self._store.create, "conflict"), (self._store.replace, "absent")]
        if name in self._records:
            calls.reverse()
        for call, code_of_other in calls:
            result = await call(HOSTS_KIND, name, content)
            if isinstance(result, Success) or result.failure().code != code_of_other:
                break
        return self._succeeded("record_written", result)

    async def _reread(self):
        """Read all records, some seconds stale, which costs the store less."""
        return await self._read(allow_stale=True)

    async def _read(self, allow_stale=False):
        """Read all records; return whether this host's is there and up to date.

        A fresh read that lacks it, or has another one, writes it.
        """
        context = self._context
        read_s = context.clock()
        result = await self._store.list(HOSTS_KIND, allow_stale=allow_stale)
        if isinstance(result, Failure):
            return self._succeeded("records_read", result)
        stored = {item.name: item for item in result.unwrap().objects}
        self._apply(stored)
        own = stored.get(context.settings.name)
        if own is not None:
            context.membership.on_own_record(read_s, _state_of(own.content))
            if own.content == self._own_content():
                return True
        if allow_stale:
            # The record may be newer than what was read.
            return await self._read()
        if own is None:
            # This host is new, or its record was deleted while it was cut off.
            context.membership.on_own_record(read_s, None)
            context.log("info", "record_missing", read=len(stored))
        # The next read tells whether it is there, and finds hosts that wrote their
        # records at the same time.
        await self._write()
        return False

    def _apply(self, stored):
        """Record which hosts exist, and since when records are marked as silent."""
        context = self._context
        now_s = context.clock()
        for name, item in stored.items():
            ip = item.content.get("ip") if isinstance(item.content, dict) else None
            if not _is_ipv4(ip):
                context.log(
                    "warning", "record_unreadable", peer=name, ip=ascii(ip)[:64]
                )
                continue
            context.hosts.on_record(now_s, name, ip, _state_of(item.content))
        context.hosts.on_records_read()
        self._is_sole_record = list(stored) == [context.settings.name]
        for name in context.hosts.drop_unrecorded(now_s, stored):
            context.log("info", "host_forgotten", peer=name)
        self._records = stored
        self._marked_since_s = {
            (name, item.revision): self._marked_since_s.get(
                (name, item.revision), now_s
            )
            for name, item in stored.items()
            if _state_of(item.content) is RecordState.SILENT
        }

    def _own_content(self):
        """Return the content that this host's record should have."""
        context = self._context
        content = {"ip": context.settings.ip, "zone": context.settings.zone}
        state = context.membership.record_state(context.clock())
        if state is not RecordState.MEMBER:
            content[STATE] = state.value
        return content

    async def _drop_forgotten(self):
        """Mark the records of silent hosts, and delete those that were marked for long.

        Only hosts that watch the store do this: they are few, and all hosts send them
        updates. A host that receives no updates would mark the records of all others.
        A host that is alive writes a marked record again, so that a record is deleted
        only when its host has not reached the store for longer than it may use its part
        of what all hosts share.
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
            item = self._records.get(name)
            if item is None or not isinstance(item.content, dict):
                continue
            if _state_of(item.content) is RecordState.SILENT:
                continue
            content = {**item.content, STATE: RecordState.SILENT.value}
            result = await self._store.replace(HOSTS_KIND, name, content, item.revision)
            self._succeeded("record_marked", result)
        for (name, revision), since_s in list(self._marked_since_s.items()):
            if now_s - since_s <= ABSENT_FOR_S:
                continue
            result = await self._store.delete(HOSTS_KIND, name, revision)
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


def _is_ipv4(ip):
    """Return whether a field of a record is an address to which messages can go."""
    try:
        socket.inet_pton(socket.AF_INET, ip)
    except (OSError, TypeError, ValueError):
        return False
    return True


def _state_of(content):
    """Return the state in a record; a record without one is a member's."""
    value = content.get(STATE) if isinstance(content, dict) else None
    if value in (state.value for state in RecordState):
        return RecordState(value)
    return RecordState.MEMBER
