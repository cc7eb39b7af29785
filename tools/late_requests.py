#!/usr/bin/env python3
"""Counts per route, from the logs of the nodes, the requests in time and the causes of the others.

usage: tools/late_requests.py [--from SECONDS] [--until SECONDS] LOG...
Reads `event=request_ended` lines of daemons with "interface": "fleet". Where lines begin with a
number of seconds, --from and --until select a range of them.
"""
import argparse
import collections
import re

FIELD = re.compile(r"(\w+)=(\S*)")
SECONDS = re.compile(r"\s*(-?\d+\.\d+)\s")
# Above this wait for its model, a late request is attributed to the wait.
LONG_WAIT_MS = 200
# Above this number of unprocessed prompt tokens on the endpoint, a late request is attributed to
# them.
LONG_PROMPT_TOKENS = 20_000


def cause_of(line):
    """Returns why a request was late or failed, or "in time"."""
    if line["outcome"] != "answered":
        return line["outcome"]
    if not line["status"].startswith("2"):
        return "status " + line["status"]
    goal = int(line["goal_ms"])
    if "first_ms" not in line:
        return "in time" if int(line["ms"]) <= goal else "late"
    if int(line["first_ms"]) > goal:
        if line.get("attempts", "1") != "1":
            return "late: another attempt"
        if int(line.get("waited_ms", 0)) > LONG_WAIT_MS:
            return "late: waited for its model"
        if int(line.get("unread_ahead", 0)) > LONG_PROMPT_TOKENS:
            return "late: behind long prompts"
        return "late: other"
    return "paused" if int(line["pause_ms"]) > int(line["pause_limit_ms"]) else "in time"


def request_lines(paths, first, last):
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as log:
            for text in log:
                timestamp = SECONDS.match(text)
                if timestamp and not first <= float(timestamp.group(1)) <= last:
                    continue
                if "event=request_ended " in text:
                    yield dict(FIELD.findall(text.split("event=request_ended ")[1]))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("logs", nargs="+")
    parser.add_argument("--from", dest="first", type=float, default=float("-inf"))
    parser.add_argument("--until", dest="last", type=float, default=float("inf"))
    options = parser.parse_args()
    routes = collections.defaultdict(collections.Counter)
    for line in request_lines(options.logs, options.first, options.last):
        routes[line.get("route", "no route")][cause_of(line)] += 1
    for route, causes in sorted(routes.items()):
        total = sum(causes.values())
        print(f"{route}: {total} requests")
        for cause, count in causes.most_common():
            print(f"  {count:6}  {100 * count / total:5.1f}%  {cause}")


if __name__ == "__main__":
    main()
