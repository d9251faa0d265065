"""Load updates that hold only what has changed since the last whole status message.

Most bytes between active hosts are loads that the receiver already knows: a whole
message lists each engine that its sender uses, and goes out at each prefill. A datagram
of changes names the whole message that it builds on, its base, and holds all changes
since then, so that a lost one delays its changes only until the next.
"""

import math
from enum import StrEnum
from typing import NamedTuple

from gypsumusher_routing.endpoint_state import Load
from gypsumusher_routing.endpoint_table import EndpointTable
from gypsumusher_routing.host_table import HostTable
from gypsumusher_routing.urgency import LANES

__all__ = [
    "NO_LOAD",
    "ChangeUse",
    "LoadChanges",
    "SentLoads",
    "apply_load_changes",
    "decode_load_changes",
    "decode_loads",
]

# Load of an endpoint at which the sender has nothing: running requests, prefills,
# milliseconds of prefill in each priority class, and penalty.
NO_LOAD = (0, 0, [0] * len(LANES), 0)
# Bound of the start times and sequence numbers that are accepted.
MAX_INTEGER = 2**63


class ChangeUse(StrEnum):
    """What a receiver uses of a datagram of changes.

    Attributes
    ----------
    NOTHING
        It is of another process than the last whole message, or older than another
        datagram of that process.
    WITHOUT_LOADS
        Its base hasn't arrived. It shows that its sender lives, and its placements
        don't depend on the base.
    ALL
        Its loads were applied as well.
    """

    NOTHING = "nothing"
    WITHOUT_LOADS = "without_loads"
    ALL = "all"


class LoadChanges(NamedTuple):
    """Changes of a host's loads since its last whole status message.

    Attributes
    ----------
    host : str
        Name of the sending host.
    started_ms : int
        Unix time of its process's start, in milliseconds.
    sequence : int
        Number of the datagram, counted together with the status messages.
    base : int
        Number of the whole message that it builds on.
    loads : dict of (int or str) to (Load, float)
        Load and penalty of each endpoint that has changed since the base, by its
        position in the base, or by its id if the base lacks it.
    placements : list
        Engine id, prompt parts as pairs of id and tokens, and seconds until the engine
        has cached them.
    """

    host: str
    started_ms: int
    sequence: int
    base: int
    loads: dict[int | str, tuple[Load, float]]
    placements: list


class SentLoads:
    """What the other active hosts know of this host's loads from whole messages."""

    def __init__(self):
        self.base = 0
        self._loads = {}
        self._positions = {}
        self._receivers = frozenset()
        self._size_bytes = 0
        # Endpoints that have differed from the base. They are sent also once they are
        # as in the base again, since a receiver may have applied the difference.
        self._changed_ids = {}

    def on_whole_message(self, sequence: int, loads, receivers, size_bytes: int):
        """Make a whole message the base of the following changes.

        Parameters
        ----------
        sequence : int
            Number of the message.
        loads : dict of str to tuple
            Its loads by endpoint id, in the form of `NO_LOAD`.
        receivers : collection of tuple
            IP and start of each process that it was sent to.
        size_bytes : int
            Its size.
        """
        self.base = sequence
        self._loads = loads
        self._positions = {key: position for position, key in enumerate(loads)}
        self._receivers = frozenset(receivers)
        self._size_bytes = size_bytes
        self._changed_ids = {}

    def changes(self, loads, receivers):
        """Return the loads that have changed since the base.

        Parameters
        ----------
        loads : dict of str to tuple
            The loads now.
        receivers : collection of tuple
            IP and start of each process that is to know them.

        Returns
        -------
        dict of (int or str) to tuple, or None
            Load by the endpoint's position in the base, which takes a byte instead of
            the thirteen of an id, or by its id if the base lacks it; None if the base
            wasn't sent to one of the receivers.
        """
        if not self._receivers.issuperset(receivers):
            return None
        for endpoint_id, load in loads.items():
            if self._loads.get(endpoint_id) != load:
                self._changed_ids[endpoint_id] = None
        for endpoint_id in self._loads:
            if endpoint_id not in loads:
                self._changed_ids[endpoint_id] = None
        return {
            self._positions.get(endpoint_id, endpoint_id): loads.get(
                endpoint_id, NO_LOAD
            )
            for endpoint_id in self._changed_ids
        }

    def is_compact(self, size_bytes: int) -> bool:
        """Return whether a datagram of a size is smaller than the base was."""
        return size_bytes < self._size_bytes


