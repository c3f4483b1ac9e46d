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

ROOT = pathlib.Path(__file__).resolve().parents[1]
CORE = "libs/core/src/"
PARAMS = "seed=1 max_success=3000 max_size=150 noshrink=1"

# name, file, text, replacement, words the failure must contain
MUTANTS = [
    ("retry_after_break", CORE + "attempts.cc", "plan.config.repeat == Repeat::kSafe || !call.may_have_run",
     "true", "ran 2 times"),
    ("timeout_is_not_run", CORE + "outcome.cc", '{"deadline_while_running", Outcome::kUnknown',
     '{"deadline_while_running", Outcome::kNotRun', "was told 'not run'"),
    ("forget_unknown_record", CORE + "call_end.cc", "if (InfoOf(reason).outcome == Outcome::kNotRun)\n    parts.records",
     "if (true)\n    parts.records", "ran 2 times"),
    ("run_for_earlier_incarnation", CORE + "calls.cc", "key.owner_incarnation != parts.self.incarnation", "false",
     "ran 2 times"),
    ("wrong_recorded_answer", CORE + "calls.cc", "record_key{key.key_high, key.key_low}", "record_key{0, 0}",
     "received the answer of call"),
    ("lists_go_back", CORE + "control.cc", "if (event.generation <= parts.lists.generation)\n    return;",
     "if (event.generation == parts.lists.generation)\n    return;", "generation"),
    ("no_restore", CORE + "control.cc", "effects.push_back(Effect::RestoreLists{lists.generation});", "",
     "not written back"),
    ("probe_at_once_after_grant", CORE + "probe_schedule.cc", "scheduled.due = now + interval + Duration(spread);",
     "scheduled.due = now;", "probes <= kProbesPerSecond"),
    ("probe_without_lease_end", CORE + "probe_schedule.h", "return now < m_seats[seat].valid_until;",
     "return m_seats[seat].valid_until != TimePoint() && now >= TimePoint();", "probes within 10 s"),
    ("leaving_mark_not_spread", CORE + "endpoint_learning.cc", "if (parts.rumors.Add(rumor, now))",
     "if (rumor.kind != GossipMessage::Rumor::Kind::kLeaving && parts.rumors.Add(rumor, now))",
     "long after it began to leave"),
    ("lose_waiting_call", CORE + "dispatch.cc", "queue.Push(skipped[i]);", "(void)skipped[i];", "never"),
]


def build(folder):
    """Builds the core's tests; returns the compiler's words if that fails."""
    made = subprocess.run(["cmake", "--build", folder / "build", "--target", "core_tests"], capture_output=True, text=True,
                          check=False)
    return "" if made.returncode == 0 else made.stdout[-400:]


def run_mutant(folder, mutant):
    _, file, old, new, words = mutant
    path = folder / file
    text = path.read_text()
    if text.count(old) != 1:
        return False, f"the text to replace stands {text.count(old)} times in {file}"
    path.write_text(text.replace(old, new))
    trouble = build(folder)
    path.write_text(text)
    if trouble:
        return False, "does not compile: " + trouble
    result = subprocess.run([folder / "build" / "core_tests"], capture_output=True, text=True,
                            env={**os.environ, "RC_PARAMS": PARAMS}, check=False)
    seen = [line for line in (result.stdout + result.stderr).splitlines() if words in line]
    return bool(seen) and result.returncode != 0, seen[0] if seen else f"exit {result.returncode}: {result.stdout[-300:]}"


def main():
    chosen = [mutant for mutant in MUTANTS if not sys.argv[1:] or mutant[0] in sys.argv[1:]]
    missed = 0
    with tempfile.TemporaryDirectory(prefix="sassafras-mutants-") as base:
        folder = pathlib.Path(base) / "copy"
        shutil.copytree(ROOT, folder, ignore=shutil.ignore_patterns("build*", ".git", "out"))
        subprocess.run(["cmake", "-S", folder, "-B", folder / "build", "-G", "Ninja"], check=True, capture_output=True)
        trouble = build(folder)
        if trouble:
            raise SystemExit(trouble)
        for mutant in chosen:
            found, detail = run_mutant(folder, mutant)
            missed += not found
            print(f"{'found' if found else 'MISSED':<7} {mutant[0]:<28} {detail}", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
