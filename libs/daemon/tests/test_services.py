"""Calls of plain services run at most once unless they are repeatable."""

import asyncio

from gypsumusher_daemon.endpoints import EndpointEntry
from gypsumusher_daemon.engine_sessions import EngineSessions
from gypsumusher_daemon.refusals import Refusal
from gypsumusher_daemon.services import ServiceAnswer, ServiceCall, Services

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Replica:
    """A raw HTTP server that sends scripted answers, one per request.

    None in the script closes the connection without an answer; an empty script
    answers `OK`.
    """

    def __init__(self, script):
        self.script = list(script)
        self.seen = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def serve(self, reader, writer):
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            for line in head.decode().lower().split("\r\n"):
                if line.startswith("content-length:"):
                    await reader.readexactly(int(line.split(":")[1]))
            self.seen += 1
            answer = self.script.pop(0) if self.script else OK
            if answer is None:
                break
            writer.write(answer)
            if b"Content-Length: 9" in answer:
                break
        writer.close()

    async def close(self):
        self.server.close()
        await self.server.wait_closed()


class FakeEndpoints:
    def __init__(self, addresses):
        self.entries = [
            EndpointEntry(f"s{n}", "service", "svc", address, "z", "r", False)
            for n, address in enumerate(addresses)
        ]

    def group(self, kind, group):
        return self.entries

    def is_leaving(self, entry):
        return False


def call(method="POST", repeatable=False):
    return ServiceCall("svc", method, "/x", "", [], b"{}", "r1", repeatable, 5.0)


async def make_services(*replicas):
    """Return started sessions, and services that call these replicas."""
    sessions = EngineSessions(1.0, 5.0)
    await sessions.start()
    addresses = [await replica.start() for replica in replicas]
    log = lambda *_, **__: None
    services = Services(sessions, FakeEndpoints(addresses), "z", lambda: 0.0, log)
    return sessions, services


def test_call_on_a_connection_that_breaks_is_not_repeated():
    """A call that is not repeatable must not run twice, as a double booking would.

    The replica reads and runs the call, then closes the kept-alive connection without
    an answer; an HTTP library that retries on its own would send the call again.
    """

    async def main():
        for method in ("POST", "PUT", "DELETE"):
            first, second = Replica([OK, None]), Replica([])
            sessions, services = await make_services(first, second)
            sent = []
            answer = await services.call(call(method), sent.append)
            assert isinstance(answer, ServiceAnswer)
            refusal = await services.call(call(method), sent.append)
            assert isinstance(refusal, Refusal)
            assert (refusal.run, refusal.retry_after_s) == ("unknown", None)
            assert (first.seen, second.seen) == (2, 0)
            await sessions.close()
            await first.close()
            await second.close()

    asyncio.run(main())


def test_repeatable_call_goes_to_another_replica():
    async def main():
        first, second = Replica([None]), Replica([OK])
        sessions, services = await make_services(first, second)
        answer = await services.call(call("GET", True), lambda _: None)
        assert isinstance(answer, ServiceAnswer)
        assert (first.seen, second.seen) == (1, 1)
        await sessions.close()
        await first.close()
        await second.close()

    asyncio.run(main())


def test_refused_connection_sends_nothing_and_another_replica_serves():
    async def main():
        gone, alive = Replica([]), Replica([OK])
        sessions, services = await make_services(gone, alive)
        await gone.close()
        sent = []
        answer = await services.call(call(), sent.append)
        assert isinstance(answer, ServiceAnswer)
        assert sent == [True, False, True]
        await sessions.close()
        await alive.close()

    asyncio.run(main())


def test_truncated_and_unframed_answers_are_not_delivered_as_complete():
    async def main():
        for answer in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nContent-Length: 9",
        ):
            replica = Replica([answer])
            sessions, services = await make_services(replica)
            refusal = await services.call(call(), lambda _: None)
            assert isinstance(refusal, Refusal)
            assert (refusal.code, refusal.run) == ("endpoint_failed", "unknown")
            await sessions.close()
            await replica.close()

    asyncio.run(main())
