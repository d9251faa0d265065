"""Which hosts of a cell answer, and which endpoints are leaving.

Notes
-----
Suspicion steers routing only. Leases, versions and journals keep the promises, so a
wrong suspicion costs time, never a promise, and the first sign of life heals it. It is
this host's own and isn't passed on: each host of a cell probes each other one, and a
host that is cut off would otherwise make all others suspect each other.

An endpoint is leaving when the platform's list says so or the endpoint itself does,
whichever is first heard here or at a peer. The two sources are kept apart: an endpoint
whose host is being withdrawn may not know it yet and goes on to answer as usual.
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

_COUNTER_LIMIT = 2**53
_NAME_LIMIT = 128
# Upper bounds of msgpack's own bytes around a string, a number, a list and a map.
_STRING_HEAD_BYTES = 3
_NUMBER_BYTES = 9
_LIST_HEAD_BYTES = 3
_MAP_HEAD_BYTES = 1


class MembershipPolicy(NamedTuple):
    """The limits of membership in one cell.

    Parameters
    ----------
    probe_interval_s : float
        Each host of the cell is probed this often. At 8 hosts this makes 7 exchanges
        in 2 s, well inside a node's 2 KB/s for control.
    probe_timeout_s : float
        A probe without an answer counts as failed after this time.
    suspect_after_failures : int
        Failed probes in a row that make a host suspect. Two, as one is lost in every
        short pause, and each suspicion moves load that then has to move back.
    update_interval_s : float
        A host with unacknowledged news is probed this soon, so that a leaving endpoint
        is known in the whole cell in well under a second.
    source_lag_s : float
        How long a source may contradict what peers say before it is believed against
        them. Longer than the lag of the platform's list, so that a stale list doesn't
        bring a leaving endpoint back.
    updates_per_message : int
        News in one probe at most; the rest follows in the next.
    max_endpoint_states : int
        Facts kept at most; facts on further endpoints are not taken.
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
    """What one source says of an endpoint; the higher counter is the newer one."""

    counter: int
    is_leaving: bool


_NO_FACT = EndpointState(0, False)


class _Peer:
    """What this host knows of another host of its cell."""

    def __init__(self, incarnation, last_probe_s, news):
        self.incarnation = incarnation
        self.is_leaving = False
        self.failures = 0
        self.last_probe_s = last_probe_s
        self.probe_facts = None
        self.news = news


