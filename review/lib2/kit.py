"""Common parts of the cases of the second review: the forwarder as a process, and stand-ins for its surroundings.

Everything listens on loopback addresses with free ports, and all state is in a temporary folder.
"""

import json
import os
import random
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
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played: neither a pass nor a failure."""


def free_port():
    """A port that nobody listens at, below those that systems give to outgoing connections."""
    while True:
        port = random.randrange(12000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


class Record:
    """The file record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, case_folder):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(case_folder, "record.txt"), "w")

    def __call__(self, text):
        with self.lock:
            line = "%8.3f %s" % (time.monotonic() - self.started, text)
            self.file.write(line + "\n")
            self.file.flush()
            print(line, flush=True)


def deploy_key(name):
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
        match = re.search('^%s = "(.*?)"' % name, f.read(), re.M)
    return match.group(1)


def settings(**changes):
    """The settings of a small deployment: the classes of the brief."""
    base = {
        "roundS": 0.005, "groupSize": 1, "shapes": ["lens-lab", "supplier"], "zones": ["z"],
        "familyInfo": {"callSlots": 20, "kindBatch": [20, 1], "ownLimits": [False, False]},
        "limits": {"maxAttempts": 8, "openCap": 100, "connectTimeoutS": 1.5, "keepaliveS": 15, "retryAfter": True,
                   "maxRetryAfterS": 2},
        "requestClasses": [
            {"name": "lens-order", "aimS": 4, "deadlineS": 20, "credit": 1, "repeat": "idempotency_key",
             "repeatWindowS": 5},
            {"name": "status-update", "aimS": 0.8, "deadlineS": 6, "credit": 1, "repeat": "read_like",
             "repeatWindowS": 0},
            {"name": "payment", "aimS": 4, "deadlineS": 28, "credit": 3, "repeat": "non_idempotent",
             "repeatWindowS": 0}],
        "rules": {"answerSlackS": 0.02, "coldFrom": 0.24, "tipMultiple": 1.5, "rampTimeS": 9.5, "overloadForS": 3,
                  "drainGraceS": 0.5, "askWithinS": 10}}
    base.update(changes)
    return base


class Forwarder:
    """One real forwarder, started by the run command of the deploy file."""

    def __init__(self, case, name="n0", arguments="", config_changes=None):
        self.case = case
        self.arguments = arguments
        self.folder = os.path.join(case.folder, name)
        self.state = os.path.join(self.folder, "state")
        os.makedirs(self.state)
        self.port = free_port()
        self.operator_port = free_port()
        self.config_file = os.path.join(self.folder, "config.json")
        self.config = {
            "name": name, "listen": "127.0.0.1:%d" % self.port, "discovery": case.discovery_address,
            "state": self.state, "seed": "8c1f30d27a5be964", "operator": "127.0.0.1:%d" % self.operator_port,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}, "settings": settings()}
        self.config.update(config_changes or {})
        self.write_config()
        self.process = None
        self.starts = 0

    def write_config(self):
        with open(self.config_file + ".new", "w") as f:
            json.dump(self.config, f)
        os.rename(self.config_file + ".new", self.config_file)

    def start(self):
        self.starts += 1
        self.log_file = os.path.join(self.folder, "log.%d" % self.starts)
        temporary = os.path.join(self.folder, "tmp.%d" % self.starts)
        os.makedirs(temporary)
        environment = dict(os.environ, ROUTER_CONFIG=self.config_file, TMPDIR=temporary)
        for variable in ("ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_STATE", "ROUTER_OPERATOR"):
            environment.pop(variable, None)
        self.process = self.case.start_process(
            ["/bin/sh", "-c", deploy_key("run") + " " + self.arguments], self.log_file, environment)
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRun("the forwarder ended at its start: " + self.log()[-800:])
            try:
                if self.get("/health/ready")[0] == 200:
                    self.case.record("forwarder %s is ready" % self.config["name"])
                    return self
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun("the forwarder is not ready after 30 s")

    def log(self):
        with open(self.log_file, errors="replace") as f:
            return f.read()

    def get(self, path):
        return http(self.port, "GET", path)

    def counters(self):
        return dict(line.split(" ", 1) for line in self.get("/counters")[2].decode().splitlines() if " " in line)

    def kill(self):
        self.case.record("SIGKILL to the forwarder")
        self.process.kill()
        self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None


def http(port, method, path, headers=None, body=b"", timeout=2.0):
    """One request on a connection of its own; (status, headers, body)."""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout) as s:
        s.settimeout(timeout)
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: app.svc", "Connection: close"]
        lines += ["%s: %s" % item for item in (headers or {}).items()]
        if method == "POST":
            lines.append("Content-Length: %d" % len(body))
        s.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        data = b""
        while True:
            part = s.recv(65536)
            if not part:
                break
            data += part
    if not data:
        raise OSError("the connection was closed without an answer")
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        key, _, value = line.partition(":")
        fields[key.strip().lower()] = value.strip()
    return int(lines[0].split(" ")[1]), fields, rest


