#!/usr/bin/env python3
"""What connections cost one dispatcher: resident memory with N kept idle, and with N requests open.

Needs a fleet and a dispatcher that are running (README, "Try it"). Prints one line a step.
"""

import argparse
import socket
import time


def memory_kib(pid):
    with open("/proc/%d/status" % pid) as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))


def request(number, body):
    head = ("POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: c%d\r\nRequest-Class: render\r\nTenant: acme\r\n"
            "Request-Timeout-Ms: 4900\r\nWork-Hint: 1000\r\nContent-Length: %d\r\n\r\n" % (number, len(body)))
    return head.encode() + body


def answer(connection):
    got = b""
    while b"\r\n\r\n" not in got:
        got += connection.recv(4096)


def main():
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("pid", type=int, help="the dispatcher's process")
    options.add_argument("--port", type=int, default=8000)
    options.add_argument("--counts", default="1,100,500")
    options.add_argument("--body", type=int, default=100, help="bytes")
    options.add_argument("--open", action="store_true", help="requests are out while memory is read")
    chosen = options.parse_args()
    body = b"x" * chosen.body
    connections, sent = [], 0
    print("%d connections: %d KiB" % (0, memory_kib(chosen.pid)))
    for count in map(int, chosen.counts.split(",")):
        while len(connections) < count:
            connections.append(socket.create_connection(("127.0.0.1", chosen.port)))
            if not chosen.open:
                connections[-1].sendall(request(sent, body))
                answer(connections[-1])
                sent += 1
        if chosen.open:
            for connection in connections:
                connection.sendall(request(sent, body))
                sent += 1
        time.sleep(0.5)
        print("%d connections: %d KiB" % (count, memory_kib(chosen.pid)), flush=True)
        if chosen.open:
            for connection in connections:
                answer(connection)


if __name__ == "__main__":
    main()
