"""Hosts that share an endpoint's limit, in virtual time, for tests and the bench.

The decisions are those of `EndpointLimits`; this module plays what is around them:
messages that are late, lost or doubled, hosts that are cut off or start again, and an
endpoint that states its limit in each response.
"""

import heapq
import random
from bisect import bisect_left
from typing import NamedTuple

import msgpack

from gypsumusher_routing import EndpointLimits, LimitReport, LimitView

__all__ = ["ENDPOINT", "LimitHosts", "Network"]

ENDPOINT = ("e-0", 1)
# Pauses between reports, loans and status messages, as between real hosts.
REPORT_INTERVAL_S, REFRESH_INTERVAL_S = 1.0, 4.0
LOAN_INTERVAL_S, STATUS_INTERVAL_S = 2.0, 0.5
# A host counts as live for this long after its newest status.
LIVE_FOR_S = 1.5
# Headers of IP and UDP.
DATAGRAM_HEADER_BYTES = 28
# Window of the bound on arrivals, and its factor and slack.
WINDOW_S, FACTOR, SLACK = 4.0, 1.5, 5.0
STEP_S = 0.02
# From this long after a host was told on, its requests count for the bound.
TOLD_FOR_S = 0.5
# How long a host uses its view of the others.
VIEW_CACHE_S = 0.2


class Network(NamedTuple):
    """How messages between hosts fare.

    Attributes
    ----------
    delay_s : float
        Longest delay of a message, in seconds.
    lost_share : float
        Share of the messages that are lost.
    doubled_share : float
        Share of the messages that arrive once more.
    """

    delay_s: float = 0.02
    lost_share: float = 0.0
    doubled_share: float = 0.0


class _Host:
    def __init__(self, name, started_s):
        self.name = name
        self.limits = EndpointLimits(name, started_s)
        self.started_s = started_s
        self.sequence = 0
        self.sent_s = {}
        # Newest status by host: start, sequence, and when it arrived.
        self.heard = {}
        self.group = 0
        # When it first got a response that states the limit.
        self.told_s = None
        self.reserved = 0
        self.view = None
        self.viewed_s = float("-inf")


