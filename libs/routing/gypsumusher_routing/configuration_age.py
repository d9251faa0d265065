"""Age of the configuration in force, as a lease on the use of client accounts' keys.

A key that was taken away must not start a request after the operator's bound, also at a
host that hears nothing any more. A host therefore uses keys only while it can show that
its configuration is young enough. Its age counts from the start of a read of the store:
a version that was accepted later is one that the read may have missed, and all earlier
ones are in force here.

The store needs to answer only a few hosts. A host passes on the age of its own
configuration as the answer to a question, and the asker counts from when it sent the
question, so that no delay of the question or of the answer makes a configuration seem
younger. This compares no clocks of two hosts, and each host's clock advances while the
host is suspended.
"""

from typing import NamedTuple

__all__ = [
    "CONFIRM_FROM_PEER",
    "CONFIRM_FROM_STORE",
    "AgeAnswer",
    "ConfigurationAge",
    "ConfirmationPlan",
    "ConfirmationRole",
    "key_lease_s",
]

CONFIRM_FROM_STORE, CONFIRM_FROM_PEER = "store", "peer"
# Share by which the lease on keys is shorter than the operator's bound, in case this
# host's clock runs slower than the store's.
CLOCK_DRIFT_FRACTION = 0.01
# Shares of the lease between two confirmations of an active host and of the others. An
# outage of the store of half the lease must not end the lease of an active host.
ACTIVE_INTERVAL_FRACTION = 0.1
INACTIVE_INTERVAL_FRACTION = 0.3
# Share of the lease at which a host that usually asks its peers reads the store itself:
# one of the few that watch the store, and any other.
WATCHER_READS_FRACTION = 0.3
ANY_READS_FRACTION = 0.5
# Share of the lease up to which a peer's configuration is as young as that of a host
# that reads the store, or that asks one: both confirm theirs at the active interval.
FRESH_FRACTION = 2.0 * ACTIVE_INTERVAL_FRACTION
# Limit on the pause between two reads of a host whose reads fail, in seconds. With
# hundreds of hosts the store would otherwise return to a crowd of them.
MAX_READ_PAUSE_S = 2.0
# Number of questions that are remembered for their answers.
MAX_QUESTIONS = 8


class AgeAnswer(NamedTuple):
    """A host's answer to the question how old its configuration is.

    Attributes
    ----------
    question : int
        Number of the question.
    version : int
        Version of the configuration in force at the answering host.
    age_s : float
        Age of that configuration, in seconds.
    """

    question: int
    version: int
    age_s: float


def key_lease_s(bound_s: float) -> float:
    """Return the greatest age at which keys are used, in seconds.

    Parameters
    ----------
    bound_s : float
        The operator's bound for the withdrawal of a key, in seconds.
    """
    return bound_s * (1.0 - CLOCK_DRIFT_FRACTION)


class ConfigurationAge:
    """Time since which the configuration in force may have been replaced.

    All times are readings of one clock that advances while the host is suspended.

    Parameters
    ----------
    first_question : int
        Number of the first question. It must be drawn at random, so that an answer to
        an earlier process at this address isn't taken for one to this process.
    """

    def __init__(self, first_question: int):
        # All versions that the store accepted before this time are in force here.
        self._confirmed_s = float("-inf")
        self._version = 0
        # Versions known to others that aren't in force here yet, with what they confirm
        # once they are.
        self._awaited = (0, float("-inf"))
        self._questions_s = {}
        self._question = first_question

    def age_s(self, now_s: float) -> float:
        """Return the age of the configuration in force, infinite if it is unknown."""
        return now_s - self._confirmed_s

    def on_version_in_force(self, version: int) -> None:
        """Record that a version has been put in force; versions only grow."""
        self._version = max(self._version, version)
        awaited_version, confirmed_s = self._awaited
        if awaited_version <= self._version:
            self._confirmed_s = max(self._confirmed_s, confirmed_s)

    def on_read(self, started_s: float, version: int) -> None:
        """Record a read of the store that wasn't allowed to be stale.

        Parameters
        ----------
        started_s : float
            Time before the read was sent, in seconds.
        version : int
            Version of the configuration that it returned.
        """
        if version <= self._version:
            self._confirmed_s = max(self._confirmed_s, started_s)
        elif started_s > self._awaited[1]:
            self._awaited = (version, started_s)

    def ask(self, now_s: float) -> int:
        """Return the number of a new question, which is sent to a peer now."""
        self._question += 1
        self._questions_s[self._question] = now_s
        self._questions_s.pop(self._question - MAX_QUESTIONS, None)
        return self._question

    def answer(self, now_s: float, question: int) -> AgeAnswer:
        """Return the answer to a peer's question."""
        return AgeAnswer(question, self._version, self.age_s(now_s))

    def on_answer(self, answer: AgeAnswer) -> bool:
        """Handle a peer's answer; return whether it was asked for.

        The peer's configuration had this age at some time after the question was sent,
        so it was confirmed no earlier than that long before the question.
        """
        asked_s = self._questions_s.pop(answer.question, None)
        if asked_s is None:
            return False
        self.on_read(asked_s - answer.age_s, answer.version)
        return True


