"""Decoding and encoding of valid and invalid platform messages."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumusher_platform import (
    decode_cached_parts,
    decode_configuration,
    decode_endpoint,
    decode_prefill_result,
    decode_request,
    decode_response_head,
    decode_settings,
    encode_endpoint_head,
    encode_refusal,
    encode_stage_order,
)
from gypsumusher_ports import (
    AT_MOST_ONCE,
    STREAM,
    DecodeError,
    EndpointRecord,
    PromptPart,
    Refusal,
    SendOptions,
    ServiceShare,
    StoredObject,
)

ENTRY = {
    "service": "svc",
    "addr": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "warmup_left_ms": 250,
    "stage": "decode",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
    "born": 1_700_000_000_000,
}
ROUTE = {
    "name": "r",
    "host": "Shop.Example",
    "path_prefix": "/a/",
    "kind": "stream",
    "timeout_ms": 4000,
    "goal_ms": 600,
    "priority": 1,
    "service": "svc",
    "attempts": 2,
    "sticky": True,
    "resumable": True,
    "gap_target_ms": 300,
}
SERVICE = {
    "name": "svc",
    "health_path": "/healthz",
    "max_conns": 360,
    "engine": {
        "slots": 64,
        "kv_tokens": 451_179,
        "kv_token_bytes": 35_136,
        "link_mbps": 740_000.0,
        "handle_ttl_s": 5.0,
        "switch_s": 3.0,
    },
}
CONFIGURATION = {"version": 7, "routes": [ROUTE], "services": [SERVICE], "limits": {}}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*ENTRY, *ROUTE, "routes"]), inner, max_size=4
        )
    ),
    max_leaves=8,
)


def stored(content, name="e-1"):
    return StoredObject(name, 5, content, None)


def test_endpoint_entry_is_decoded():
    record = decode_endpoint(stored(ENTRY))
    assert record.incarnation == ("e-1", 1_700_000_000_000)
    assert (record.warmup_left_s, record.heartbeat_count, record.is_draining) == (
        0.25,
        4,
        False,
    )
    assert decode_endpoint(stored({**ENTRY, "state": "draining"})).is_draining


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("state", "asleep"),
        ("state", None),
        ("slots", "64"),
        ("slots", True),
        ("slots", 0),
        ("addr", "10.0.0.1"),
        ("addr", "nowhere:80"),
        ("addr", "10.0.0.1:99999"),
        ("seq", 1.5),
        ("stage", "both"),
        ("service", 7),
    ],
)
def test_endpoint_entry_with_invalid_field_is_rejected(field, value):
    with pytest.raises(DecodeError) as caught:
        decode_endpoint(stored({**ENTRY, field: value}))
    assert caught.value.peer == "e-1"


@given(JSON)
def test_arbitrary_json_raises_nothing_but_decode_errors(content):
    for decode in (lambda item: decode_endpoint(stored(item)), decode_configuration):
        try:
            decode(content)
        except DecodeError:
            continue


@given(st.sampled_from(sorted(ENTRY)), JSON)
def test_entry_with_arbitrary_field_is_rejected_or_has_valid_types(field, value):
    try:
        record = decode_endpoint(stored({**ENTRY, field: value}))
    except DecodeError:
        return
    assert isinstance(record.address, str) and record.slots >= 1
    assert isinstance(record.heartbeat_count, int)


def test_configuration_is_decoded_with_converted_units():
    configuration = decode_configuration(CONFIGURATION)
    route = configuration.routes[0]
    assert (route.kind, route.host, route.timeout_s) == (STREAM, "shop.example", 4.0)
    assert (route.objective_s, route.max_event_gap_s) == (0.6, 0.3)
    assert (route.priority, route.max_endpoints, route.is_resumable) == (1, 2, True)
    assert route.shares == (ServiceShare("svc", 1.0),)
    engine = configuration.services["svc"].engine
    assert (engine.link_bits_per_s, engine.role_change_s) == (740e9, 3.0)


def test_split_overrides_service_and_shares_of_weight_zero_are_dropped():
    split = [{"service": "one", "weight": 90}, {"service": "two", "weight": 0}]
    route = {**ROUTE, "split": split, "kind": "non_idempotent"}
    decoded = decode_configuration({**CONFIGURATION, "routes": [route]}).routes[0]
    assert decoded.shares == (ServiceShare("one", 90.0),)
    assert decoded.kind == AT_MOST_ONCE


SETTINGS = {
    "node": "h",
    "ip": "10.0.0.1",
    "zone": "a",
    "port_range": [7380, 7395],
    "listen": {
        "front": "10.0.0.1:1",
        "ready": "10.0.0.1:2",
        "control": "10.0.0.1:3",
        "directory": "10.0.0.1:4",
    },
    "platform_store": {"addr": "10.0.0.9:1"},
    "bounds": {"drain_ms": 1500, "new_one": 1},
    "something_new": {"x": 1},
}


def test_missing_mandatory_setting_is_named_in_the_error():
    settings = decode_settings("node.toml", SETTINGS)
    assert (settings.name, settings.bounds.drain_s) == ("h", 1.5)
    for name in ("node", "ip", "zone", "listen", "platform_store"):
        table = {key: value for key, value in SETTINGS.items() if key != name}
        with pytest.raises(DecodeError, match=name):
            decode_settings("node.toml", table)


@pytest.mark.parametrize(
    "address",
    ["10.0.0.1", "10.0.0.1:", ":1", "h:-1", "h:1_0", "h:65536", "h:" + "9" * 50],
)
def test_address_without_a_usable_port_is_named_in_the_error(address):
    """Guards against a traceback at the start of a host."""
    listen = SETTINGS["listen"]
    tables = [{"listen": {**listen, name: address}} for name in listen]
    tables += [{"platform_store": {"addr": address}}, {"cloud": {"addr": address}}]
    for table in tables:
        with pytest.raises(DecodeError, match="port"):
            decode_settings("node.toml", {**SETTINGS, **table})


@pytest.mark.parametrize("ports", [[], ["1"], [-1], [65536]])
def test_port_range_without_a_usable_port_is_named_in_the_error(ports):
    """Guards against a traceback at the start of a host."""
    with pytest.raises(DecodeError, match="port_range"):
        decode_settings("node.toml", {**SETTINGS, "port_range": ports})


HEADERS = [
    ("Host", "Shop.Example:80"),
    ("X-Gypsumusher-Request-Id", "r-1"),
    ("X-Gypsumusher-Deadline-Ms", "8000"),
    ("X-Gypsumusher-Model", "m"),
    ("X-Gypsumusher-Token-Count", "1460,80"),
    ("X-Gypsumusher-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    ("X-Gypsumusher-Length-Hint", "40"),
    ("Connection", "keep-alive, X-Secret"),
    ("X-Secret", "this hop only"),
    ("X-Other", "kept"),
    ("Transfer-Encoding", "chunked"),
    ("X-Gypsumusher-Kv-Source", "10.0.0.1:1/other"),
]


def test_hop_by_hop_and_internal_headers_are_not_forwarded():
    request = decode_request("POST", "/a/b?c=d", HEADERS, b"body")
    assert (request.host, request.caller_timeout_s) == ("shop.example", 8.0)
    assert request.generation.parts[0] == PromptPart(0x5C1E07A2, 800)
    assert request.generation.expected_output_tokens == 40
    data = encode_endpoint_head(
        request, SendOptions("e-1", 1.25, urgency=3, kv_source="10.0.0.2:1/h")
    )
    head, _, body = data.decode().partition("\r\n\r\n")
    assert (body, request.body) == ("", b"body")
    assert head.startswith("POST /a/b?c=d HTTP/1.1\r\n")
    for line in ("X-Other: kept", "X-Gypsumusher-Deadline-Ms: 1250",
                 "X-Gypsumusher-Expect-Instance: e-1", "Content-Length: 4",
                 "X-Gypsumusher-Kv-Source: 10.0.0.2:1/h"):  # fmt: skip
        assert line in head.split("\r\n")
    for word in ("X-Secret", "Transfer-Encoding", "other", "Connection", "8000"):
        assert word not in head


def test_connection_header_cannot_remove_the_request_id():
    headers = [*HEADERS, ("Connection", "X-Gypsumusher-Request-Id")]
    data = encode_endpoint_head(
        decode_request("GET", "/", headers, b""), SendOptions("e", 1.0)
    )
    assert b"X-Gypsumusher-Request-Id: r-1" in data


@given(st.text(max_size=30), st.text(max_size=30))
def test_invalid_headers_give_no_generation_or_a_valid_one(counts, prefix):
    headers = [
        ("X-Gypsumusher-Token-Count", counts),
        ("X-Gypsumusher-Prompt-Prefix", prefix),
        ("X-Gypsumusher-Deadline-Ms", counts),
    ]
    request = decode_request("POST", "/", headers, b"")
    assert request.caller_timeout_s is None or request.caller_timeout_s > 0
    if request.generation is not None:
        assert request.generation.prompt_tokens > 0
        assert all(part.tokens > 0 for part in request.generation.parts)


def test_response_head_tells_whether_the_request_ran():
    head = decode_response_head(
        200,
        [
            ("X-Gypsumusher-Request-Id", "r"),
            ("X-Gypsumusher-Server-Seal", "s"),
            ("Connection", "close"),
            ("Content-Length", "5"),
        ],
    )
    assert (head.request_id, head.is_signed, head.is_not_run) == ("r", True, False)
    assert [name for name, _ in head.headers] == [
        "X-Gypsumusher-Request-Id",
        "X-Gypsumusher-Server-Seal",
    ]
    assert decode_response_head(503, [("X-Gypsumusher-Not-Run", "1")]).is_not_run
    assert not decode_response_head(503, []).is_not_run
    assert decode_response_head(421, []).is_not_run


@pytest.mark.parametrize(
    ("text", "limit_per_s"),
    [("1.4", 1.4), (" 20 ", 20.0), ("0", 0.0), ("-1", None), ("1e3", None),
     ("nan", None), ("", None), ("1.4, 2", None), ("9" * 40, None)],
)  # fmt: skip
def test_limit_in_response_head_is_decoded_or_unreadable(text, limit_per_s):
    head = decode_response_head(200, [("Server-Limit", text)])
    assert head.limit_per_s == limit_per_s
    assert head.has_unreadable_limit == (limit_per_s is None)
    without = decode_response_head(200, [])
    assert (without.limit_per_s, without.has_unreadable_limit) == (None, False)


DATE = ("Date", "Fri, 04 Dec 2026 10:00:00 GMT")


@pytest.mark.parametrize(
    ("text", "retry_after_s"),
    [("3", 3.0), ("0.25", 0.25), ("0", 0.0), ("Fri, 04 Dec 2026 10:00:07 GMT", 7.0),
     ("Fri, 04 Dec 2026 09:00:00 GMT", 0.0), ("04 Dec 2026 10:00:07 -0000", 7.0),
     ("-1", None), ("soon", None), ("", None), ("nan", None), ("9" * 40, None),
     ("Fri, 04 Dec 99999999999 10:00:07 GMT", None)],
)  # fmt: skip
def test_retry_after_of_an_endpoint_is_decoded_or_unreadable(text, retry_after_s):
    head = decode_response_head(503, [("Retry-After", text), DATE])
    assert head.retry_after_s == retry_after_s
    assert head.has_unreadable_retry_after == (retry_after_s is None)
    without = decode_response_head(503, [DATE])
    assert (without.retry_after_s, without.has_unreadable_retry_after) == (None, False)


@pytest.mark.parametrize(
    ("text", "is_leaving"), [("1", True), (" 1 ", True), ("0", False), ("", False)]
)
def test_response_head_tells_whether_the_endpoint_leaves(text, is_leaving):
    head = decode_response_head(404, [("Server-Leaving", text)])
    assert head.is_leaving == is_leaving
    assert ("Server-Leaving", text) in head.headers


@given(st.binary(max_size=40) | JSON.map(lambda item: json.dumps(item).encode()))
def test_invalid_bodies_of_engines_raise_decode_errors(body):
    for decode in (decode_prefill_result, decode_cached_parts):
        try:
            decode("e-1", body)
        except DecodeError as error:
            assert error.peer == "e-1"


def test_refusal_states_retry_after_and_reason():
    headers, body = encode_refusal(Refusal(503, "overloaded", 0.25), "r")
    assert ("Retry-After", "0.250") in headers
    assert json.loads(body) == {"error": "overloaded"}
    assert len(encode_refusal(Refusal(502, "broken", None), "")[0]) == 1


def test_stage_order_names_the_endpoint_and_the_order_count():
    record = EndpointRecord(
        "e-1", 1, "s", "10.0.0.1:80", "a", 1, False, 0.0, "decode", 1
    )
    data = encode_stage_order(record, "prefill", "host-1", 41, order_count=2)
    head, _, body = data.decode().partition("\r\n\r\n")
    assert "X-Gypsumusher-Expect-Instance: e-1" in head
    assert json.loads(body) == {
        "op": "stage",
        "stage": "prefill",
        "holder": "host-1",
        "fence": 41,
        "precondition": 2,
    }


def test_key_and_account_of_the_caller_are_not_forwarded():
    """Guards against endpoints that see callers' keys, or accounts callers made up."""
    headers = [
        ("Host", "a"),
        ("x-gypsumusher-KEY", "secret"),
        ("X-Gypsumusher-Tenant", "other"),
        ("Connection", "X-Gypsumusher-Key"),
    ]
    request = decode_request("GET", "/", headers, b"")
    assert request.key == "secret"
    sent = encode_endpoint_head(request, SendOptions("e", 1.0, account="shop"))
    assert b"secret" not in sent
    assert sent.lower().count(b"x-gypsumusher-tenant") == 1
    assert b"X-Gypsumusher-Tenant: shop" in sent
    assert b"tenant" not in encode_endpoint_head(request, SendOptions("e", 1.0)).lower()


