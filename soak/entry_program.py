"""Runs the entry host's program, cut off from the hosts that a file lists.

The file is named by ``GYPSUMUSHER_SOAK_CUT`` and holds one IP address a line. Messages
to these addresses and from them are dropped, and connections to them are refused, as by
a network that is partitioned. A line ``loss=SHARE`` has that share of all sent messages
dropped, and a line ``link=IP:PORT=MODE`` disturbs this host's own connections to one
address, see `LINK_MODES`. The program itself isn't changed.
"""

import gypsumusher_process

# Earlier releases handle signals only in their event loop.
_SIGNALS = None
if __name__ == "__main__" and hasattr(gypsumusher_process, "ProcessSignals"):
    # Before the other imports, which take long.
    _SIGNALS = gypsumusher_process.ProcessSignals()
    _SIGNALS.start()

import asyncio  # noqa: E402
import functools  # noqa: E402
import os  # noqa: E402
import random  # noqa: E402
import runpy  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import uvloop  # noqa: E402

__all__ = [
    "CUT_VARIABLE",
    "LINK_MODES",
    "LINK_PREFIX",
    "LOSS_PREFIX",
    "START_VARIABLE",
]

# Names the file without which the program doesn't begin, so that many hosts can begin
# at the same moment.
START_VARIABLE = "GYPSUMUSHER_SOAK_START"
START_POLL_S = 0.01
CUT_VARIABLE = "GYPSUMUSHER_SOAK_CUT"
LOSS_PREFIX = "loss="
LINK_PREFIX = "link="
# What happens to connections over a disturbed link: open ones hold back all data and
# new ones hang; open ones are reset and new ones refused; open ones live on and new
# ones are refused; data of the peer alone is held back, and new ones hang.
LINK_MODES = ("hang", "reset", "refuse_new", "one_way")
HANG, RESET, REFUSE_NEW, ONE_WAY = LINK_MODES
# Interval at which open connections follow a change of the file.
LINK_POLL_S = 0.05


class _CutList:
    """The addresses in a file, read again when the file has changed."""

    def __init__(self, path):
        self._path = path
        self._modified_ns = 0
        self._ips = frozenset()
        self._loss_share = 0.0
        self._link_modes = {}

    def link_mode(self, address):
        """Return how the link to an address ``ip:port`` is disturbed, or None."""
        self._read()
        return self._link_modes.get(address)

    def __contains__(self, ip):
        self._read()
        return ip in self._ips

    def draw_loss(self):
        """Return whether the next message is lost."""
        self._read()
        return random.random() < self._loss_share

    def _read(self):
        try:
            modified_ns = os.stat(self._path).st_mtime_ns
        except FileNotFoundError:
            return
        if modified_ns == self._modified_ns:
            return
        with open(self._path) as file:
            lines = file.read().split()
        self._ips = frozenset(lines)
        self._modified_ns = modified_ns
        self._link_modes = {}
        for line in lines:
            if line.startswith(LOSS_PREFIX):
                self._loss_share = float(line.removeprefix(LOSS_PREFIX))
            if line.startswith(LINK_PREFIX):
                address, _, mode = line.removeprefix(LINK_PREFIX).partition("=")
                self._link_modes[address] = mode


class _CutProtocol:
    """Passes on the events of a datagram protocol, except what is cut off."""

    def __init__(self, protocol, cut):
        self._protocol = protocol
        self._cut = cut
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport
        self._protocol.connection_made(self)

    def connection_lost(self, error):
        self._protocol.connection_lost(error)

    def datagram_received(self, data, address):
        if address[0] not in self._cut:
            self._protocol.datagram_received(data, address)

    def error_received(self, error):
        self._protocol.error_received(error)

    # Called by the protocol, as on its transport

    def sendto(self, data, address):
        if address[0] not in self._cut and not self._cut.draw_loss():
            self._transport.sendto(data, address)

    def close(self):
        self._transport.close()


