#!/bin/bash
# Case 6 of the review; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec target/review-2/cases 6 review/6 "${TROUBLE:-1}"
