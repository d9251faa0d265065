"""Exchange of what hosts observe of engines' speeds and event gaps."""

import math

from gypsumusher_routing import (
    GapReport,
    SpeedReport,
    center_speeds,
    compare_gap_ratios,
)

__all__ = ["ESTIMATES", "EngineEstimates", "decode_estimates"]

# Kind of the datagrams.
ESTIMATES = "engine_estimates"
# Pause between two datagrams, in seconds.
SEND_INTERVAL_S = 0.5
# Pause after which all estimates are sent again, for hosts that have just started. A
# report is used for 60 s, so several repetitions may be lost.
REPEAT_INTERVAL_S = 10.0
# Datagrams in which a changed estimate is sent, so that one of them may be lost.
COPIES = 2
# Engines in one datagram.
MAX_ENTRIES = 200
# Fields of one engine.
ENTRY_FIELDS = 7
# Changes that are worth sending: of the logarithm of a speed, of a gap ratio, and of a
# number of gaps, the last two as a factor.
SPEED_CHANGE, GAP_RATIO_CHANGE, GAPS_CHANGE = 0.02, 1.1, 2.0
# Change of an engine's factor that is logged once this many observations are behind it,
# and the number of such log lines in one interval.
LOGGED_CHANGE, LOGGED_OBSERVATIONS, LOGGED_MAX = math.log(1.3), 6, 4
# Bound of the integers in a datagram.
MAX_INTEGER = 2**63


class EngineEstimates:
    """Sends this host's observations to the active hosts, and applies theirs.

    Parameters
    ----------
    context : Context
        Hosts and endpoints.
    """

    def __init__(self, context):
        self._context = context
        self._send_datagram = None
        # Last sent entry and its remaining copies, by engine incarnation.
        self._sent = {}
        self._repeated_s = float("-inf")
        self._target_ips = set()
        # Logarithm of the factor that was last logged, by engine incarnation and stage.
        self._logged = {}

    def start(self, send_datagram):
        """Start to exchange estimates.

        Parameters
        ----------
        send_datagram : callable
            ``send_datagram(kind, fields, ip)``.
        """
        self._send_datagram = send_datagram
        self._context.datagram_handlers[ESTIMATES] = self._on_datagram
        if self._context.policy.shared_speeds:
            self._context.keep_running(self._run)

    async def _run(self):
        """Send what has changed and update the usual speeds, at fixed intervals."""
        while True:
            await self._context.wait_for_tick(SEND_INTERVAL_S)
            self.tick()

    def tick(self):
        """Update the usual speeds, send what has changed and log notable changes."""
        context = self._context
        now_s = context.clock()
        engines = {}
        for state in context.endpoints.states.values():
            if state.stage is None:
                continue
            state.slowdown.expire_reports(now_s)
            state.gap_ratio.expire_reports(now_s)
            stage = (state.record.service, state.stage)
            engines.setdefault(stage, []).append(state)
        ranges = {}
        for stage, states in engines.items():
            speeds = [state.slowdown for state in states]
            center_speeds(speeds)
            compare_gap_ratios([state.gap_ratio for state in states])
            factors = [speed.lasting_factor for speed in speeds]
            ranges[stage] = (min(factors), max(factors))
        context.metrics.set_engine_speeds(ranges)
        self._log_changes(engines)
        if context.is_active():
            self._send_changes(now_s, engines)

    def _send_changes(self, now_s, engines):
        """Send the estimates that have changed, or all of them from time to time."""
        context = self._context
        ips = {status.ip for status in context.active_hosts()}
        ips.discard(context.settings.ip)
        is_repeated = now_s - self._repeated_s >= REPEAT_INTERVAL_S
        if is_repeated or not ips <= self._target_ips:
            self._repeated_s = now_s
            self._sent = {}
        self._target_ips = ips
        entries, sent = [], {}
        for states in engines.values():
            for state in states:
                entry = _entry_of(now_s, state)
                if entry is None:
                    continue
                known, copies = self._sent.get(state.record.incarnation, (None, 0))
                if known is None or _is_changed(known, entry):
                    known, copies = entry, COPIES
                if copies:
                    entries.append(entry)
                sent[state.record.incarnation] = (known, max(0, copies - 1))
        self._sent = sent
        for index in range(0, len(entries), MAX_ENTRIES):
            for ip in ips:
                fields = [entries[index : index + MAX_ENTRIES]]
                self._send_datagram(ESTIMATES, fields, ip)

    def _on_datagram(self, fields, ip):
        """Apply another host's estimates; entries of other incarnations are ignored."""
        entries = decode_estimates(fields)
        context = self._context
        if not context.policy.shared_speeds or ip == context.settings.ip:
            return
        now_s = context.clock()
        for endpoint_id, started_ms, stage, speed, gaps in entries:
            state = context.endpoints.states.get(endpoint_id)
            if state is None or state.record.started_ms != started_ms:
                continue
            if state.stage != stage:
                continue
            state.slowdown.on_report(now_s, ip, speed)
            state.gap_ratio.on_report(now_s, ip, gaps)

    def _log_changes(self, engines):
        """Log the engines whose speed has changed notably."""
        logged, lines = {}, 0
        for (service, stage), states in engines.items():
            for state in states:
                key = (*state.record.incarnation, stage)
                before = logged[key] = self._logged.get(key, 0.0)
                speed = state.slowdown
                observations = speed.mean_report.observations
                if lines >= LOGGED_MAX or observations < LOGGED_OBSERVATIONS:
                    continue
                if abs(speed.lasting_log - before) < LOGGED_CHANGE:
                    continue
                lines += 1
                logged[key] = speed.lasting_log
                self._context.log(
                    "info",
                    "engine_speed_changed",
                    endpoint=state.record.endpoint_id,
                    service=service,
                    stage=stage,
                    factor=round(speed.lasting_factor, 2),
                    before=round(math.exp(before), 2),
                    observations=observations,
                    gap_ratio=round(state.event_gap_ratio, 2),
                )
        self._logged = logged


