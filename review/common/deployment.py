"""Starts and ends the controllers of one small deployment, and keeps the record of a case."""

import asyncio
import ctypes
import json
import os
import pathlib
import shlex
import signal
import subprocess
import tempfile
import time
import tomllib

from net import Caller, free_ports

LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Has the system end a controller when the script that started it is gone."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


ROOT = pathlib.Path(__file__).resolve().parents[2]


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)
        self.began = time.monotonic()

    def line(self, text, at=None):
        at = (time.monotonic() if at is None else at) - self.began
        self.file.write(f"{at:9.3f} {text}\n")


class Deployment:
    def __init__(self, cluster, names, zones, record):
        self.names, self.record = names, record
        ports = free_ports(3 * len(names) + 1)
        count = len(names)
        self.api = dict(zip(names, ports[:count]))
        self.peer = dict(zip(names, ports[count:2 * count]))
        self.store = dict(zip(names, ports[2 * count:3 * count]))
        self.cloud = ports[-1]
        self.callers = {name: Caller(self.api[name]) for name in names}
        self.folder = tempfile.TemporaryDirectory(prefix="saltpitch-review-")
        self.children = {}
        run = tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"]
        self.command = shlex.split(run)
        for name, zone in zip(names, zones):
            seeds = [{"node": other, "location": location,
                      "addr": f"127.0.0.1:{self.peer[other]}"}
                     for other, location in zip(names, zones) if other != name]
            settings = {"node": name, "location": zone,
                        "api_addr": f"127.0.0.1:{self.api[name]}",
                        "peer_bind": f"127.0.0.1:{self.peer[name]}", "seeds": seeds,
                        "external": {"cloud": f"127.0.0.1:{self.cloud}",
                                     "state": f"127.0.0.1:{self.store[name]}"},
                        "cluster": cluster}
            self.settings_file(name).write_text(json.dumps(settings))

    def settings_file(self, name):
        return pathlib.Path(self.folder.name) / f"{name}.json"

    def start(self, name):
        log = open(pathlib.Path(self.folder.name) / f"{name}.log", "ab")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("REVIEW_LOG", "info"))
        command = [*self.command, str(self.settings_file(name))]
        self.children[name] = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL, env=env,
            preexec_fn=end_with_parent)
        self.record.line(f"controller {name} is started, process {self.children[name].pid}")

    def kill(self, name):
        child = self.children.pop(name, None)
        if child:
            child.kill()
            child.wait()
            self.record.line(f"controller {name} is killed")

    def signal(self, name, number):
        self.children[name].send_signal(number)

    def log(self, name):
        return (pathlib.Path(self.folder.name) / f"{name}.log").read_text(errors="replace")

    async def wait_up(self, names=None, limit=30.0):
        end = time.monotonic() + limit
        for name in names or self.names:
            while True:
                answer = await self.callers[name].call("GET", "/up", None, 1.0)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.1)
        return True

    def close(self):
        for name, child in list(self.children.items()):
            try:
                child.send_signal(signal.SIGCONT)
            except ProcessLookupError:
                pass
            self.kill(name)
        self.folder.cleanup()
