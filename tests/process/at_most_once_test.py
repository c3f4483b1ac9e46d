"""Orders run at most once, and calls answered 'not run' never ran, while processes are killed or suspended or
the platform is down."""
import signal
import time

from checks import check_at_most_once, check_not_run_never_ran, check_answers_intact, run_counts
from lab import Lab, http_post, wait_for

ORDERS = "name=orders,method=POST,path=/tellimus,rate=120,work-us=15000,request-bytes=200,keyed=1,resend=0.1"
SEARCHES = "name=catalogue,path=/katalog,rate=200,work-us=4000,deadline-ms=1000"


def check_orders(lab):
    result = lab.result()
    check_answers_intact(result)
    check_at_most_once(lab, {"orders"})
    check_not_run_never_ran(lab)
    answered = {call for flow, call, outcome in lab.call_log() if flow == "orders" and outcome == "answered"}
    missing = [call for call in answered if run_counts(lab)[call] == 0]
    assert not missing, f"answered but never ran: {missing[:5]}"
    assert len(answered) > 100, f"too few orders were answered for a meaningful check: {result}"


def test_lost_answers_and_resends():
    with Lab(base_port=22000) as lab:
        lab.start_caller(ORDERS, SEARCHES, seconds=5, extra=["--max-sends", 4]).wait()
        check_orders(lab)
        lost = {call for _, call, outcome in lab.call_log() if outcome == "lost"}
        answered = {call for _, call, outcome in lab.call_log() if outcome == "answered"}
        assert lost and lost <= answered, f"resends after a lost answer got no answer: {sorted(lost - answered)[:5]}"


def test_entry_instances_killed_and_replaced():
    with Lab(base_port=22000) as lab:
        load = lab.start_caller(ORDERS, SEARCHES, seconds=6, extra=["--max-sends", 4])
        for round_number in range(2):
            time.sleep(1.5)
            entry = lab.entries[round_number]
            entry.process.kill()
            entry.process.wait()
            lab.start_entry(entry)
        load.wait()
        check_orders(lab)


def test_entry_instance_frozen():
    with Lab(base_port=22000) as lab:
        load = lab.start_caller(ORDERS, SEARCHES, seconds=6, extra=["--max-sends", 4])
        time.sleep(1.5)
        lab.entries[1].process.send_signal(signal.SIGSTOP)
        time.sleep(3)
        lab.entries[1].process.send_signal(signal.SIGCONT)
        load.wait()
        check_orders(lab)


def test_upstreams_killed_while_they_run_orders():
    with Lab(base_port=22000) as lab:
        load = lab.start_caller(ORDERS, SEARCHES, seconds=5, extra=["--max-sends", 4])
        for number in range(3):
            time.sleep(1)
            victim = [upstream for upstream in lab.upstreams if upstream.service == "tellimus"][number]
            victim.process.kill()
            victim.process.wait()
            lab.start_upstream(victim)
        load.wait()
        check_orders(lab)


def test_platform_outage():
    with Lab(base_port=22000) as lab:
        load = lab.start_caller(ORDERS, SEARCHES, seconds=5, extra=["--max-sends", 4])
        time.sleep(1)
        http_post(lab.platform_address, "/standin/mode", {"mode": "down"})
        time.sleep(3)
        http_post(lab.platform_address, "/standin/mode", {"mode": "up"})
        load.wait()
        check_orders(lab)
        for flow in lab.result()["flows"].values():
            assert flow["answered"] == flow["sent"], f"calls failed during the platform outage: {flow}"


def test_shed_calls_are_truly_not_run():
    with Lab(base_port=22000, queue=0, settings="queue_limit = 20\n") as lab:
        lab.start_caller("name=catalogue,path=/katalog,rate=2500,work-us=40000,deadline-ms=300",
                   "name=orders,method=POST,path=/tellimus,rate=800,work-us=100000,deadline-ms=600,keyed=1",
                   seconds=4).wait()
        check_not_run_never_ran(lab)
        check_at_most_once(lab, {"orders"})
        not_run_count = sum(1 for _, _, outcome in lab.call_log() if outcome.startswith("not_run"))
        assert not_run_count > 100, "too few calls were shed for a meaningful check"
