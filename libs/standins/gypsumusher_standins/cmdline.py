"""Command line of the stand-ins; each sub-command runs one stand-in process."""

import argparse
import asyncio

from gypsumusher_standins.engine import run_engine
from gypsumusher_standins.platform import run_platform
from gypsumusher_standins.service import run_service


def add_address_options(parser):
    """Add the address options, which every stand-in has."""
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)


def add_endpoint_options(parser):
    """Add the options of an endpoint that registers itself with the platform."""
    parser.add_argument("--name", required=True)
    parser.add_argument("--zone", default="suwon-a")
    parser.add_argument("--region", default="gyeonggi")
    parser.add_argument("--platform", help="http://IP:PORT; registers itself there")
    parser.add_argument("--platform-token", default="platform-token")


def add_engine_options(parser):
    """Add the options of an engine.

    Rates are given in simulated time; ``--speed`` multiplies them.
    """
    add_endpoint_options(parser)
    parser.add_argument("--deployment", required=True)
    parser.add_argument(
        "--role", choices=["prefill", "decode", "mixed"], default="mixed"
    )
    parser.add_argument("--fencing", choices=["refuses", "ignores"], default="refuses")
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--prefill-tokens-per-s", type=float, default=20000.0)
    parser.add_argument("--decode-tokens-per-s", type=float, default=800.0)
    parser.add_argument("--kv-limit-tokens", type=int, default=200000)
    parser.add_argument("--kv-tokens-per-s", type=float, default=500000.0)
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--queue-limit", type=int, default=256)
    parser.add_argument("--role-change-s", type=float, default=2.0)
    parser.add_argument("--model-load-s", type=float, default=0.5)
    parser.add_argument("--order-timeout-s", type=float, default=2.0)
    parser.add_argument("--retention-s", type=float, default=60.0)
    parser.add_argument("--load-lag-s", type=float, default=0.2)
    parser.add_argument("--cache-prefixes", type=int, default=4096)
    parser.add_argument("--cache-lag-s", type=float, default=0.5)
    parser.add_argument("--model", default="letter-7b")
    parser.add_argument("--model-version", default="1")
    parser.add_argument("--crash-on", default="")


def build_parser():
    """Return the parser with one sub-command for each stand-in."""
    parser = argparse.ArgumentParser(prog="gypsumusher-standin")
    subparsers = parser.add_subparsers(dest="command", required=True)
    platform = subparsers.add_parser("platform", help="the platform's object API")
    add_address_options(platform)
    platform.add_argument("--token", default="platform-token")
    platform.add_argument("--writes-per-s", type=float, default=400.0)
    platform.add_argument("--reads-per-s", type=float, default=2000.0)
    platform.add_argument("--list-lag-s", type=float, default=0.0)
    platform.set_defaults(run=run_platform)
    engine = subparsers.add_parser("engine", help="a model engine")
    add_address_options(engine)
    add_engine_options(engine)
    engine.set_defaults(run=run_engine)
    service = subparsers.add_parser("service", help="a plain service replica")
    add_address_options(service)
    add_endpoint_options(service)
    service.add_argument("--service", required=True)
    service.set_defaults(run=run_service)
    return parser


def main(arguments=None):
    """Run one stand-in until the process receives SIGTERM or SIGINT.

    Parameters
    ----------
    arguments : list of str, optional
        Command-line arguments; `sys.argv[1:]` by default.
    """
    options = build_parser().parse_args(arguments)
    asyncio.run(options.run(options))
