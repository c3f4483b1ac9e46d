"""Leaving upstreams get no new requests, planned stops cut no call, and probes stay within their budget."""
import signal
import time

from checks import check_all_answered, check_not_run_never_ran, check_probe_budget, check_answers_intact
from lab import Lab, wait_for

LOAD = ["name=catalogue,path=/katalog,rate=300,work-us=5000,deadline-ms=1000",
        "name=orders,method=POST,path=/tellimus,rate=100,work-us=8000,request-bytes=200,keyed=1"]
# Seconds after an upstream begins to leave within which it must stop getting requests.
MAX_TIME_TO_STOP_SENDING_S = 3.0


def test_a_leaving_upstream_gets_no_new_work():
    # The directory lags by 30 s, far more than the 3 s allowed, so the instances find each other through seed_peers.
    seeds = ", ".join(f'"127.0.0.1:{24300 + number}"' for number in range(3))
    with Lab(base_port=24000, directory_lag_ms=30000, settings=f"seed_peers = [{seeds}]\n") as lab:
        load = lab.start_caller(*LOAD, seconds=8)
        time.sleep(2)
        leaving = lab.upstreams[0]
        # The upstream begins to leave and refuses new requests, like one that still works on a long request.
        leaving.process.send_signal(signal.SIGTERM)
        leaving_since = time.time()
        leaving.process.wait()
        load.wait()
        check_all_answered(lab.result())
        check_not_run_never_ran(lab)
        late = [line for line in lab.run_log() if line[3] == leaving.name and line[1] in ("run", "refuse")
                and line[0] / 1e6 > leaving_since + MAX_TIME_TO_STOP_SENDING_S]
        assert not late, late[:5]


def test_a_returning_upstream_is_used_again():
    with Lab(base_port=24000) as lab:
        upstream = lab.upstreams[0]
        load = lab.start_caller(*LOAD, seconds=12)
        time.sleep(1)
        upstream.process.send_signal(signal.SIGTERM)
        lab.register_upstream(upstream, "leaving")
        upstream.process.wait()
        restarted_at = time.time()
        lab.start_upstream(upstream)
        load.wait()
        check_all_answered(lab.result())
        runs = [line for line in lab.run_log()
                if line[3] == upstream.name and line[1] == "run" and line[0] / 1e6 > restarted_at]
        assert runs, "the upstream that came back got no requests"


def test_replacing_every_entry_instance_cuts_nothing():
    with Lab(base_port=24000) as lab:
        load = lab.start_caller(*LOAD, seconds=22)
        for entry in lab.entries:
            time.sleep(1)
            entry.process.send_signal(signal.SIGTERM)
            time.sleep(0.2)
            entry.process.send_signal(signal.SIGTERM)
            assert entry.process.wait() == 0, f"{entry.name} did not stop cleanly"
            lab.start_entry(entry)
            wait_for(lambda entry=entry: lab.status(entry)["phase"] == "serving", f"{entry.name} to serve again")
        load.wait()
        result = lab.result()
        check_answers_intact(result)
        check_all_answered(result)


def test_probe_budget_holds_while_holders_freeze_and_die():
    with Lab(base_port=24000) as lab:
        for round_number in range(3):
            time.sleep(4)
            holder = max(lab.entries, key=lambda entry: lab.status(entry)["probe_seats"])
            holder.process.send_signal(signal.SIGSTOP)
            time.sleep(8)
            holder.process.send_signal(signal.SIGCONT)
            time.sleep(1)
            other = max(lab.entries, key=lambda entry: lab.status(entry)["probe_seats"])
            other.process.kill()
            other.process.wait()
            lab.start_entry(other)
            wait_for(lambda other=other: lab.status(other)["phase"] == "serving", f"{other.name} to serve")
        check_probe_budget(lab, per_second=1.0)


def test_a_stop_that_reaches_its_limit_says_so():
    with Lab(base_port=24000, entries=1, address_ttl="100ms", settings='stop_limit = "3s"\n') as lab:
        entry = lab.entries[0]
        load = lab.start_caller(
            "name=invoices,method=POST,path=/arve,rate=20,work-us=8000000,fixed-work=1,deadline-ms=20000", seconds=1)
        time.sleep(1)
        assert lab.status(entry)["calls_in_progress"] > 0
        entry.process.send_signal(signal.SIGTERM)
        assert entry.process.wait() == 5, "the exit code does not report the calls that were cut"
        assert "stop_limit_reached" in (lab.dir / f"{entry.name}.log").read_text()
        load.wait()
        assert all(outcome == "lost" or outcome.startswith("unknown") for _, _, outcome in lab.call_log()), lab.call_log()[:5]


def test_a_stop_limit_shorter_than_address_answers_cuts_nothing():
    # Callers may use the instance for 10 s after the request to stop, of which the instance has 3 s.
    with Lab(base_port=24000, address_ttl="10s", settings='stop_limit = "3s"\n') as lab:
        entry = lab.entries[0]
        load = lab.start_caller(
            "name=invoices,method=POST,path=/arve,rate=60,work-us=300000,fixed-work=1,deadline-ms=2000", seconds=6)
        time.sleep(2)
        entry.process.send_signal(signal.SIGTERM)
        code = entry.process.wait()
        log = (lab.dir / f"{entry.name}.log").read_text()
        assert "stop_limit_reached" not in log, [line for line in log.splitlines() if "stop_limit_reached" in line]
        assert code == 0, f"the exit code {code} reports that calls were cut"
        load.wait()
        check_not_run_never_ran(lab)
