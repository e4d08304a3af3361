#!/usr/bin/env python3
"""Plays every day of bench/days on each site and prints which broke a rule.

Usage: bench/kinds.py BENCH SITE... [--seeds N] [--only TEXT] [--why TEXT]

BENCH is the path of the users' bench, SITE that of a site file. A day counts as broken when the
bench names a rule, a fault or the gate; days that a site does not know are listed as skipped.
"""

import argparse
import concurrent.futures
import pathlib
import re
import subprocess


def play(bench, site, day, seed, why):
    """Plays one day; gives its state and what the bench says of it."""
    command = [bench, "run", site, str(day), "--seed", str(seed), "--no-cpu", "--jobs", "1"]
    done = subprocess.run(command + ["--why", why], capture_output=True, text=True)
    text = done.stdout + done.stderr
    worth = re.search(r"^worth ([-\d.]+)", text, re.M)
    broken = re.search(r"BROKEN: (.*?)(?: \(else|$)", text, re.M)
    short = re.search(r"^short of the gate: (.*)$", text, re.M)
    if broken:
        return "broken", broken.group(1)
    if short:
        return "gate", short.group(1)
    if worth:
        return "kept", worth.group(1)
    return "skipped", text.strip().splitlines()[-1] if text.strip() else "no output"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--only", default="")
    parser.add_argument("--jobs", type=int, default=5)
    parser.add_argument("--why", default="each kind of trouble on its own")
    given = parser.parse_args()
    days = sorted(pathlib.Path(__file__).parent.glob("days/*.toml"))
    days = [day for day in days if given.only in day.stem]
    plays = [(site, day, 7 + seed) for site in given.sites for day in days for seed in range(given.seeds)]
    totals = {}
    with concurrent.futures.ThreadPoolExecutor(given.jobs) as pool:
        results = pool.map(lambda p: (p, play(given.bench, p[0], p[1], p[2], given.why)), plays)
        for (site, day, seed), (state, detail) in results:
            totals[state] = totals.get(state, 0) + 1
            name = pathlib.Path(site).stem
            print(f"{name:<16} {day.stem:<44} {seed:>3}  {state:<8} {detail}", flush=True)
    print(", ".join(f"{count} {state}" for state, count in sorted(totals.items())))


if __name__ == "__main__":
    main()
