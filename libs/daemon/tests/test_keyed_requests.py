"""A keyed request runs once on its owner, and repeats get the same answer."""

import asyncio

from gypsumusher_coordination import ClaimGranted, ClaimRefused
from gypsumusher_daemon.keyed_requests import KeyedRequests
from gypsumusher_daemon.refusals import Refusal

KEY = "gk1.home.0.0.00000000"


class FakeJournals:
    """Grants each key once."""

    def __init__(self, refuse=None):
        self.granted = []
        self.finished = []
        self.refuse = refuse

    async def claim(self, incarnation, key, fingerprint):
        if self.refuse is not None:
            return ClaimRefused(key, self.refuse, "no")
        assert key not in self.granted
        self.granted.append(key)
        return ClaimGranted(key)

    def finish(self, key, incarnation):
        self.finished.append(key)

    def owns(self, incarnation):
        return incarnation == "home"

    def resolve(self, key, incarnation):
        return "not_run"


def keyed(journals, answers_bytes=1000):
    return KeyedRequests(journals, lambda: 0.0, 60.0, answers_bytes)


def runner(runs, send=True):
    async def run(entry, claim):
        refusal = await claim()
        entry.delivery.set_head(503 if refusal else 200, {})
        if refusal is None and send:
            entry.sent = True
            runs.append(1)
        await entry.delivery.put(b"answer")
        entry.delivery.close(complete=True)

    return run


async def answer_of(entry):
    return b"".join([chunk async for chunk in entry.delivery.read()])


def test_repeats_get_the_same_bytes_and_run_nothing():
    async def main():
        runs, journals = [], FakeJournals()
        requests = keyed(journals)
        first = requests.attach_or_start(KEY, "f", runner(runs))
        second = requests.attach_or_start(KEY, "f", runner(runs))
        assert await answer_of(first) == await answer_of(second) == b"answer"
        await first.task
        third = requests.attach_or_start(KEY, "f", runner(runs))
        assert await answer_of(third) == b"answer"
        assert len(runs) == 1
        assert journals.finished == [KEY]
        assert requests.outcome(KEY) == "done"

    asyncio.run(main())


def test_key_with_another_body_is_refused():
    async def main():
        requests = keyed(FakeJournals())
        entry = requests.attach_or_start(KEY, "f", runner([]))
        refusal = requests.attach_or_start(KEY, "g", runner([]))
        assert isinstance(refusal, Refusal)
        assert (refusal.code, refusal.run) == ("key_reused", "no")
        await entry.task

    asyncio.run(main())


def test_granted_but_unsent_request_runs_when_repeated():
    """A request refused for lack of an engine must run when its caller repeats it.

    The key was granted before the connection failed, and no byte was sent, so the
    same key must be able to run once under the same claim.
    """

    async def main():
        runs, journals = [], FakeJournals()
        requests = keyed(journals)
        entry = requests.attach_or_start(KEY, "f", runner(runs, send=False))
        await entry.task
        again = requests.attach_or_start(KEY, "f", runner(runs))
        await again.task
        assert len(runs) == 1
        assert journals.granted == [KEY]

    asyncio.run(main())


def test_refused_claim_leaves_no_entry():
    async def main():
        runs = []
        requests = keyed(FakeJournals(refuse="journal_unavailable"))
        entry = requests.attach_or_start(KEY, "f", runner(runs))
        await entry.task
        assert runs == [] and requests.find(KEY) is None

    asyncio.run(main())


def test_memory_for_retained_answers_is_bounded():
    async def main():
        requests = keyed(FakeJournals(), answers_bytes=20)
        for number in range(10):
            key = f"gk1.home.0.{number}.00000000"
            await requests.attach_or_start(key, "f", runner([])).task
        kept = [n for n in range(10) if requests.find(f"gk1.home.0.{n}.00000000")]
        assert len(kept) <= 5 and kept[-1] == 9

    asyncio.run(main())
