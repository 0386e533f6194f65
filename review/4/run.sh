#!/bin/bash
# Case 4 of the second review, see claim.txt. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec bash "$folder/../standins-2/run-case.sh" relist "$folder"
