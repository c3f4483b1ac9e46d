#!/usr/bin/env python3
"""Mutation test: introduces one fault at a time and checks that the tests of its library detect it.

Usage: mutants.py [NAME ...]   Works on a copy in a temporary folder; takes minutes.
"""
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[1]
CORE_SOURCES = "libs/core/src/"
ENTRY_SOURCES = "libs/entry/src/"
FUZZ_PARAMS = "seed=1 max_success=3000 max_size=150 noshrink=1"

# name, file, text to replace, replacement, text that the output of the failed test must contain
MUTANTS = [
    ("retry_after_break", CORE_SOURCES + "attempts.cc", "MayRepeat(parts, call) || !call.may_have_run", "true",
     "ran 2 times"),
    ("repeat_by_current_plan", CORE_SOURCES + "dispatch.cc", "call.terms.repeat == Repeat::kSafe && ", "",
     "fixture.End(attempt, lost).empty()"),
    ("timeout_is_not_run", CORE_SOURCES + "outcome.cc", '{"deadline_while_running", Outcome::kUnknown',
     '{"deadline_while_running", Outcome::kNotRun', "was told 'not run'"),
    ("forget_unknown_record", CORE_SOURCES + "call_end.cc", "if (InfoOf(reason).outcome == Outcome::kNotRun)\n    parts.records",
     "if (true)\n    parts.records", "ran 2 times"),
    ("run_for_earlier_incarnation", CORE_SOURCES + "calls.cc", "key.owner_incarnation != parts.self.incarnation", "false",
     "ran 2 times"),
    ("wrong_recorded_answer", CORE_SOURCES + "calls.cc", "record_key{key.key_high, key.key_low}", "record_key{0, 0}",
     "received the answer of call"),
    ("lists_go_back", CORE_SOURCES + "control.cc", "if (event.generation <= parts.lists.generation)\n    return;",
     "if (event.generation == parts.lists.generation)\n    return;", "generation"),
    ("no_restore", CORE_SOURCES + "control.cc", "effects.push_back(Effect::RestoreLists{lists.generation});", "",
     "not written back"),
    ("probe_at_once_after_grant", CORE_SOURCES + "probe_schedule.cc", "scheduled.due = now + interval + Duration(spread);",
     "scheduled.due = now;", "probes <= kProbesPerSecond"),
    ("probe_without_lease_end", CORE_SOURCES + "probe_schedule.h", "return now < m_seats[seat].valid_until;",
     "return m_seats[seat].valid_until != TimePoint() && now >= TimePoint();", "probes within 10 s"),
    ("leaving_mark_not_spread", CORE_SOURCES + "endpoint_learning.cc", "if (parts.rumors.Add(rumor, now))",
     "if (rumor.kind != GossipMessage::Rumor::Kind::kLeaving && parts.rumors.Add(rumor, now))",
     "long after it began to leave"),
    # One for each of the troubles that operators of similar systems report, as far as docs/PROOFS.md lists them.
    ("late_copy_to_next_caller", ENTRY_SOURCES + "upstream_pool.cc", "return error == asio::error::would_block;",
     "return true;", "fixture.Call(\"b\").body == \"b\""),
    ("late_probe_answer_to_caller", ENTRY_SOURCES + "prober.cc", "if (!IsFinalStatus(response.result_int()) || ", "if (", "health == a"),
    ("accept_queue_reset", ENTRY_SOURCES + "entry_instance.cc", "    AcceptWaiting(listener);\n", "",
     "received.starts_with"),
    ("older_endpoints_applied", CORE_SOURCES + "discovery.cc", "if (event.as_of < feed.as_of)", "if (false)",
     "IsServingAtEnd"),
    ("deadline_not_checked_at_send", ENTRY_SOURCES + "attempt.cc", "m_engine.Now() >= m_target.deadline || ", "",
     "CountOverdue"),
    ("cut_body_as_whole", ENTRY_SOURCES + "attempt.cc", "if (!m_response->is_done()) {", "if (false) {",
     "received.whole"),
    ("reset_as_end_of_body", ENTRY_SOURCES + "attempt.cc", "return m_request_fully_sent || !m_response->need_eof();",
     "return true;", "received.whole && received.status == 200"),
    ("status_of_any_three_digits", ENTRY_SOURCES + "attempt.cc", "if (IsFinalStatus(status))",
     "if (!IsInterimStatus(status))", "fixture.Call(\"own\").status == 502"),
    ("long_value_stored", ENTRY_SOURCES + "request_parser.cc", "trimmed.size() < kMaxStoredValueBytes && ", "",
     "field value too large"),
    ("long_value_cut", ENTRY_SOURCES + "forwarded_fields.cc", "if (found == unwritten.end())", "if (true)",
     "fixture.EndpointGot"),
    ("full_endpoint_blamed", CORE_SOURCES + "attempts.cc", "  if (WasSilenceWhenFull(parts, event, call))\n    return;\n", "",
     "load.CountEjected() == 0"),
    ("interim_responses_without_end", ENTRY_SOURCES + "attempt.cc", "interim <= kMaxInterimResponses", "true",
     "sent < kBoundedBytes"),
    ("quota_bucket_never_empties", CORE_SOURCES + "quota_shards.cc", "bucket.tokens -= grant.granted;", "",
     "fleet.WorstWindow(0"),
    ("fairness_removed", CORE_SOURCES + "held_calls.cc", "service.fairness.RankOf(call.account)",
     "AccountFairness::Rank()", "load.CountsOf(i).Share()"),
    ("evacuation_ignored_at_dispatch", CORE_SOURCES + "state.cc", "state.active && !state.leaving && !state.evacuated",
     "state.active && !state.leaving", "AcceptsCalls(dispatch.endpoint)"),
    ("warmup_limit_removed", CORE_SOURCES + "selection.cc", "  return !limited;", "  return true;",
     "MostInOneSecond"),
    ("hedge_limit_not_spent", CORE_SOURCES + "hedge_policy.cc", "  AllowanceOf(parts, call).Spend();\n", "",
     "fixture.Counters().sent"),
    ("loser_not_cancelled", ENTRY_SOURCES + "call_exchange.cc", "      other->Cancel();\n", "      continue;\n",
     "script.hung_connection_closed"),
    ("hedge_while_slots_are_scarce", CORE_SOURCES + "hedge_policy.cc", " && !AreSlotsScarce(service, now)", "",
     "fixture.Counters().held_back == 1"),
    ("revoked_key_while_waiting", CORE_SOURCES + "key_confirmation.cc", "if (holder == call.account &&",
     "if (true || holder == call.account &&", "unauthorized"),
    ("key_without_confirmation", CORE_SOURCES + "key_confirmation.cc",
     "return !NeedsKeyConfirmation(parts) || IsYounger(parts, kUsableLimitFraction, now);", "return true;",
     "keys_not_confirmed"),
    ("reply_counts_from_arrival", CORE_SOURCES + "key_confirmation.cc",
     "ConfirmKeys(parts, query_sent_at - message.lists_confirmed_age, now);",
     "ConfirmKeys(parts, BootTime(parts, now) - message.lists_confirmed_age, now);", "keys_not_confirmed"),
    ("any_message_is_a_reply", CORE_SOURCES + "key_confirmation.cc",
     "if (message.reply_to == 0 || message.reply_to != parts.keys.query)\n    return;", "",
     "keys_not_confirmed"),
    ("lose_waiting_call", CORE_SOURCES + "dispatch.cc", "queue.Push(skipped[i]);", "(void)skipped[i];", "never"),
]


