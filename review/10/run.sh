#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/gypsumbank ] && [ -x ../../target/review-2/cases ] || exit 2
REVIEW_CASE=10 REVIEW_PROGRAM=../../target/gypsumbank REVIEW_RECORD=record.txt exec ../../target/review-2/cases