class HttpServer:
    """A small HTTP/1.1 server with a thread for each connection; subclasses answer in handle()."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.port = self.listener.getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while True:
                first = reader.readline()
                if not first:
                    return
                method, path, _ = first.decode("latin-1").split(" ")
                headers = {}
                while True:
                    line = reader.readline()
                    if line in (b"\r\n", b""):
                        break
                    key, _, value = line.decode("latin-1").partition(":")
                    headers[key.strip().lower()] = value.strip()
                body = reader.read(int(headers.get("content-length", "0")))
                answer = self.handle(method, path, headers, body, connection)
                if answer is None:
                    return
                connection.sendall(answer)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def handle(self, method, path, headers, body, connection):
        raise NotImplementedError


def answer(status, body=b"", **headers):
    lines = ["HTTP/1.1 %d X" % status]
    if status != 204:
        lines.append("Content-Length: %d" % len(body))
    lines += ["%s: %s" % (key.replace("_", "-"), value) for key, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Platform(HttpServer):
    """Discovery's agent and the receiver of notices."""

    def __init__(self, record, endpoints=()):
        self.record = record
        self.condition = threading.Condition()
        self.index = 1
        self.endpoints = {e["name"]: e for e in endpoints}
        self.changes = []
        self.notices = []
        super().__init__()

    def set(self, endpoint):
        with self.condition:
            self.index += 1
            if endpoint["status"] == "left":
                self.endpoints.pop(endpoint["name"], None)
            else:
                self.endpoints[endpoint["name"]] = endpoint
            self.changes.append((self.index, endpoint))
            self.condition.notify_all()

    def handle(self, method, path, headers, body, connection):
        if method == "POST" and path == "/status":
            for line in body.decode().splitlines():
                notice = json.loads(line)
                with self.condition:
                    self.notices.append((time.monotonic(), notice))
                self.record("notice %s" % line)
            return answer(204)
        target, _, query = path.partition("?")
        if target != "/registry/instances":
            return answer(404)
        wanted = dict(part.split("=") for part in query.split("&") if part)
        with self.condition:
            if "after" not in wanted:
                return self.listing(True, list(self.endpoints.values()))
            after = int(wanted["after"])
            self.condition.wait_for(lambda: self.index > after, int(wanted.get("wait_ms", "0")) / 1000)
            return self.listing(False, [e for index, e in self.changes if index > after])

    def listing(self, whole, entries):
        return answer(200, json.dumps({"index": self.index, "snapshot": whole, "endpoints": entries}).encode())


class Case:
    """Runs one case: play(case) returns the broken rules as texts; all processes and files go at the end."""

    def __init__(self, folder):
        self.case_folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.processes = []
        self.discovery_address = None

    def start_process(self, command, log_file, environment=None):
        log = open(log_file, "w")
        process = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment)
        log.close()
        self.processes.append(process)
        return process

    def run(self, play):
        watchdog = threading.Timer(112, self.give_up)
        watchdog.daemon = True
        watchdog.start()
        try:
            broken = play(self)
            self.record("with the disruption" if self.trouble else "without the disruption (TROUBLE=0)")
            for text in broken:
                self.record("RULE BROKEN: " + text)
            if not broken:
                self.record("the rule held")
            code = BROKEN if broken else HELD
        except CannotRun as e:
            self.record("the case could not run: %s" % e)
            code = NOT_RUN
        except Exception as e:  # a fault of the test itself is never a verdict
            import traceback
            traceback.print_exc()
            self.record("the case could not run: %r" % e)
            code = NOT_RUN
        self.end(code)

    def give_up(self):
        self.record("the case could not run: out of time")
        self.end(NOT_RUN)

    def end(self, code):
        for process in self.processes:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except OSError:
                    pass
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record("exit %d" % code)
        sys.stdout.flush()
        os._exit(code)


def wait_until(condition, seconds, step=0.02):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(step)
    return bool(condition())


class Partner(HttpServer):
    """An endpoint of a partner: takes calls of one message, keeps what ran, and answers 200 after a while.

    It drops repeats of an idempotency key for repeat_window seconds. answer_to(body) gives its answer: a status, or
    None to hold the call without an answer.
    """

    def __init__(self, record, name, group, work_s=0.08, repeat_window=0.0, answer_to=None):
        self.record = record
        self.name = name
        self.group = group
        self.work_s = work_s
        self.repeat_window = repeat_window
        self.answer_to = answer_to or (lambda body: 200)
        self.lock = threading.Lock()
        self.first_run = {}
        self.runs = []  # (time, message id, key, body)
        self.calls = []  # the same for all calls, also those that are dropped as repeats
        super().__init__()

    def entry(self, status="active"):
        return {"name": self.name, "address": self.address, "zone": "z", "type": "supplier", "group": self.group,
                "status": status, "weight": 1.0, "since_ms": 0}

    def handle(self, method, path, headers, body, connection):
        if method != "POST" or path != "/receive":
            return answer(200 if path == "/health/live" else 404)
        call = (time.monotonic(), headers.get("req-id"), headers.get("idempotency-key"), body)
        with self.lock:
            key = call[2]
            repeat = key in self.first_run and call[0] - self.first_run[key] < self.repeat_window
            self.calls.append(call)
            if not repeat:
                self.first_run[key] = call[0]
                self.runs.append(call)
        status = self.answer_to(body)
        if status is None:
            connection.recv(1)  # until the forwarder gives the call up
            return None
        time.sleep(self.work_s)
        return answer(status)