def test_account_of_any_language_is_sent_and_adds_no_header():
    """Guards against requests that can't be sent, or that forge headers."""
    request = decode_request("GET", "/", [("Host", "a")], b"")
    sent = encode_endpoint_head(request, SendOptions("e", 1.0, account="한빛"))
    assert "X-Gypsumusher-Tenant: 한빛\r\n".encode() in sent
    accounts = [{"name": "a\r\nX: y", "api_keys": ["k"]}]
    with pytest.raises(DecodeError):
        decode_configuration({**CONFIGURATION, "tenants": accounts})


def test_different_keys_in_one_request_count_as_none():
    """Guards against a smuggled second key that decides the account."""

    def key_of(*values):
        headers = [("X-Gypsumusher-Key", value) for value in values]
        return decode_request("GET", "/", headers, b"").key

    assert key_of("k", "other") is None
    assert key_of("k", "k") == "k"
    assert key_of() is None


def test_client_accounts_are_decoded_with_their_keys():
    open_route = {**ROUTE, "no_auth": True}
    tenants = [
        {"name": "shop", "api_keys": ["k-1", "k-2"], "priority": 1},
        {"name": "closed"},
    ]
    configuration = decode_configuration(
        {**CONFIGURATION, "routes": [ROUTE, open_route], "tenants": tenants}
    )
    assert [route.requires_key for route in configuration.routes] == [True, False]
    assert [tuple(account) for account in configuration.accounts] == [
        ("shop", ("k-1", "k-2"), 1),
        ("closed", (), None),
    ]
    assert decode_configuration(CONFIGURATION).accounts is None


