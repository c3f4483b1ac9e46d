#!/usr/bin/env python3
"""Runs the tests with real processes: run.py [NAME ...].

Each test starts its own fleet on loopback, makes it fail and checks what callers were told against what the
stand-ins ran. No test bounds wall time: limits only turn a hang into a failure.
"""
import importlib
import pathlib
import sys
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools" / "lab"))
MODULES = ["answers_test", "at_most_once_test", "lists_test", "leaving_test", "failure_test", "command_line_test", "reload_test",
           "platform_test"]
KNOWN_RED = pathlib.Path(__file__).resolve().parents[2] / "KNOWN-RED.txt"


def known_red():
    """Names of tests listed in KNOWN-RED.txt: first word of each line that is no comment."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[0] for line in lines if line.strip() and not line.startswith("#")}


def main():
    tests = {}
    for module_name in MODULES:
        module = importlib.import_module(module_name)
        tests.update({name: test for name, test in vars(module).items() if name.startswith("test_")})
    chosen = {name: test for name, test in tests.items() if not sys.argv[1:] or name in sys.argv[1:]}
    red, failed, passed = known_red(), [], 0
    for name, test in chosen.items():
        try:
            test()
            passed += 1
            print(f"ok      {name}", flush=True)
        except Exception:  # a failing test must not keep the others from running
            failed.append(name)
            print(f"{'KNOWN RED' if name in red else 'FAILED'}  {name}\n{traceback.format_exc()}", flush=True)
    new_red = [name for name in failed if name not in red]
    print(f"{passed} passed, {len(new_red)} failed")
    for name in failed:
        if name in red:
            print(f"known red, see KNOWN-RED.txt: {name}")
    return 1 if new_red or not chosen else 0


if __name__ == "__main__":
    sys.exit(main())
