"""Listeners whose address another process may still hold when the host starts."""

import asyncio
import errno
import socket

__all__ = ["CALLERS", "bind_datagram_socket", "listen"]

# Name of the listener without which the host isn't ready.
CALLERS = "callers"
# First and longest pause between two tries to bind an address that is in use.
FIRST_RETRY_S, MAX_RETRY_S = 0.1, 5.0


async def listen(context, name, open_listener):
    """Open a listener, later if its address is in use.

    The address may belong to the previous process of this host, which stops, or to an
    outgoing connection. The host serves with its other listeners meanwhile.

    Parameters
    ----------
    context : Context
        Runs the later tries, and knows which listeners are missing.
    name : str
        Name of the listener, for the log.
    open_listener : callable
        Coroutine function that binds the address.

    Returns
    -------
    object
        What ``open_listener`` returns; None if the address is in use.

    Raises
    ------
    OSError
        When the address can't be bound for another reason.
    """
    try:
        return await open_listener()
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise
        _log_failure(context, name, error, FIRST_RETRY_S)
    context.missing_listeners.add(name)
    context.keep_running(_listen_later, context, name, open_listener)
    return None


async def _listen_later(context, name, open_listener):
    """Try again until the address can be bound or the host stops."""
    began_s = context.clock()
    pause_s = FIRST_RETRY_S
    while True:
        await asyncio.sleep(pause_s)
        if context.is_draining:
            return
        pause_s = min(MAX_RETRY_S, 2.0 * pause_s)
        try:
            await open_listener()
        except OSError as error:
            _log_failure(context, name, error, pause_s)
            continue
        context.missing_listeners.discard(name)
        waited_s = context.clock() - began_s
        context.log("info", "listen_recovered", listener=name, waited_s=waited_s)
        return


def _log_failure(context, name, error, retry_s):
    context.log("warning", "listen_failed", listener=name, error=error, retry_s=retry_s)


def bind_datagram_socket(ip, port):
    """Return a non-blocking datagram socket that is bound to an address.

    Raises
    ------
    OSError
        When the address can't be bound; the event loop's own error has no number.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.bind((ip, port))
    except OSError:
        sock.close()
        raise
    return sock
