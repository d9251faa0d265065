"""Measures what a configuration costs: check, adoption, and the head's size."""

import json
import time

from capacity_fit import fit_line
from capacity_objects import kept_bytes, sweep

from gypsumusher_coordination import (
    ConfigReplica,
    canonical_json,
    check_document,
    content_hash,
    fill_defaults,
    split_document,
)

DEPLOYMENTS = (5, 10, 20, 40, 80)
PATCHES_KEPT = 64
ROUNDS = 7
REPEATS = 5


def make_document(deployments):
    """Return a checked document with as many deployments, each of three classes."""
    document = {"deployments": {}, "services": {}, "hosts": {}}
    for number in range(deployments):
        document["deployments"][f"deployment-{number}"] = {
            "model": f"model-{number}",
            "version": "1",
            "default_class": "standard",
            "classes": {
                "counter": _class(0, 1.5, 0.05, 10),
                "standard": _class(1, 5.0, 0.1, 60),
                "bulk": _class(2, 30.0, 0.2, 600),
            },
        }
    problems = check_document(document)
    if problems:
        raise ValueError(f"the document of the capacity run is wrong: {problems}")
    return fill_defaults(document)


def _class(rank, first_token_s, between_tokens_s, deadline_s):
    return {
        "rank": rank,
        "first_token_s": first_token_s,
        "between_tokens_s": between_tokens_s,
        "deadline_s": deadline_s,
    }


def make_head(number, sections):
    """Return a head as it stands after many patches."""
    patches = [
        {
            "number": number - PATCHES_KEPT + turn,
            "patch_id": "0" * 32,
            "author": "operator",
            "note": "a note of ordinary length on why this was changed",
            "changed": [f"deployments/deployment-{turn % len(sections)}"],
            "at": "2026-01-01T00:00:00Z",
        }
        for turn in range(PATCHES_KEPT)
    ]
    hashes = {name: content_hash(value) for name, value in sections.items()}
    return {"number": number, "sections": hashes, "patches": patches}


def adopt_ms(deployments):
    """Return the time to adopt a head in which one section changed, in ms."""
    sections = split_document(make_document(deployments))
    replica = ConfigReplica("host-1")
    head = make_head(100, sections)
    replica.offer(0.0, head)
    for value in sections.values():
        replica.on_section(0.0, content_hash(value), value)
    started_s = time.process_time()
    for turn in range(REPEATS):
        changed = {**sections["deployments/deployment-0"], "version": str(turn + 2)}
        section_hash = content_hash(changed)
        hashes = {**head["sections"], "deployments/deployment-0": section_hash}
        newer = {**head, "number": 101 + turn, "sections": hashes}
        replica.offer(1.0, newer)
        replica.on_section(1.0, section_hash, changed)
    took_s = time.process_time() - started_s
    if replica.number != 100 + REPEATS:
        raise RuntimeError("the capacity run's configuration was not adopted")
    return took_s / REPEATS * 1e3


def check_ms(deployments):
    """Return the time of the whole check that each patch gets, in ms."""
    document = make_document(deployments)
    started_s = time.process_time()
    for _ in range(REPEATS):
        check_document(document)
    return (time.process_time() - started_s) / REPEATS * 1e3


def head_bytes(deployments):
    """Return the size of the head that each watch brings, in bytes of JSON."""
    sections = split_document(make_document(deployments))
    return len(json.dumps(make_head(100, sections)).encode())


def section_bytes():
    """Return the size of one deployment's section."""
    sections = split_document(make_document(1))
    return len(canonical_json(sections["deployments/deployment-0"]))


def document_bytes(deployments):
    """Return the memory of a host's document and sections."""

    def build():
        sections = split_document(make_document(deployments))
        replica = ConfigReplica("host-1")
        replica.offer(0.0, make_head(100, sections))
        for value in sections.values():
            replica.on_section(0.0, content_hash(value), value)
        return replica

    return kept_bytes(build)


def measure_config():
    """Return the lines of the configuration."""
    unit = "deployments"
    return [
        fit_line(
            "one changed section adopted",
            unit,
            "ms",
            sweep(adopt_ms, DEPLOYMENTS, ROUNDS),
        ),
        fit_line(
            "a document checked", unit, "ms", sweep(check_ms, DEPLOYMENTS, ROUNDS)
        ),
        fit_line("the head", unit, "bytes", sweep(head_bytes, DEPLOYMENTS)),
        fit_line(
            "document and sections kept",
            unit,
            "bytes",
            sweep(document_bytes, DEPLOYMENTS),
        ),
    ]
