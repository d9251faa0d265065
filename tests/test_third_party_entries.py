"""Input that others write: store entries, pages, engine responses and headers."""

import asyncio
import json
import string
import time

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_samples import sample_endpoint_entry
from scripted_endpoint import ScriptedEndpoint, encode_response

from gypsumusher_platform import (
    StoreClient,
    decode_cached_parts,
    decode_endpoint,
    decode_engine_report,
    decode_prefill_result,
    decode_request,
)
from gypsumusher_ports import DecodeError, EndpointRecord, StoredObject

ENTRY = sample_endpoint_entry("10.0.0.1:80")
DEEP_JSON = b"[" * 100_000
ODD_NUMBERS = st.sampled_from(
    [10**400, -(10**400), 2**63, -1, float("nan"), float("inf"), -float("inf"), 1e300]
)
ODD_TEXTS = st.sampled_from(
    ["", "\ud800", "\ufffd", "x" * 300, "10.0.0.1:+80", "10.0.0.1: 80", "10.0.0.1:8_0"]
    + ["0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "10.0.0.1:٨٠"]
)
ODD_VALUES = st.one_of(ODD_NUMBERS, ODD_TEXTS, st.none(), st.booleans(), st.just([[]]))
FIELDS = st.sampled_from([*ENTRY, "born", "stage", "spot", "version", "warmup_left_ms"])


def page(*items, **fields):
    return {"items": list(items), "as_of": 9, **fields}


def item(name, content=ENTRY, **fields):
    return {"metadata": {"name": name, "rev": 3}, "spec": content, **fields}


@given(FIELDS, ODD_VALUES, st.one_of(st.none(), ODD_NUMBERS))
def test_odd_entry_is_rejected_or_fits_messages_between_hosts(field, value, started_ms):
    """Guards against an odd entry that stops the watcher or a later status message."""
    try:
        entry = StoredObject("e-1", 5, {**ENTRY, field: value}, started_ms)
        record = decode_endpoint(entry)
    except DecodeError as error:
        str(error).encode()
        return
    assert EndpointRecord(*msgpack.unpackb(msgpack.packb(list(record)))) == record
    assert record.slots < 2**31 and 0 <= record.warmup_left_s < 1e9
    ip, _, port = record.address.partition(":")
    assert set(port) <= set(string.digits) and not ip.startswith(("0.", "224", "255"))


@pytest.mark.parametrize(
    "name", ["", "\ud800", "a\ufffdb", "n" * 300, "e-\ud55c", "e 1", "e\r\nX: y", "e\0"]
)
def test_entry_with_unusable_id_is_rejected(name):
    """Guards against ids that no message between hosts or header can hold."""
    with pytest.raises(DecodeError):
        decode_endpoint(StoredObject(name, 5, ENTRY, None))


@pytest.mark.parametrize("body", [DEEP_JSON, b'{"held": 1}', b"\xff", b"[]"])
def test_unreadable_engine_responses_raise_decode_errors(body):
    """Guards against engine responses that raise RecursionError or TypeError."""
    for decode in (decode_cached_parts, decode_engine_report, decode_prefill_result):
        with pytest.raises(DecodeError):
            decode("e-1", body)


@given(st.lists(st.tuples(ODD_VALUES, ODD_VALUES)))
def test_odd_cached_parts_are_left_out(pairs):
    """Guards against parts that fail a status message or the whole list."""
    held = [["", part_id, tokens, "m"] for part_id, tokens in pairs]
    held += [["", "a1", 64, "m"], "short", ["", "f" * 17, 64, "m"]]
    parts = decode_cached_parts("e-1", json.dumps({"held": held}).encode())
    assert [part for part in parts if part == (0xA1, 64)] == [(0xA1, 64)]
    msgpack.packb([list(part) for part in parts])


@pytest.mark.parametrize("digits", ["9" * 19, "9" * 5000, "0x1", "1_0", "-1"])
def test_numbers_in_headers_are_bounded(digits):
    """Guards against a header that fails its request, or a later status message."""
    headers = [
        ("X-Gypsumusher-Deadline-Ms", digits),
        ("X-Gypsumusher-Token-Count", "100,10"),
        ("X-Gypsumusher-Prompt-Prefix", f"a1:64,{digits}:64,b2:64"),
    ]
    request = decode_request("POST", "/x", headers, b"")
    assert request.caller_timeout_s is None
    assert request.generation.parts == ((0xA1, 64),)


def run_against_pages(*pages, call=lambda client: client.list("servers")):
    """Return the result of a call to a store that sends these bodies in turn."""

    async def scenario():
        bodies = iter(pages)

        async def script(number, head, body, writer):
            sent = next(bodies)
            data = sent if isinstance(sent, bytes) else json.dumps(sent).encode()
            writer.write(encode_response("", data))

        store = ScriptedEndpoint(script)
        client = StoreClient(await store.start(), 1.0, time.monotonic)
        try:
            return await call(client)
        finally:
            await client.close()
            await store.close()

    return asyncio.run(asyncio.wait_for(scenario(), 10))


def test_undecodable_bytes_affect_one_object_only():
    """Guards against one entry with invalid UTF-8 that makes a whole page fail."""
    body = json.dumps(page(item("e-1"), item("e-2", {**ENTRY, "zone": "ZZ"})))
    body = body.encode().replace(b"ZZ", b"\xff\xfe")
    found = run_against_pages(body).unwrap().objects
    assert [stored.name for stored in found] == ["e-1", "e-2"]
    assert decode_endpoint(found[0]).endpoint_id == "e-1"
    with pytest.raises(DecodeError):
        decode_endpoint(found[1])


def test_listing_goes_on_after_an_unreadable_last_item():
    """Guards against endpoints that are lost behind an entry without a name."""
    first = page(item("e-1"), {"metadata": 7}, has_more=True)
    found = run_against_pages(first, page(item("e-2"))).unwrap()
    assert [stored.name for stored in found.objects] == ["e-1", "e-2"]


def test_odd_revision_affects_one_object_only():
    """Guards against one object's metadata that makes a whole page fail."""
    odd = {"metadata": {"name": "e-1", "rev": "x"}, "spec": ENTRY}
    found = run_against_pages(page(odd, item("e-2"))).unwrap()
    assert [stored.name for stored in found.objects] == ["e-2"]


def test_odd_event_affects_itself_only():
    """Guards against a watch that fails for an event of another form."""
    events = [7, {"object": 1}, {"object": item("e-2"), "deleted": "yes"}]
    body = {"events": events, "as_of": 9}
    found = run_against_pages(
        body, call=lambda client: client.watch("servers", 5, 1.0)
    ).unwrap()
    assert [(c.object.name, c.is_deleted) for c in found.changes] == [("e-2", False)]


@pytest.mark.parametrize("body", [DEEP_JSON, b"\xff\xfe", b"{"])
def test_page_that_is_not_json_is_a_failed_call(body):
    """Guards against a page that raises out of the watcher and ends it."""
    assert run_against_pages(body).failure().code == "unknown"
