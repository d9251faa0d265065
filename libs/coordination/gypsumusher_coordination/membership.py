"""Gossip membership of one cell: which hosts respond, which endpoints are leaving.

Notes
-----
The suspicion of a host affects only routing. Correctness depends on leases, object
versions and journals, so a wrong suspicion costs time at worst, and the next message
from the host clears it. Suspicions are not gossiped, because every host of a cell
probes every other one, and a partitioned host would otherwise make all other hosts
suspect each other.

An endpoint is leaving when the platform's endpoint list or the endpoint itself says so,
to this host or to a peer. The states from the two sources are kept separately: an
endpoint whose machine is being withdrawn may not know that yet and still respond as
usual.
"""

import hashlib
from typing import Any, NamedTuple

from gypsumusher_coordination.effects import Probe

PLATFORM_SOURCE = "list"
ENDPOINT_SOURCE = "own"
_SOURCES = (PLATFORM_SOURCE, ENDPOINT_SOURCE)

LIVE = "live"
SUSPECT = "suspect"
LEAVING = "leaving"

_COUNTER_MAX = 2**53
_NAME_MAX_CHARS = 128
# Upper bounds of the msgpack overhead of a string, a list and a map, and of the size of
# a number.
_STRING_HEADER_BYTES = 3
_NUMBER_BYTES = 9
_LIST_HEADER_BYTES = 3
_MAP_HEADER_BYTES = 1


class MembershipPolicy(NamedTuple):
    """Intervals and limits of the membership of one cell.

    Parameters
    ----------
    probe_interval_s : float
        Interval between probes of each other host. With 8 hosts this makes 7 probes
        in 2 s, well below the limit of 2 KB/s per host for control traffic.
    probe_timeout_s : float
        Time after which a probe without a response counts as failed.
    suspect_after_failures : int
        Number of consecutive failed probes that make a host suspect. A single probe
        fails in every short pause, and each suspicion shifts load away and back.
    update_interval_s : float
        Interval between probes of a host with unacknowledged state updates, so that
        the whole cell learns of a leaving endpoint in well under a second.
    source_lag_s : float
        How long a source must contradict the state received from peers before it
        overrides it. Longer than the lag of the platform's list, so that a stale list
        doesn't put a leaving endpoint back into service.
    updates_per_message : int
        Maximum number of state updates in one probe; the rest follows in the next.
    max_endpoint_states : int
        Maximum number of stored states; states of further endpoints are ignored.
    """

    probe_interval_s: float = 2.0
    probe_timeout_s: float = 1.0
    suspect_after_failures: int = 2
    update_interval_s: float = 0.25
    source_lag_s: float = 60.0
    updates_per_message: int = 16
    max_endpoint_states: int = 4096


DEFAULT_POLICY = MembershipPolicy()


class EndpointState(NamedTuple):
    """State of an endpoint from one source; a higher counter is newer."""

    counter: int
    is_leaving: bool


_NO_STATE = EndpointState(0, False)


class _Peer:
    """State of another host of the cell, as this host knows it."""

    def __init__(self, incarnation, last_probe_s, updates):
        self.incarnation = incarnation
        self.is_leaving = False
        self.failures = 0
        self.last_probe_s = last_probe_s
        self.probe_states = None
        self.updates = updates