class Membership:
    """One host's view of its cell.

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
        self._facts = {}
        self._observations = {}

    def set_hosts(self, now_s, incarnations):
        """Take the hosts of the cell as the platform lists them.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        incarnations : dict of str to str
            The incarnation of each host; this host's own entry is ignored.
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
            # A restarted host keeps nothing, so it hears every fact anew.
            first_probe_s = now_s - self._policy.probe_interval_s * self._phase(host)
            news = dict.fromkeys(self._facts)
            self._peers[host] = _Peer(incarnation, first_probe_s, news)

    def set_leaving(self):
        """Tell the cell from now on that this host is leaving."""
        self._is_leaving = True

    def host_state(self, host):
        """Return "live", "suspect" or "leaving".

        Parameters
        ----------
        host : str
            A host; one that isn't in the cell counts as suspect.

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
        """Return whether an endpoint takes no new work.

        Parameters
        ----------
        endpoint : str
            An endpoint's name.

        Returns
        -------
        bool
            True when the list or the endpoint itself says that it is leaving.
        """
        return any(
            self._facts.get((endpoint, source), _NO_FACT).is_leaving
            for source in _SOURCES
        )

    def on_source_report(self, now_s, endpoint, source, is_leaving):
        """Take what a source says of an endpoint now.

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
            What the source says.

        Raises
        ------
        ValueError
            If the source is neither of the two.
        """
        if source not in _SOURCES:
            raise ValueError(f"source: neither of {_SOURCES}: {source!r}")
        name = (endpoint, source)
        fact = self._facts.get(name, _NO_FACT)
        said_before, contradicts_since_s = self._observations.get(name, (False, None))
        if is_leaving == fact.is_leaving:
            self._observations[name] = (is_leaving, None)
            return
        # Guards against a lagging source that brings a leaving endpoint back: the
        # word of a peer stands against what this host has heard all along. Only a
        # change in what the source says here, or a contradiction that outlasts the
        # lag, is news.
        if contradicts_since_s is None:
            contradicts_since_s = now_s
        is_change = is_leaving != said_before
        is_settled = now_s - contradicts_since_s >= self._policy.source_lag_s
        if not is_change and not is_settled:
            self._observations[name] = (is_leaving, contradicts_since_s)
            return
        self._observations[name] = (is_leaving, None)
        self._store(name, EndpointState(fact.counter + 1, is_leaving), None)

    def remove_endpoints(self, endpoints):
        """Drop the facts on endpoints that are gone for good.

        Parameters
        ----------
        endpoints : set of str
            Their names.
        """
        for name in list(self._facts):
            if name[0] not in endpoints:
                continue
            del self._facts[name]
            self._observations.pop(name, None)
            for peer in self._peers.values():
                peer.news.pop(name, None)

    def tick(self, now_s):
        """Return the probes that are due.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.

        Returns
        -------
        list of Probe
            Answer each with `on_probe_answer` or `on_probe_failed`.
        """
        policy = self._policy
        probes = []
        for host, peer in self._peers.items():
            age_s = now_s - peer.last_probe_s
            if peer.probe_facts is not None:
                if age_s < policy.probe_timeout_s:
                    continue
                self.on_probe_failed(now_s, host)
            is_answering = peer.failures == 0
            has_news = bool(peer.news) and is_answering
            wait_s = policy.update_interval_s if has_news else policy.probe_interval_s
            if age_s < wait_s:
                continue
            names = list(peer.news)[: policy.updates_per_message]
            peer.probe_facts = {name: self._facts[name] for name in names}
            peer.last_probe_s = now_s
            probes.append(Probe(host, self._message(peer.probe_facts)))
        return probes

    def on_probe_answer(self, now_s, host, message):
        """Take a host's answer to a probe.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        host : str
            Who answered.
        message : dict
            The answer, as `on_probe` of that host returned it.

        Raises
        ------
        ValueError
            If the message isn't of this protocol.
        """
        check_message(message)
        peer = self._peers.get(host)
        if peer is None:
            return
        for name, fact in (peer.probe_facts or {}).items():
            # News that changed while the probe was out is still news.
            if self._facts.get(name) == fact:
                peer.news.pop(name, None)
        peer.probe_facts = None
        self._hear(host, message)

    def on_probe_failed(self, now_s, host):
        """Count a probe that got no answer.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        host : str
            Who didn't answer.
        """
        peer = self._peers.get(host)
        if peer is None or peer.probe_facts is None:
            return
        peer.probe_facts = None
        peer.failures += 1

    def on_probe(self, now_s, host, message):
        """Take a host's probe.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        host : str
            Who probes.
        message : dict
            The probe's message.

        Returns
        -------
        dict
            The answer. It carries no facts, as nothing would tell that they arrived;
            they go with this host's own probes.

        Raises
        ------
        ValueError
            If the message isn't of this protocol.
        """
        check_message(message)
        self._hear(host, message)
        for endpoint, source, counter, is_leaving in message["facts"]:
            name = (endpoint, _SOURCES[source])
            heard = EndpointState(counter, bool(is_leaving))
            known = self._facts.get(name, _NO_FACT)
            # On equal counters leaving wins: two hosts may count up at once, and work
            # sent to a leaving endpoint costs more than work kept from a live one.
            if heard > known:
                self._store(name, heard, host)
        return self._message({})

    def _hear(self, host, message):
        peer = self._peers.get(host)
        if peer is None:
            return
        peer.failures = 0
        if message["incarnation"] == peer.incarnation and message["leaving"]:
            peer.is_leaving = True

    def _store(self, name, fact, told_by):
        if (
            name not in self._facts
            and len(self._facts) >= self._policy.max_endpoint_states
        ):
            return
        self._facts[name] = fact
        for host, peer in self._peers.items():
            if host != told_by:
                peer.news[name] = None

    def _message(self, facts):
        return {
            "incarnation": self._incarnation,
            "leaving": self._is_leaving,
            "facts": [
                [endpoint, _SOURCES.index(source), fact.counter, int(fact.is_leaving)]
                for (endpoint, source), fact in facts.items()
            ],
        }

    def _phase(self, host):
        # Spreads the first probes over the interval, or all hosts of a rack that
        # comes back would probe each other in step for ever.
        text = f"{self._host}>{host}".encode()
        return hashlib.blake2b(text, digest_size=1).digest()[0] / 256


def check_message(message: Any):
    """Refuse a message that isn't of this protocol.

    Parameters
    ----------
    message : object
        What a peer sent.

    Raises
    ------
    ValueError
        Naming the part that is wrong.
    """
    if not isinstance(message, dict):
        raise ValueError(f"message: not a map: {type(message).__name__}")
    incarnation = message.get("incarnation")
    if not isinstance(incarnation, str) or len(incarnation) > _NAME_LIMIT:
        raise ValueError("message: incarnation is not a short string")
    if not isinstance(message.get("leaving"), bool):
        raise ValueError("message: leaving is not true or false")
    if not isinstance(message.get("facts"), list):
        raise ValueError("message: facts is not a list")
    for fact in message["facts"]:
        _check_fact(fact)


def _check_fact(fact):
    if not isinstance(fact, (list, tuple)) or len(fact) != 4:
        raise ValueError("message: a fact is not a list of four")
    endpoint, source, counter, is_leaving = fact
    if not isinstance(endpoint, str) or len(endpoint) > _NAME_LIMIT:
        raise ValueError("message: a fact's endpoint is not a short string")
    if not all(isinstance(number, int) for number in (source, counter, is_leaving)):
        raise ValueError("message: a fact's source, counter or state is no integer")
    if source not in (0, 1) or is_leaving not in (0, 1):
        raise ValueError("message: a fact's source or state is not 0 or 1")
    if not 0 <= counter <= _COUNTER_LIMIT:
        raise ValueError("message: a fact's counter is out of range")


def max_message_bytes(message):
    """Return an upper bound of a probe's or answer's size as msgpack.

    Parameters
    ----------
    message : dict
        A message of `Probe` or `Membership.on_probe`.

    Returns
    -------
    int
        Bytes, without the frame around it.
    """
    size_bytes = _MAP_HEAD_BYTES
    for name in message:
        size_bytes += _STRING_HEAD_BYTES + len(name.encode())
    size_bytes += _STRING_HEAD_BYTES + len(message["incarnation"].encode()) + 1
    size_bytes += _LIST_HEAD_BYTES
    for endpoint, *numbers in message["facts"]:
        size_bytes += 1 + _STRING_HEAD_BYTES + len(endpoint.encode())
        size_bytes += _NUMBER_BYTES * len(numbers)
    return size_bytes