def tests_of(file):
    """Name of the program with the tests of the library that `file` belongs to."""
    return file.split("/")[1] + "_tests"


def build(folder, target):
    """Builds one program with tests; returns the end of the build output if that fails, else an empty string."""
    build_result = subprocess.run(["cmake", "--build", folder / "build", "--target", target],
                                  capture_output=True, text=True, check=False)
    return "" if build_result.returncode == 0 else build_result.stdout[-400:]


def run_mutant(folder, mutant):
    _, file, old, new, expected_text = mutant
    path = folder / file
    text = path.read_text()
    if text.count(old) != 1:
        return False, f"the text to replace occurs {text.count(old)} times in {file}, expected once"
    path.write_text(text.replace(old, new))
    build_error = build(folder, tests_of(file))
    path.write_text(text)
    if build_error:
        return False, "does not compile: " + build_error
    result = subprocess.run([folder / "build" / tests_of(file)], capture_output=True, text=True,
                            env={**os.environ, "RC_PARAMS": FUZZ_PARAMS}, check=False)
    matches = [line for line in (result.stdout + result.stderr).splitlines() if expected_text in line]
    return bool(matches) and result.returncode != 0, matches[0] if matches else f"exit {result.returncode}: {result.stdout[-300:]}"


def main():
    chosen = [mutant for mutant in MUTANTS if not sys.argv[1:] or mutant[0] in sys.argv[1:]]
    undetected = 0
    with tempfile.TemporaryDirectory(prefix="sassafras-mutants-") as base:
        folder = pathlib.Path(base) / "copy"
        shutil.copytree(ROOT, folder, ignore=shutil.ignore_patterns("build*", ".git", "out"))
        subprocess.run(["cmake", "-S", folder, "-B", folder / "build", "-G", "Ninja"], check=True, capture_output=True)
        for target in sorted({tests_of(mutant[1]) for mutant in chosen}):
            build_error = build(folder, target)
            if build_error:
                raise SystemExit(build_error)
        for mutant in chosen:
            detected, detail = run_mutant(folder, mutant)
            undetected += not detected
            print(f"{'found' if detected else 'MISSED':<7} {mutant[0]:<28} {detail}", flush=True)
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(main())
