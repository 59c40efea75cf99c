"""The settings change: grace_s becomes a fraction. SIGHUP tells the processes so, and later they are stopped and started in turn. Do they
start again?"""
import itertools
import os
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib3"))

from fleet3 import NOT_RUN, RULE_BROKEN, RULE_HELD, Engine, Fleet, Record, Store, ask, configuration, request_bytes, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NEW_BOUNDS = {"grace_s": 7.5 if TROUBLE else 7}
BEFORE_SECONDS, HUP_SECONDS, ROLL_SECONDS, AFTER_SECONDS = 4, 3, 16, 12
# A process that ends is started again after a short delay.
RESTART_SECONDS = 0.5
REQUESTS_PER_SECOND = 20


class Site:
    def __init__(self, record, fleet, names):
        self.record = record
        self.fleet = fleet
        self.names = names
        self.bounds = {}
        self.ends_of_its_own = {name: 0 for name in names}
        self.stopped = set()
        self.is_over = False
        self.results = []
        self.threads = []

    def keep_running(self, name):
        """Starts the process again whenever it has ended, with the settings in effect at that moment."""
        while True:
            status = self.fleet.processes[name].wait()
            self.record.write(f"{name} ended with status {status}")
            if name in self.stopped:
                self.stopped.discard(name)
            else:
                self.ends_of_its_own[name] += 1
            time.sleep(RESTART_SECONDS)
            if self.is_over:
                return
            self.fleet.start_entry(name, bounds=self.bounds)

    def change_settings(self):
        self.bounds = NEW_BOUNDS
        for name in self.names:
            self.fleet.write_settings("entry", name, self.fleet.entry_fields(name, bounds=self.bounds))
            self.fleet.processes[name].send_signal(signal.SIGHUP)
            self.record.write(f"settings of {name}: {self.bounds}, SIGHUP")

    def roll(self):
        for name in self.names:
            self.stopped.add(name)
            self.record.write(f"SIGTERM to {name}")
            self.fleet.processes[name].terminate()
            # The next one follows when this one is back, or 8 s later.
            time.sleep(1)
            self.fleet.wait_ready(name, 7)

    def send(self, phase, attempt, name):
        self.record.write(f"sent {attempt} to {name}")
        answer = ask((self.fleet.ips[name], 8227), request_bytes("POST", "/post/a", attempt, b"o" * 600, budget_ms=3000), 4)
        self.results.append((phase, answer.status == 200 and answer.complete and "x-response-stamp" in answer.headers))
        self.record.write(f"answered {attempt} {answer.status}")

    def traffic(self, seconds, phase):
        began = time.monotonic()
        for number in itertools.count():
            due = began + number / REQUESTS_PER_SECOND
            if due >= began + seconds:
                return
            time.sleep(max(0.0, due - time.monotonic()))
            name = self.names[number % len(self.names)]
            thread = threading.Thread(target=self.send, args=(phase, f"post-{phase}-{number}", name), daemon=True)
            thread.start()
            self.threads.append(thread)

    def served(self, phase):
        own = [served for of_phase, served in list(self.results) if of_phase == phase]
        return f"{sum(own)} of {len(own)} served"


def main():
    record = Record(pathlib.Path(__file__).resolve().parent)
    store = Store()
    for number in range(3):
        Engine(record, f"desk-{number}", "desk", slots=6).register(store)
    store.put("op", "config", configuration(10, [route("post", "/post/", "unsafe", "desk", 1500)], ["desk"]))
    with Fleet(record, store) as fleet:
        names = ("front-a-1", "front-a-2")
        for name in names:
            fleet.start_entry(name)
        if not all(fleet.wait_ready(name) for name in names):
            print("the entries did not become ready")
            return NOT_RUN
        time.sleep(2)
        site = Site(record, fleet, names)
        for name in names:
            threading.Thread(target=site.keep_running, args=(name,), daemon=True).start()
        site.traffic(BEFORE_SECONDS, "before")
        site.change_settings()
        site.traffic(HUP_SECONDS, "after SIGHUP")
        roller = threading.Thread(target=site.roll, daemon=True)
        roller.start()
        site.traffic(ROLL_SECONDS, "rolling")
        roller.join()
        site.traffic(AFTER_SECONDS, "after")
        for thread in site.threads:
            thread.join(5)
        site.is_over = True
        lines = [f"{phase}: {site.served(phase)}" for phase in ("before", "after SIGHUP", "rolling", "after")]
        lines.append("ends of their own: " + ", ".join(f"{name} {count}" for name, count in site.ends_of_its_own.items()))
        lines += [f"what {name} says: {text.strip()}" for name in names
                  for text in (pathlib.Path(fleet.folder.name) / f"{name}.log").read_text().splitlines()[-1:] if not text.startswith("{")]
        broken = all(count >= 3 for count in site.ends_of_its_own.values()) and site.served("after").startswith("0 ")
        lines.append("RULE BROKEN: the program doesn't start, and no request is served" if broken else "the rule held")
        for line in lines:
            line = line.replace(str(fleet.folder.name), "")
            record.write(line)
            print(line)
    record.close()
    return RULE_BROKEN if broken else RULE_HELD


if __name__ == "__main__":
    sys.stdout.reconfigure(line_buffering=True)
    status = main()
    sys.stdout.flush()
    os._exit(status)
