import asyncio
import json
import threading

import pytest
from aiohttp import web

from gypsumusher_cli.cmdline import run

TOKEN = "operators-token-of-test"
DOCUMENT = {
    "deployments": {"letter-models": {"model": "letter-7b", "drain": []}},
    "services": {"counter-api": {"drain": ["counter-1"]}},
    "hosts": {"drain": []},
}
STATUS = {
    "host": "host-a",
    "state": "serving",
    "config_number": 4,
    "platform": {"state": "up", "calls": 3},
    "hosts": [
        {
            "name": "host-a",
            "zone": "suwon-a",
            "incarnation": "i1",
            "state": "live",
            "config_number": 4,
        }
    ],
    "endpoints": [
        {
            "name": "engine-1",
            "kind": "engine",
            "group": "letter-models",
            "zone": "suwon-a",
            "role": "mixed",
            "state": "live",
            "running": 2,
            "waiting": 0,
            "report_age_s": 0.25,
            "in_flight": 1,
        }
    ],
    "stewards": [{"deployment": "letter-models", "holder": "host-a", "term": 7}],
    "convictions": ["f00d"],
}


class FakeOperators:
    """The operators' API of one host, run by an event loop in its own thread."""

    def __init__(self):
        self.number = 3
        self.document = json.loads(json.dumps(DOCUMENT))
        self.status = json.loads(json.dumps(STATUS))
        self.patches = []
        self.responses_to_lose = 0
        self.conflicts_to_cause = 0
        self.problems = []
        self.address = ""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    def start(self):
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._listen(), self._loop).result()

    def close(self):
        asyncio.run_coroutine_threadsafe(self._runner.cleanup(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _listen(self):
        app = web.Application(middlewares=[self._check_token])
        app.router.add_get("/admin/config", self._config)
        app.router.add_get("/admin/config/history", self._history)
        app.router.add_post("/admin/config/patch", self._patch)
        app.router.add_post("/admin/config/validate", self._validate)
        app.router.add_get("/admin/status", self._status)
        app.router.add_get("/admin/explain/{id}", self._explain)
        app.router.add_get("/admin/keys/{key}", self._key)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.address = "{}:{}".format(*self._runner.addresses[0][:2])

    @web.middleware
    async def _check_token(self, request, handler):
        if request.headers.get("Authorization") != f"Bearer {TOKEN}":
            return web.json_response({"error": {"code": "unauthorized"}}, status=401)
        return await handler(request)

    async def _config(self, request):
        return web.json_response({"number": self.number, "document": self.document})

    async def _history(self, request):
        return web.json_response({"number": self.number, "patches": self.patches})

    async def _validate(self, request):
        return web.json_response({"problems": self.problems})

    async def _patch(self, request):
        body = await request.json()
        if self.conflicts_to_cause:
            self.conflicts_to_cause -= 1
            self.number += 1
        known = [patch["patch_id"] for patch in self.patches]
        if body["patch_id"] not in known:
            if body["base_number"] != self.number:
                error = {"code": "outdated", "message": "newer in force"}
                changed = ["deployments/letter-models"]
                content = {"error": error, "number": self.number}
                content["changed_since"] = changed
                return web.json_response(content, status=409)
            self.number += 1
            self.patches.append({**body, "number": self.number, "changed": ["hosts"]})
            self._apply(self.document, body["patch"])
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            request.transport.abort()
        return web.json_response({"number": self.number, "changed": ["hosts"]})

    def _apply(self, document, patch):
        for name, value in patch.items():
            if isinstance(value, dict):
                self._apply(document.setdefault(name, {}), value)
                continue
            document[name] = value

    async def _status(self, request):
        shown = json.loads(json.dumps(self.status))
        shown["config_number"] = self.number
        # Each call ends some of the work, as it ends with time in a real drain.
        for endpoint in self.status["endpoints"]:
            endpoint["running"] = max(0, endpoint["running"] - 1)
            endpoint["in_flight"] = 0
        return web.json_response(shown)

    async def _explain(self, request):
        if request.match_info["id"] != "r1":
            return web.json_response({"error": {"code": "unknown"}}, status=404)
        events = [
            {"at_s": 5.0, "event": "queued", "class": "counter"},
            {"at_s": 5.25, "event": "placed", "endpoint": "engine-1"},
        ]
        return web.json_response({"request_id": "r1", "events": events})

    async def _key(self, request):
        content = {"key": request.match_info["key"], "outcome": "not_run"}
        return web.json_response({**content, "detail": "sealed"})


@pytest.fixture
def fake(monkeypatch):
    operators = FakeOperators()
    operators.start()
    monkeypatch.setenv("GYPSUMUSHER_OPERATORS", operators.address)
    monkeypatch.setenv("GYPSUMUSHER_TOKEN", TOKEN)
    yield operators
    operators.close()


def write(tmp_path, text):
    path = tmp_path / "file.yaml"
    path.write_text(text)
    return str(path)


def test_config_show_prints_the_number_and_one_section(fake, capsys):
    assert run(["config", "show", "--section", "services.counter-api"]) == 0
    assert capsys.readouterr().out == "# number: 3\ndrain:\n- counter-1\n"


def test_config_show_of_an_unknown_section_lists_the_known_ones(fake, capsys):
    assert run(["config", "show", "--section", "services.x"]) == 2
    assert "use one of ['counter-api']" in capsys.readouterr().err


def test_config_patch_prints_what_it_changed(fake, capsys, tmp_path):
    path = write(tmp_path, "hosts: {drain: [host-b]}")
    assert run(["config", "patch", path, "--base", "3", "--note", "why"]) == 0
    assert "accepted as number 4; changed: hosts" in capsys.readouterr().out
    assert run(["config", "history"]) == 0
    assert "why" in capsys.readouterr().out


def test_an_outdated_patch_is_refused_with_the_changes_since(fake, capsys, tmp_path):
    path = write(tmp_path, "hosts: {drain: [host-b]}")
    assert run(["config", "patch", path, "--base", "2"]) == 2
    error = capsys.readouterr().err
    assert "number 3 is in force" in error
    assert "changed since: deployments/letter-models" in error
    assert not fake.patches


def test_a_patch_whose_response_is_lost_is_sent_again_with_its_id(
    fake, capsys, tmp_path
):
    """The response to an accepted patch is lost on its way to the operator.

    The tool doesn't know whether the patch took effect and sends the same patch id
    again, which the host recognises: the patch is applied once and reported as
    accepted. With a new id it would wrongly be refused as outdated.
    """
    fake.responses_to_lose = 1
    path = write(tmp_path, "hosts: {drain: [host-b]}")
    assert run(["config", "patch", path, "--base", "3"]) == 0
    assert len(fake.patches) == 1
    assert "accepted as number 4" in capsys.readouterr().out


def test_the_error_for_a_patch_of_unknown_outcome_has_its_id(fake, capsys, tmp_path):
    fake.responses_to_lose = 9
    path = write(tmp_path, "hosts: {drain: [host-b]}")
    assert run(["config", "patch", path, "--base", "3"]) == 1
    assert f"--patch-id {fake.patches[0]['patch_id']}" in capsys.readouterr().err


def test_config_validate_lists_the_problems(fake, capsys, tmp_path):
    path = write(tmp_path, "deployments: {}")
    assert run(["config", "validate", path]) == 0
    fake.problems = [{"path": "hosts", "problem": "is 3", "mend": "write a mapping"}]
    assert run(["config", "validate", "--patch", path]) == 2
    assert "hosts: is 3; write a mapping" in capsys.readouterr().err


def test_status_is_a_table_or_json(fake, capsys):
    assert run(["status"]) == 0
    table = capsys.readouterr().out
    for words in ("host-a", "engine-1", "letter-models", "f00d"):
        assert words in table
    assert run(["status", "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["host"] == "host-a"


def test_status_lists_the_stewards_of_all_known_hosts(fake, monkeypatch, capsys):
    other = FakeOperators()
    other.start()
    steward = {"deployment": "usher-llm", "holder": "host-b", "term": 9}
    other.status["stewards"] = [{**steward, "unfinished": ["engine-3"]}]
    addresses = f"{fake.address},{other.address}"
    monkeypatch.setenv("GYPSUMUSHER_OPERATORS", addresses)
    assert run(["status"]) == 0
    other.close()
    output = capsys.readouterr().out
    for words in ("letter-models  host-a", "usher-llm      host-b", "engine-3"):
        assert words in output


def test_status_marks_a_drained_host(fake, capsys):
    fake.document["hosts"]["drain"] = ["host-a"]
    assert run(["status"]) == 0
    assert "live, drained" in capsys.readouterr().out


def test_draining_an_endpoint_waits_until_it_is_idle(fake, capsys):
    assert run(["drain", "endpoint", "engine-1"]) == 0
    output = capsys.readouterr().out
    assert "engine-1 is draining from number 4 on" in output
    assert "1 running or waiting there" in output
    assert output.endswith("engine-1 is drained\n")
    assert fake.document["deployments"]["letter-models"]["drain"] == ["engine-1"]


def test_a_drain_that_conflicts_reads_the_configuration_again(fake, capsys):
    fake.conflicts_to_cause = 2
    assert run(["drain", "host", "host-a", "--no-wait"]) == 0
    assert fake.document["hosts"]["drain"] == ["host-a"]
    assert run(["drain", "host", "host-a", "--undo"]) == 0
    assert fake.document["hosts"]["drain"] == []
    assert "takes new work again" in capsys.readouterr().out


def test_draining_a_host_without_its_own_status_says_so(fake, capsys):
    fake.status["hosts"].append({"name": "host-b", "zone": "z", "state": "live"})
    assert run(["drain", "host", "host-b"]) == 0
    assert "its own requests are not seen from here" in capsys.readouterr().out


def test_draining_an_unknown_name_lists_the_known_ones(fake, capsys):
    assert run(["drain", "endpoint", "engine-9"]) == 2
    assert "use one of ['engine-1']" in capsys.readouterr().err
    assert run(["drain", "host", "host-z"]) == 2
    assert "use one of ['host-a']" in capsys.readouterr().err


def test_explain_prints_the_events_in_order(fake, capsys):
    assert run(["explain", "r1"]) == 0
    assert "+0.250 s placed endpoint=engine-1" in capsys.readouterr().out
    assert run(["explain", "r2"]) == 1
    assert "Gypsumusher-Host" in capsys.readouterr().err


def test_key_explains_its_outcome(fake, capsys):
    assert run(["key", "gk1.a/b"]) == 0
    output = capsys.readouterr().out
    assert "gk1.a/b: not_run: it did not run and will not" in output


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        (["nope"], '"nope" does not exist'),
        (["config", "patch"], 'missing: "file"'),
        (["config", "patch", "/dev/null", "--base", "x"], "--base is 'x'"),
        (["config", "patch", "/dev/null"], "--base is missing"),
        (["config", "patch", "/dev/null", "--base", "3"], "write a mapping"),
        (["config", "validate", "/absent"], "can't be read"),
        (["status", "--zzz"], 'option "--zzz" does not exist'),
        (["status", "--operators", "here"], "'here' is not IP:PORT"),
        (["status", "--token", "wrong"], "refused the token"),
        (["status", "--access", "/absent.yaml"], "access file /absent.yaml"),
        (["drain", "host", "host-a", "--timeout-s", "0"], "--timeout-s is '0'"),
        (["load", "run", "/absent.yaml", "--callers", "127.0.0.1:1"], "can't be read"),
        (["load", "run", "mix.yaml"], "no callers' address is known"),
        (["load", "compare", "/absent", "/absent"], "load run --save"),
    ],
)
def test_invalid_input_gives_exit_code_2_and_a_hint(fake, capsys, arguments, words):
    assert run(arguments) == 2
    error = capsys.readouterr().err
    assert "Traceback" not in error
    assert words in error


def test_an_unreachable_host_is_skipped(fake, monkeypatch, capsys):
    monkeypatch.setenv("GYPSUMUSHER_OPERATORS", f"127.0.0.1:1,{fake.address}")
    assert run(["status"]) == 0
    monkeypatch.setenv("GYPSUMUSHER_OPERATORS", "127.0.0.1:1")
    assert run(["status"]) == 1
    assert "connect to 127.0.0.1:1 failed" in capsys.readouterr().err


def test_access_settings_are_read_from_a_file(fake, monkeypatch, tmp_path):
    monkeypatch.delenv("GYPSUMUSHER_OPERATORS")
    monkeypatch.delenv("GYPSUMUSHER_TOKEN")
    path = write(tmp_path, f"operators: ['{fake.address}']\ntoken: {TOKEN}\n")
    assert run(["status", "--access", path]) == 0
    assert run(["status", "--access", write(tmp_path, "operator: x")]) == 2


def test_an_unexpected_error_is_reported_on_one_line(fake, monkeypatch, capsys):
    monkeypatch.setattr(
        "gypsumusher_cli.status_commands.format_status", lambda status: 1 / 0
    )
    assert run(["status"]) == 1
    assert "unexpected ZeroDivisionError" in capsys.readouterr().err