class Membership:
    """One host's state machine for the membership of its cell.

    Parameters
    ----------
    host : str
        This host.
    incarnation : str
        This host's incarnation.
    policy : MembershipPolicy, optional
        Limits.
    """

    def __init__(self, host, incarnation, policy=DEFAULT_POLICY):
        self._host = host
        self._incarnation = incarnation
        self._policy = policy
        self._is_leaving = False
        self._peers = {}
        self._endpoint_states = {}
        self._source_reports = {}

    def set_hosts(self, now_s, incarnations):
        """Set the hosts of the cell, as listed by the platform.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        incarnations : dict of str to str
            Incarnation by host; this host's own entry is ignored.
        """
        for host in list(self._peers):
            if host not in incarnations:
                del self._peers[host]
        for host, incarnation in incarnations.items():
            peer = self._peers.get(host)
            if host == self._host:
                continue
            if peer is not None and peer.incarnation == incarnation:
                continue
            # A restarted host has lost its state, so it is sent every update again.
            first_probe_s = (
                now_s - self._policy.probe_interval_s * self._phase_fraction(host)
            )
            updates = dict.fromkeys(self._endpoint_states)
            self._peers[host] = _Peer(incarnation, first_probe_s, updates)

    def set_leaving(self):
        """Announce to the cell from now on that this host is leaving."""
        self._is_leaving = True

    def host_state(self, host):
        """Return whether a host is "live", "suspect" or "leaving".

        Parameters
        ----------
        host : str
            Name of a host. A host outside the cell counts as suspect.

        Returns
        -------
        str
            The state.
        """
        if host == self._host:
            return LEAVING if self._is_leaving else LIVE
        peer = self._peers.get(host)
        if peer is None:
            return SUSPECT
        if peer.is_leaving:
            return LEAVING
        return SUSPECT if peer.failures >= self._policy.suspect_after_failures else LIVE

    def is_endpoint_leaving(self, endpoint):
        """Return whether an endpoint is leaving and must get no new requests.

        Parameters
        ----------
        endpoint : str
            An endpoint's name.

        Returns
        -------
        bool
            True when the platform's list or the endpoint says that it is leaving.
        """
        return any(
            self._endpoint_states.get((endpoint, source), _NO_STATE).is_leaving
            for source in _SOURCES
        )

    def on_source_report(self, now_s, endpoint, source, is_leaving):
        """Handle the current state of an endpoint from one source.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        endpoint : str
            The endpoint's name.
        source : str
            `PLATFORM_SOURCE` for a fresh read of the platform's endpoint list,
            `ENDPOINT_SOURCE` for the endpoint's own load report or its refusal as
            draining.
        is_leaving : bool
            Whether the endpoint is leaving according to the source.

        Raises
        ------
        ValueError
            If the source is neither of the two.
        """
        if source not in _SOURCES:
            raise ValueError(f"source: neither of {_SOURCES}: {source!r}")
        name = (endpoint, source)
        state = self._endpoint_states.get(name, _NO_STATE)
        was_leaving, contradicts_since_s = self._source_reports.get(name, (False, None))
        if is_leaving == state.is_leaving:
            self._source_reports[name] = (is_leaving, None)
            return
        # A lagging source must not put a leaving endpoint back into service, so a state
        # received from a peer overrides a source that has not changed. Only a change of
        # the source, or a contradiction that lasts longer than the lag, is an update.
        if contradicts_since_s is None:
            contradicts_since_s = now_s
        is_change = is_leaving != was_leaving
        is_settled = now_s - contradicts_since_s >= self._policy.source_lag_s
        if not is_change and not is_settled:
            self._source_reports[name] = (is_leaving, contradicts_since_s)
            return
        self._source_reports[name] = (is_leaving, None)
        self._set_state(name, EndpointState(state.counter + 1, is_leaving), None)

    def remove_endpoints(self, endpoints):
        """Remove the states of endpoints that no longer exist.

        Parameters
        ----------
        endpoints : set of str
            Names of the endpoints.
        """
        for name in list(self._endpoint_states):
            if name[0] not in endpoints:
                continue
            del self._endpoint_states[name]
            self._source_reports.pop(name, None)
            for peer in self._peers.values():
                peer.updates.pop(name, None)

    def tick(self, now_s):
        """Return the probes that are due.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.

        Returns
        -------
        list of Probe
            The caller reports each result to `on_probe_answer` or `on_probe_failed`.
        """
        policy = self._policy
        probes = []
        for host, peer in self._peers.items():
            age_s = now_s - peer.last_probe_s
            if peer.probe_states is not None:
                if age_s < policy.probe_timeout_s:
                    continue
                self.on_probe_failed(now_s, host)
            is_responding = peer.failures == 0
            has_updates = bool(peer.updates) and is_responding
            wait_s = (
                policy.update_interval_s if has_updates else policy.probe_interval_s
            )
            if age_s < wait_s:
                continue
            names = list(peer.updates)[: policy.updates_per_message]
            peer.probe_states = {name: self._endpoint_states[name] for name in names}
            peer.last_probe_s = now_s
            probes.append(Probe(host, self._message(peer.probe_states)))
        return probes

    def on_probe_answer(self, now_s, host, message):
        """Handle a host's response to a probe.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        host : str
            The host that responded.
        message : dict
            The response, as `on_probe` of that host returned it.

        Raises
        ------
        ValueError
            If the message is malformed.
        """
        check_message(message)
        peer = self._peers.get(host)
        if peer is None:
            return
        for name, state in (peer.probe_states or {}).items():
            # A state that changed while the probe was in flight must be sent again.
            if self._endpoint_states.get(name) == state:
                peer.updates.pop(name, None)
        peer.probe_states = None
        self._on_message(host, message)

    def on_probe_failed(self, now_s, host):
        """Count a probe that got no response.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        host : str
            The host that did not respond.
        """
        peer = self._peers.get(host)
        if peer is None or peer.probe_states is None:
            return
        peer.probe_states = None
        peer.failures += 1

    def on_probe(self, now_s, host, message):
        """Handle a host's probe and return the response.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        host : str
            The host that sent the probe.
        message : dict
            The probe's message.

        Returns
        -------
        dict
            The response. It contains no state updates, because their delivery could
            not be confirmed; they are sent with this host's own probes.

        Raises
        ------
        ValueError
            If the message is malformed.
        """
        check_message(message)
        self._on_message(host, message)
        for endpoint, source, counter, is_leaving in message["facts"]:
            name = (endpoint, _SOURCES[source])
            received = EndpointState(counter, bool(is_leaving))
            stored = self._endpoint_states.get(name, _NO_STATE)
            # For equal counters `EndpointState` orders leaving higher. Two hosts may
            # increment a counter concurrently, and requests sent to a leaving endpoint
            # cost more than requests kept from a live one.
            if received > stored:
                self._set_state(name, received, host)
        return self._message({})

    def _on_message(self, host, message):
        peer = self._peers.get(host)
        if peer is None:
            return
        peer.failures = 0
        if message["incarnation"] == peer.incarnation and message["leaving"]:
            peer.is_leaving = True

    def _set_state(self, name, state, sender):
        if (
            name not in self._endpoint_states
            and len(self._endpoint_states) >= self._policy.max_endpoint_states
        ):
            return
        self._endpoint_states[name] = state
        for host, peer in self._peers.items():
            if host != sender:
                peer.updates[name] = None

    def _message(self, states):
        return {
            "incarnation": self._incarnation,
            "leaving": self._is_leaving,
            "facts": [
                [endpoint, _SOURCES.index(source), state.counter, int(state.is_leaving)]
                for (endpoint, source), state in states.items()
            ],
        }

    def _phase_fraction(self, host):
        # Spreads the first probes over the interval. Hosts that start at the same time
        # would otherwise always probe each other simultaneously.
        text = f"{self._host}>{host}".encode()
        return hashlib.blake2b(text, digest_size=1).digest()[0] / 256


