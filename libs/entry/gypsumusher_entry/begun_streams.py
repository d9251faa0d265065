"""Streams that hosts have begun, for callers that take them up at another host."""

import asyncio
import secrets
from typing import NamedTuple

from gypsumusher_routing import (
    STREAM_KEY_BYTES,
    STREAM_LIFETIME_FACTOR,
    BegunStream,
    StreamVersions,
    choose_hosts,
    stream_key,
)

__all__ = ["BegunStreams"]

# Kinds of the datagrams.
BEGUN, ASKED, ANSWERED = "begun", "begun_asked", "begun_answered"
# Hosts that are told of a stream, besides the one that began it. When a host ends, one
# of the others knows the stream, unless a third of all end with it.
TOLD_HOSTS = 2
# Hosts that are asked for a stream: those that were told, also after other hosts have
# come or gone.
ASKED_HOSTS = 6
# Time limits of the answers of hosts, with the time after which they are asked again,
# and of a read of the store.
ANSWER_TIMEOUT_S, ASK_AGAIN_S, READ_TIMEOUT_S = 0.3, 0.1, 0.3
# Streams in one datagram.
MAX_KEYS = 128
# Longest id of an attempt that is looked for.
MAX_ID_CHARS = 256


class _Question(NamedTuple):
    """A question to other hosts.

    Attributes
    ----------
    keys : dict of str to bytes
        Key of the stream for each service that may have begun it.
    services : frozenset of str
        Services whose versions count.
    awaited : set of str
        IP addresses of the hosts that haven't answered.
    least_awaited : int
        Number of hosts whose answers may be missing if all others and this host know
        the same single version.
    possible : set of str
        Versions that may have begun the stream, according to this host and all answers.
    readers : set of str
        IP addresses of the hosts that have answered and read the record.
    ended : asyncio.Future
        The service and the version; None once enough hosts have answered without.
    """

    keys: dict
    services: frozenset
    awaited: set
    least_awaited: int
    possible: set
    readers: set
    ended: asyncio.Future


class _Answers(NamedTuple):
    """What other hosts have answered to a question.

    Attributes
    ----------
    found : (str, str or None) or None
        Service and version of the stream, if a host knows it.
    possible : frozenset of str
        Versions that may have begun it.
    asked, answered : int
        Numbers of the hosts that were asked, and that have answered.
    has_read : bool
        Whether one of these has read the record.
    """

    found: tuple | None
    possible: frozenset
    asked: int
    answered: int
    has_read: bool


