"""Authenticated msgpack streams between the system's processes."""

__all__: list[str] = []