class _LinkProtocol(asyncio.Protocol):
    """Passes on the events and writes of a connection as the mode of its link says.

    It stands between a protocol, for which it is the transport, and the transport.
    """

    def __init__(self, protocol, cut, address):
        self._protocol = protocol
        self._cut = cut
        self._address = address
        self._transport = None
        self._poll = None
        self._held_events = []
        self._held_writes = []

    def __getattr__(self, name):
        return getattr(self._transport, name)

    def set_protocol(self, protocol):
        self._protocol = protocol

    def write(self, data):
        if self._held_writes or self._mode() == HANG:
            self._held_writes.append(data)
            return
        self._transport.write(data)

    # Called by the transport

    def connection_made(self, transport):
        self._transport = transport
        self._protocol.connection_made(self)
        self._follow()

    def data_received(self, data):
        self._pass_on("data_received", data)

    def eof_received(self):
        # The protocol sees the end, and the loss after it, once nothing is held back.
        self._pass_on("eof_received")

    def pause_writing(self):
        self._protocol.pause_writing()

    def resume_writing(self):
        self._protocol.resume_writing()

    def connection_lost(self, error):
        self._poll.cancel()
        is_own_end = self._transport.is_closing() and not self._held_events
        if is_own_end or self._mode() not in (HANG, ONE_WAY):
            self._release()
            self._protocol.connection_lost(error)
            return
        self._held_events.append(("connection_lost", (error,)))
        self._follow()

    def _mode(self):
        return self._cut.link_mode(self._address)

    def _pass_on(self, name, *arguments):
        if self._held_events or self._mode() in (HANG, ONE_WAY):
            self._held_events.append((name, arguments))
            return
        getattr(self._protocol, name)(*arguments)

    def _release(self):
        """Pass on all that was held back, in order."""
        events, self._held_events = self._held_events, []
        writes, self._held_writes = self._held_writes, []
        for data in writes:
            self._transport.write(data)
        for name, arguments in events:
            getattr(self._protocol, name)(*arguments)

    def _follow(self):
        """Apply the mode of the link to this open connection, now and repeatedly."""
        loop = asyncio.get_running_loop()
        self._poll = loop.call_later(LINK_POLL_S, self._follow)
        mode = self._mode()
        if mode == RESET and not self._transport.is_closing():
            self._poll.cancel()
            protocol, self._protocol = self._protocol, asyncio.Protocol()
            self._transport.abort()
            protocol.connection_lost(ConnectionResetError("link reset"))
        elif mode not in (HANG, ONE_WAY):
            self._release()
            if self._transport.is_closing():
                self._poll.cancel()


class _CutLoop(uvloop.Loop):
    """An event loop that reaches no address of the cut list."""

    cut = _CutList(os.environ.get(CUT_VARIABLE, ""))

    async def create_datagram_endpoint(self, protocol_factory, **options):
        return await super().create_datagram_endpoint(
            lambda: _CutProtocol(protocol_factory(), self.cut), **options
        )

    async def create_connection(self, protocol_factory, host=None, *args, **options):
        if host in self.cut:
            raise ConnectionRefusedError(f"{host} is cut off")
        address = f"{host}:{args[0]}" if args else ""
        while self.cut.link_mode(address) in (HANG, ONE_WAY):
            await asyncio.sleep(LINK_POLL_S)
        if self.cut.link_mode(address) in (RESET, REFUSE_NEW):
            raise ConnectionRefusedError(f"{address} is cut off")

        def create_protocol():
            return _LinkProtocol(protocol_factory(), self.cut, address)

        return await super().create_connection(create_protocol, host, *args, **options)


def _wait_for_start():
    """Load the program's modules, then wait until the hosts are to begin."""
    import gypsumusher_entry.host  # noqa: F401

    while not os.path.exists(os.environ[START_VARIABLE]):
        time.sleep(START_POLL_S)


def _create_signals():
    """Return the signals that this process has received since its begin."""
    return _SIGNALS


if __name__ == "__main__":
    _wait_for_start()
    uvloop.run = functools.partial(uvloop.run, loop_factory=_CutLoop)
    sys.argv = sys.argv[:1]
    if _SIGNALS is not None:
        gypsumusher_process.ProcessSignals = _create_signals
    runpy.run_module("gypsumusher_entry", run_name="__main__")
