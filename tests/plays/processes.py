"""The processes of a play, with a zone and a gate to the store where the play has zones."""

import os
import signal
import subprocess

import channels
from channels import REPO, Gate, HttpServer, lab


class Process(lab.Process):
    """A process that can be ended and started again with the same settings. With `zones` it has a zone, and a gate
    of its own to the store."""

    def __init__(self, play, name, zone="z1", zones=None):
        super().__init__(play, name)
        self.zone, self.gate = zone, None
        if zones is not None:
            self.end_child()
            self.gate = Gate(play.store, zones, zone)
            server = play.run(HttpServer(self.gate.handle).open())
            self.settle({"zone": zone, "zones.z0": "r", "zones.z2": "r", "platform.addr": server.text})

    def settle(self, changes):
        """Replaces settings of a process that has not been started yet."""
        with open(self.settings, encoding="utf-8") as file:
            known = dict(line.rstrip("\n").split("=", 1) for line in file)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.writelines(f"{name}={value}\n" for name, value in {**known, **changes}.items())

    def end_child(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()

    def spawn(self):
        env = {"PATH": os.environ.get("PATH", ""), "AMARANTHWICK_BOOT": self.settings}
        self.child = subprocess.Popen([lab.PROGRAM], cwd=REPO, stdout=self.log, stderr=self.log, env=env)

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def terminate(self, grace_s):
        self.signal(signal.SIGTERM)
        try:
            self.child.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.end_child()


def start(play, count):
    """Starts the processes; those of a play with zones belong to three, and have links between them."""
    found = [Process(play, f"edge-{i + 1}", f"z{i % 3}", play.zones) for i in range(count)]
    if play.zones:
        play.run(channels.join(found, play.zones))
        for process in found:
            process.spawn()
    return found