class LimitHosts:
    """Hosts in virtual time.

    Parameters
    ----------
    count : int
        Number of hosts; each counts all of them.
    active : int
        Number of hosts that serve callers, the first ones.
    seed : int
        Seed of the draws.
    network : Network or None
        How messages fare; None is a sound network.
    lends : bool
        Whether hosts lend the parts that they don't use.
    """

    def __init__(self, count, active, seed=1, network=None, lends=True):
        self.now_s = 0.0
        self.limit_per_s = None
        self.arrivals = 0
        self._counted_s = []
        self.refused = 0
        # Whether refused callers come back to the same host when they were told to, and
        # how often they were refused again.
        self.callers_return = False
        self.refused_again = 0
        self._returns = []
        # Bytes that all hosts have sent each other about limits.
        self.sent_bytes = 0
        self._rng = random.Random(seed)
        self._network = network or Network()
        self._lends = lends
        self._active = active
        # Each host has been up for longer than any loan lasts.
        self.hosts = [_Host(f"host-{number}", -60.0) for number in range(count)]
        self._messages = []
        self._sent = 0
        self._stated = []
        self._next_s = {}

    def run(self, for_s, requests_per_s):
        """Pass time, while callers ask active hosts at random at a rate."""
        until_s = self.now_s + for_s
        while self.now_s < until_s:
            self.now_s += STEP_S
            self._stated.append((self.now_s, self.limit_per_s))
            self._deliver()
            while self._returns and self._returns[0][0] <= self.now_s:
                self.ask(heapq.heappop(self._returns)[1], is_return=True)
            for host in self.hosts:
                self._exchange(host)
            wanted = requests_per_s * STEP_S
            while wanted > self._rng.random():
                self.ask(self._rng.randrange(self._active))
                wanted -= 1.0

    def reserve(self, number):
        """Have one host reserve a request to the endpoint, if it can."""
        host = self.hosts[number]
        if host.limits.has_limits:
            view = self._view(host)
            host.reserved += host.limits.reserve(self.now_s, ENDPOINT, view)

    def use_reserved(self, number, is_sent=True):
        """Have one host send the requests that it has reserved, or give them back."""
        host = self.hosts[number]
        reserved, host.reserved = host.reserved, 0
        for _ in range(reserved):
            if is_sent:
                self.ask(number, is_reserved=True)
            else:
                host.limits.release(ENDPOINT)

    def ask(self, number, is_return=False, is_reserved=False):
        """Ask one host for one request to the endpoint."""
        host = self.hosts[number]
        view = self._view(host)
        if not host.limits.take(self.now_s, ENDPOINT, view, is_reserved):
            self.refused += 1
            self.refused_again += is_return
            if self.callers_return:
                wait_s = host.limits.promise_return_s(self.now_s, [ENDPOINT], view)
                heapq.heappush(self._returns, (self.now_s + wait_s, number))
            return
        self.arrivals += 1
        if host.told_s is not None and self.now_s - host.told_s >= TOLD_FOR_S:
            self._counted_s.append(self.now_s)
        if self.limit_per_s is None:
            host.told_s = None
        elif host.told_s is None:
            host.told_s = self.now_s
        report = LimitReport(ENDPOINT, self.limit_per_s, self.now_s)
        change = host.limits.on_response(self.now_s, report)
        if change is not None and change.is_urgent:
            self._send_reports(host, [report])

    def restart(self, number):
        """Start a host again; it has forgotten everything."""
        group = self.hosts[number].group
        self.hosts[number] = _Host(f"host-{number}", self.now_s)
        self.hosts[number].group = group

    def cut(self, groups):
        """Let hosts hear only those with the same number in a list."""
        for host, group in zip(self.hosts, groups, strict=True):
            host.group = group

    def parts(self):
        """Return the sum of the parts of the limit that all hosts may use now."""
        return sum(
            host.limits.part_of(self.now_s, ENDPOINT, self._view(host))
            for host in self.hosts
            if host.limits.has_limits
        )

    def excess(self, since_s=0.0):
        """Return by how much arrivals exceed the bound in the worst window.

        Windows that begin before a time, or in which the endpoint states no limit for a
        while, are left out.
        """
        worst = float("-inf")
        arrivals_s = [at_s for at_s in self._counted_s if at_s >= since_s]
        steps_s = [at_s for at_s, _ in self._stated]
        for index, begin_s in enumerate(arrivals_s):
            end_s = begin_s + WINDOW_S
            count = bisect_left(arrivals_s, end_s) - index
            first, last = bisect_left(steps_s, begin_s), bisect_left(steps_s, end_s)
            limits = [limit for _, limit in self._stated[first:last]]
            # The endpoint goes on to state its newest limit.
            limits += [self.limit_per_s] * (round(WINDOW_S / STEP_S) - len(limits))
            if None in limits:
                continue
            allowed = sum(limits) * STEP_S
            worst = max(worst, count - FACTOR * allowed - SLACK)
        return worst

    def _view(self, host):
        if self.now_s - host.viewed_s <= VIEW_CACHE_S:
            return host.view
        host.viewed_s = self.now_s
        live = frozenset(
            name
            for name, (_, _, at_s) in host.heard.items()
            if self.now_s - at_s <= LIVE_FOR_S
        )
        candidates = [
            other.name
            for number, other in enumerate(self.hosts)
            if number < self._active or other.name not in live | {host.name}
        ]
        part = 1.0 / len(self.hosts)
        view = LimitView(part, tuple(candidates), live, self._lends)
        if view != host.view:
            host.view = view
        return host.view

    def _send(self, sender, receiver, message):
        if sender.group != receiver.group or sender is receiver:
            return
        if message[0] != "status":
            fields = msgpack.packb(message, default=list)
            self.sent_bytes += len(fields) + DATAGRAM_HEADER_BYTES
        copies = 1 + (self._rng.random() < self._network.doubled_share)
        for _ in range(copies):
            if self._rng.random() < self._network.lost_share:
                continue
            at_s = self.now_s + self._rng.uniform(0.0, self._network.delay_s)
            self._sent += 1
            heapq.heappush(self._messages, (at_s, self._sent, receiver, message))

    def _deliver(self):
        while self._messages and self._messages[0][0] <= self.now_s:
            _, _, receiver, (kind, sender, content) = heapq.heappop(self._messages)
            if receiver not in self.hosts:
                continue
            if kind == "status":
                known = receiver.heard.get(sender, (float("-inf"), 0, 0.0))
                if content > known[:2]:
                    receiver.heard[sender] = (*content, self.now_s)
            elif kind == "limits":
                for incarnation, limit_per_s, age_s in content:
                    report = LimitReport(incarnation, limit_per_s, self.now_s - age_s)
                    receiver.limits.on_report(self.now_s, report)
            elif content[0] == receiver.started_s and content[1] in receiver.sent_s:
                for lent in content[2]:
                    asked_s = receiver.sent_s[content[1]]
                    receiver.limits.on_loan(sender, lent, asked_s)

    def _exchange(self, host):
        if self._is_due(host, "status", STATUS_INTERVAL_S):
            host.sequence += 1
            host.sent_s[host.sequence] = self.now_s
            content = (host.started_s, host.sequence)
            for other in self.hosts:
                self._send(host, other, ("status", host.name, content))
        if not host.limits.has_reports:
            return
        view = self._view(host)
        if self._is_due(host, "ends", REPORT_INTERVAL_S):
            host.limits.drop_gone(self.now_s, lambda incarnation: False)
            self._send_reports(host, host.limits.end_reports())
        if self._is_due(host, "limits", REFRESH_INTERVAL_S):
            self._send_reports(host, host.limits.reports(view))
        if self._is_due(host, "loans", LOAN_INTERVAL_S):
            heard_s = {
                name: at_s
                for name, (_, _, at_s) in host.heard.items()
                if self.now_s - at_s <= LIVE_FOR_S
            }
            lent = host.limits.lend(self.now_s, view, heard_s)
            for other in self.hosts:
                if other.name in lent:
                    started_s, sequence, _ = host.heard[other.name]
                    content = (started_s, sequence, lent[other.name])
                    self._send(host, other, ("loans", host.name, content))

    def _send_reports(self, host, reports):
        content = [
            (report.incarnation, report.limit_per_s, self.now_s - report.known_s)
            for report in reports
        ]
        for other in self.hosts if content else ():
            self._send(host, other, ("limits", host.name, content))

    def _is_due(self, host, kind, interval_s):
        key = (host.name, host.started_s, kind)
        if self.now_s < self._next_s.get(key, 0.0):
            return False
        self._next_s[key] = self.now_s + interval_s
        return True
