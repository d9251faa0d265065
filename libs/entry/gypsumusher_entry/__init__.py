"""The entry host on the users' platform: callers, endpoints, peers."""
