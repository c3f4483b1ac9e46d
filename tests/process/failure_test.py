"""Requests that crash upstreams, lost failure domains, malformed input and callers that disconnect."""
import os
import random
import signal
import socket
import time

from checks import check_all_answered, check_not_run_never_ran
from lab import Lab, http_get, wait_for


def send_request(address, request_id, extra="", path="/katalog", body=b""):
    host, port = address.split(":")
    request = (f"GET {path} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request_id}\r\nX-Work-Us: 1000\r\n{extra}"
               f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n").encode() + body
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall(request)
        received = b""
        while chunk := connection.recv(65536):
            received += chunk
        return received.decode()


def test_a_poison_request_costs_few_upstreams():
    with Lab(base_port=25000) as lab:
        katalog = [upstream for upstream in lab.upstreams if upstream.service == "katalog"]
        crashes, answers = 0, []
        for attempt in range(12):
            entry = lab.entries[attempt % len(lab.entries)]
            answers.append(send_request(entry.address, "poison", "X-Crash: 1\r\n", body=b"poison"))
            time.sleep(0.4)
            for upstream in katalog:
                if upstream.process.poll() is not None:
                    crashes += 1
                    lab.start_upstream(upstream)
        assert crashes <= 4, f"{crashes} upstreams were crashed by one request"
        assert crashes >= 1 and "quarantined" in answers[-1], answers[-1]
        for entry in lab.entries:
            assert "200 OK" in send_request(entry.address, "innocent", body=b"other"), "a harmless request was refused"


def test_a_failure_domain_lost_and_returned():
    with Lab(base_port=25000) as lab:
        load = lab.start_caller("name=catalogue,path=/katalog,rate=200,work-us=4000,deadline-ms=1000", seconds=10)
        time.sleep(2)
        lost = [upstream for upstream in lab.upstreams if upstream.failure_domain == "a"]
        for upstream in lost:
            upstream.process.kill()
            upstream.process.wait()
        time.sleep(3)
        for upstream in lost:
            lab.start_upstream(upstream)
        load.wait()
        check_not_run_never_ran(lab)
        flow = lab.result()["flows"]["catalogue"]
        assert flow["answered"] == flow["sent"], flow


def test_hostile_datagrams_and_connections_to_peers_change_nothing():
    with Lab(base_port=25000) as lab:
        rng = random.Random(1)
        host, port = lab.entries[0].peer_address.split(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            for size in range(0, 2000, 7):
                datagrams.sendto(rng.randbytes(size), (host, int(port)))
        with socket.create_connection((host, int(port)), timeout=5) as connection:
            connection.sendall(rng.randbytes(4096))
        lab.start_caller("name=catalogue,path=/katalog,rate=100,work-us=1000", seconds=2).wait()
        check_all_answered(lab.result())
        assert lab.counters(lab.entries[0])["sassafras_gossip_malformed_total"] > 100
        assert lab.status(lab.entries[0])["phase"] == "serving"


def test_a_caller_that_goes_away_leaves_nothing_behind():
    with Lab(base_port=25000, entries=1) as lab:
        host, port = lab.entries[0].address.split(":")
        for number in range(100):
            connection = socket.create_connection((host, int(port)), timeout=5)
            connection.sendall(f"GET /katalog HTTP/1.1\r\nHost: x\r\nX-Request-Id: gone{number}\r\n"
                               f"X-Work-Us: 300000\r\n\r\n".encode())
            time.sleep(0.002)
            connection.close()
        wait_for(lambda: lab.status(lab.entries[0])["calls_in_progress"] == 0, "abandoned calls to end")
        lab.start_caller("name=catalogue,path=/katalog,rate=100,work-us=1000", seconds=2).wait()
        check_all_answered(lab.result())
