#!/usr/bin/env python3
"""Breaks the core on purpose, one promise at a time, and checks that the fuzz test sees it.

Usage: mutants.py [NAME ...]   Works on copies below a temporary folder; takes minutes.
"""
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor

ROOT = pathlib.Path(__file__).resolve().parents[1]
CORE = "libs/core/src/"
PARAMS = "seed=1 max_success=3000 max_size=150 noshrink=1"

# name, file, text, replacement, words the failure must contain
MUTANTS = [
    ("retry_after_break", CORE + "attempts.cc", "plan.row.repeat == Repeat::kSafe || !call.may_have_run",
     "true", "ran 2 times"),
    ("timeout_is_not_run", CORE + "outcome.cc", '{"deadline_while_running", Outcome::kUnknown',
     '{"deadline_while_running", Outcome::kNotRun', "was told 'not run'"),
    ("forget_unknown_record", CORE + "call_end.cc", "if (InfoOf(reason).outcome == Outcome::kNotRun)\n    parts.records",
     "if (true)\n    parts.records", "ran 2 times"),
    ("run_for_other_owner", CORE + "calls.cc", "if (key.owner != parts.self.name) {", "if (false) {", "ran 2 times"),
    ("run_for_earlier_incarnation", CORE + "calls.cc", "key.owner_incarnation != parts.self.incarnation", "false",
     "ran 2 times"),
    ("wrong_recorded_answer", CORE + "calls.cc", "record_key{key.key_high, key.key_low}", "record_key{0, 0}",
     "got the answer of call"),
    ("lists_go_back", CORE + "control.cc", "if (event.generation <= parts.lists.generation)\n    return;",
     "if (event.generation == parts.lists.generation)\n    return;", "went back"),
    ("no_restore", CORE + "control.cc", "effects.push_back(Effect::RestoreLists{lists.generation});", "",
     "not brought back"),
    ("probe_at_once_after_grant", CORE + "probe_schedule.cc", "plan.next = now + interval + Duration(spread);",
     "plan.next = now;", "probes within"),
    ("probe_without_lease_end", CORE + "probe_schedule.h", "return now < m_seats[seat].valid_until;",
     "return m_seats[seat].valid_until != TimePoint() && now >= TimePoint();", "probes within"),
    ("leaving_mark_not_spread", CORE + "endpoint_news.cc", "if (parts.rumors.Add(rumor, now))",
     "if (rumor.kind != GossipMessage::Rumor::Kind::kLeaving && parts.rumors.Add(rumor, now))",
     "long after it began to leave"),
    ("lose_waiting_call", CORE + "dispatch.cc", "queue.Push(passed[i]);", "(void)passed[i];", "never"),
]


def run_mutant(base, mutant):
    name, file, old, new, words = mutant
    folder = base / name
    shutil.copytree(base / "original", folder)
    path = folder / file
    text = path.read_text()
    if text.count(old) != 1:
        return name, False, f"the text to replace stands {text.count(old)} times in {file}"
    path.write_text(text.replace(old, new))
    build = ["cmake", "-S", folder, "-B", folder / "build", "-G", "Ninja"]
    subprocess.run(build, check=True, capture_output=True)
    made = subprocess.run(["cmake", "--build", folder / "build", "--target", "core_tests"], capture_output=True, text=True,
                          check=False)
    if made.returncode != 0:
        return name, False, "does not compile: " + made.stdout[-400:]
    result = subprocess.run([folder / "build" / "core_tests", "-tc=fleet of reducers*"], capture_output=True, text=True,
                            env={**os.environ, "RC_PARAMS": PARAMS}, check=False)
    seen = [line for line in result.stdout.splitlines() if words in line]
    detail = seen[0] if seen else "the fuzz test passed" if result.returncode == 0 else result.stdout[-400:]
    return name, bool(seen) and result.returncode != 0, detail


def main():
    chosen = [mutant for mutant in MUTANTS if not sys.argv[1:] or mutant[0] in sys.argv[1:]]
    with tempfile.TemporaryDirectory(prefix="sassafras-mutants-") as base, ThreadPoolExecutor(2) as pool:
        shutil.copytree(ROOT, pathlib.Path(base) / "original", ignore=shutil.ignore_patterns("build*", ".git", "out"))
        results = list(pool.map(lambda mutant: run_mutant(pathlib.Path(base), mutant), chosen))
    for name, found, detail in results:
        print(f"{'found' if found else 'MISSED':<7} {name:<28} {detail}")
    return 0 if all(found for _, found, _ in results) else 1


if __name__ == "__main__":
    sys.exit(main())
