#!/bin/bash
# Case 6 of the review; see claim.txt.
cd "$(dirname "$0")/../.." && exec target/review-2/cases 6 review/6
