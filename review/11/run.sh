#!/bin/sh
# Case 11. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wigeonfork-gateway ] && [ -x target/review-3/orders ] || exit 2
exec target/review-3/orders review/11/record.txt