def _entry_of(now_s, state):
    """Return what this host has observed of an engine, or None if it is nothing."""
    speed, gaps = state.slowdown.own_report, state.gap_ratio.own_report(now_s)
    if not speed.observations and not gaps.gaps:
        return None
    return [
        *state.record.incarnation,
        state.stage,
        round(1000 * speed.log_factor),
        speed.observations,
        round(1000 * gaps.ratio),
        gaps.gaps,
    ]


def _is_changed(known, entry):
    """Return whether an entry differs notably from the one that was sent."""
    *_, known_stage, known_log, known_observations, known_ratio, known_gaps = known
    *_, stage, log_permille, observations, ratio, gaps = entry
    if (known_stage, known_observations) != (stage, observations):
        return True
    if abs(log_permille - known_log) > 1000 * SPEED_CHANGE:
        return True
    if not gaps or not known_gaps:
        return gaps != known_gaps
    return max(ratio, known_ratio) > GAP_RATIO_CHANGE * min(ratio, known_ratio) or max(
        gaps, known_gaps
    ) > GAPS_CHANGE * min(gaps, known_gaps)


def decode_estimates(fields):
    """Return the estimates in a datagram.

    Parameters
    ----------
    fields : list
        The datagram's fields after its kind.

    Returns
    -------
    list of (str, int, str, SpeedReport, GapReport)
        Engine id, start, stage, and what the sender has observed.

    Raises
    ------
    ValueError
        If anything in the datagram is malformed; none of it may be used then.
    """
    if not isinstance(fields, list) or len(fields) != 1:
        raise ValueError("engine estimates need one field")
    entries = fields[0]
    if not isinstance(entries, list) or len(entries) > MAX_ENTRIES:
        raise ValueError("engine estimates need a list of at most 200 entries")
    return [_decode_entry(entry) for entry in entries]


def _decode_entry(entry):
    """Return one decoded entry."""
    if not isinstance(entry, list) or len(entry) != ENTRY_FIELDS:
        raise ValueError("an engine estimate needs seven fields")
    endpoint_id, started_ms, stage, log_permille, *counts = entry
    observations, gap_permille, gaps = counts
    if not isinstance(endpoint_id, str) or stage not in ("prefill", "decode"):
        raise ValueError("invalid engine or stage in an engine estimate")
    for value in (started_ms, log_permille, *counts):
        if type(value) is not int or abs(value) >= MAX_INTEGER:
            raise ValueError("invalid number in an engine estimate")
    if min(started_ms, *counts) < 0:
        raise ValueError("negative number in an engine estimate")
    speed = SpeedReport(log_permille / 1000.0, observations)
    gap_report = GapReport(gap_permille / 1000.0, gaps)
    return endpoint_id, started_ms, stage, speed, gap_report