def apply_load_changes(
    now_s: float, changes: LoadChanges, hosts: HostTable, endpoints: EndpointTable
) -> ChangeUse:
    """Apply another host's changes on top of the whole message that they build on.

    Parameters
    ----------
    now_s : float
        Current time, in seconds.
    changes : LoadChanges
        The received changes.
    hosts : HostTable
        Has the last whole message of each host.
    endpoints : EndpointTable
        Its loads are updated.
    """
    name = changes.host
    if not hosts.on_sign_of_life(now_s, name, changes.started_ms, changes.sequence):
        return ChangeUse.NOTHING
    if hosts.last_sequence(name) != changes.base:
        return ChangeUse.WITHOUT_LOADS
    endpoints.on_peer_load_changes(now_s, name, changes.loads)
    return ChangeUse.ALL


def decode_load_changes(fields) -> LoadChanges:
    """Return the decoded datagram.

    Raises
    ------
    ValueError, TypeError
        If any field isn't valid; the datagram is then of no use as a whole.
    """
    host, started_ms, sequence, base, changes, placements = fields
    if not isinstance(host, str) or not host:
        raise ValueError("changes without the name of a host")
    for number in (started_ms, sequence, base):
        _check_integer(number)
    if not base < sequence:
        raise ValueError(f"changes {sequence} before their base {base}")
    decoded = []
    for endpoint_id, chain, wait_s in placements:
        _check_number(wait_s)
        chain = [[part_id, tokens] for part_id, tokens in chain]
        for part_id, tokens in chain:
            if type(part_id) is not int or type(tokens) is not int:
                raise ValueError(f"not a prompt part: {part_id!r}, {tokens!r}")
        decoded.append((str(endpoint_id), chain, wait_s))
    # A list, as msgpack accepts no map with integers as keys.
    loads = {endpoint: load for endpoint, *load in changes}
    loads = decode_loads(loads, (int, str))
    return LoadChanges(host, started_ms, sequence, base, loads, decoded)


def decode_loads(loads, key_types=(str,)) -> dict:
    """Return the loads and penalties by endpoint.

    Parameters
    ----------
    loads : dict
        Load of each endpoint in the form of `NO_LOAD`.
    key_types : tuple of type
        Types that name an endpoint here.

    Raises
    ------
    ValueError, TypeError
        If any of them isn't valid.
    """
    if not isinstance(loads, dict):
        raise TypeError(f"loads are not a map: {type(loads).__name__}")
    decoded = {}
    for endpoint_id, (running, prefills, lane_ms, penalty) in loads.items():
        if len(lane_ms) != len(LANES):
            raise ValueError(f"wrong number of priority classes: {len(lane_ms)}")
        if type(endpoint_id) not in key_types:
            raise TypeError(f"not the id of an endpoint: {endpoint_id!r}")
        for number in (running, prefills, penalty, *lane_ms):
            _check_number(number)
        lane_s = tuple(work_ms / 1000.0 for work_ms in lane_ms)
        decoded[endpoint_id] = (Load(running, prefills, lane_s), penalty)
    return decoded


def _check_integer(value):
    """Raise an error unless a value is a start time or sequence number in range."""
    if type(value) is not int or not 0 <= value < MAX_INTEGER:
        raise ValueError(f"not a start time or sequence number: {value!r}")


def _check_number(value):
    """Raise an error unless a value is a finite number."""
    if type(value) not in (int, float) or not math.isfinite(value):
        raise ValueError(f"not a finite number: {value!r}")
