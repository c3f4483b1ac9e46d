#!/usr/bin/env python3
"""Runs the process tests: run.py [NAME ...].

Each test starts its own fleet of real processes on loopback, injects faults and compares the outcomes reported to
callers with what the stand-ins ran. No test asserts wall time: time limits only turn a hang into a failure.
"""
import importlib
import pathlib
import sys
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools" / "lab"))
MODULES = ["answers_test", "at_most_once_test", "lists_test", "leaving_test", "failure_test", "command_line_test", "reload_test",
           "platform_test", "key_revocation_test", "lab_test"]
KNOWN_RED = pathlib.Path(__file__).resolve().parents[2] / "KNOWN-RED.txt"


def read_known_red():
    """Names of the tests listed in KNOWN-RED.txt: the first word of each line that is not a comment."""
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
    known_failures, failed, passed = read_known_red(), [], 0
    for name, test in chosen.items():
        try:
            test()
            passed += 1
            print(f"ok      {name}", flush=True)
        except Exception:  # Run the remaining tests after a failure.
            failed.append(name)
            print(f"{'KNOWN RED' if name in known_failures else 'FAILED'}  {name}\n{traceback.format_exc()}", flush=True)
    new_failures = [name for name in failed if name not in known_failures]
    print(f"{passed} passed, {len(new_failures)} failed")
    for name in failed:
        if name in known_failures:
            print(f"known red, see KNOWN-RED.txt: {name}")
    return 1 if new_failures or not chosen else 0


if __name__ == "__main__":
    sys.exit(main())
