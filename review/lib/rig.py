"""Stand-ins and helpers shared by the cases under review/: a forwarder process, the platform, an HTTP endpoint.

Everything is on 127.0.0.1, with ports that are free at the start of a run. All stand-ins follow the protocol page: they
are sound peers unless a case says what else one does.
"""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played: neither held nor broken."""


class Record:
    """What was sent, answered and run, a line each, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, who, what, **fields):
        with self.lock:
            at = time.monotonic() - self.start
            text = " ".join(f"{k}={v}" for k, v in fields.items())
            self.file.write(f"{at:8.3f} {who:<12} {what} {text}".rstrip() + "\n")
            self.file.flush()

    def now(self):
        return time.monotonic() - self.start


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def run_command():
    """The command of the deploy file that starts one forwarder."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
        found = re.search(r'^run = "(.*?)"', f.read(), re.M)
    if not found:
        raise CannotRun("no run command in the deploy file")
    return found.group(1)


def settings(classes, max_attempts=8, **other_limits):
    limits = {"maxAttempts": max_attempts, "openCap": 200, "cancel": True, "probing": True, "streamsPerConn": 1,
              "connectTimeoutS": 1.5, "keepaliveS": 15, "retryAfter": True, "maxRetryAfterS": 2}
    limits.update(other_limits)
    return {"roundS": 0.005, "groupSize": 1, "me": 0, "az": 0, "discovery": "push", "weights": "off",
            "overShareWorth": 0.1, "shapes": ["supplier"], "zones": ["regina-dc"],
            "familyInfo": {"callSlots": 8, "decay": "halves", "kindBatch": [1], "ownLimits": [False]},
            "limits": limits, "requestClasses": classes,
            "rules": {"answerSlackS": 0.02, "askWithinS": 10, "coldFrom": 0.24, "drainGraceS": 0.5,
                      "overloadForS": 3, "rampTimeS": 9.5, "tipMultiple": 1.5}}


def message_class(name, repeat, deadline, aim=4.0, credit=1.0, window=5.0):
    return {"name": name, "aimS": aim, "credit": credit, "deadlineS": deadline, "group": "all", "lateShare": 0.5,
            "repeat": repeat, "repeatWindowS": window, "streamed": False}


ORDER = message_class("lens-order", "idempotency_key", 20.0)
STATUS = message_class("status-update", "read_like", 6.0, aim=0.8)
PAYMENT = message_class("payment", "non_idempotent", 28.0, credit=3.0)


class HttpReader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def more(self):
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    def message(self):
        """(first line, headers, body), or None at the end of the connection."""
        while b"\r\n\r\n" not in self.buffer:
            if not self.more():
                return None
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        while len(self.buffer) < length:
            if not self.more():
                return None
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return lines[0], headers, body


def http_answer(status, headers=None, body=b""):
    reasons = {200: "OK", 204: "No Content", 503: "Service Unavailable", 404: "Not Found"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Other')}"]
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def serve(port, on_connection):
    """Accepts connections, each handled on a thread of its own; returns the listening socket."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(128)

    def handle(sock):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            on_connection(sock)
        except OSError:
            pass
        finally:
            sock.close()

    def loop():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=handle, args=(sock,), daemon=True).start()

    threading.Thread(target=loop, daemon=True).start()
    return listener


class Platform:
    """Discovery (lists are pushed, a watch is a long poll) and the address for notices."""

    def __init__(self, record, endpoints=()):
        self.record = record
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.changed = threading.Condition()
        self.index = 1
        self.endpoints = list(endpoints)
        self.notices = []
        serve(self.port, self.on_connection)

    def whole(self):
        return {"index": self.index, "snapshot": True, "endpoints": self.endpoints}

    def on_connection(self, sock):
        reader = HttpReader(sock)
        while True:
            message = reader.message()
            if message is None:
                return
            line, _, body = message
            method, target, _ = line.split(" ")
            if method == "POST" and target == "/status":
                for text in body.decode().splitlines():
                    notice = json.loads(text)
                    with self.changed:
                        self.notices.append(notice)
                    self.record("platform", "notice", **notice)
                sock.sendall(http_answer(204))
            elif method == "GET" and target.startswith("/registry/instances"):
                after = re.search(r"after=(-?\d+)", target)
                wait = re.search(r"wait_ms=(\d+)", target)
                with self.changed:
                    if after and int(after.group(1)) == self.index:
                        self.changed.wait_for(lambda: int(after.group(1)) != self.index,
                                              int(wait.group(1)) / 1000 if wait else 0)
                        if int(after.group(1)) == self.index:
                            answer = {"index": self.index, "snapshot": False, "endpoints": []}
                        else:
                            answer = self.whole()
                    else:
                        answer = self.whole()
                sock.sendall(http_answer(200, {"Content-Type": "application/json"}, json.dumps(answer).encode()))
            else:
                sock.sendall(http_answer(404))

    def notice_of(self, message_id):
        with self.changed:
            return next((n["status"] for n in self.notices if n["id"] == message_id), None)


def entry(name, address, group, kind="supplier"):
    return {"name": name, "address": address, "zone": "regina-dc", "type": kind, "group": group,
            "status": "active", "weight": 1.0, "since_ms": 0}