@pytest.mark.parametrize(
    "tenants",
    [
        {"name": "a"},
        [{"api_keys": []}],
        [{"name": "a", "api_keys": [7]}],
        [{"name": "a", "api_keys": [""]}],
        [{"name": "a", "api_keys": ["k"]}, {"name": "b", "api_keys": ["k"]}],
    ],
)
def test_unreadable_accounts_leave_the_configuration_unreadable(tenants):
    """Guards against requests that run for one of two accounts by chance."""
    with pytest.raises(DecodeError):
        decode_configuration({**CONFIGURATION, "tenants": tenants})


def test_software_version_of_an_endpoint_is_decoded():
    stored = StoredObject("e-1", 1, dict(ENTRY), None)
    assert decode_endpoint(stored).software_version == "v1"
    del stored.content["version"]
    assert decode_endpoint(stored).software_version == ""
    stored.content["version"] = 2
    with pytest.raises(DecodeError, match="version"):
        decode_endpoint(stored)


@pytest.mark.parametrize(
    ("values", "resumed_id"),
    [((), None), (("r-1",), "r-1"), ((" r-1", "r-1"), "r-1"), (("r-1", "r-2"), None)],
)
def test_id_of_a_resumed_stream_is_decoded_unless_it_is_ambiguous(values, resumed_id):
    headers = [("Host", "a"), *(("RESUMES", value) for value in values)]
    assert decode_request("GET", "/", headers, b"").resumed_id == resumed_id