class BegunStreams:
    """Records this host's streams, and exchanges them with a few other hosts.

    While only one version can have begun any stream, nothing is sent.

    Parameters
    ----------
    context : Context
        Hosts, and the versions that may begin streams.
    """

    def __init__(self, context):
        self.streams = StreamVersions()
        self._context = context
        self._send_datagram = None
        self._questions = {}
        # Questions of other hosts, by number and address, for which records are read.
        self._reading = set()
        # Services with several versions, whose streams other hosts are told of.
        self._told_services = set()

    def start(self, send_datagram):
        """Start to exchange streams.

        Parameters
        ----------
        send_datagram : callable
            ``send_datagram(kind, fields, ip)``.
        """
        self._send_datagram = send_datagram
        handlers = self._context.datagram_handlers
        handlers[BEGUN] = self._on_begun
        handlers[ASKED] = self._on_asked
        handlers[ANSWERED] = self._on_answered
        self._context.version_records.listeners.append(self._check_service)

    def on_first_event(self, exchange, version):
        """Record which version has begun a request's stream, before its first event.

        Parameters
        ----------
        exchange : Exchange
            The request.
        version : str
            Software version of the endpoint.
        """
        now_s = self._context.clock()
        for_s = STREAM_LIFETIME_FACTOR * exchange.route.timeout_s
        request = exchange.request
        began_id = request.request_id
        if exchange.is_resumed:
            began_id = _usable_id(request.resumed_id)
        if not began_id:
            return
        key = stream_key(exchange.service, exchange.account_name, began_id)
        stream = BegunStream(version, now_s + for_s, exchange.service)
        self.streams.put(now_s, key, stream)
        if not self._check_service(exchange.service):
            self._tell([(key, stream)])

    async def find(self, exchange):
        """Find out which version began the stream that a request takes up.

        Parameters
        ----------
        exchange : Exchange
            The request.

        Returns
        -------
        (str, str) or None
            The service and the version; None if they are unknown.
        """
        began_s = self._context.clock()
        found, source, possible = await self._find(exchange)
        exchange.log(
            "info",
            "stream_resumed",
            resumed_id=exchange.request.resumed_id,
            after=exchange.request.last_event_id,
            service=exchange.service if found is None else found[0],
            software=None if found is None else found[1],
            source=source,
            possible=",".join(sorted(possible)),
            took_ms=round((self._context.clock() - began_s) * 1000),
        )
        self._context.metrics.on_stream_resumed(source)
        return found

    async def _find(self, exchange):
        """Return what `find` does, its source, and the versions that are possible."""
        context, service = self._context, exchange.service
        possible = context.version_records.possible(service)
        keys = _keys(exchange)
        for other, key in keys.items():
            known = self.streams.find(context.clock(), key)
            if known is not None:
                return _found(other, known.version), "own", possible
        recorded = None
        if len(possible) == 1:
            # There may be others that this host hasn't heard of.
            recorded = await self._read(service)
            possible |= recorded or frozenset()
        is_single = len(possible) == 1
        if not keys and not is_single:
            return None, "none", possible
        needs_record = is_single and recorded is None
        answers = await self._ask(service, keys, possible, needs_record)
        if answers.found is not None:
            return _found(*answers.found), "hosts", possible
        possible |= answers.possible | context.version_records.possible(service)
        if not is_single or len(possible) != 1 or recorded == frozenset():
            return None, "none", possible
        if not await self._is_only_version(service, possible, answers, recorded):
            return None, "none", possible
        source = "hosts" if recorded is None else "store"
        return (service, next(iter(possible))), source, possible

    async def _is_only_version(self, service, possible, answers, recorded):
        """Return whether no other version than the possible one can have begun it."""
        if self._is_confirmed(answers, recorded):
            return True
        if recorded is None:
            return False
        # This host may have missed a version that couldn't be recorded.
        listed = await self._list(service)
        return listed is not None and listed <= possible

    def _is_confirmed(self, answers, recorded):
        """Return whether no host can know of another version than all that answered.

        Parameters
        ----------
        answers : _Answers
            Answers of hosts that know a single version.
        recorded : frozenset of str or None
            The record as this host has read it; None if it couldn't.

        Returns
        -------
        bool
        """
        hosts = self._context.hosts
        existing = hosts.existing_count()
        if existing == 1:
            return True
        if recorded is not None:
            # An outdated host is told by the first ones that aren't.
            return answers.answered > 0 and 2 * answers.answered >= answers.asked
        if answers.has_read:
            return True
        # The hosts may be cut off together from others that see the store.
        live = 1 + len(hosts.live(self._context.clock()))
        least = min(existing, ASKED_HOSTS + 1)
        return 2 * live > existing and 2 * (answers.answered + 1) > least

    async def _list(self, service):
        """Return the versions of a service's endpoints in the store, None if away."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self._context.version_records.read_present(service)
        except TimeoutError:
            return None

    async def _read(self, service):
        """Return the recorded versions of a service; None if the store is away."""
        context = self._context
        if context.watches_store() and not context.sees_store:
            return None
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await context.version_records.read(service)
        except TimeoutError:
            return None

    async def _ask(self, service, keys, possible, needs_record):
        """Ask other hosts for a stream.

        Parameters
        ----------
        service : str
            Service that would go on with it.
        keys : dict of str to bytes
            Key of the stream for each service that may have begun it.
        possible : frozenset of str
            Versions that may have begun it, as far as this host knows.
        needs_record : bool
            Whether they are to read the services' records for this host.

        Returns
        -------
        _Answers
        """
        keys = keys or {service: b""}
        key = next(iter(keys.values()))
        awaited = {host.ip for host in self._choose_hosts(key, ASKED_HOSTS)}
        count = len(awaited)
        if not count:
            return _Answers(None, frozenset(), 0, 0, False)
        number = secrets.randbits(32)
        ended = asyncio.get_running_loop().create_future()
        least_awaited = 0 if needs_record else count // 2
        services = frozenset(keys if needs_record else (service,))
        question = _Question(
            keys, services, awaited, least_awaited, set(possible), set(), ended
        )
        self._questions[number] = question
        fields = [number, [[name, key] for name, key in keys.items()], needs_record]
        last_wait_s = ANSWER_TIMEOUT_S - ASK_AGAIN_S
        if needs_record:
            last_wait_s += READ_TIMEOUT_S
        try:
            for wait_s in (ASK_AGAIN_S, last_wait_s):
                for ip in awaited:
                    self._send_datagram(ASKED, fields, ip)
                await asyncio.wait([ended], timeout=wait_s)
                if ended.done():
                    break
        finally:
            del self._questions[number]
        found = ended.result() if ended.done() else None
        answered = count - len(awaited)
        has_read = bool(question.readers)
        return _Answers(found, frozenset(question.possible), count, answered, has_read)

    def _choose_hosts(self, key, count):
        """Return other active hosts, the same ones for a stream on all hosts."""
        name = self._context.settings.name
        others = [host for host in self._context.active_hosts() if host.name != name]
        return choose_hosts(others, key, count)

    def _check_service(self, service):
        """Tell of all streams of a service once it has several versions.

        Returns
        -------
        bool
            Whether other hosts need not be told of a single stream.
        """
        if len(self._context.version_records.possible(service)) <= 1:
            self._told_services.discard(service)
            return True
        if service in self._told_services:
            return False
        self._told_services.add(service)
        self._tell(self.streams.of_service(self._context.clock(), service))
        return True

    def _tell(self, streams):
        """Tell a few hosts of streams."""
        if self._send_datagram is None:
            return
        now_s = self._context.clock()
        parts = {}
        for key, stream in streams:
            for host in self._choose_hosts(key, TOLD_HOSTS):
                for_s = round(stream.expires_s - now_s)
                part = parts.setdefault((host.ip, stream.version, for_s), [])
                part.append(key)
        for (ip, version, for_s), keys in parts.items():
            for first in range(0, len(keys), MAX_KEYS):
                joined = b"".join(keys[first : first + MAX_KEYS])
                self._send_datagram(BEGUN, [version, for_s, joined], ip)

    def _on_begun(self, fields, ip):
        """Record streams that another host has begun."""
        version, for_s, joined = fields
        if not (version is None or type(version) is str) or type(for_s) is not int:
            raise ValueError("not a list of begun streams")
        now_s = self._context.clock()
        for first in range(0, len(joined), STREAM_KEY_BYTES):
            key = bytes(joined[first : first + STREAM_KEY_BYTES])
            self.streams.put(now_s, key, BegunStream(version, now_s + for_s))

    def _on_asked(self, fields, ip):
        """Answer another host's question."""
        number, keys, needs_record = fields
        keys = {str(service): bytes(key) for service, key in keys}
        if needs_record and (number, ip) not in self._reading:
            self._reading.add((number, ip))
            self._context.spawn(self._read_and_answer(number, keys, ip))
        elif not needs_record:
            self._answer(number, keys, ip, False)

    async def _read_and_answer(self, number, keys, ip):
        """Answer another host's question with the records read for it."""
        try:
            results = [await self._read(service) for service in keys]
        finally:
            self._reading.discard((number, ip))
        if not self._knows(keys) and self._lacks_record(keys, results):
            # The stream may have begun at a version that this host hasn't heard of.
            return
        self._answer(number, keys, ip, None not in results)

    def _knows(self, keys):
        """Return whether one of the keys is of a stream that this host knows."""
        now_s = self._context.clock()
        return any(self.streams.find(now_s, key) for key in keys.values())

    def _lacks_record(self, services, results):
        """Return whether a service with versions has no record, as was just read."""
        possible = self._context.version_records.possible
        return any(
            recorded == frozenset() and possible(service)
            for service, recorded in zip(services, results, strict=True)
        )

    def _answer(self, number, keys, ip, has_read):
        """Send what this host knows of a stream, and the versions that it knows."""
        now_s = self._context.clock()
        found = []
        for service, key in keys.items():
            known = self.streams.find(now_s, key)
            possible = sorted(self._context.version_records.possible(service))
            version = None if known is None else known.version
            found.append([service, known is not None, version, possible])
        self._send_datagram(ANSWERED, [number, has_read, found], ip)

    def _on_answered(self, fields, ip):
        """Apply another host's answer to a question of this host."""
        number, has_read, found = fields
        question = self._questions.get(number)
        if question is None or ip not in question.awaited or question.ended.done():
            return
        question.awaited.discard(ip)
        if has_read:
            question.readers.add(ip)
        for service, is_known, version, possible in found:
            if service in question.services:
                question.possible.update(map(str, possible))
            if is_known and service in question.keys and not question.ended.done():
                question.ended.set_result((service, version))
        if question.ended.done():
            return
        is_single = len(question.possible) == 1
        has_enough = question.readers or len(question.awaited) <= question.least_awaited
        if not question.awaited or (is_single and has_enough):
            question.ended.set_result(None)


def _found(service, version):
    """Return a service and a version; None if reports contradict each other."""
    return None if version is None else (service, version)


def _usable_id(request_id):
    """Return the id of an attempt, or None if no attempt has such an id."""
    if not request_id or len(request_id) > MAX_ID_CHARS:
        return None
    return request_id


def _keys(exchange):
    """Return the stream's key for each service of its route that may have begun it."""
    began_id = _usable_id(exchange.request.resumed_id)
    if began_id is None:
        return {}
    services = [share.service for share in exchange.route.shares]
    if exchange.service not in services:
        services.append(exchange.service)
    return {
        service: stream_key(service, exchange.account_name, began_id)
        for service in services
    }
