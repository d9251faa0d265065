"""Rendezvous hashing: a choice among names that all hosts make alike.

It needs no messages, and when a name is gone, only the keys that chose it choose
another.
"""

import zlib

__all__ = ["choose_hosts", "rendezvous_weight"]


def rendezvous_weight(name: str, key: str) -> int:
    """Return the weight of a name for a key, the same on all hosts.

    Parameters
    ----------
    name : str
        One of the names to choose from.
    key : str
        What the choice is made for.
    """
    return zlib.crc32(f"{name}/{key}".encode())


def choose_hosts(hosts, key: bytes, count: int) -> list:
    """Return some of the hosts, the same ones for a key on all hosts.

    Parameters
    ----------
    hosts : iterable
        Hosts with a ``name``.
    key : bytes
        What they are chosen for.
    count : int
        Number of hosts; fewer are returned where there are fewer.
    """
    text = key.hex()
    ranked = sorted(hosts, key=lambda host: rendezvous_weight(host.name, text))
    return ranked[:count]
