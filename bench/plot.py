#!/usr/bin/env python3
"""Draws the score by round as an SVG from the journal.

Usage: bench/plot.py SITE > FILE, with SITE as the journal names it, such as sopot-ljb.
"""

import json
import pathlib
import sys

WIDTH, HEIGHT, MARGIN = 720, 260, 40


def rounds(site):
    """Score and mean worth of each scored round, in order."""
    folder = pathlib.Path(__file__).parent.parent / "journal"
    entries = [json.loads(path.read_text()) for path in sorted(folder.glob("*.json"))]
    scored = [e for e in entries if e["cmd"] == "score" and e["site"] == site and e["ok"]]
    for entry in scored:
        worths = [day["G"] for day in entry["days"] if day.get("G") is not None]
        yield entry["score"], sum(worths) / max(len(worths), 1), entry["why"]


def line(points, colour):
    """A line with dots through these values from 0 to 1."""
    step = (WIDTH - 2 * MARGIN) / max(len(points) - 1, 1)
    at = [(MARGIN + i * step, HEIGHT - MARGIN - p * (HEIGHT - 2 * MARGIN)) for i, p in enumerate(points)]
    path = " ".join(f"{x:.1f},{y:.1f}" for x, y in at)
    dots = "".join(f'<circle cx="{x:.1f}" cy="{y:.1f}" r="3" fill="{colour}"/>' for x, y in at)
    return f'<polyline points="{path}" fill="none" stroke="{colour}"/>{dots}'


def main():
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    found = list(rounds(sys.argv[1]))
    if not found:
        sys.exit(f"the journal has no score of {sys.argv[1]}")
    print(f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}">')
    print('<rect width="100%" height="100%" fill="white"/>')
    for mark in (0.0, 0.25, 0.5, 0.75, 1.0):
        y = HEIGHT - MARGIN - mark * (HEIGHT - 2 * MARGIN)
        print(f'<line x1="{MARGIN}" x2="{WIDTH - MARGIN}" y1="{y}" y2="{y}" stroke="#ddd"/>')
        print(f'<text x="8" y="{y + 4}" font-size="11">{mark}</text>')
    print(line([score for score, _, _ in found], "#1f77b4"))
    print(line([worth for _, worth, _ in found], "#d62728"))
    title = f"{sys.argv[1]}: score (blue) and mean worth of its days (red) by round"
    print(f'<text x="{MARGIN}" y="20" font-size="13">{title}</text></svg>')


if __name__ == "__main__":
    main()
