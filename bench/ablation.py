#!/usr/bin/env python3
"""Switches each rule of a relay's policy back, one by one, and prints what it is worth.

Usage: bench/ablation.py BENCH SITE... [--seeds N] [--jobs N] [--days NAME,...] [--rules NAME,...]

BENCH is the path of the users' bench, SITE that of a site file. Every rule is played on the same days
and seeds as the policy as it is, without processor time. The rules are switched in the template of the
relays' settings, which is put back at the end.
"""

import argparse
import concurrent.futures
import contextlib
import pathlib
import statistics

import pairs

TEMPLATE = pathlib.Path("deploy/relay.ini")

# Settings of [policy] that switch one rule back, or all of them.
RULES = {
    "routing": "routing = places",
    "copies": "copies = places",
    "priority": "priority = route",
    "placement": "placement = even",
    "least to read": "placement = spare",
    "waiting": "waiting = aim",
    "all": "routing = places\ncopies = places\npriority = route\nplacement = even\nwaiting = aim",
}

# Days without trouble; the others are averaged together.
CALM_DAYS = {"quiet-1"}


@contextlib.contextmanager
def switched(settings):
    """Puts settings of [policy] into the template for a while."""
    before = TEMPLATE.read_text()
    TEMPLATE.write_text(f"{before}\n[policy]\n{settings}\n")
    try:
        yield
    finally:
        TEMPLATE.write_text(before)


def play_days(given, why):
    """Plays all days; gives the results by site, day and seed."""
    days = given.days.split(",")
    plays = [
        (site, day, 101 + seed)
        for site in given.sites
        for day in days
        for seed in range(given.seeds)
    ]
    with concurrent.futures.ThreadPoolExecutor(given.jobs) as pool:
        results = pool.map(lambda played: pairs.play(given.bench, *played, why), plays)
        return {(row["site"], row["day"], row["seed"]): row for row in results}


def gains(whole, other, site, is_calm):
    """What the rule gained in each pair of plays."""
    keys = [key for key in whole if key[0] == site and (key[1] in CALM_DAYS) == is_calm]
    played = [key for key in keys if whole[key]["worth"] is not None and other[key]["worth"] is not None]
    return [whole[key]["worth"] - other[key]["worth"] for key in played]


def row(rule, whole, other, site):
    cells = []
    for is_calm in (False, True):
        found = gains(whole, other, site, is_calm)
        if not found:
            cells.append("not played")
            continue
        spread = statistics.stdev(found) if len(found) > 1 else 0.0
        better = sum(gain > 0 for gain in found)
        cells.append(f"{statistics.mean(found):+.3f} (spread {spread:.3f}, {better} of {len(found)})")
    broken = sum(1 for key, played in other.items() if key[0] == site and played["broken"])
    return f"| {site} | {rule} | {cells[0]} | {cells[1]} | {broken} |"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=7)
    parser.add_argument("--days", default="quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3")
    parser.add_argument("--rules", default=",".join(RULES))
    given = parser.parse_args()
    whole = play_days(given, "ablation: the policy as it is")
    print("| site | rule | worth with trouble | worth of the quiet day | broken without it |")
    print("|---|---|---|---|---|")
    for rule in given.rules.split(","):
        with switched(RULES[rule]):
            other = play_days(given, f"ablation: {rule} switched back")
        for site in sorted({key[0] for key in whole}):
            print(row(rule, whole, other, site), flush=True)


if __name__ == "__main__":
    main()