class Forwarder:
    """One forwarder, started by the run command of the deploy file."""

    def __init__(self, record, folder, platform, config_settings, disk_mb=3, options="", name="n1"):
        self.record, self.folder, self.options, self.name = record, folder, options, name
        self.platform = platform
        self.port = free_port()
        self.address = ("127.0.0.1", self.port)
        self.state = os.path.join(folder, "state")
        os.makedirs(self.state)
        self.config = os.path.join(folder, "config.json")
        self.log = open(os.path.join(folder, "forwarder.log"), "ab")
        self.disk_mb = disk_mb
        self.process = None
        self.write_config(config_settings)

    def write_config(self, config_settings):
        """Writes the file anew and moves it into place."""
        value = {"name": self.name, "listen": f"127.0.0.1:{self.port}", "discovery": self.platform.address,
                 "state": self.state, "seed": "8c1f30d27a5be964",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": self.disk_mb},
                 "known": self.platform.whole(), "settings": config_settings}
        with open(self.config + ".new", "w") as f:
            json.dump(value, f)
        os.replace(self.config + ".new", self.config)

    def start(self):
        env = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        env.update(ROUTER_NAME=self.name, ROUTER_LISTEN=f"127.0.0.1:{self.port}",
                   ROUTER_DISCOVERY=self.platform.address, ROUTER_STATE=self.state, ROUTER_CONFIG=self.config)
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command() + " " + self.options], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
                                        # ignored (nohup), it would be ignored by the forwarder too
                                        preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_DFL))
        self.record(self.name, "started", pid=self.process.pid)

    def is_ready(self):
        try:
            with socket.create_connection(self.address, 0.5) as sock:
                sock.settimeout(0.5)
                sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                answer = HttpReader(sock).message()
                return answer is not None and " 200 " in answer[0] + " "
        except OSError:
            return False

    def wait_ready(self, seconds=30):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.is_ready():
                self.record(self.name, "ready")
                return True
            if self.process.poll() is not None:
                self.record(self.name, "ended", code=self.process.returncode)
                return False
            time.sleep(0.05)
        return False

    def signal(self, number):
        self.record(self.name, "signal", number=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def log_text(self):
        with open(os.path.join(self.folder, "forwarder.log"), errors="replace") as f:
            return f.read()


def hand_in(record, forwarder, message_id, kind, dest, deadline, body=b"x", key=None, headers=None):
    """Hands in a message over HTTP; returns the status, or None where no answer came within 400 ms."""
    lines = ["POST /api HTTP/1.1", "Host: app.svc", f"Req-Id: {message_id}", f"Req-Kind: {kind}",
             f"Req-Deadline: {deadline:.3f}", f"X-Envelope: dest={dest}", f"Content-Length: {len(body)}",
             "Connection: close"]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    record("client", "hands in", id=message_id, kind=kind, dest=dest, deadline=deadline, key=key)
    status = None
    try:
        with socket.create_connection(forwarder.address, 0.4) as sock:
            sock.settimeout(0.4)
            sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            answer = HttpReader(sock).message()
            status = int(answer[0].split(" ")[1]) if answer else None
    except OSError:
        pass
    record("client", "answered", id=message_id, status=status)
    return status


class Endpoint:
    """An endpoint of HTTP: what it runs is in `runs`, in order, by id and key.

    `behaviour(headers, body)` is called once a call's last byte has come and returns what to do: 'ok' (run it and
    answer 200), a number (run it, and answer 200 so many seconds later), 'lose' (run it, and reset the connection instead of the answer), 'full' (answer 503, never run). A call
    with a key that was run within the last `window` seconds is answered 200 and not run again.
    """

    def __init__(self, record, name, behaviour=None, window=5.0):
        self.record, self.name, self.window = record, name, window
        self.behaviour = behaviour or (lambda headers, body: "ok")
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.runs = []
        self.seen = {}
        self.lock = threading.Lock()
        serve(self.port, self.on_connection)

    def on_connection(self, sock):
        reader = HttpReader(sock)
        while True:
            message = reader.message()
            if message is None:
                return
            line, headers, body = message
            if not line.startswith("POST /receive "):
                sock.sendall(http_answer(200 if "/health/live" in line else 404))
                continue
            what = self.behaviour(headers, body)
            if what == "full":
                self.record(self.name, "full", id=headers["req-id"])
                sock.sendall(http_answer(503))
                continue
            key = headers.get("idempotency-key")
            with self.lock:
                now = time.monotonic()
                is_repeat = key is not None and key in self.seen and now - self.seen[key] < self.window
                if not is_repeat:
                    if key is not None:
                        self.seen[key] = now
                    self.runs.append((headers["req-id"], key, body))
                self.record(self.name, "dropped as a repeat" if is_repeat else "RAN", id=headers["req-id"], key=key,
                            body=body[:60])
            if isinstance(what, (int, float)):
                time.sleep(what)
            if what == "lose":
                self.record(self.name, "resets instead of answering", id=headers["req-id"])
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
                return
            sock.sendall(http_answer(200))


def wait_until(condition, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(0.02)
    return condition()


def play(case_folder, case):
    """Plays `case(record, folder, started)` and exits with 0, 1 or 2; ends all processes in `started`."""
    record = Record(case_folder)
    folder = tempfile.mkdtemp(prefix="review-")
    started = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record("case", "TROUBLE" if TROUBLE else "no trouble")
    code = NOT_RUN
    try:
        code = case(record, folder, started)
    except CannotRun as e:
        record("case", "could not run: " + str(e))
    except Exception as e:  # the stand-ins are at fault, not the program
        record("case", f"could not run: {type(e).__name__}: {e}")
    finally:
        for each in started:
            process = each.process if hasattr(each, "process") else each
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        log = os.path.join(folder, "forwarder.log")
        if os.path.exists(log):
            with open(log, errors="replace") as f:
                for line in f.read().splitlines()[-60:]:
                    record("log", line.strip())
        shutil.rmtree(folder, ignore_errors=True)
        record("case", {HELD: "the rule held", BROKEN: "THE RULE IS BROKEN", NOT_RUN: "not run"}[code])
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.stdout.flush()
    os._exit(code)
