#!/usr/bin/env python3
"""Plays days with the same seeds before and after a change, and compares their worth in pairs.

Usage: bench/pairs.py play BENCH OUT SITE... --why TEXT [--days NAME,...] [--seeds N] [--jobs N]
       bench/pairs.py compare BEFORE AFTER

BENCH is the path of the users' bench, SITE that of a site file. `play` writes a line of JSON for
each day and seed to OUT; processor time is not charged, so that a run mostly repeats.
"""

import argparse
import concurrent.futures
import json
import pathlib
import re
import statistics
import subprocess

# The standard days of the sites, and one that draws from all their troubles.
STANDARD_DAYS = "quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3,mix"


def play(bench, site, day, seed, why):
    """Plays one day; gives what the bench says of it."""
    command = [bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--jobs", "1"]
    done = subprocess.run(command + ["--why", why], capture_output=True, text=True)
    text = done.stdout + done.stderr
    worth = re.search(r"^worth ([-\d.]+)", text, re.M)
    broken = re.search(r"BROKEN: (.*?)(?: \(else|$)", text, re.M)
    loads = re.search(r"^ +-[-\d.]+ +([\d.]+) adapters brought", text, re.M)
    return {
        "site": pathlib.Path(site).stem,
        "day": day,
        "seed": seed,
        "worth": float(worth.group(1)) if worth else None,
        "loads": float(loads.group(1)) if loads else None,
        "broken": broken.group(1) if broken else None,
    }


def play_all(given):
    plays = [
        (site, day, 101 + seed)
        for site in given.sites
        for day in given.days.split(",")
        for seed in range(given.seeds)
    ]
    with concurrent.futures.ThreadPoolExecutor(given.jobs) as pool:
        results = pool.map(lambda p: play(given.bench, *p, given.why), plays)
        with open(given.out, "w") as out:
            for result in results:
                out.write(json.dumps(result) + "\n")


def read(path):
    rows = [json.loads(line) for line in open(path)]
    return {(row["site"], row["day"], row["seed"]): row for row in rows}


def line(name, pairs):
    before = [b["worth"] for b, _ in pairs]
    after = [a["worth"] for _, a in pairs]
    gains = [y - x for x, y in zip(before, after)]
    wins = sum(gain > 0 for gain in gains)
    loads = [sum(row["loads"] or 0 for row in side) / len(pairs) for side in zip(*pairs)]
    print(
        f"{name:<28} {len(pairs):>3} pairs  worth {statistics.mean(before):.3f} to "
        f"{statistics.mean(after):.3f} ({statistics.mean(gains):+.3f}, better in {wins})  "
        f"loads {loads[0]:.0f} to {loads[1]:.0f}"
    )


def compare(given):
    before, after = read(given.before), read(given.after)
    both = sorted(before.keys() & after.keys())
    for key in both:
        for which, rows in (("before", before), ("after", after)):
            if rows[key]["broken"]:
                print("broken", which, *key, rows[key]["broken"])
            if rows[key]["worth"] is None:
                print("not played", which, *key)
    usable = [k for k in both if before[k]["worth"] is not None and after[k]["worth"] is not None]
    groups = {}
    for key in usable:
        groups.setdefault(f"{key[0]} {key[1]}", []).append((before[key], after[key]))
        if key[1] not in ("quiet-1", "mix"):
            groups.setdefault(f"{key[0]} with trouble", []).append((before[key], after[key]))
    for name in sorted(groups):
        line(name, groups[name])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    verbs = parser.add_subparsers(required=True)
    verb = verbs.add_parser("play")
    verb.add_argument("bench")
    verb.add_argument("out")
    verb.add_argument("sites", nargs="+")
    verb.add_argument("--why", required=True)
    verb.add_argument("--days", default=STANDARD_DAYS)
    verb.add_argument("--seeds", type=int, default=4)
    verb.add_argument("--jobs", type=int, default=8)
    verb.set_defaults(act=play_all)
    verb = verbs.add_parser("compare")
    verb.add_argument("before")
    verb.add_argument("after")
    verb.set_defaults(act=compare)
    given = parser.parse_args()
    given.act(given)


if __name__ == "__main__":
    main()