def check_message(message: Any):
    """Raise an error for a malformed message.

    Parameters
    ----------
    message : object
        Message of a peer.

    Raises
    ------
    ValueError
        If the message is malformed; the text names the invalid field.
    """
    if not isinstance(message, dict):
        raise ValueError(f"message: not a dict: {type(message).__name__}")
    incarnation = message.get("incarnation")
    if not isinstance(incarnation, str) or len(incarnation) > _NAME_MAX_CHARS:
        raise ValueError("message: incarnation is not a short string")
    if not isinstance(message.get("leaving"), bool):
        raise ValueError("message: leaving is not a boolean")
    if not isinstance(message.get("facts"), list):
        raise ValueError("message: facts is not a list")
    for state in message["facts"]:
        _check_state(state)


def _check_state(state):
    if not isinstance(state, (list, tuple)) or len(state) != 4:
        raise ValueError("message: an entry of facts is not a list of four")
    endpoint, source, counter, is_leaving = state
    if not isinstance(endpoint, str) or len(endpoint) > _NAME_MAX_CHARS:
        raise ValueError("message: an endpoint in facts is not a short string")
    if not all(isinstance(number, int) for number in (source, counter, is_leaving)):
        raise ValueError(
            "message: a source, counter or state in facts is not an integer"
        )
    if source not in (0, 1) or is_leaving not in (0, 1):
        raise ValueError("message: a source or state in facts is not 0 or 1")
    if not 0 <= counter <= _COUNTER_MAX:
        raise ValueError("message: a counter in facts is out of range")


def max_message_bytes(message):
    """Return an upper bound of the size of a probe or response as msgpack.

    Parameters
    ----------
    message : dict
        Message of a `Probe`, or result of `Membership.on_probe`.

    Returns
    -------
    int
        Size in bytes, without the frame of the transport.
    """
    size_bytes = _MAP_HEADER_BYTES
    for name in message:
        size_bytes += _STRING_HEADER_BYTES + len(name.encode())
    size_bytes += _STRING_HEADER_BYTES + len(message["incarnation"].encode()) + 1
    size_bytes += _LIST_HEADER_BYTES
    for endpoint, *numbers in message["facts"]:
        size_bytes += 1 + _STRING_HEADER_BYTES + len(endpoint.encode())
        size_bytes += _NUMBER_BYTES * len(numbers)
    return size_bytes