class ConfirmationRole(NamedTuple):
    """Part of a host in confirming the configuration.

    Attributes
    ----------
    is_reader : bool
        Whether this host is the one that reads the store for the others.
    is_watcher : bool
        Whether it is one of the few that replace the reader.
    is_active : bool
        Whether callers are directed to it.
    """

    is_reader: bool
    is_watcher: bool
    is_active: bool


class ConfirmationPlan:
    """When a host confirms its configuration, and whether from a peer or the store.

    Parameters
    ----------
    lease_s : float
        Greatest age at which keys are used, in seconds.
    asks_peers : bool
        Whether a host may ask its peers; otherwise each host reads the store.
    """

    def __init__(self, lease_s: float, asks_peers: bool = True):
        self._lease_s = lease_s
        self._asks_peers = asks_peers
        self._called_s = float("-inf")
        self._read_pause_s = 0.0
        self._read_s = float("-inf")

    def on_read_ended(self, is_done: bool) -> None:
        """Record whether a read of the store succeeded."""
        if is_done:
            self._read_pause_s = 0.0
            return
        least_s = ACTIVE_INTERVAL_FRACTION * self._lease_s
        self._read_pause_s = min(
            MAX_READ_PAUSE_S, max(least_s, 2.0 * self._read_pause_s)
        )

    def is_fresh(self, age_s: float) -> bool:
        """Return whether a peer with a configuration of this age is worth asking again.

        Otherwise hosts that know no more might ask only each other.

        Parameters
        ----------
        age_s : float
            Age of the peer's configuration, in seconds.
        """
        return age_s <= FRESH_FRACTION * self._lease_s

    def next_call(
        self, now_s: float, age_s: float, role: ConfirmationRole
    ) -> str | None:
        """Return where to confirm from now, or None if nothing is due.

        Parameters
        ----------
        now_s, age_s : float
            Time, and age of the configuration in force, in seconds.
        role : ConfirmationRole
            Part of this host.
        """
        share = ACTIVE_INTERVAL_FRACTION
        if not role.is_active:
            share = INACTIVE_INTERVAL_FRACTION
        if now_s - self._called_s < share * self._lease_s:
            return None
        self._called_s = now_s
        if self._asks_peers and not self._should_read(age_s, role, share):
            return CONFIRM_FROM_PEER
        if now_s - self._read_s < self._read_pause_s:
            return CONFIRM_FROM_PEER if self._asks_peers else None
        self._read_s = now_s
        return CONFIRM_FROM_STORE

    def _should_read(self, age_s, role, share):
        """Return whether this host needs to read the store itself."""
        if role.is_reader:
            return True
        limit = WATCHER_READS_FRACTION if role.is_watcher else ANY_READS_FRACTION
        if not role.is_active:
            # Its questions are that much further apart.
            limit += share
        return age_s > limit * self._lease_s
