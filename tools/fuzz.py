"""Runs the hypothesis state machines of all tests for long, with a random seed."""

import argparse
import importlib.util
import inspect
import pathlib
import random
import sys
import traceback

import hypothesis
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

ROOT = pathlib.Path(__file__).resolve().parent.parent
# CI runs 100 to 200 examples per machine; this many take minutes per machine.
DEFAULT_EXAMPLES = 3_000
SEED_LIMIT = 2**32


def find_machines(root, only):
    """Yield the state machines in the test files of the workspace.

    Parameters
    ----------
    root : pathlib.Path
        Root of the workspace.
    only : str
        Substring of the names to select; empty for all.

    Yields
    ------
    type
        A state machine.
    """
    paths = [*root.glob("libs/*/tests/test_*.py"), *root.glob("tests/test_*.py")]
    for path in sorted(paths):
        if "RuleBasedStateMachine" not in path.read_text():
            continue
        spec = importlib.util.spec_from_file_location(f"fuzz_{path.stem}", path)
        module = importlib.util.module_from_spec(spec)
        sys.modules[spec.name] = module
        spec.loader.exec_module(module)
        for name, item in sorted(vars(module).items()):
            if not inspect.isclass(item) or item.__module__ != spec.name:
                continue
            if issubclass(item, RuleBasedStateMachine) and only in name:
                yield item


def run_machine(machine, seed, examples, steps):
    """Run one state machine and print its failures.

    Parameters
    ----------
    machine : type
        The state machine.
    seed : int
        Seed of the run.
    examples : int
        Number of examples.
    steps : int or None
        Steps per example; None for the number that the machine's own test uses. Its
        checks may hold for that number only, e.g. if a history has a limited length.

    Returns
    -------
    bool
        True if no example failed.
    """
    print(f"event=fuzz machine={machine.__name__} seed={seed}", flush=True)
    if steps is None:
        steps = machine.TestCase.settings.stateful_step_count
    settings = hypothesis.settings(
        derandomize=False,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=steps,
        print_blob=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    try:
        run_state_machine_as_test(hypothesis.seed(seed)(machine), settings=settings)
    except Exception:
        traceback.print_exc()
        print(f"event=fuzz_failed machine={machine.__name__} seed={seed}", flush=True)
        return False
    return True


def main(arguments=None):
    """Run the machines and return 1 if any failed, 2 if none was found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="repeat the run with this seed")
    parser.add_argument("--examples", type=int, default=DEFAULT_EXAMPLES)
    parser.add_argument(
        "--steps", type=int, help="default: as in the machine's own test"
    )
    parser.add_argument("--only", default="", help="substring of the machines' names")
    options = parser.parse_args(arguments)
    seed = options.seed
    if seed is None:
        seed = random.SystemRandom().randrange(SEED_LIMIT)
    results = [
        run_machine(machine, seed, options.examples, options.steps)
        for machine in find_machines(ROOT, options.only)
    ]
    if not results:
        print(f"no state machine has {options.only!r} in its name", file=sys.stderr)
        return 2
    print(f"event=fuzz_done machines={len(results)} failed={results.count(False)}")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
