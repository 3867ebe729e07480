#!/usr/bin/env python3
"""A toy fleet to try a dispatcher with: discovery on one port, and workers that sleep as long as the job's hint.

Stand-ins for the real servers, on loopback only. Python's standard library is all that it needs.
"""

import argparse
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

BEAT_S = 2.0  # discovery's empty line while nothing changes


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, form, *args):
        pass

    def handle(self):
        try:
            super().handle()
        except ConnectionError:
            pass  # a dispatcher that gives up on an attempt closes its connection

    def begin_chunks(self):
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def chunk(self, text):
        data = text.encode()
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()

    def end_chunks(self):
        self.wfile.write(b"0\r\n\r\n")
        self.wfile.flush()


class Discovery(Handler):
    members = []

    def do_GET(self):
        listing = json.dumps({"index": 1, "snapshot": True, "endpoints": self.members})
        if "follow=1" not in self.path:
            self.send_response(200)
            self.send_header("Content-Length", str(len(listing)))
            self.end_headers()
            self.wfile.write(listing.encode())
            return
        self.begin_chunks()
        self.chunk(listing + "\n")
        while True:
            time.sleep(BEAT_S)
            self.chunk("\n")


class Worker(Handler):
    def do_GET(self):
        self.send_response(200 if self.path == "/ping" else 404)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        job = {"id": self.headers["Request-Id"], "from": self.server.name}
        self.begin_chunks()
        with self.server.slots:
            self.chunk(json.dumps({**job, "state": "started"}) + "\n")
            time.sleep(self.server.work_s)
        result = "%s did %d bytes of %s" % (self.server.name, len(body), self.path)
        self.chunk(json.dumps({**job, "state": "done", "result": result}) + "\n")
        self.end_chunks()
        print("%s served %s" % (self.server.name, job["id"]), flush=True)


def serve(handler, host, port):
    server = ThreadingHTTPServer((host, port), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def main():
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--host", default="127.0.0.1")
    options.add_argument("--discovery", type=int, default=8500, help="discovery's port")
    options.add_argument("--first-worker", type=int, default=8601, help="the first worker's port")
    options.add_argument("--workers", type=int, default=3)
    options.add_argument("--slots", type=int, default=2, help="jobs that a worker runs at once")
    options.add_argument("--work-ms", type=float, default=100, help="how long a job runs")
    chosen = options.parse_args()
    for i in range(chosen.workers):
        port = chosen.first_worker + i
        worker = serve(Worker, chosen.host, port)
        worker.name = "toy-%d" % i
        worker.slots = threading.Semaphore(chosen.slots)
        worker.work_s = chosen.work_ms / 1000
        Discovery.members.append(
            {"name": worker.name, "address": "%s:%d" % (chosen.host, port), "zone": "here", "type": "toy",
             "group": 0, "status": "ready", "weight": 1.0, "since_ms": 0})
    serve(Discovery, chosen.host, chosen.discovery)
    print("discovery on %s:%d, %d workers from port %d" %
          (chosen.host, chosen.discovery, chosen.workers, chosen.first_worker), flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
