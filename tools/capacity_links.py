"""Measures what two hosts' exchange of news costs, over a real authenticated link."""

import asyncio
import time

from capacity_fit import fit_line
from capacity_objects import sweep

from gypsumusher_peers import Identity, KeyRing, PeerLink, PeerServer

IP = "127.0.0.1"
KEYS = [("k1", "a shared secret of the capacity run")]
EXCHANGES = 400
TIMEOUT_S = 10.0
ROUNDS = 5
ENTRIES = (4, 8, 16, 32, 64)


def make_news(entries):
    """Return one host's news as the daemon gossips it, with some loads.

    Parameters
    ----------
    entries : int
        Endpoints on which the host has work in flight.
    """
    loads = {f"letter-models-engine-{n}": (7, 14_000) for n in range(entries)}
    demand = {
        "host": "host-17",
        "prefill_rate": 1.2345678,
        "decode_rate": 2.3456789,
        "prefill_slow_rate": 1.2345678,
        "decode_slow_rate": 2.3456789,
        "prefill_queued_s": 0.1234567,
        "decode_queued_s": 0.1234567,
    }
    return {
        "type": "gossip",
        "state": "live",
        "config": 3800,
        "loads": {"letter-models": loads},
        "demands": {"letter-models": demand},
        "leaving": [],
        "suspicions": {},
        "convictions": {},
    }


class Counter:
    """A relay between two sockets that counts the bytes both ways."""

    def __init__(self, port):
        self.sent_bytes = 0
        self._port = port
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._relay, IP, 0)
        return self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop, if it was started."""
        if self._server is None:
            return
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _relay(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection(IP, self._port)
        for source, target in ((reader, far_writer), (far_reader, writer)):
            self._tasks.add(asyncio.ensure_future(self._copy(source, target)))

    async def _copy(self, reader, writer):
        while True:
            data = await reader.read(65536)
            if not data:
                writer.close()
                return
            self.sent_bytes += len(data)
            writer.write(data)


async def exchange(entries, counted):
    """Make many exchanges; return bytes and processor seconds of one.

    Parameters
    ----------
    entries : int
        Endpoints in each news.
    counted : bool
        Whether to go through the counting relay, whose time is then in the figure.
    """
    news = make_news(entries)

    async def answer(peer, message):
        return news

    keys = KeyRing(KEYS)
    server = PeerServer(Identity("host-b", "b" * 16), keys, answer, lambda error: None)
    port = await server.start(IP, 0)
    counter = Counter(port)
    used_port = await counter.start() if counted else port
    link = PeerLink(IP, used_port, Identity("host-a", "a" * 16), keys)
    await link.start()
    (await link.request(news, TIMEOUT_S)).unwrap()
    start_bytes = counter.sent_bytes
    start_s = time.process_time()
    for _ in range(EXCHANGES):
        (await link.request(news, TIMEOUT_S)).unwrap()
    took_s = time.process_time() - start_s
    sent_bytes = counter.sent_bytes - start_bytes
    await link.close()
    await counter.close()
    await server.close()
    return sent_bytes / EXCHANGES, took_s / EXCHANGES


def exchange_bytes(entries):
    """Return the bytes of one exchange, both ways, without IP and TCP headers."""
    return asyncio.run(exchange(entries, counted=True))[0]


def exchange_us(entries):
    """Return one host's processor time for one exchange, in microseconds.

    Both ends run in this process and do nearly the same work, so that half of its
    time is one host's.
    """
    return asyncio.run(exchange(entries, counted=False))[1] / 2 * 1e6


def measure_links():
    """Return the lines of the exchange between two hosts."""
    return [
        fit_line(
            "one exchange of news, both ways",
            "endpoints with work in flight",
            "bytes",
            sweep(exchange_bytes, ENTRIES),
        ),
        fit_line(
            "one exchange of news, one host's time",
            "endpoints with work in flight",
            "us",
            sweep(exchange_us, ENTRIES, ROUNDS),
        ),
    ]
