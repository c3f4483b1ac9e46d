"""Every caller receives the complete answer to its own request."""
import socket

from checks import check_all_answered, check_not_run_never_ran, check_answers_intact
from lab import Lab, http_get


def send_raw(address, data, timeout_s=5.0):
    """Sends bytes; returns what is received until the connection ends or is idle for 1.5 s."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=timeout_s) as connection:
        connection.sendall(data)
        connection.settimeout(1.5)
        received = b""
        try:
            while chunk := connection.recv(65536):
                received += chunk
        except (socket.timeout, ConnectionResetError):
            pass
        return received


def test_sound_answers_of_every_shape_arrive_whole():
    with Lab(base_port=21000) as lab:
        flows = [f"name={name},path=/katalog,rate=40,work-us=1000,{rest}" for name, rest in [
            ("small", "answer-bytes=64"), ("large", "answer-bytes=300000,deadline-ms=5000"),
            ("chunked", "fault=chunked,answer-bytes=5000"), ("empty", "fault=empty"), ("slow", "fault=slow,answer-bytes=600"),
            ("continue", "fault=continue"), ("head", "method=HEAD")]]
        flows = [flow.replace("path=/katalog", "path=/tellimus") if "POST" in flow else flow for flow in flows]
        flows.append("name=upload,method=POST,path=/tellimus,rate=10,work-us=500,request-bytes=400000,deadline-ms=5000")
        plans = lab.lists_dir / "plans.toml"
        plans.write_text(plans.read_text().replace('method = "GET"\npath = "/katalog"\n', 'method = "*"\npath = "/katalog"\n'))
        lab.ctl("apply")
        lab.start_caller(*flows, seconds=4).wait()
        result = lab.result()
        check_answers_intact(result)
        check_all_answered(result)


def test_damaged_answers_never_look_whole():
    with Lab(base_port=21000) as lab:
        faults = ["truncate", "overlong", "reset", "unframed", "garbage"]
        flows = [f"name={fault},path=/katalog,rate=15,work-us=1000,fault={fault},answer-bytes=40000" for fault in faults]
        flows.append("name=sound,path=/katalog,rate=200,work-us=1000")
        lab.start_caller(*flows, seconds=4).wait()
        result = lab.result()
        check_answers_intact(result)
        check_not_run_never_ran(lab)
        for fault in faults:
            if fault != "overlong":
                assert result["flows"][fault]["answered"] == 0, f"{fault}: {result['flows'][fault]}"
        assert result["flows"]["sound"]["answered"] > 0.9 * result["flows"]["sound"]["sent"], result["flows"]["sound"]


def test_pipelined_requests_are_answered_in_order():
    with Lab(base_port=21000) as lab:
        requests = b"".join(
            f"GET /katalog HTTP/1.1\r\nHost: x\r\nX-Request-Id: p{i}\r\nX-Work-Us: {(5 - i) * 4000}\r\n\r\n".encode()
            for i in range(5))
        answer = send_raw(lab.entries[0].address, requests).decode()
        positions = [answer.find(f"id=p{i} ") for i in range(5)]
        assert -1 not in positions and positions == sorted(positions), answer


def test_bad_requests_get_a_clear_error():
    with Lab(base_port=21000, entries=1) as lab:
        address = lab.entries[0].address
        rows = [
            (b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", "404", "no_plan"),
            (b"GET /katalog HTTP/1.0\r\nHost: x\r\n\r\n", "505", "use HTTP/1.1"),
            (b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", "501", "plain requests"),
            (b"total nonsense\r\n\r\n", "400", "bad_request"),
            (b"GET /katalog HTTP/1.1\r\nX-Long: " + b"a" * 20000 + b"\r\n\r\n", "431", "bad_request"),
            (b"GET /katalog HTTP/1.1\r\nHost: x\r\nSassafras-Deadline-Ms: soon\r\n\r\n", "400", "milliseconds left"),
            (b"POST /tellimus HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n", "428", "owner_missing"),
            (b"POST /tellimus HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nSassafras-Owner: x\r\nContent-Length: 0\r\n\r\n",
             "400", "bad_owner"),
            (b"POST /tellimus HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nSassafras-Owner: a.1.1\r\nContent-Length: 0\r\n\r\n",
             "409", "owner_gone"),
            (b"GET /sassafras/nowhere HTTP/1.1\r\nHost: x\r\n\r\n", "404", "/sassafras/status"),
            (b"GET /katalog HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello", "400", ""),
        ]
        for request, status, words in rows:
            answer = send_raw(address, request).decode()
            assert answer.startswith(f"HTTP/1.1 {status}"), (request[:60], answer[:300])
            assert words in answer, (request[:60], answer)
        assert "serving" in http_get(address, "/sassafras/health")


def test_a_slow_sender_keeps_nobody_else_waiting():
    with Lab(base_port=21000, entries=1) as lab:
        host, port = lab.entries[0].address.split(":")
        slow = [socket.create_connection((host, int(port))) for _ in range(50)]
        for connection in slow:
            connection.sendall(b"POST /tellimus HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nabc")
        lab.start_caller("name=sound,path=/katalog,rate=100,work-us=1000", seconds=2).wait()
        check_all_answered(lab.result())
        for connection in slow:
            connection.close()
